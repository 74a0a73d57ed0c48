/** @file What the soak holds the system to, and the record of what was broken. */
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

/** See describe(). */
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
  /** A try that its caller knows not to have run has run. */
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

/** One promise broken once. */
struct Violation {
  Promise promise = Promise::kWholeAnswers;
  Duration at{0};
  std::string detail;
};

/** Violations by promise: all are counted, the first few of each are kept. Not thread safe. */
class PromiseBook {
 public:
  explicit PromiseBook(TimePoint start) : start_(start) {}

  void broken(TimePoint now, Promise promise, const std::string& detail);
  uint64_t count(Promise promise) const { return counts_[static_cast<size_t>(promise)]; }
  uint64_t total() const;
  TimePoint start() const { return start_; }
  const std::vector<Violation>& first() const { return first_; }

 private:
  TimePoint start_;
  std::array<uint64_t, static_cast<size_t>(Promise::kCount)> counts_{};
  std::vector<Violation> first_;
};

/** Runs of requests by hosts, from the hosts' own records. Not thread safe. */
class RunBook {
 public:
  explicit RunBook(PromiseBook& promises) : promises_(promises) {}

  /** A host began to work on a request. @param allowed whether its service may run it. */
  void onRun(TimePoint now, uint64_t request, bool repeatable, bool allowed,
             const std::string& host);
  /** A caller knows that the try has not run. */
  void onNotRun(TimePoint now, uint64_t request);
  uint64_t runs() const { return runs_; }

 private:
  PromiseBook& promises_;
  std::unordered_map<uint64_t, uint32_t> unrepeatable_;
  std::unordered_set<uint64_t> ran_;
  std::unordered_set<uint64_t> notRun_;
  uint64_t runs_ = 0;
};

}  // namespace umberhold::soak
