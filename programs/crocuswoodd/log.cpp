#include "log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <utility>

namespace crocuswood::daemon {

namespace {

// The form is chosen once, before any duty starts.
std::atomic<bool> WritesJson{false};

const std::map<log_level, log4cplus::LogLevel> &getLevels() {
  static const std::map<log_level, log4cplus::LogLevel> Levels = {
      {log_level::Debug, log4cplus::DEBUG_LOG_LEVEL},
      {log_level::Info, log4cplus::INFO_LOG_LEVEL},
      {log_level::Warn, log4cplus::WARN_LOG_LEVEL},
      {log_level::Error, log4cplus::ERROR_LOG_LEVEL}};
  return Levels;
}

std::string quote(const std::string &Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

} // namespace

void setUpLog(const settings::log_settings &Settings) {
  log4cplus::initialize();
  const bool Json = Settings.Form == "json";
  WritesJson = Json;
  const std::string Pattern =
      Json
          ? R"({"time":"%d{%Y-%m-%dT%H:%M:%S.%q}","level":"%p","part":"%c","message":%m}%n)"
          : "%d{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n";
  // Structured logs go to standard output, texts for people to standard error.
  // Neither waits in a buffer.
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(!Json, true));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.addAppender(Appender);
  std::string Level = Settings.Level;
  for (char &Letter : Level) {
    Letter =
        static_cast<char>(std::toupper(static_cast<unsigned char>(Letter)));
  }
  Root.setLogLevel(log4cplus::getLogLevelManager().fromString(Level));
}

void log(log_level Level, const std::string &Part,
         const std::string &Sentence) {
  log4cplus::Logger Logger = log4cplus::Logger::getInstance(Part);
  const log4cplus::LogLevel Number = getLevels().at(Level);
  if (!Logger.isEnabledFor(Number)) {
    return;
  }
  Logger.log(Number, WritesJson ? quote(Sentence) : Sentence);
}

} // namespace crocuswood::daemon
