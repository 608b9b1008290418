/// \file
/// Writes the types of schema.h as MessagePack.
#pragma once

#include "schema.h"

#include <msgpack.hpp>

#include <map>
#include <string>
#include <type_traits>
#include <variant>

namespace crocuswood::wire {

/// Appends to a string; the packer's target.
class string_sink {
public:
  explicit string_sink(std::string &Target) : Out(Target) {}
  void write(const char *Data, std::size_t Size) { Out.append(Data, Size); }

private:
  std::string &Out;
};

/// Appends values to a string. Records are arrays of their members, variants
/// are pairs of the alternative's index and its value, maps are arrays of
/// pairs.
class envelope_writer {
public:
  explicit envelope_writer(std::string &Target) : Sink(Target), Packer(Sink) {}

  template <record Type> void write(const Type &Value) {
    std::apply(
        [&](auto... Members) {
          Packer.pack_array(sizeof...(Members));
          (write(Value.*Members), ...);
        },
        schema<Type>::Members);
  }

  template <class Type>
  requires std::is_arithmetic_v<Type>
  void write(Type Value) { Packer.pack(Value); }

  template <class Type>
  requires std::is_enum_v<Type>
  void write(Type Value) {
    write(static_cast<std::underlying_type_t<Type>>(Value));
  }

  void write(duration Value) { Packer.pack(std::int64_t{Value.count()}); }

  void write(const std::string &Text) {
    Packer.pack_str(static_cast<std::uint32_t>(Text.size()));
    Packer.pack_str_body(Text.data(), static_cast<std::uint32_t>(Text.size()));
  }

  void write(const payload &Value) {
    const std::string_view Bytes = Value.getBytes();
    Packer.pack_bin(static_cast<std::uint32_t>(Bytes.size()));
    Packer.pack_bin_body(Bytes.data(),
                         static_cast<std::uint32_t>(Bytes.size()));
  }

  template <class Type> void write(const std::optional<Type> &Value) {
    if (!Value) {
      Packer.pack_nil();
      return;
    }
    write(*Value);
  }

  template <class Type> void write(const std::vector<Type> &Values) {
    Packer.pack_array(static_cast<std::uint32_t>(Values.size()));
    for (const Type &Value : Values) {
      write(Value);
    }
  }

  template <class Key, class Type> void write(const std::map<Key, Type> &Map) {
    Packer.pack_array(static_cast<std::uint32_t>(Map.size()));
    for (const auto &[Name, Value] : Map) {
      Packer.pack_array(2);
      write(Name);
      write(Value);
    }
  }

  template <class... Types> void write(const std::variant<Types...> &Value) {
    Packer.pack_array(2);
    write(static_cast<std::uint32_t>(Value.index()));
    std::visit([this](const auto &Alternative) { this->write(Alternative); },
               Value);
  }

private:
  string_sink Sink;
  msgpack::packer<string_sink> Packer;
};

} // namespace crocuswood::wire
