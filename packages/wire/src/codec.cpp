#include "codec.h"

#include "envelope_reader.h"
#include "envelope_writer.h"
#include "token_list.h"

#include <crocuswood/wire.h>

namespace crocuswood::wire {

void encodeInto(std::string &Out, const peer_envelope &Envelope) {
  envelope_writer(Out).write(Envelope);
}

std::string encode(const peer_envelope &Envelope) {
  std::string Bytes;
  encodeInto(Bytes, Envelope);
  return Bytes;
}

checked<peer_envelope> decode(std::string_view Bytes) {
  checked<token_list> Parsed = token_list::parse(Bytes);
  if (auto *Faults = std::get_if<findings>(&Parsed)) {
    return std::move(*Faults);
  }
  envelope_reader Reader(std::get<token_list>(Parsed));
  peer_envelope Envelope;
  if (!Reader.read(Envelope)) {
    return Reader.getFault();
  }
  return Envelope;
}

} // namespace crocuswood::wire
