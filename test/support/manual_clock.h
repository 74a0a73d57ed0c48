/** @file A clock that advances only by sleepFor() and advance(). */
#pragma once

#include "common/admin/call_clock.h"

namespace umberhold {

/** Not thread safe. */
class ManualClock : public CallClock {
 public:
  TimePoint now() override { return now_; }
  UnixSeconds unixNow() override {
    return kStart + now_.time_since_epoch() / std::chrono::seconds(1);
  }
  void sleepFor(Duration duration) override { advance(duration); }
  void advance(Duration duration) { now_ += duration; }

 private:
  static constexpr UnixSeconds kStart = 1'790'000'000;
  TimePoint now_{};
};

}  // namespace umberhold
