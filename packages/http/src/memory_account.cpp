#include <crocuswood/memory_budget.h>

#include <chrono>
#include <sstream>
#include <utility>

namespace crocuswood::http {

namespace {

constexpr std::int64_t ReportMilliseconds = 1'000;

std::int64_t nowMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

} // namespace

memory_account::memory_account(budget_options Options, report Report)
    : Budget(Options), Report(std::move(Report)) {}

memory_account::holder_id memory_account::open(const std::string &Peer,
                                               drop Drop) {
  const std::lock_guard Lock(Mutex);
  const holder_id Holder = Budget.open(Peer);
  Drops.emplace(Holder, std::make_shared<drop>(std::move(Drop)));
  return Holder;
}

void memory_account::close(holder_id Holder) {
  const std::lock_guard Lock(Mutex);
  Budget.close(Holder);
  Drops.erase(Holder);
}

void memory_account::set(holder_id Holder, const buffer_sizes &Held,
                         bool Unfinished) {
  const std::lock_guard Lock(Mutex);
  Budget.set(Holder, Held, Unfinished);
}

void memory_account::relieve() {
  while (true) {
    std::shared_ptr<drop> Drop;
    {
      const std::lock_guard Lock(Mutex);
      const auto Victim = Budget.takeVictim();
      if (!Victim) {
        return;
      }
      Drop = Drops.at(*Victim);
    }
    // Called without the lock, as it changes what its connection holds.
    (*Drop)();
  }
}

bool memory_account::admits(std::uint64_t Bytes) {
  const std::lock_guard Lock(Mutex);
  return Budget.admits(Bytes);
}

bool memory_account::addDocument(std::uint64_t Bytes, std::uint64_t TextBytes) {
  {
    const std::lock_guard Lock(Mutex);
    Budget.addDocument(Bytes);
    if (Budget.admits(TextBytes)) {
      return true;
    }
  }
  relieve();
  const std::lock_guard Lock(Mutex);
  if (Budget.admits(TextBytes)) {
    return true;
  }
  Budget.removeDocument(Bytes);
  Budget.count(budget_cause::Refused);
  return false;
}

void memory_account::removeDocument(std::uint64_t Bytes) {
  const std::lock_guard Lock(Mutex);
  Budget.removeDocument(Bytes);
}

bool memory_account::isShort() const {
  const std::lock_guard Lock(Mutex);
  return Budget.isShort();
}

void memory_account::count(budget_cause Cause) {
  const std::lock_guard Lock(Mutex);
  Budget.count(Cause);
}

budget_figures memory_account::getFigures() const {
  const std::lock_guard Lock(Mutex);
  return Budget.getFigures();
}

void memory_account::reportSoon() {
  std::ostringstream Line;
  {
    const std::lock_guard Lock(Mutex);
    const budget_figures Figures = Budget.getFigures();
    const std::int64_t Now = nowMilliseconds();
    if (!Report || Figures.Counts == Reported ||
        Now - LastReportMilliseconds < ReportMilliseconds) {
      return;
    }
    Line << "Requests or connections of peers were closed:";
    for (std::size_t Cause = 0; Cause < BudgetCauses; ++Cause) {
      Line << ' ' << Figures.Counts[Cause] - Reported[Cause] << ' '
           << toString(static_cast<budget_cause>(Cause)) << ',';
    }
    std::uint64_t Held = 0;
    for (const std::uint64_t Bytes : Figures.Held) {
      Held += Bytes;
    }
    Line << " with " << Held << " of " << Figures.Capacity << " bytes held.";
    Reported = Figures.Counts;
    LastReportMilliseconds = Now;
  }
  Report(Line.str());
}

std::string writeMetrics(const budget_figures &Figures) {
  std::ostringstream Out;
  Out << "# TYPE crocuswood_client_memory_bytes gauge\n";
  for (std::size_t Kind = 0; Kind < BufferKinds; ++Kind) {
    Out << "crocuswood_client_memory_bytes{kind=\""
        << toString(static_cast<buffer_kind>(Kind)) << "\"} "
        << Figures.Held[Kind] << '\n';
  }
  Out << "# TYPE crocuswood_client_memory_limit_bytes gauge\n"
      << "crocuswood_client_memory_limit_bytes " << Figures.Capacity << '\n'
      << "# TYPE crocuswood_client_memory_peak_bytes gauge\n"
      << "crocuswood_client_memory_peak_bytes " << Figures.Peak << '\n'
      << "# TYPE crocuswood_client_closed_total counter\n";
  for (std::size_t Cause = 0; Cause < BudgetCauses; ++Cause) {
    Out << "crocuswood_client_closed_total{cause=\""
        << toString(static_cast<budget_cause>(Cause)) << "\"} "
        << Figures.Counts[Cause] << '\n';
  }
  return Out.str();
}

} // namespace crocuswood::http
