/** @file Checks the guarantees for callers under hard load. No I/O, no clock. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "common/base/time.h"
#include "test/soak/world/promises.h"

namespace umberhold::soak {

/** Bounds under hard load. */
struct LoadBounds {
  /**
   * Maximum time in which no request of a service is served while another service of the same pool
   * is served. Callers give up a request after 3 s, so two consecutive ones may be lost.
   */
  Duration maxStarvation = std::chrono::seconds(6);
  /** Minimum number of ended requests for a result; for starvation, of either service. */
  uint32_t minEndedRequests = 10;
  /**
   * Maximum openings per second at a host at its flow limit: each of ten nodes may have one in
   * flight that the others have not been notified of.
   */
  uint32_t maxOpeningsToFullHost = 10;
  /** Maximum recovery time after capacity is restored: hosts register, nodes detect them within the
   * bound for changes (3 s), and earlier requests end. */
  Duration maxRecoveryTime = std::chrono::seconds(6);
  /** Requests that begin within this time after the recovery are evaluated. */
  Duration evaluationTime = std::chrono::seconds(2);
  /** Minimum share of the evaluated requests that must be served. */
  double minServedShare = 0.95;
};

/** See the file comment. Not thread safe. */
class LoadWatch {
 public:
  /** @param promises borrowed. */
  LoadWatch(LoadBounds bounds, ViolationRecord& promises) : bounds_(bounds), promises_(promises) {}

  /** Records the end of a request of a service whose hosts are in the pool. */
  void onEnded(TimePoint now, const std::string& pool, const std::string& service,
               TimePoint startedAt, bool served);
  /** Records an opening at a host at its flow limit. */
  void onFull(TimePoint now, const std::string& host);
  /** Records the end of a capacity shortage. */
  void onCapacityRestored(TimePoint now);
  /** Records the start of a capacity shortage; a pending recovery is not evaluated. */
  void onCapacityReduced() { capacityRestoredAt_.reset(); }
  /** Evaluates the recovery when its time is over. @param allSettled whether no target is
   * disturbed; a disturbed recovery is not evaluated. */
  void tick(TimePoint now, bool allSettled);

  /** @return the maximum time for which a service was starved. */
  Duration longestStarvation() const { return longestStarvation_; }
  uint64_t recoveriesEvaluated() const { return recoveriesEvaluated_; }

 private:
  /** Counts since a service was last served. */
  struct Starvation {
    std::optional<TimePoint> since;
    uint32_t unserved = 0;
    uint32_t othersServed = 0;
  };
  struct RequestCounts {
    uint32_t all = 0;
    uint32_t served = 0;
  };

  const LoadBounds bounds_;
  ViolationRecord& promises_;
  /** By pool and service. */
  std::map<std::string, std::map<std::string, Starvation>> starvation_;
  Duration longestStarvation_{0};
  std::map<std::string, std::deque<TimePoint>> openingsAtFullHost_;
  std::optional<TimePoint> capacityRestoredAt_;
  RequestCounts requestsAfterRecovery_;
  uint64_t recoveriesEvaluated_ = 0;
};

}  // namespace umberhold::soak
