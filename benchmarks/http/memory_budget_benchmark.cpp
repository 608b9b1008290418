// Measures what memory accounting costs one ordinary request: the calls that a
// connection makes for it, beside the given number of other connections.
#include <crocuswood/memory_budget.h>

#include <chrono>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace crocuswood::http;

constexpr std::uint64_t BodyBytes = 4'200;
constexpr std::uint64_t AnswerBytes = 200;
constexpr int Requests = 1'000'000;
constexpr int Others = 1'000;

double nanosecondsEach(std::chrono::steady_clock::duration Time) {
  return std::chrono::duration<double, std::nano>(Time).count() / Requests;
}

} // namespace

int main() {
  memory_account Account(makeBudgetOptions(budget_options::DefaultCapacity));
  std::vector<memory_account::holder_id> Holders;
  Holders.reserve(Others);
  for (int Count = 0; Count < Others; ++Count) {
    Holders.push_back(
        Account.open("10.0.0." + std::to_string(Count % 100), [] {}));
  }
  const std::string Document(BodyBytes, '0');
  bool Admitted = true;
  const auto Began = std::chrono::steady_clock::now();
  for (int Count = 0; Count < Requests; ++Count) {
    const auto Holder = Holders[static_cast<std::size_t>(Count % Others)];
    Account.set(Holder, {0, 0, BodyBytes, 0, 0}, false);
    Admitted = Account.admits(BodyBytes) && Admitted;
    Account.set(Holder, {0, 0, 0, AnswerBytes, 0}, false);
    Account.set(Holder, {}, false);
  }
  const auto Middle = std::chrono::steady_clock::now();
  for (int Count = 0; Count < Requests; ++Count) {
    const document_charge Charge(&Account, Document);
    Admitted = Charge.isAdmitted() && Admitted;
  }
  const auto End = std::chrono::steady_clock::now();
  std::cout << "{\"buffers_ns\":" << nanosecondsEach(Middle - Began)
            << ",\"document_ns\":" << nanosecondsEach(End - Middle)
            << ",\"all_admitted\":" << (Admitted ? "true" : "false") << "}\n";
  return Admitted ? 0 : 1;
}
