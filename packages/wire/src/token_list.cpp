#include "token_list.h"

#include <msgpack.hpp>

#include <array>
#include <exception>

namespace crocuswood::wire {

namespace {

// Nesting of the deepest message is eight.
constexpr std::size_t MaxDepth = 10;
// Bounds the memory for one envelope's elements to 32 MB.
constexpr std::size_t MaxTokens = 2'000'000;

// In the order of token_kind.
constexpr std::array<std::string_view, 8> KindNames = {
    "nil",           "a boolean", "a number", "a negative number",
    "a real number", "a text",    "bytes",    "an array"};

findings makeFindings(std::size_t Offset, std::string_view Message) {
  return {finding{.Source = "envelope",
                  .Message = "byte " + std::to_string(Offset) + ": " +
                             std::string(Message)}};
}

// Receives the elements from the library, which calls it in their order.
class collector : public msgpack::null_visitor {
public:
  explicit collector(std::vector<token> &Target, std::size_t Most)
      : Tokens(Target), MaxCount(Most) {}

  std::string_view getFault() const { return Fault; }

  bool visit_nil() { return add(token{.Kind = token_kind::Nil}); }
  bool visit_boolean(bool Value) {
    return add(token{.Kind = token_kind::Boolean, .Unsigned = Value});
  }
  bool visit_positive_integer(std::uint64_t Value) {
    return add(token{.Kind = token_kind::Unsigned, .Unsigned = Value});
  }
  bool visit_negative_integer(std::int64_t Value) {
    // The wider signed forms can hold numbers that are not negative.
    if (Value >= 0) {
      return visit_positive_integer(static_cast<std::uint64_t>(Value));
    }
    return add(token{.Kind = token_kind::Signed, .Signed = Value});
  }
  bool visit_float32(float Value) { return visit_float64(Value); }
  bool visit_float64(double Value) {
    return add(token{.Kind = token_kind::Real, .Real = Value});
  }
  bool visit_str(const char *Bytes, std::uint32_t Size) {
    return add(token{.Kind = token_kind::Text, .Size = Size, .Bytes = Bytes});
  }
  bool visit_bin(const char *Bytes, std::uint32_t Size) {
    return add(token{.Kind = token_kind::Binary, .Size = Size, .Bytes = Bytes});
  }
  bool visit_ext(const char * /*Bytes*/, std::uint32_t /*Size*/) {
    return stop("extension types are not used");
  }
  bool start_map(std::uint32_t /*Size*/) { return stop("maps are not used"); }
  bool start_array(std::uint32_t Size) {
    if (++Depth > MaxDepth) {
      return stop("arrays are nested too deeply");
    }
    return add(token{.Kind = token_kind::Array, .Size = Size});
  }
  bool end_array() {
    --Depth;
    return true;
  }
  void parse_error(std::size_t /*Parsed*/, std::size_t /*Offset*/) {
    stop("not MessagePack");
  }
  void insufficient_bytes(std::size_t /*Parsed*/, std::size_t /*Offset*/) {
    stop("the envelope is truncated");
  }

private:
  bool add(const token &Token) {
    if (Tokens.size() == MaxCount) {
      return stop("the envelope has too many elements");
    }
    Tokens.push_back(Token);
    return true;
  }
  bool stop(std::string_view Message) {
    Fault = Message;
    return false;
  }

  std::vector<token> &Tokens;
  std::size_t MaxCount;
  std::size_t Depth = 0;
  std::string_view Fault;
};

} // namespace

std::string_view toString(token_kind Kind) {
  return KindNames.at(static_cast<std::size_t>(Kind));
}

checked<token_list> token_list::parse(std::string_view Bytes) {
  token_list List;
  List.Input = Bytes;
  collector Collector(List.Tokens, MaxTokens);
  std::size_t Offset = 0;
  try {
    const bool Complete =
        msgpack::parse(Bytes.data(), Bytes.size(), Offset, Collector);
    if (!Complete || !Collector.getFault().empty()) {
      const std::string_view Fault = Collector.getFault();
      return makeFindings(Offset, Fault.empty() ? "not MessagePack" : Fault);
    }
  } catch (const std::exception &Error) {
    return makeFindings(Offset, Error.what());
  }
  if (Offset != Bytes.size()) {
    return makeFindings(Offset, "bytes follow the envelope");
  }
  return List;
}

findings token_list::describe(std::size_t Index,
                              std::string_view Message) const {
  // Elements carry no offsets. A second pass that stops at the element finds
  // its offset, and only faulty input pays for it.
  std::vector<token> Before;
  collector Collector(Before, Index);
  std::size_t Offset = 0;
  msgpack::parse(Input.data(), Input.size(), Offset, Collector);
  return makeFindings(Offset, Message);
}

} // namespace crocuswood::wire
