/// \file
/// Public header of the package evacuation: which availability zones are
/// evacuated, and which of two views of that is newer.
///
/// It has no sockets, clocks, threads, random source or logging.
#pragma once

#include <crocuswood/model.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace crocuswood::evacuation {

/// Zones beyond this number are left out, so that neither a store full of rows
/// nor a peer makes states and messages grow without bound.
constexpr std::size_t MaxZones = 256;
constexpr std::size_t MaxZoneNameBytes = 128;

/// The evacuated zones as of one version of the store.
struct state {
  /// Of the store at the read; 0 if nothing was read yet.
  std::uint64_t Version = 0;
  std::map<std::string, std::uint64_t> Zones; ///< With the version of each row.

  bool isEvacuated(const std::string &Zone) const {
    return !Zones.empty() && Zones.contains(Zone);
  }
  bool isKnown() const { return Version > 0 || !Zones.empty(); }

  friend bool operator==(const state &, const state &) = default;
};

/// What became of a state that was offered.
enum class verdict {
  Unchanged, ///< The zones and their rows are the same.
  Changed,   ///< It is newer and is held now.
  Outdated,  ///< It is older and differs; who told it lacks the one held.
};

/// Replaces \p Held by \p Told if that is newer. Of two states of one version
/// the one held stays.
verdict merge(state &Held, state Told);

/// \returns whether \p Name may be the name of a zone.
bool isZoneName(std::string_view Name);

/// Adds a zone to \p State. \returns false if its name is unusable or there are
/// MaxZones already.
bool addZone(state &State, const std::string &Zone, std::uint64_t RowVersion);

evacuation_update toMessage(const state &State);
/// Leaves out what addZone() refuses.
state fromMessage(const evacuation_update &Message);

/// \returns zones, rows and version for people.
std::string describe(const state &State);

} // namespace crocuswood::evacuation
