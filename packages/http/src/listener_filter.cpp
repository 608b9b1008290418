#include "listener_filter.h"

#include <array>
#include <cstdint>

#ifdef __linux__
#include <sys/socket.h>

#include <linux/filter.h>
#endif

namespace crocuswood::http {

#ifdef __linux__

namespace {

// The filter of a TCP socket sees segments from the TCP header on.
constexpr std::uint32_t FlagsOffset = 13;
constexpr std::uint32_t SynFlag = 0x02;
constexpr std::uint32_t KeepNothing = 0;
constexpr std::uint32_t KeepAll = 0xffffffff;

} // namespace

// Accepted sockets inherit the filter. It doesn't matter there, because no
// segment of an established connection has the flag.
bool dropNewConnections(int ListeningSocket) {
  std::array<sock_filter, 4> Code{
      {{.code = BPF_LD | BPF_B | BPF_ABS, .jt = 0, .jf = 0, .k = FlagsOffset},
       {.code = BPF_JMP | BPF_JSET | BPF_K, .jt = 0, .jf = 1, .k = SynFlag},
       {.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = KeepNothing},
       {.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = KeepAll}}};
  const sock_fprog Program{.len = Code.size(), .filter = Code.data()};
  return ::setsockopt(ListeningSocket, SOL_SOCKET, SO_ATTACH_FILTER, &Program,
                      sizeof(Program)) == 0;
}

#else

bool dropNewConnections(int) { return false; }

#endif

} // namespace crocuswood::http
