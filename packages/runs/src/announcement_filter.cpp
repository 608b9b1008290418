#include <crocuswood/runs.h>

#include <algorithm>
#include <utility>

namespace crocuswood::runs {

namespace {

/// Other writers may announce any number of lives.
constexpr std::size_t MaxHeld = 8;

} // namespace

announcement_filter::verdict
announcement_filter::take(companion::endpoint_announcement Announcement) {
  if (!ListedLife || Announcement.Life != *ListedLife) {
    std::string Reason =
        "held until the endpoint lists its runs in life " + Announcement.Life;
    hold(std::move(Announcement));
    return Reason;
  }
  if (getLatest() != nullptr) {
    if (std::string Reason = findContradiction(Announcement); !Reason.empty()) {
      return Reason;
    }
  }
  Latest = std::move(Announcement);
  return *Latest;
}

const companion::endpoint_announcement *announcement_filter::getLatest() const {
  return Latest && ListedLife && Latest->Life == *ListedLife ? &*Latest
                                                             : nullptr;
}

std::string announcement_filter::findContradiction(
    const companion::endpoint_announcement &Announcement) const {
  if (Announcement.Name != Latest->Name) {
    return "this life has announced itself as " + Latest->Name;
  }
  if (Announcement.Address != Latest->Address ||
      Announcement.Offer.Classes != Latest->Offer.Classes) {
    return "this life has announced another address or other classes";
  }
  if (Announcement.Sequence <= Latest->Sequence) {
    return "it comes after a newer one of its life";
  }
  return {};
}

void announcement_filter::hold(companion::endpoint_announcement Announcement) {
  const auto Known = std::ranges::find_if(Held, [&](const auto &Each) {
    return Each.Life == Announcement.Life && Each.Name == Announcement.Name;
  });
  if (Known != Held.end()) {
    if (Known->Sequence >= Announcement.Sequence) {
      return;
    }
    Held.erase(Known);
  }
  Held.push_back(std::move(Announcement));
  if (Held.size() > MaxHeld) {
    Held.pop_front();
  }
}

void announcement_filter::noteListed(const std::string &Life) {
  if (ListedLife == Life) {
    return;
  }
  ListedLife = Life;
  const auto Own =
      std::ranges::find(Held, Life, &companion::endpoint_announcement::Life);
  if (Own != Held.end()) {
    Latest = std::move(*Own);
    Held.erase(Own);
  }
}

announcement_filter::verdict
announcement_filter::takeLeave(const std::string &Name) {
  if (getLatest() == nullptr || Name != Latest->Name) {
    return "the endpoint does not go by this name";
  }
  Latest->Offer.State = endpoint_state::Absent;
  return *Latest;
}

} // namespace crocuswood::runs
