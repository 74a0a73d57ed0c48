/**
 * @file Detects zones whose hosts of a pool become silent together, as seen by one node.
 *
 * A zone that loses power or is shut down at once takes all its hosts with it. Detecting each host
 * separately costs several openings per host. After a few hosts without any answer in between, the
 * node therefore treats the whole zone as silent for a short time, until one of its hosts answers.
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
  /**
   * Records that a host left an opening or data unanswered.
   * @param host its flow token.
   */
  void onUnanswered(TimePoint now, const std::string& pool, const std::string& zone, uint32_t host);
  /** Records an answer of a host of the zone. */
  void onAnswered(const std::string& pool, const std::string& zone);
  bool isSilent(TimePoint now, std::string_view pool, std::string_view zone) const;
  /** @return whether no zone has any recorded silence. */
  bool isEmpty() const { return pools_.empty(); }

 private:
  /**
   * Distinct hosts without any answer in between after which the zone counts as silent. If one of
   * four hosts is down, three in a row occur in one of 64 cases, and the cost is small.
   */
  static constexpr size_t kMinSilentHosts = 3;
  /** Maximum time between the first and the last of them. */
  static constexpr Duration kWindow = std::chrono::seconds(2);
  /** How long a zone is skipped before it is retried; doubles with each failed retry. */
  static constexpr Duration kInitialDuration = std::chrono::milliseconds(500);
  static constexpr Duration kMaxDuration = std::chrono::seconds(2);

  struct Zone {
    /** Tokens of hosts that left something unanswered since the zone's last answer. */
    std::set<uint32_t> hosts;
    TimePoint firstSilentAt{};
    TimePoint silentUntil{};
    Duration nextDuration = kInitialDuration;
  };

  std::map<std::string, std::map<std::string, Zone, std::less<>>, std::less<>> pools_;
};

}  // namespace umberhold
