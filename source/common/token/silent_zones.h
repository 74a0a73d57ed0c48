/**
 * @file Zones whose hosts of a pool fall silent together, as one node sees it.
 *
 * A zone that loses power, or is emptied at once, takes all its hosts along. Finding each of them
 * out costs openings at each; after a few of them without a sign of life in between, the node takes
 * the zone as a whole for silent, for a short while, until some host of it answers.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "common/base/time.h"

namespace umberhold {

/** Not thread safe. */
class SilentZones {
 public:
  /** A host left an opening or data unanswered. @param host its flow token. */
  void onUnanswered(TimePoint now, const std::string& pool, const std::string& zone, uint32_t host);
  /** A host of the zone answered. */
  void onAnswered(const std::string& pool, const std::string& zone);
  bool isSilent(TimePoint now, std::string_view pool, std::string_view zone) const;
  /** @return whether there is nothing to ask or to take back. */
  bool isEmpty() const { return pools_.empty(); }

 private:
  /** Different hosts without a sign of life in between, after which the zone counts as silent. One
   * of four hosts down gives three in a row in one of 64 cases, and costs little then. */
  static constexpr size_t kMinSilentHosts = 3;
  /** All of them within this time. */
  static constexpr Duration kWindow = std::chrono::seconds(2);
  /** How long a zone is passed over before it is tried again; doubles with each try in vain. */
  static constexpr Duration kInitialDuration = std::chrono::milliseconds(500);
  static constexpr Duration kMaxDuration = std::chrono::seconds(2);

  struct Zone {
    /** Tokens of hosts that left something unanswered since the zone's last sign of life. */
    std::set<uint32_t> hosts;
    TimePoint firstSilentAt{};
    TimePoint silentUntil{};
    Duration nextDuration = kInitialDuration;
  };

  std::map<std::string, std::map<std::string, Zone, std::less<>>, std::less<>> pools_;
};

}  // namespace umberhold
