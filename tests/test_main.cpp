// Entry point shared by every test program.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv) {
  // Several threads of one test allocate; the plain table of the leak detector
  // is not made for that.
  MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
