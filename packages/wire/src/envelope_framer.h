/// \file
/// Envelopes in a byte stream, each after its length.
#pragma once

#include <crocuswood/model.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace crocuswood::wire {

/// Appends \p Envelope, or several that carry its messages, each after its
/// length, to \p Out.
/// \returns how many were appended, or a finding, leaving \p Out unchanged, if
/// one message alone takes more than \p MaxBytes.
checked<std::uint64_t> appendFrames(std::string &Out,
                                    const peer_envelope &Envelope,
                                    std::uint32_t MaxBytes);

/// Finds the envelopes in what arrives piece by piece.
class frame_splitter {
public:
  explicit frame_splitter(std::uint32_t MaxEnvelopeBytes)
      : MaxBytes(MaxEnvelopeBytes) {}

  void append(std::string Bytes);
  /// \returns the next whole envelope, valid until the next append(); nothing
  /// if it has not arrived whole; a finding if its length is not allowed.
  checked<std::optional<std::string_view>> next();
  /// Frees the room of envelopes that have been taken. \returns what is held
  /// for one that has not arrived whole.
  std::size_t release();

private:
  std::uint32_t MaxBytes;
  std::string Buffer;
  std::size_t Taken = 0;
};

} // namespace crocuswood::wire
