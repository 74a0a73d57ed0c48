#include "common/platform/zone_evacuations.h"

#include <algorithm>
#include <utility>

namespace umberhold {

void ZoneEvacuations::onStarted(const std::string& zone, uint64_t version) {
  set(zone, {version, true});
}

void ZoneEvacuations::onEnded(const std::string& zone, uint64_t version) {
  set(zone, {version, false});
}

void ZoneEvacuations::onKnownUpTo(uint64_t version) {
  knownUpTo_ = std::max(knownUpTo_, version);
}

void ZoneEvacuations::onSnapshot(const EvacuatedZones& snapshot, uint64_t version) {
  if (version < knownUpTo_) {
    return;
  }
  knownUpTo_ = version;
  for (const std::string& zone : snapshot.zones) {
    set(zone, {version, true});
  }
  for (const auto& [zone, state] : zones_) {
    if (!snapshot.zones.contains(zone)) {
      set(zone, {version, false});
    }
  }
}

EvacuatedZones ZoneEvacuations::evacuated() const {
  EvacuatedZones evacuated;
  for (const auto& [zone, state] : zones_) {
    if (state.evacuated) {
      evacuated.zones.insert(zone);
    }
  }
  return evacuated;
}

bool ZoneEvacuations::takeChange() {
  return std::exchange(changed_, false);
}

void ZoneEvacuations::set(const std::string& zone, State state) {
  State& known = zones_[zone];
  if (state.version < known.version) {
    return;
  }
  changed_ = changed_ || known.evacuated != state.evacuated;
  known = state;
}

}  // namespace umberhold
