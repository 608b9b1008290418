#include "job_request_reader.h"

#include <algorithm>
#include <array>

namespace crocuswood::http {

namespace {

constexpr std::uint32_t MaxInputDepth = 200;
constexpr std::size_t MaxNameBytes = 256;
constexpr std::array<std::string_view, 5> KnownJobKeys = {
    "class", "team", "tasks", "deadline", "idempotency_key"};
constexpr std::array<std::string_view, 2> KnownTaskKeys = {"input", "run_time"};

bool isSpace(char Character) {
  return Character == ' ' || Character == '\t' || Character == '\n' ||
         Character == '\r';
}

bool isNumberPart(char Character) {
  return (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '+' || Character == '.' || Character == 'e' ||
         Character == 'E';
}

template <class Container>
bool contains(const Container &Values, std::string_view Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

} // namespace

job_request_reader::job_request_reader(std::string_view Text)
    : Text(Text), Progress(Text.data()) {}

checked<job_request> job_request_reader::read() {
  const char *Begin = Text.data();
  nlohmann::json::sax_parse(tracking_iterator(Begin, &Progress),
                            tracking_iterator(Begin + Text.size(), &Progress),
                            this);
  if (!Findings.empty()) {
    return std::move(Findings);
  }
  return std::move(Request);
}

bool job_request_reader::null() { return scalar(value_kind::Other, nullptr); }

bool job_request_reader::boolean(bool) {
  return scalar(value_kind::Other, nullptr);
}

bool job_request_reader::number_integer(number_integer_t) {
  return scalar(value_kind::Number, nullptr);
}

bool job_request_reader::number_unsigned(number_unsigned_t) {
  return scalar(value_kind::Number, nullptr);
}

bool job_request_reader::number_float(number_float_t, const string_t &) {
  return scalar(value_kind::Number, nullptr);
}

bool job_request_reader::string(string_t &Value) {
  return scalar(value_kind::Text, &Value);
}

bool job_request_reader::binary(binary_t &) { return false; }

bool job_request_reader::start_object(std::size_t) {
  if (OpaqueDepth > 0) {
    return openOpaque();
  }
  if (Level == level::Outside) {
    Level = level::Job;
    return true;
  }
  if (Level == level::Tasks) {
    return startTask();
  }
  return openOpaque();
}

bool job_request_reader::start_array(std::size_t) {
  if (OpaqueDepth == 0 && Level == level::Job && Key == "tasks") {
    Level = level::Tasks;
    ElementEnd = offset();
    return true;
  }
  return openOpaque();
}

bool job_request_reader::key(string_t &Value) {
  if (OpaqueDepth > 0) {
    return true;
  }
  Value.resize(std::min(Value.size(), MaxNameBytes));
  Key = std::move(Value);
  KeyEnd = offset();
  std::vector<std::string> &Seen = Level == level::Job ? JobKeys : TaskKeys;
  if (!isKnownKey()) {
    report(KeyEnd, path(), "is not a known key");
    return Findings.size() < MaxFindings;
  }
  if (contains(Seen, Key)) {
    report(KeyEnd, path(), "is given twice");
    return false;
  }
  Seen.push_back(Key);
  return true;
}

bool job_request_reader::end_object() {
  if (OpaqueDepth > 0) {
    return closeOpaque();
  }
  if (Level == level::Task) {
    finishTask();
    return true;
  }
  finishJob();
  Level = level::Outside;
  return true;
}

bool job_request_reader::end_array() {
  if (OpaqueDepth > 0) {
    return closeOpaque();
  }
  Level = level::Job;
  return true;
}

bool job_request_reader::parse_error(std::size_t, const std::string &,
                                     const nlohmann::detail::exception &Error) {
  const std::size_t Place = offset() == 0 ? 0 : offset() - 1;
  report(offset() == Text.size() ? Text.size() : Place, "",
         shortMessage(Error.what()));
  return false;
}

std::size_t job_request_reader::offset() const {
  return static_cast<std::size_t>(Progress - Text.data());
}

std::size_t job_request_reader::valueStart() const {
  if (Level == level::Outside) {
    return 0;
  }
  const bool IsElement = Level == level::Tasks;
  const char Separator = IsElement ? ',' : ':';
  std::size_t Place = IsElement ? ElementEnd : KeyEnd;
  while (Place < Text.size() &&
         (isSpace(Text[Place]) || Text[Place] == Separator)) {
    ++Place;
  }
  return Place;
}

std::size_t job_request_reader::valueEnd(value_kind Kind) const {
  if (Kind != value_kind::Number) {
    return offset();
  }
  // The parser has read one character beyond a number.
  std::size_t Place = valueStart();
  while (Place < Text.size() && isNumberPart(Text[Place])) {
    ++Place;
  }
  return Place;
}

std::string job_request_reader::path() const {
  std::string Task = "tasks[" + std::to_string(TaskIndex) + "]";
  switch (Level) {
  case level::Outside:
    return "";
  case level::Job:
    return Key;
  case level::Tasks:
    return Task;
  case level::Task:
    return Task + "." + Key;
  }
  return "";
}

void job_request_reader::report(std::size_t Offset, std::string Path,
                                std::string Message) {
  Findings.push_back(
      findingAt(Text, Offset, std::move(Path), std::move(Message)));
}

bool job_request_reader::openOpaque() {
  ++OpaqueDepth;
  if (OpaqueDepth > MaxInputDepth) {
    report(offset(), path(),
           "is nested deeper than " + std::to_string(MaxInputDepth) +
               " levels");
    return false;
  }
  return true;
}

bool job_request_reader::closeOpaque() {
  --OpaqueDepth;
  if (OpaqueDepth == 0) {
    takeValue(value_kind::Other, nullptr);
  }
  return Findings.size() < MaxFindings;
}

bool job_request_reader::scalar(value_kind Kind, std::string *Value) {
  if (OpaqueDepth == 0) {
    takeValue(Kind, Value);
  }
  return Findings.size() < MaxFindings;
}

void job_request_reader::takeValue(value_kind Kind, std::string *Value) {
  if (Level == level::Outside) {
    report(valueStart(), "", "must be an object");
    return;
  }
  if (Level == level::Tasks) {
    report(valueStart(), path(), "must be an object");
    ElementEnd = valueEnd(Kind);
    ++TaskIndex;
    return;
  }
  if (!isKnownKey()) {
    return; // Reported with the key.
  }
  if (Key == "input") {
    takeInput(Kind);
  } else if (Key == "run_time") {
    takeDuration(Request.Tasks.back().DeclaredRunTime, Value);
  } else if (Key == "deadline") {
    takeDuration(Request.Deadline, Value);
  } else if (Key == "class") {
    takeText(Request.Class, Value);
  } else if (Key == "team") {
    takeText(Request.Team, Value);
  } else if (Key == "idempotency_key") {
    takeText(Request.IdempotencyKey, Value);
  } else {
    report(valueStart(), path(), "must be an array");
  }
}

void job_request_reader::takeText(std::string &Target, std::string *Value) {
  if (Value == nullptr) {
    report(valueStart(), path(), "must be a string");
    return;
  }
  if (Value->empty() || Value->size() > MaxNameBytes) {
    report(valueStart(), path(),
           "must have 1 to " + std::to_string(MaxNameBytes) + " bytes");
    return;
  }
  Target = std::move(*Value);
}

void job_request_reader::takeDuration(std::optional<duration> &Target,
                                      const std::string *Value) {
  if (Value != nullptr) {
    Target = parseDuration(*Value);
  }
  if (!Target || Target->count() == 0) {
    report(valueStart(), path(),
           "must be a string with a number and a unit, such as \"300ms\"");
  }
}

void job_request_reader::takeInput(value_kind Kind) {
  const std::size_t Start = valueStart();
  const std::size_t Length = valueEnd(Kind) - Start;
  Request.Tasks.back().Input = payload(std::string(Text.substr(Start, Length)));
}

bool job_request_reader::startTask() {
  if (TaskIndex == MaxTasksPerJob) {
    report(valueStart(), "tasks",
           "has more than " + std::to_string(MaxTasksPerJob) + " tasks");
    return false;
  }
  TaskStart = valueStart();
  Level = level::Task;
  TaskKeys.clear();
  Request.Tasks.emplace_back();
  return true;
}

void job_request_reader::finishTask() {
  Level = level::Tasks;
  if (!contains(TaskKeys, "input")) {
    report(TaskStart, path() + ".input", "is missing");
  }
  ElementEnd = offset();
  ++TaskIndex;
}

void job_request_reader::finishJob() {
  for (const std::string_view Required : {"class", "team", "tasks"}) {
    if (!contains(JobKeys, Required)) {
      report(0, std::string(Required), "is missing");
    }
  }
  if (contains(JobKeys, "tasks") && TaskIndex == 0 && Findings.empty()) {
    report(0, "tasks", "must have at least one task");
  }
}

bool job_request_reader::isKnownKey() const {
  return Level == level::Job ? contains(KnownJobKeys, Key)
                             : contains(KnownTaskKeys, Key);
}

} // namespace crocuswood::http
