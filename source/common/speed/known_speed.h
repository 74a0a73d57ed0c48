/** @file What a node was told of one host's speed. */
#pragma once

#include "common/base/time.h"
#include "common/speed/host_speed.h"

namespace umberhold {

/** Not thread safe. */
class KnownSpeed {
 public:
  void update(TimePoint now, const HostSpeed& speed) {
    speed_ = speed;
    updatedAt_ = now;
  }
  /** @return the speed as it was told last; the usual one where that is too long ago. */
  HostSpeed value(TimePoint now) const { return now - updatedAt_ <= kLifetime ? speed_ : HostSpeed{}; }

 private:
  /** Longer than a reader's successor needs to learn, and than a burst of callers in which nothing
   * can be learnt. */
  static constexpr Duration kLifetime = std::chrono::seconds(60);

  HostSpeed speed_;
  TimePoint updatedAt_{};
};

}  // namespace umberhold
