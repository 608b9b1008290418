/// \file
/// Reads the types of schema.h from the elements of a MessagePack text.
#pragma once

#include "schema.h"
#include "token_list.h"

#include <limits>
#include <map>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace crocuswood::wire {

/// Takes values from a token list, front to back. Each read() returns false at
/// the first fault, which getFault() then describes.
class envelope_reader {
public:
  explicit envelope_reader(const token_list &Source)
      : List(Source), Tokens(Source.getTokens()) {}

  findings getFault() const { return List.describe(Position, Fault); }

  template <record Type> bool read(Type &Value) {
    return std::apply(
        [&](auto... Members) {
          return readArrayOf(sizeof...(Members)) &&
                 (read(Value.*Members) && ...);
        },
        schema<Type>::Members);
  }

  bool read(bool &Value) {
    if (!expect(token_kind::Boolean)) {
      return false;
    }
    Value = take().Unsigned != 0;
    return true;
  }

  // A real number without a fraction arrives as an integer.
  bool read(double &Value) {
    if (peekKind() == token_kind::Unsigned) {
      Value = static_cast<double>(take().Unsigned);
      return true;
    }
    if (peekKind() == token_kind::Signed) {
      Value = static_cast<double>(take().Signed);
      return true;
    }
    if (!expect(token_kind::Real)) {
      return false;
    }
    Value = take().Real;
    return true;
  }

  template <class Type>
  requires std::is_unsigned_v<Type>
  bool read(Type &Value) {
    return readUpTo(std::numeric_limits<Type>::max(), Value);
  }

  bool read(std::int64_t &Value) {
    if (peekKind() == token_kind::Signed) {
      Value = take().Signed;
      return true;
    }
    return readUpTo(std::numeric_limits<std::int64_t>::max(), Value);
  }

  template <bounded_enumeration Type> bool read(Type &Value) {
    return readUpTo(static_cast<std::uint64_t>(last_enumerator<Type>::Value),
                    Value);
  }

  bool read(incarnation &Value) {
    return readUpTo(std::numeric_limits<std::uint64_t>::max(), Value);
  }

  bool read(duration &Value) {
    std::int64_t Microseconds = 0;
    if (!read(Microseconds)) {
      return false;
    }
    Value = duration(Microseconds);
    return true;
  }

  bool read(std::string &Text) {
    if (!expect(token_kind::Text)) {
      return false;
    }
    Text = takeBytes();
    return true;
  }

  bool read(payload &Value) {
    if (!expect(token_kind::Binary)) {
      return false;
    }
    Value = payload(takeBytes());
    return true;
  }

  template <class Type> bool read(std::optional<Type> &Value) {
    if (peekKind() == token_kind::Nil) {
      take();
      Value.reset();
      return true;
    }
    return read(Value.emplace());
  }

  template <class Type> bool read(std::vector<Type> &Values) {
    if (!expect(token_kind::Array)) {
      return false;
    }
    // Grows with the items that are really there, not with the stated size.
    for (std::uint32_t Rest = take().Size; Rest > 0; --Rest) {
      if (!read(Values.emplace_back())) {
        return false;
      }
    }
    return true;
  }

  template <class Key, class Type> bool read(std::map<Key, Type> &Map) {
    if (!expect(token_kind::Array)) {
      return false;
    }
    for (std::uint32_t Rest = take().Size; Rest > 0; --Rest) {
      std::pair<Key, Type> Item;
      if (!readArrayOf(2) || !read(Item.first) || !read(Item.second)) {
        return false;
      }
      if (!Map.insert(std::move(Item)).second) {
        return fail("a key stands twice");
      }
    }
    return true;
  }

  template <class... Types> bool read(std::variant<Types...> &Value) {
    std::uint32_t Index = 0;
    if (!readArrayOf(2) || !readUpTo(sizeof...(Types) - 1, Index)) {
      return false;
    }
    return readAlternative(Index, Value,
                           std::make_index_sequence<sizeof...(Types)>());
  }

private:
  template <class Variant, std::size_t... Indices>
  bool readAlternative(std::uint32_t Chosen, Variant &Value,
                       std::index_sequence<Indices...> /*All*/) {
    return ((Chosen == Indices && read(Value.template emplace<Indices>())) ||
            ...);
  }

  // The list is one whole value, so a missing element is at its end only.
  token_kind peekKind() const {
    return Position < Tokens.size() ? Tokens[Position].Kind : token_kind::Nil;
  }

  const token &take() { return Tokens[Position++]; }

  std::string takeBytes() {
    const token &Token = take();
    return Token.Size == 0 ? std::string()
                           : std::string(Token.Bytes, Token.Size);
  }

  template <class Type> bool readUpTo(std::uint64_t Most, Type &Value) {
    if (!expect(token_kind::Unsigned)) {
      return false;
    }
    if (Tokens[Position].Unsigned > Most) {
      return fail("a number is out of range");
    }
    Value = static_cast<Type>(take().Unsigned);
    return true;
  }

  bool readArrayOf(std::uint32_t Size) {
    if (!expect(token_kind::Array)) {
      return false;
    }
    if (Tokens[Position].Size != Size) {
      return fail("an array has the wrong number of items");
    }
    take();
    return true;
  }

  bool expect(token_kind Kind) {
    if (Position < Tokens.size() && Tokens[Position].Kind == Kind) {
      return true;
    }
    return fail("expected " + std::string(toString(Kind)));
  }

  bool fail(std::string Message) {
    Fault = std::move(Message);
    return false;
  }

  const token_list &List;
  const std::vector<token> &Tokens;
  std::size_t Position = 0;
  std::string Fault;
};

} // namespace crocuswood::wire
