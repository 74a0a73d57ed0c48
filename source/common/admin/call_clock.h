/**
 * @file Clock for the blocking calls of the admin API; injected, so that tests are deterministic
 * and don't wait in real time.
 */
#pragma once

#include "common/base/time.h"

namespace umberhold {

/** A clock with a blocking sleep. Thread safe. */
class CallClock {
 public:
  virtual ~CallClock() = default;
  virtual TimePoint now() = 0;
  /** @return wall-clock time, for drain deadlines and history entries; never orders changes. */
  virtual UnixSeconds unixNow() = 0;
  virtual void sleepFor(Duration duration) = 0;
};

/** The operating system's clocks. */
class SystemCallClock : public CallClock {
 public:
  TimePoint now() override;
  UnixSeconds unixNow() override;
  void sleepFor(Duration duration) override;
};

}  // namespace umberhold
