/**
 * @file How long the soak and the nodes stood still for lack of a processor.
 *
 * Nothing is forgiven for it: a trace of a broken promise needs it to tell a node that waited from
 * a host that did.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/base/time.h"

namespace umberhold::soak {

/** One time for which something stood still. */
struct Wait {
  /** When it was noticed: at its end, or a little later. */
  TimePoint at{};
  std::string who;
  Duration length{0};
};

/** Not thread safe. */
class WaitWatch {
 public:
  /** @param total for which the process has waited since its start, as the system counts it. */
  void onTotal(TimePoint now, const std::string& who, Duration total) {
    const auto known = totals_.find(who);
    // Less than before: the process is another one by now.
    const bool isNew = known == totals_.end() || total < known->second;
    const Duration waited = isNew ? total : total - known->second;
    totals_[who] = total;
    onWait(now, who, waited);
  }
  void onWait(TimePoint now, const std::string& who, Duration length) {
    if (length >= kLongWait && waits_.size() < kMostWaits) {
      waits_.push_back({now, who, length});
    }
  }
  const std::vector<Wait>& waits() const { return waits_; }

 private:
  /** A quarter of the time after which callers send again. */
  static constexpr Duration kLongWait = std::chrono::milliseconds(50);
  static constexpr size_t kMostWaits = 20000;

  std::map<std::string, Duration> totals_;
  std::vector<Wait> waits_;
};

}  // namespace umberhold::soak
