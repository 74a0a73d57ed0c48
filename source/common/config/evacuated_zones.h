/** @file The zones that operators have emptied: their hosts get no new flow. */
#pragma once

#include <set>
#include <string>

namespace umberhold {

/** Open flows of these zones' hosts go on. */
struct EvacuatedZones {
  std::set<std::string, std::less<>> zones;

  bool operator==(const EvacuatedZones&) const = default;
};

}  // namespace umberhold
