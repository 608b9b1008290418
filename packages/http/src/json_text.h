/// \file
/// Reading JSON with the place of every value in the text.
#pragma once

#include <crocuswood/model.h>

#include <cstddef>
#include <iterator>
#include <string>
#include <string_view>

namespace crocuswood::http {

/// Name of a request body in findings.
constexpr const char *BodySource = "body";

/// Most findings that are reported for one input.
constexpr std::size_t MaxFindings = 50;

/// \returns a finding at byte \p Offset of \p Text, as line and column.
finding findingAt(std::string_view Text, std::size_t Offset, std::string Path,
                  std::string Message);

/// \returns \p Message of a nlohmann exception without its prefix.
std::string shortMessage(std::string_view Message);

/// \returns \p Text as a JSON string with quotes. Invalid UTF-8 is replaced.
std::string toJsonString(std::string_view Text);

/// \returns `"findings":[...]` for an error body.
std::string writeFindings(const findings &Findings);

/// Whether \p Text is one whole JSON value.
bool isJson(std::string_view Text);

/// Iterates over a text and tells its owner how far it has come, so that a
/// streaming parser's handler knows the place of each event.
class tracking_iterator {
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char *;
  using reference = const char &;

  tracking_iterator(const char *Current, const char **Progress)
      : Current(Current), Progress(Progress) {}

  reference operator*() const { return *Current; }
  tracking_iterator &operator++() {
    ++Current;
    *Progress = Current;
    return *this;
  }
  tracking_iterator operator++(int) {
    tracking_iterator Before = *this;
    ++*this;
    return Before;
  }
  friend bool operator==(const tracking_iterator &Left,
                         const tracking_iterator &Right) {
    return Left.Current == Right.Current;
  }

private:
  const char *Current;
  const char **Progress;
};

} // namespace crocuswood::http
