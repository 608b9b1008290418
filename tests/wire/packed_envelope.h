/// \file
/// Envelopes packed by hand, to put faults into them.
#pragma once

#include <msgpack.hpp>

#include <random>
#include <string>

namespace crocuswood::wire_test {

/// \returns an envelope whose only message is packed by \p Write.
template <class Function> std::string packMessage(Function Write) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(2).pack_array(2).pack(1).pack(0);
  Packer.pack_array(1);
  Write(Packer);
  return {Buffer.data(), Buffer.size()};
}

/// \returns \p Size random bytes.
inline std::string makeRandomBytes(std::mt19937 &Random, std::size_t Size) {
  std::string Bytes(Size, '\0');
  for (char &Byte : Bytes) {
    Byte = static_cast<char>(Random());
  }
  return Bytes;
}

} // namespace crocuswood::wire_test
