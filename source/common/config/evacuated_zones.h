/** @file The zones that operators have evacuated: their hosts receive no new flows. */
#pragma once

#include <set>
#include <string>

namespace umberhold {

/** Zones whose hosts receive no new flows; their established flows continue. */
struct EvacuatedZones {
  std::set<std::string, std::less<>> zones;

  bool operator==(const EvacuatedZones&) const = default;
};

}  // namespace umberhold
