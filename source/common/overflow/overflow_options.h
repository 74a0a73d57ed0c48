/** @file When an opening may overflow from its part of a traffic split to another part. */
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace umberhold {

/** Services whose openings may overflow. */
enum class OverflowMode : uint8_t {
  /** None: weights are kept regardless of load. */
  kOff,
  /** Every service whose traffic is split. */
  kByRoom,
  /** Services whose requests may run twice. */
  kRepeatable,
};

/** @return the name of the mode in the settings. */
std::string_view toString(OverflowMode mode);
/** @return the mode with that name, or nullopt. */
std::optional<OverflowMode> parseOverflowMode(std::string_view name);

/** See SplitOverflow. */
struct OverflowOptions {
  OverflowMode mode = OverflowMode::kOff;
  /**
   * Maximum fraction of the split's new flows that a part may get beyond its weight, 0 to 1; 1:
   * limited only by room. A share that differs from its weight by 0.2 counts as a wrong split; the
   * difference to 0.2 is a margin for random variation and for flows that carry more requests than
   * others. Over the first 200 flows of a shortage at 59 nodes, the fraction has a standard
   * deviation of 0.015 (4,000 draws); the maximum was 0.175 with 0.1, and 0.205 with 0.15.
   */
  double maxPart = 0.1;

  bool operator==(const OverflowOptions&) const = default;

  /** @param repeatable whether the service's requests may run twice. */
  bool appliesTo(bool repeatable) const {
    return mode == OverflowMode::kByRoom || (mode == OverflowMode::kRepeatable && repeatable);
  }
};

}  // namespace umberhold
