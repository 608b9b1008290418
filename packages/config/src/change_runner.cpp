#include <crocuswood/config.h>

#include <utility>

namespace crocuswood::config {

change_runner::change_runner(change Change, std::uint32_t MaxAttempts)
    : Change(std::move(Change)), AttemptsLeft(MaxAttempts) {}

change_step change_runner::start() { return readAgain(); }

change_step change_runner::next(const change_event &Event) {
  if (const auto *Head = std::get_if<head_read>(&Event)) {
    return decide(*Head);
  }
  if (std::holds_alternative<write_done>(Event)) {
    return change_accepted{std::move(Pending)};
  }
  if (std::holds_alternative<write_unknown>(Event)) {
    MayHaveWritten = true;
    return readAgain();
  }
  if (std::holds_alternative<write_conflict>(Event)) {
    return readAgain();
  }
  if (std::holds_alternative<head_read_failed>(Event) && MayHaveWritten) {
    return readAgain();
  }
  return change_unavailable{.Certain = !MayHaveWritten};
}

change_step change_runner::readAgain() {
  if (AttemptsLeft == 0) {
    return change_unavailable{.Certain = !MayHaveWritten};
  }
  --AttemptsLeft;
  return read_head{};
}

change_step change_runner::decide(const head_read &Head) {
  const configuration &Current = Head.Configuration;
  if (!Change.Id.empty() && Current.ChangeId == Change.Id) {
    return change_accepted{Current};
  }
  if (MayHaveWritten && Current.Revision > Pending.Revision) {
    // Others have changed the head since. Whether this change was among those
    // before theirs can't be seen, and a repetition might undo theirs.
    return change_unavailable{.Certain = false};
  }
  if (MayHaveWritten && Current.Revision == Pending.Revision) {
    // Another change took the place, so this one can't take effect any more.
    MayHaveWritten = false;
  }
  if (!MayHaveWritten && Change.ExpectedRevision &&
      *Change.ExpectedRevision != Current.Revision) {
    return change_conflict{.CurrentRevision = Current.Revision};
  }
  auto Applied = apply(Current, Change);
  if (auto *Faults = std::get_if<findings>(&Applied)) {
    return change_invalid{std::move(*Faults)};
  }
  Pending = std::get<configuration>(std::move(Applied));
  return write_head{.Configuration = Pending, .Version = Head.Version};
}

} // namespace crocuswood::config
