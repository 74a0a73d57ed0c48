/**
 * @file Decides which seed a node contacts when it starts while the store is unresponsive, and
 * when.
 *
 * Seeds are contacted in turn, one with each probe of the store, so that a start during an outage
 * puts no more load on other machines than on the store. A seed that has to prepare its answer
 * first is contacted again when the answer should be ready. Pure decision logic without I/O.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "common/base/time.h"

namespace umberhold {

/** Schedules requests to seeds. Not thread safe. */
class SeedRequests {
 public:
  /**
   * Delay before the next request to a seed that prepares its answer: encoding 10,000 hosts takes
   * 28 ms of CPU time (host_state_benchmark).
   */
  static constexpr Duration kPreparation = std::chrono::milliseconds(50);

  /** @return the index of the seed to contact; the caller takes it modulo the number of seeds. */
  size_t seed() const { return seed_; }
  /** @param nextProbe time of the next probe of the store. */
  bool isDue(TimePoint now, TimePoint nextProbe) const {
    return now >= std::min(nextProbe, preparedAt_.value_or(nextProbe));
  }
  /**
   * @param needed whether a seed's answer is still useful.
   * @return the time of a request in addition to those sent with each probe; nothing if there is
   * none.
   */
  std::optional<TimePoint> nextRequestAt(bool needed) const {
    return needed ? preparedAt_ : std::nullopt;
  }
  /** Reports that the seed is preparing its answer. */
  void onPreparing(TimePoint now) { preparedAt_ = now + kPreparation; }
  /** Reports that the seed failed: the next seed is contacted. */
  void onFailed() {
    preparedAt_.reset();
    ++seed_;
  }
  void onAnswered() { preparedAt_.reset(); }

 private:
  size_t seed_ = 0;
  std::optional<TimePoint> preparedAt_;
};

}  // namespace umberhold
