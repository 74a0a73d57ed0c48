/** @file Clock for the blocking calls of the admin API; injectable, for deterministic tests. */
#pragma once

#include "common/base/time.h"

namespace umberhold {

/** A clock that also sleeps. Thread safe. */
class CallClock {
 public:
  virtual ~CallClock() = default;
  virtual TimePoint now() = 0;
  /** @return wall-clock time; informational only, never used for ordering. */
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
