/** @file The promises that the soak checks, and the record of their violations. */
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/base/time.h"

namespace umberhold::soak {

/** The promises of the system to its users. */
enum class Promise : uint8_t {
  kWholeAnswers,
  kRightService,
  kUnsafeOnce,
  kPacketsUnchanged,
  kNoFlowsOnLeavingHosts,
  kConfigurationInTime,
  kNoOlderConfiguration,
  kOpenFlowsStay,
  kRecovery,
  /** A try whose caller concluded that it has not run and will not run is never run: its opening
   * was refused or not answered in time, or a host rejected it. */
  kRefusedNotRun,
  /** See load_watch.h. */
  kNoServiceStarved,
  kFullHostsSpared,
  kShareReturns,
  kBoundedNodes,
  kReadableLogs,
  kCount,
};

/** @return the snake_case name of a promise. */
std::string_view toString(Promise promise);

/** One violation of a promise. */
struct Violation {
  Promise promise = Promise::kWholeAnswers;
  Duration at{0};
  std::string detail;
};

/** Counts violations by promise and keeps the first few of each. Not thread safe. */
class ViolationRecord {
 public:
  explicit ViolationRecord(TimePoint start) : start_(start) {}

  /** Counts a violation and stores it if it is one of the first of its promise. */
  void recordViolation(TimePoint now, Promise promise, const std::string& detail);
  uint64_t count(Promise promise) const { return counts_[static_cast<size_t>(promise)]; }
  uint64_t total() const;
  TimePoint start() const { return start_; }
  const std::vector<Violation>& firstViolations() const { return firstViolations_; }

 private:
  TimePoint start_;
  std::array<uint64_t, static_cast<size_t>(Promise::kCount)> counts_{};
  std::vector<Violation> firstViolations_;
};

/** Tracks which requests hosts ran, from the hosts' own records. Not thread safe. */
class RunTracker {
 public:
  explicit RunTracker(ViolationRecord& promises) : promises_(promises) {}

  /** Records that a host started a request. @param allowed whether its service may run it. */
  void onRun(TimePoint now, uint64_t request, bool repeatable, bool allowed,
             const std::string& host);
  /** Records that the caller of a try concluded that it has not run and will not run. */
  void onNotRun(TimePoint now, uint64_t request);
  uint64_t runs() const { return runs_; }

 private:
  ViolationRecord& promises_;
  std::unordered_map<uint64_t, uint32_t> unrepeatableRuns_;
  std::unordered_set<uint64_t> requestsRun_;
  std::unordered_set<uint64_t> requestsNotRun_;
  uint64_t runs_ = 0;
};

}  // namespace umberhold::soak
