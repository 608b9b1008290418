/// \file
/// The elements of a MessagePack text in order, checked for form and size.
#pragma once

#include <crocuswood/model.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace crocuswood::wire {

/// What an element of a MessagePack text is.
enum class token_kind : std::uint8_t {
  Nil,
  Boolean,
  Unsigned,
  Signed, ///< A negative number.
  Real,
  Text,
  Binary,
  Array, ///< `Size` elements follow, each with its own elements.
};

/// \returns the kind as a noun for messages.
std::string_view toString(token_kind Kind);

/// One element. Text and binary point into the input.
struct token {
  token_kind Kind = token_kind::Nil;
  std::uint32_t Size = 0; ///< Of text and binary in bytes, of arrays in items.
  union {
    std::uint64_t Unsigned;
    std::int64_t Signed;
    double Real;
    const char *Bytes;
  };
};

/// Splits one MessagePack value into its elements. Memory grows with the
/// elements that the input really has, never with the sizes that it states.
class token_list {
public:
  /// Reads \p Bytes, which must outlive this object, to their end.
  /// \returns the first fault.
  static checked<token_list> parse(std::string_view Bytes);

  const std::vector<token> &getTokens() const { return Tokens; }
  /// \returns the finding \p Message with the offset of the element at \p
  /// Index.
  findings describe(std::size_t Index, std::string_view Message) const;

private:
  std::string_view Input;
  std::vector<token> Tokens;
};

} // namespace crocuswood::wire
