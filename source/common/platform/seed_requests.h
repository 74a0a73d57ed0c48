/**
 * @file Which seed a node asks that starts while the store is silent, and when.
 *
 * Seeds are asked in turn, one with each probe of the store, so that a start in an outage costs
 * other machines no more than it costs the store. One that has to prepare its answer first is asked
 * again as soon as it should have. Decision logic without I/O.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "common/base/time.h"

namespace umberhold {

/** Not thread safe. */
class SeedRequests {
 public:
  /** Until a seed is asked again that prepares its answer: encoding 10,000 hosts takes 28 ms of a
   * core (host_state_benchmark). */
  static constexpr Duration kPreparation = std::chrono::milliseconds(50);

  /** @return the number of the seed to ask; the caller takes it modulo the number of seeds. */
  size_t seed() const { return seed_; }
  /** @param nextProbe when the store is probed next. */
  bool isDue(TimePoint now, TimePoint nextProbe) const {
    return now >= std::min(nextProbe, preparedAt_.value_or(nextProbe));
  }
  /** @param needed whether a seed's answer is still of use. @return when a question is due beside
   * those with each probe; nothing where none is. */
  std::optional<TimePoint> nextRequestAt(bool needed) const {
    return needed ? preparedAt_ : std::nullopt;
  }
  /** The seed has to prepare its answer. */
  void onPreparing(TimePoint now) { preparedAt_ = now + kPreparation; }
  /** The seed gave nothing: the next one is asked. */
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
