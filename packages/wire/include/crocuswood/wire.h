/// \file
/// Public header of the package wire: links between processes as HTTP/2 streams
/// (nghttp2 on Asio) that carry MessagePack envelopes.
#pragma once

#include <crocuswood/model.h>
#include <crocuswood/ports.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace crocuswood::wire {

/// \returns \p Envelope as MessagePack.
std::string encode(const peer_envelope &Envelope);
/// Decodes one envelope. Never throws; a finding tells the offset of the fault,
/// which is the last byte of the element at fault.
checked<peer_envelope> decode(std::string_view Bytes);

/// Bounds of every link.
struct limits {
  std::uint32_t MaxEnvelopeBytes = 16U * 1024 * 1024;
  std::uint32_t MaxUnsentBytes =
      64U * 1024 * 1024; ///< A link with more unsent is closed.
  std::uint32_t MaxLinks = 4'096;
  duration DialLimit = std::chrono::seconds(2);
  /// Accepted connections on which no link is open yet. Beyond it the oldest
  /// one is closed.
  std::uint32_t MaxUnopened = 1'024;
  /// Of unfinished envelopes on all links together. Beyond it the link that
  /// holds most is closed. An envelope of the greatest length takes up to twice
  /// its size while it arrives.
  std::uint64_t MaxHeldBytes = 48ULL * 1024 * 1024;
};

/// Traffic of all links of an object, for metrics.
struct traffic {
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t EnvelopesSent = 0;
  std::uint64_t EnvelopesReceived = 0;
};

/// Accepts links (entries) or opens them (companions). Single-threaded: every
/// call is made on the thread that runs the context.
class link_endpoint : public link_port {
public:
  /// \p Context and \p Events must outlive this object.
  link_endpoint(boost::asio::io_context &Context, limits Limits,
                link_events &Events);
  ~link_endpoint() override;

  /// Accepts links on \p Address. \returns the port, chosen by the system when
  /// it is 0, or a finding.
  checked<std::uint16_t> listen(const peer_address &Address);
  /// Accepts nothing more; open links stay.
  void stopListening();

  void dial(link_id Link, const peer_address &Remote) override;
  void send(link_id Link, const peer_envelope &Envelope) override;
  void close(link_id Link) override;
  /// Closes every link after what was sent has been written, then calls \p
  /// Done.
  void drain(std::function<void()> Done);
  traffic getTraffic() const;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace crocuswood::wire
