/** @file The speed of one host as last received by a node. */
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
  /** @return the last received speed; the usual speed if it has expired. */
  HostSpeed value(TimePoint now) const {
    return now - updatedAt_ <= kLifetime ? speed_ : HostSpeed{};
  }

 private:
  /**
   * Exceeds both the time that a node needs to estimate speeds after it has begun to read the store
   * for its zone, and the duration of a burst, during which no speeds can be estimated.
   */
  static constexpr Duration kLifetime = std::chrono::seconds(60);

  HostSpeed speed_;
  TimePoint updatedAt_{};
};

}  // namespace umberhold
