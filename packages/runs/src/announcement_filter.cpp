#include <crocuswood/runs.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace crocuswood::runs {

namespace {

/// Other writers may announce any number of lives, and any number of things in
/// the name of one.
constexpr std::size_t MaxHeld = 8;
/// Endpoints announce themselves every 1.5 s, and sooner if nobody confirms it.
/// Both bounds are met before an endpoint counts as silent, after 5 s.
constexpr duration RepeatTime = std::chrono::seconds(3);
constexpr std::uint32_t RepeatCount = 3;

using announcement = companion::endpoint_announcement;

/// Whether both can be of one endpoint, some time apart.
bool agree(const announcement &Left, const announcement &Right) {
  return Left.Name == Right.Name && Left.Address == Right.Address &&
         Left.Offer.Classes == Right.Offer.Classes;
}

} // namespace

announcement_filter::verdict
announcement_filter::take(announcement Announcement, instant Now) {
  if (!ListedLife || Announcement.Life != *ListedLife) {
    std::string Reason =
        "held until the endpoint lists its runs in life " + Announcement.Life;
    hold(std::move(Announcement));
    return rejection{.Reason = std::move(Reason), .IsHeld = true};
  }
  if (getLatest() != nullptr) {
    std::string Reason = findContradiction(Announcement);
    if (!Reason.empty() && !challenge(Announcement, Now)) {
      return rejection{.Reason = std::move(Reason)};
    }
  }
  accept(std::move(Announcement), Now);
  return *Latest;
}

void announcement_filter::accept(announcement Announcement, instant Now) {
  Latest = std::move(Announcement);
  LatestAt = Now;
  std::erase_if(Rivals, [this](const rival &Each) {
    return agree(Each.Latest, *Latest);
  });
}

const announcement *announcement_filter::getLatest() const {
  return Latest && ListedLife && Latest->Life == *ListedLife ? &*Latest
                                                             : nullptr;
}

std::string
announcement_filter::findContradiction(const announcement &Announcement) const {
  if (Announcement.Name != Latest->Name) {
    return "this life has announced itself as " + Latest->Name;
  }
  if (!agree(Announcement, *Latest)) {
    return "this life has announced another address or other classes";
  }
  if (Announcement.Sequence <= Latest->Sequence) {
    return "it comes after a newer one of its life";
  }
  return {};
}

bool announcement_filter::isConfigured(const announcement &Announcement) const {
  return Pools.empty() || std::ranges::any_of(Announcement.Offer.Classes,
                                              [this](const std::string &Each) {
                                                return Pools.contains(Each);
                                              });
}

bool announcement_filter::challenge(const announcement &Announcement,
                                    instant Now) {
  auto Place = std::ranges::find_if(Rivals, [&](const rival &Each) {
    return agree(Each.Latest, Announcement);
  });
  if (Place == Rivals.end()) {
    Rivals.push_back({.Latest = Announcement});
    if (Rivals.size() > MaxHeld) {
      Rivals.pop_front();
    }
    Place = std::prev(Rivals.end());
  } else {
    // One that doesn't rise begins anew: the greater one may be the odd one.
    const bool Rises = Announcement.Sequence > Place->Latest.Sequence;
    Place->Count = Rises ? Place->Count + 1 : 1;
    Place->Latest = Announcement;
  }
  return mayReplace(*Place, Now);
}

bool announcement_filter::mayReplace(const rival &Rival, instant Now) const {
  if (isConfigured(Rival.Latest) != isConfigured(*Latest)) {
    return isConfigured(Rival.Latest);
  }
  // Late ones of before an endpoint began to leave don't call it back.
  const bool CallsBack = agree(Rival.Latest, *Latest) &&
                         Latest->Offer.State != endpoint_state::Serving &&
                         Rival.Latest.Offer.State == endpoint_state::Serving;
  return !CallsBack && Rival.Count >= RepeatCount &&
         Now - LatestAt >= RepeatTime;
}

void announcement_filter::hold(announcement Announcement) {
  const auto Known = std::ranges::find_if(Held, [&](const auto &Each) {
    return Each.Life == Announcement.Life && agree(Each, Announcement);
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

void announcement_filter::noteListed(const std::string &Life, instant Now) {
  if (ListedLife == Life) {
    return;
  }
  ListedLife = Life;
  Rivals.clear();
  const auto Own = std::stable_partition(
      Held.begin(), Held.end(),
      [&](const announcement &Each) { return Each.Life != Life; });
  const std::vector<announcement> Taken(Own, Held.end());
  Held.erase(Own, Held.end());
  for (const announcement &Each : Taken) {
    take(Each, Now);
  }
}

bool announcement_filter::setPools(std::set<std::string> Names, instant Now) {
  Pools = std::move(Names);
  if (getLatest() == nullptr || isConfigured(*Latest)) {
    return false;
  }
  const auto Place = std::ranges::find_if(
      Rivals, [this](const rival &Each) { return isConfigured(Each.Latest); });
  if (Place == Rivals.end()) {
    return false;
  }
  accept(announcement(Place->Latest), Now);
  return true;
}

announcement_filter::verdict
announcement_filter::takeLeave(const std::string &Name,
                               const std::string &Life) {
  if (getLatest() == nullptr || Name != Latest->Name) {
    return rejection{.Reason = "the endpoint does not go by this name"};
  }
  if (!Life.empty() && Life != Latest->Life) {
    return rejection{.Reason = "life " + Life + " is over"};
  }
  Latest->Offer.State = endpoint_state::Absent;
  return *Latest;
}

} // namespace crocuswood::runs
