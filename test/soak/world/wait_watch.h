/**
 * @file Records pauses of the soak and the nodes for lack of a processor.
 *
 * Pauses excuse no violation; they help to analyse whether a node or a host was delayed.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/base/time.h"

namespace umberhold::soak {

/** One pause. */
struct Wait {
  /** When it was detected: at its end or shortly after. */
  TimePoint at{};
  /** Name of the node, or `soak`. */
  std::string process;
  Duration length{0};
};

/** Not thread safe. */
class WaitWatch {
 public:
  /** @param total cumulative wait time of the process since its start, as reported by the kernel.
   */
  void onTotal(TimePoint now, const std::string& process, Duration total) {
    const auto known = totals_.find(process);
    // A decrease means that the process was replaced.
    const bool isNew = known == totals_.end() || total < known->second;
    const Duration waited = isNew ? total : total - known->second;
    totals_[process] = total;
    onWait(now, process, waited);
  }
  void onWait(TimePoint now, const std::string& process, Duration length) {
    if (length >= kMinRecordedWait && waits_.size() < kMaxWaits) {
      waits_.push_back({now, process, length});
    }
  }
  const std::vector<Wait>& waits() const { return waits_; }

 private:
  /** A quarter of the callers' initial retransmission timeout. */
  static constexpr Duration kMinRecordedWait = std::chrono::milliseconds(50);
  static constexpr size_t kMaxWaits = 20000;

  std::map<std::string, Duration> totals_;
  std::vector<Wait> waits_;
};

}  // namespace umberhold::soak
