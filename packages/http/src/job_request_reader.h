/// \file
/// Streaming reader of a job request.
#pragma once

#include "json_text.h"

#include <crocuswood/model.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace crocuswood::http {

/// Takes the parser's events for the body of `POST /v1/jobs`. Inputs of tasks
/// are copied from the text as they stand and are never built as a tree.
class job_request_reader final : public nlohmann::json_sax<nlohmann::json> {
public:
  /// \p Text must outlive the reader.
  explicit job_request_reader(std::string_view Text);

  /// Reads the whole text. \returns the request, or every fault with its place.
  checked<job_request> read();

  bool null() override;
  bool boolean(bool Value) override;
  bool number_integer(number_integer_t Value) override;
  bool number_unsigned(number_unsigned_t Value) override;
  bool number_float(number_float_t Value, const string_t &Text) override;
  bool string(string_t &Value) override;
  bool binary(binary_t &Value) override;
  bool start_object(std::size_t Elements) override;
  bool key(string_t &Value) override;
  bool end_object() override;
  bool start_array(std::size_t Elements) override;
  bool end_array() override;
  bool parse_error(std::size_t Position, const std::string &LastToken,
                   const nlohmann::detail::exception &Error) override;

private:
  enum class level : std::uint8_t { Outside, Job, Tasks, Task };
  /// What is known of a value that has just ended.
  enum class value_kind : std::uint8_t { Text, Number, Other };

  std::size_t offset() const;
  std::size_t valueStart() const;
  std::size_t valueEnd(value_kind Kind) const;
  std::string path() const;
  void report(std::size_t Offset, std::string Path, std::string Message);

  bool openOpaque();
  bool closeOpaque();
  bool scalar(value_kind Kind, std::string *Value);
  void takeValue(value_kind Kind, std::string *Value);
  void takeText(std::string &Target, std::string *Value);
  void takeDuration(std::optional<duration> &Target, const std::string *Value);
  void takeInput(value_kind Kind);
  bool startTask();
  void finishTask();
  void finishJob();
  bool isKnownKey() const;

  std::string_view Text;
  const char *Progress;
  level Level = level::Outside;
  std::uint32_t OpaqueDepth = 0; ///< Nesting inside a value kept as text.
  std::string Key;
  std::size_t KeyEnd = 0;
  std::size_t TaskStart = 0;
  std::size_t ElementEnd = 0; ///< Of the last element of `tasks`.
  std::vector<std::string> JobKeys;
  std::vector<std::string> TaskKeys;
  std::uint32_t TaskIndex = 0;
  job_request Request;
  findings Findings;
};

} // namespace crocuswood::http
