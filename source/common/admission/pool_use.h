/** @file A node's use of a pool, and the latency of the pool's hosts. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "common/admission/requests_under_way.h"
#include "common/base/time.h"

namespace umberhold {

/** Exponential moving average over about the last eight samples; expires without new samples. Not
 * thread safe.
 */
class RecentAverage {
 public:
  void add(TimePoint now, Duration sample) {
    const auto previous = value(now);
    value_ = previous ? *previous + (sample - *previous) / kSamples : sample;
    at_ = now;
  }
  std::optional<Duration> value(TimePoint now) const {
    return at_ && now - *at_ < kExpiry ? std::optional(value_) : std::nullopt;
  }

 private:
  static constexpr int kSamples = 8;
  /** Hosts' queues empty within a second, so older samples are no evidence about them. */
  static constexpr Duration kExpiry = std::chrono::seconds(2);

  Duration value_{0};
  std::optional<TimePoint> at_;
};

/** A request that ended at a host, or has been waiting for an excessive time. */
struct EndedRequest {
  /** Service::priority. */
  uint32_t priority = 0;
  /** Time at the host. */
  Duration took{0};
  /** Usual time of the service's requests; 0: not known. */
  Duration usual{0};
  /** It was the first request on its flow. */
  bool opened = false;
};

/** Use of one pool. Not thread safe. */
class PoolUse {
 public:
  void onEnded(TimePoint now, const EndedRequest& request);
  /** @return requests under way on flows that have already received an answer. */
  double onOpenFlows(TimePoint now) const;
  /** @return the same for services that are at least as urgent. */
  double onOpenFlows(TimePoint now, uint32_t priority) const;
  /** @return all requests under way, as observed by this node. */
  double underWay(TimePoint now) const;
  /** @return requests under way of services that are more urgent. */
  double underWayMoreUrgent(TimePoint now, uint32_t priority) const;
  /** @return whether more urgent services use enough of the pool for services of this priority to
   * yield to them. */
  bool yields(TimePoint now, uint32_t priority) const;
  /** @return usual time of a request, averaged over the services that use the pool; 0: not known.
   */
  Duration serviceTime(TimePoint now) const {
    return serviceTime_.value(now).value_or(Duration{0});
  }

 private:
  struct Level {
    RequestsUnderWay requests;
    RequestsUnderWay onOpenFlows;
  };

  std::map<uint32_t, Level> levels_;
  RecentAverage serviceTime_;
};

}  // namespace umberhold
