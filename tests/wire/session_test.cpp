#include "envelope_framer.h"
#include "http2_session.h"
#include "loopback.h"
#include "raw_peer.h"
#include "sample_messages.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::wire;
using namespace crocuswood::wire_test;

namespace {

// Moves frames between two sessions until both have nothing more to write.
// Returns the first fault.
std::string exchange(http2_session &Left, http2_session &Right) {
  for (bool Moved = true; Moved;) {
    Moved = false;
    for (auto [From, To] : {std::pair(&Left, &Right), {&Right, &Left}}) {
      std::string Bytes;
      From->collectOutput(Bytes);
      Moved = Moved || !Bytes.empty();
      if (const auto Fault = To->receive(Bytes)) {
        return *Fault;
      }
    }
  }
  return {};
}

std::string frame(const peer_envelope &Envelope) {
  std::string Bytes;
  appendFrames(Bytes, Envelope, limits{}.MaxEnvelopeBytes);
  return Bytes;
}

} // namespace

TEST_GROUP(Sessions){};

TEST(Sessions, BytesArriveInPiecesOfAnySize) {
  http2_session Client(session_role::Client);
  http2_session Server(session_role::Server);
  Client.getUnsent() = "first";
  std::string Bytes;
  Client.collectOutput(Bytes);
  for (const char Byte : Bytes) {
    CHECK_FALSE(Server.receive({&Byte, 1}).has_value());
  }
  CHECK_EQUAL(std::string(), exchange(Client, Server));
  CHECK_TRUE(Client.isOpen() && Server.isOpen());
  CHECK_EQUAL(std::string("first"), Server.takeReceived());
}

TEST(Sessions, FinishEndsTheStreamAfterWhatIsUnsent) {
  http2_session Client(session_role::Client);
  http2_session Server(session_role::Server);
  exchange(Client, Server);
  Server.getUnsent() = "last";
  Server.finish();
  exchange(Client, Server);
  CHECK_TRUE(Server.isFinished());
  CHECK_TRUE(Client.hasEnded());
  CHECK_EQUAL(std::string("last"), Client.takeReceived());
}

TEST(Sessions, TwoClientsRefuseEachOther) {
  http2_session Left(session_role::Client);
  http2_session Right(session_role::Client);
  exchange(Left, Right);
  CHECK_FALSE(Left.isOpen());
  CHECK_FALSE(Right.isOpen());
}

TEST_GROUP(Framing){};

TEST(Framing, LengthBeyondTheLimitIsRefusedBeforeItsBytes) {
  frame_splitter Splitter(1'000);
  Splitter.append(std::string("\x00\x00\x03\xe9", 4));
  CHECK_TRUE(std::holds_alternative<findings>(Splitter.next()));
}

TEST(Framing, PiecesOfAnySizeGiveWholeEnvelopes) {
  const std::string Bytes = frame(makeEnvelopeOfEverything()) + frame({});
  for (const std::size_t Piece :
       {std::size_t{1}, std::size_t{7}, Bytes.size()}) {
    frame_splitter Splitter(limits{}.MaxEnvelopeBytes);
    std::size_t Found = 0;
    for (std::size_t At = 0; At < Bytes.size(); At += Piece) {
      Splitter.append(Bytes.substr(At, Piece));
      while (std::get<0>(Splitter.next()).has_value()) {
        ++Found;
      }
    }
    CHECK_EQUAL(2, Found);
  }
}

TEST_GROUP(HostileLinks){};

namespace {

// Opens a link by hand, sends Bytes on its stream and waits for the end.
bool isClosedAfter(const std::string &Bytes) {
  linked_pair Pair;
  if (!Pair.open()) {
    return false;
  }
  http2_session Client(session_role::Client);
  Client.getUnsent() = Bytes;
  std::string Frames;
  Client.collectOutput(Frames);
  raw_peer Peer(Pair.Context, Pair.Port);
  Peer.write(Frames);
  Peer.awaitEnd();
  const bool Ended =
      runUntil(Pair.Context, [&Peer] { return Peer.hasEnded(); });
  return Ended && Pair.EntryEvents.Closed.size() == 1 &&
         Pair.EntryEvents.Closed.count(Pair.entryLink()) == 0;
}

} // namespace

TEST(HostileLinks, UndecodableEnvelopeClosesOnlyItsLink) {
  CHECK_TRUE(isClosedAfter(std::string("\x00\x00\x00\x02\xc1\xc1", 6)));
}

TEST(HostileLinks, OversizedEnvelopeClosesOnlyItsLink) {
  CHECK_TRUE(isClosedAfter("\xff\xff\xff\xff"));
}

TEST(HostileLinks, SecondStreamClosesTheConnection) {
  http2_session Server(session_role::Server);
  http2_session First(session_role::Client);
  std::string Opening;
  First.collectOutput(Opening);
  CHECK_FALSE(Server.receive(Opening).has_value());
  // An empty request on stream 3 with the fields of the first one indexed.
  const std::string Second("\x00\x00\x01\x01\x05\x00\x00\x00\x03\x83", 10);
  CHECK_TRUE(Server.receive(Second).has_value());
}

TEST(HostileLinks, DrainEndsWithAPeerThatNeverReads) {
  boost::asio::io_context EntryContext;
  boost::asio::io_context PeerContext;
  recorder EntryEvents;
  recorder PeerEvents;
  const limits Limits{.DialLimit = std::chrono::milliseconds(500)};
  link_endpoint Entry(EntryContext, Limits, EntryEvents);
  link_endpoint Peer(PeerContext, Limits, PeerEvents);
  const auto Port =
      std::get<std::uint16_t>(Entry.listen({.Host = "127.0.0.1"}));
  Peer.dial(link_id{1}, {.Host = "127.0.0.1", .Port = Port});
  CHECK_TRUE(runUntil(EntryContext, [&] {
    PeerContext.poll();
    return !EntryEvents.Opened.empty() && !PeerEvents.Opened.empty();
  }));
  place_task Placement = makePlacement(1);
  // More than the peer's window and the sockets' buffers take together.
  Placement.Input = payload(std::string(8'000'000, 'x'));
  for (int Index = 0; Index < 3; ++Index) {
    Entry.send(EntryEvents.Opened.front(), {.Messages = {Placement}});
  }
  bool Drained = false;
  Entry.drain([&Drained] { Drained = true; });
  CHECK_TRUE(runUntil(EntryContext, [&Drained] { return Drained; }));
}
