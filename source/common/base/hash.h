/** @file Hash functions based on xxHash. All nodes must compute the same values, so the seeds are
 * fixed. */
#pragma once

#include <cstdint>
#include <string_view>

#include "common/base/strong_id.h"

namespace umberhold {

/** @return xxHash64 of the bytes with the project's fixed seed. */
uint64_t hashBytes(std::string_view bytes);

/** @return a well-mixed 64-bit combination of two values; cheap enough for every rendezvous
 * candidate. */
constexpr uint64_t mixHash(uint64_t left, uint64_t right) {
  // Finalizer of SplitMix64 (Steele, Lea, Flood: "Fast splittable pseudorandom number generators").
  uint64_t mixed = left ^ (right + 0x9E3779B97F4A7C15ULL + (left << 6U) + (left >> 2U));
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31U);
}

/** @return the identifier of a zone name. */
ZoneId zoneIdOf(std::string_view name);
/** @return the identifier of a region name. */
RegionId regionIdOf(std::string_view name);
/** @return the identifier of a service name. */
ServiceId serviceIdOf(std::string_view name);
/** @return the identifier of a host within a service. */
HostId hostIdOf(ServiceId service, std::string_view hostName);

}  // namespace umberhold
