/** @file What a node's callers use of a pool, and how long its hosts take. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "common/admission/requests_under_way.h"
#include "common/base/time.h"

namespace umberhold {

/** A time that follows about the last eight samples and is forgotten when none comes. Not thread
 * safe.
 */
class TimeOfLate {
 public:
  void add(TimePoint now, Duration sample) {
    const auto before = value(now);
    value_ = before ? *before + (sample - *before) / kSamples : sample;
    at_ = now;
  }
  std::optional<Duration> value(TimePoint now) const {
    return at_ && now - *at_ < kMemory ? std::optional(value_) : std::nullopt;
  }

 private:
  static constexpr int kSamples = 8;
  /** What hosts did longer ago says nothing of their queues, which empty within a second. */
  static constexpr Duration kMemory = std::chrono::seconds(2);

  Duration value_{0};
  std::optional<TimePoint> at_;
};

/** One request that ended at a host, or waits beyond all measure. */
struct EndedRequest {
  /** Service::priority. */
  uint32_t priority = 0;
  /** Time at the host. */
  Duration took{0};
  /** What the service's requests usually take; 0: not known. */
  Duration usual{0};
  /** It was the first on its flow. */
  bool opened = false;
};

/** One pool's. Not thread safe. */
class PoolUse {
 public:
  void onEnded(TimePoint now, const EndedRequest& request);
  /** @return requests under way on flows that have had an answer. */
  double onOpenFlows(TimePoint now) const;
  /** @return those of services that are as urgent or more. */
  double onOpenFlows(TimePoint now, uint32_t priority) const;
  /** @return all that are under way, at this node's measure. */
  double underWay(TimePoint now) const;
  /** @return those of services that are more urgent. */
  double moreUrgent(TimePoint now, uint32_t priority) const;
  /** @return whether more urgent services use enough of the pool for others to yield to them. */
  bool yields(TimePoint now, uint32_t priority) const;
  /** @return what a request usually takes, over the services that use the pool; 0: not known. */
  Duration work(TimePoint now) const { return work_.value(now).value_or(Duration{0}); }

 private:
  struct Level {
    RequestsUnderWay requests;
    RequestsUnderWay onOpenFlows;
  };

  std::map<uint32_t, Level> levels_;
  TimeOfLate work_;
};

}  // namespace umberhold
