// Measures the codec and round trips over one link on loopback.
#include <crocuswood/wire.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace crocuswood;
using benchmark_clock = std::chrono::steady_clock;

constexpr int CodecRounds = 200'000;
constexpr int RoundTrips = 200'000;
constexpr int MessagesPerEnvelope = 32;
constexpr std::size_t PayloadBytes = 64;

double nanosecondsSince(benchmark_clock::time_point Start) {
  return std::chrono::duration<double, std::nano>(benchmark_clock::now() -
                                                  Start)
      .count();
}

task_id makeTask(std::uint64_t Number) {
  return {.Job = {.Entry = incarnation{0x9f3b5d7a1c2e4f60}, .Sequence = Number},
          .Index = 0};
}

companion_load makeLoad() {
  return {.Sequence = 100'000,
          .Running = 8,
          .Queued = 2,
          .QueuedWork = {{.RunTime = std::chrono::milliseconds(300)}}};
}

place_task makePlacement(std::uint64_t Number) {
  return {.Task = makeTask(Number),
          .Class = "pivot-check",
          .Input = payload(std::string(PayloadBytes, 'x')),
          .Slack = std::chrono::milliseconds(300),
          .ExpectedRunTime = std::chrono::milliseconds(80)};
}

task_ended makeEnd(std::uint64_t Number) {
  return {.Task = makeTask(Number),
          .End =
              task_completed{.Output = payload(std::string(PayloadBytes, 'y')),
                             .RunTime = std::chrono::milliseconds(81)},
          .Load = makeLoad()};
}

peer_envelope envelopeOf(std::vector<peer_message> Messages) {
  return {.Sent = {.WallMicroseconds = 1'790'000'000'000'000},
          .Messages = std::move(Messages)};
}

std::size_t sizeOf(const peer_message &Message) {
  return wire::encode(envelopeOf({Message})).size() -
         wire::encode(envelopeOf({})).size();
}

void measureCodec(const std::string &Name, const peer_message &Message) {
  const peer_envelope Envelope =
      envelopeOf(std::vector<peer_message>(MessagesPerEnvelope, Message));
  const std::string Bytes = wire::encode(Envelope);
  constexpr int Rounds = CodecRounds / MessagesPerEnvelope;
  std::size_t Sum = 0;
  auto Start = benchmark_clock::now();
  for (int Round = 0; Round < Rounds; ++Round) {
    Sum += wire::encode(Envelope).size();
  }
  const double Encoding = nanosecondsSince(Start) / CodecRounds;
  Start = benchmark_clock::now();
  for (int Round = 0; Round < Rounds; ++Round) {
    Sum += std::get<peer_envelope>(wire::decode(Bytes)).Messages.size();
  }
  const double Decoding = nanosecondsSince(Start) / CodecRounds;
  std::cout << Name << ": " << sizeOf(Message) << " bytes, encode " << Encoding
            << " ns, decode " << Decoding << " ns (checksum " << Sum << ")\n";
}

/// Sends a task_ended for each place_task that arrives.
class echo_events : public link_events {
public:
  void linkOpened(link_id /*Link*/, const peer_address & /*Remote*/) override {}
  void envelopeReceived(link_id Link, peer_envelope Envelope) override {
    peer_envelope Answer = envelopeOf({});
    for (const peer_message &Message : Envelope.Messages) {
      const auto &Placement = std::get<place_task>(Message);
      Answer.Messages.emplace_back(makeEnd(Placement.Task.Job.Sequence));
    }
    Links->send(Link, Answer);
  }
  void linkClosed(link_id /*Link*/, const std::string & /*Reason*/) override {}

  wire::link_endpoint *Links = nullptr;
};

/// Keeps a number of placements outstanding and times each.
class trip_events : public link_events {
public:
  trip_events(boost::asio::io_context &Context, int Outstanding)
      : Context(Context), Outstanding(Outstanding) {}

  void linkOpened(link_id Link, const peer_address & /*Remote*/) override {
    Began = benchmark_clock::now();
    for (int Index = 0; Index < Outstanding; ++Index) {
      place(Link);
    }
  }
  void envelopeReceived(link_id Link, peer_envelope Envelope) override {
    for (const peer_message &Message : Envelope.Messages) {
      const auto Number = std::get<task_ended>(Message).Task.Job.Sequence;
      Spans.push_back(nanosecondsSince(Starts[Number]));
      place(Link);
    }
    if (Spans.size() >= RoundTrips) {
      Context.stop();
    }
  }
  void linkClosed(link_id /*Link*/, const std::string & /*Reason*/) override {
    Context.stop();
  }

  void report(const wire::traffic &Traffic) {
    const double Seconds = nanosecondsSince(Began) / 1e9;
    std::sort(Spans.begin(), Spans.end());
    const auto Quantile = [this](double Share) {
      return Spans[static_cast<std::size_t>(
                 static_cast<double>(Spans.size() - 1) * Share)] /
             1e3;
    };
    std::cout << Outstanding
              << " outstanding: " << static_cast<double>(Spans.size()) / Seconds
              << " round trips/s, p50 " << Quantile(0.5) << " us, p99 "
              << Quantile(0.99) << " us, "
              << static_cast<double>(Traffic.BytesSent) /
                     static_cast<double>(Spans.size())
              << " bytes sent for each placement, "
              << static_cast<double>(Traffic.BytesReceived) /
                     static_cast<double>(Spans.size())
              << " received for each end\n";
  }

  wire::link_endpoint *Links = nullptr;

private:
  void place(link_id Link) {
    Starts.push_back(benchmark_clock::now());
    Links->send(Link, envelopeOf({makePlacement(Starts.size() - 1)}));
  }

  boost::asio::io_context &Context;
  int Outstanding;
  benchmark_clock::time_point Began;
  std::vector<benchmark_clock::time_point> Starts;
  std::vector<double> Spans;
};

// The echoing side has its own thread, as a process of its own would.
void measureRoundTrips(int Outstanding) {
  boost::asio::io_context EntryContext;
  boost::asio::io_context CompanionContext;
  trip_events EntryEvents(EntryContext, Outstanding);
  echo_events CompanionEvents;
  wire::link_endpoint Entry(EntryContext, {}, EntryEvents);
  wire::link_endpoint Companion(CompanionContext, {}, CompanionEvents);
  EntryEvents.Links = &Entry;
  CompanionEvents.Links = &Companion;
  const auto Port =
      std::get<std::uint16_t>(Entry.listen({.Host = "127.0.0.1"}));
  Companion.dial(link_id{1}, {.Host = "127.0.0.1", .Port = Port});
  std::thread Thread([&CompanionContext] { CompanionContext.run(); });
  EntryContext.run();
  CompanionContext.stop();
  Thread.join();
  EntryEvents.report(Entry.getTraffic());
}

} // namespace

int main() {
  std::cout << "empty envelope: " << wire::encode(envelopeOf({})).size()
            << " bytes\n";
  measureCodec("place_task", makePlacement(1'000'000));
  measureCodec("task_ended", makeEnd(1'000'000));
  measureCodec("entry_heartbeat",
               entry_heartbeat{.ConfigurationRevision = 3'800,
                               .KnownEntriesDigest = 0xfedcba9876543210});
  measureCodec("companion_heartbeat",
               companion_heartbeat{.ConfigurationRevision = 3'800,
                                   .Load = makeLoad(),
                                   .Entries = 3});
  for (const int Outstanding : {1, 16, 256}) {
    measureRoundTrips(Outstanding);
  }
  return 0;
}
