#include <crocuswood/memory_budget.h>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <string_view>

namespace crocuswood::http {

namespace {

constexpr std::uint64_t ReserveShare = 8;
// The rest is for the program, its jobs and its timeline, and for what the
// allocator can't give back.
constexpr std::uint64_t MachineShare = 4;
// A body of 8 MB, the largest by default, may take twice its size while it
// grows by chunks.
constexpr std::uint64_t LeastDefaultBudget = 24ULL * 1024 * 1024;
// In a container the system reports the memory of the host.
constexpr std::uint64_t GreatestDefaultBudget = 256ULL * 1024 * 1024;
constexpr std::uint64_t BytesPerKilobyte = 1'024;

} // namespace

const char *toString(buffer_kind Kind) {
  switch (Kind) {
  case buffer_kind::Input:
    return "input";
  case buffer_kind::Body:
    return "body";
  case buffer_kind::Request:
    return "request";
  case buffer_kind::Answer:
    return "answer";
  case buffer_kind::Document:
    break;
  }
  return "document";
}

const char *toString(budget_cause Cause) {
  switch (Cause) {
  case budget_cause::Dropped:
    return "dropped";
  case budget_cause::Refused:
    return "refused";
  case budget_cause::Slow:
    return "slow";
  case budget_cause::Late:
    return "late";
  case budget_cause::Displaced:
    return "displaced";
  case budget_cause::Excess:
    break;
  }
  return "excess";
}

budget_options makeBudgetOptions(std::uint64_t Capacity) {
  return {.Capacity = Capacity, .Reserve = Capacity / ReserveShare};
}

std::uint64_t defaultBudget(std::uint64_t MachineBytes) {
  return std::clamp(MachineBytes / MachineShare, LeastDefaultBudget,
                    GreatestDefaultBudget);
}

std::optional<std::uint64_t> parseMemTotal(const std::string &Text) {
  constexpr std::string_view Key = "MemTotal:";
  const std::size_t Place = Text.find(Key);
  if (Place == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t First = Text.find_first_not_of(' ', Place + Key.size());
  if (First == std::string::npos) {
    return std::nullopt;
  }
  std::uint64_t Kilobytes = 0;
  const auto [Rest, Error] = std::from_chars(
      Text.data() + First, Text.data() + Text.size(), Kilobytes);
  if (Error != std::errc() || Kilobytes > UINT64_MAX / BytesPerKilobyte) {
    return std::nullopt;
  }
  return Kilobytes * BytesPerKilobyte;
}

memory_budget::holder_id memory_budget::open(const std::string &Peer) {
  const auto Place = Peers.try_emplace(Peer).first;
  ++Place->second.Holders;
  Holders.emplace(++LastHolder, holder{.Peer = Place});
  return LastHolder;
}

void memory_budget::close(holder_id Holder) {
  const auto Found = Holders.find(Holder);
  if (Found == Holders.end()) {
    return;
  }
  set(Holder, {}, false);
  const auto Peer = Found->second.Peer;
  Holders.erase(Found);
  if (--Peer->second.Holders == 0) {
    Peers.erase(Peer);
  }
}

void memory_budget::set(holder_id Holder, const buffer_sizes &Held,
                        bool Unfinished) {
  const auto Found = Holders.find(Holder);
  if (Found == Holders.end()) {
    return;
  }
  holder &Target = Found->second;
  const std::uint64_t Bytes =
      std::accumulate(Held.begin(), Held.end(), std::uint64_t{0});
  for (std::size_t Kind = 0; Kind < BufferKinds; ++Kind) {
    Figures.Held[Kind] += Held[Kind] - Target.Held[Kind];
  }
  Used += Bytes - Target.Bytes;
  Target.Peer->second.Bytes += Bytes - Target.Bytes;
  Target.Held = Held;
  Target.Bytes = Bytes;
  if (!Unfinished) {
    Target.Began = 0;
    Target.Chosen = false;
  } else if (Target.Began == 0) {
    Target.Began = ++LastBegan;
  }
  Figures.Peak = std::max(Figures.Peak, Used);
}

bool memory_budget::isOrdinary(const holder &Holder) const {
  constexpr auto Input = static_cast<std::size_t>(buffer_kind::Input);
  constexpr auto Body = static_cast<std::size_t>(buffer_kind::Body);
  return Holder.Held[Input] + Holder.Held[Body] <= Options.OrdinaryBytes;
}

std::optional<memory_budget::holder_id>
memory_budget::choose(bool Ordinary) const {
  const holder *Best = nullptr;
  std::optional<holder_id> Result;
  for (const auto &[Id, Holder] : Holders) {
    if (Holder.Began == 0 || Holder.Chosen || isOrdinary(Holder) != Ordinary) {
      continue;
    }
    const std::uint64_t PeerBytes = Holder.Peer->second.Bytes;
    const bool IsBetter =
        Best == nullptr || PeerBytes > Best->Peer->second.Bytes ||
        (PeerBytes == Best->Peer->second.Bytes &&
         (Ordinary ? Holder.Began < Best->Began : Holder.Began > Best->Began));
    if (IsBetter) {
      Best = &Holder;
      Result = Id;
    }
  }
  return Result;
}

std::optional<memory_budget::holder_id> memory_budget::takeVictim() {
  if (Used <= Options.Capacity - Options.Reserve) {
    return std::nullopt;
  }
  std::optional<holder_id> Victim = choose(false);
  if (!Victim && Used > Options.Capacity) {
    Victim = choose(true);
  }
  if (Victim) {
    Holders.at(*Victim).Chosen = true;
  }
  return Victim;
}

void memory_budget::addDocument(std::uint64_t Bytes) {
  Figures.Held[static_cast<std::size_t>(buffer_kind::Document)] += Bytes;
  Used += Bytes;
  Figures.Peak = std::max(Figures.Peak, Used);
}

void memory_budget::removeDocument(std::uint64_t Bytes) {
  Figures.Held[static_cast<std::size_t>(buffer_kind::Document)] -= Bytes;
  Used -= Bytes;
}

bool memory_budget::admits(std::uint64_t Bytes) const {
  const std::uint64_t Bound = Bytes <= Options.OrdinaryBytes
                                  ? Options.Capacity
                                  : Options.Capacity - Options.Reserve;
  return Used <= Bound;
}

budget_figures memory_budget::getFigures() const {
  budget_figures Result = Figures;
  Result.Capacity = Options.Capacity;
  return Result;
}

} // namespace crocuswood::http
