#include "envelope_framer.h"

#include "codec.h"

#include <algorithm>

namespace crocuswood::wire {

namespace {

// A length is a number of four bytes, the most significant one first.
constexpr std::size_t LengthBytes = 4;
constexpr unsigned ByteBits = 8;

// Bounds what a receiver allocates for the messages of one envelope.
constexpr std::size_t MaxMessagesPerEnvelope = 16'384;

void writeLength(std::string &Out, std::size_t At, std::uint32_t Length) {
  for (std::size_t Byte = 0; Byte < LengthBytes; ++Byte) {
    const auto Shift = static_cast<unsigned>(LengthBytes - 1 - Byte) * ByteBits;
    Out[At + Byte] = static_cast<char>(Length >> Shift);
  }
}

std::uint32_t readLength(std::string_view Bytes) {
  std::uint32_t Length = 0;
  for (std::size_t Byte = 0; Byte < LengthBytes; ++Byte) {
    Length = (Length << ByteBits) | static_cast<std::uint8_t>(Bytes[Byte]);
  }
  return Length;
}

findings makeFindings(const std::string &Message) {
  return {finding{.Source = "envelope", .Message = Message}};
}

// Appends the two halves of an envelope that is too large for one frame.
checked<std::uint64_t> appendHalves(std::string &Out,
                                    const peer_envelope &Envelope,
                                    std::uint32_t MaxBytes) {
  const auto Middle = Envelope.Messages.begin() +
                      static_cast<std::ptrdiff_t>(Envelope.Messages.size() / 2);
  std::uint64_t Count = 0;
  for (const auto &[First, Last] :
       {std::pair(Envelope.Messages.begin(), Middle),
        std::pair(Middle, Envelope.Messages.end())}) {
    const peer_envelope Half{.Sent = Envelope.Sent, .Messages = {First, Last}};
    checked<std::uint64_t> Appended = appendFrames(Out, Half, MaxBytes);
    if (std::holds_alternative<findings>(Appended)) {
      return Appended;
    }
    Count += std::get<std::uint64_t>(Appended);
  }
  return Count;
}

} // namespace

checked<std::uint64_t> appendFrames(std::string &Out,
                                    const peer_envelope &Envelope,
                                    std::uint32_t MaxBytes) {
  const std::size_t Start = Out.size();
  Out.append(LengthBytes, '\0');
  encodeInto(Out, Envelope);
  const std::size_t Length = Out.size() - Start - LengthBytes;
  if (Length <= MaxBytes &&
      Envelope.Messages.size() <= MaxMessagesPerEnvelope) {
    writeLength(Out, Start, static_cast<std::uint32_t>(Length));
    return std::uint64_t{1};
  }
  Out.resize(Start);
  if (Envelope.Messages.size() < 2) {
    return makeFindings("a message of " + std::to_string(Length) +
                        " bytes is larger than an envelope may be");
  }
  checked<std::uint64_t> Appended = appendHalves(Out, Envelope, MaxBytes);
  if (std::holds_alternative<findings>(Appended)) {
    Out.resize(Start);
  }
  return Appended;
}

void frame_splitter::append(std::string Bytes) {
  if (Taken == Buffer.size()) {
    Buffer = std::move(Bytes);
    Taken = 0;
    return;
  }
  Buffer.erase(0, Taken);
  Taken = 0;
  Buffer.append(Bytes);
}

std::size_t frame_splitter::release() {
  if (Taken < Buffer.size()) {
    return Buffer.capacity();
  }
  Buffer = std::string();
  Taken = 0;
  return 0;
}

checked<std::optional<std::string_view>> frame_splitter::next() {
  const std::string_view Rest = std::string_view(Buffer).substr(Taken);
  if (Rest.size() < LengthBytes) {
    return std::optional<std::string_view>();
  }
  const std::uint32_t Length = readLength(Rest);
  if (Length > MaxBytes) {
    return makeFindings("a length of " + std::to_string(Length) +
                        " bytes is larger than an envelope may be");
  }
  if (Rest.size() < LengthBytes + Length) {
    return std::optional<std::string_view>();
  }
  Taken += LengthBytes + Length;
  return std::optional(Rest.substr(LengthBytes, Length));
}

} // namespace crocuswood::wire
