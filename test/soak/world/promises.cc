#include "test/soak/world/promises.h"

#include <numeric>

namespace umberhold::soak {
namespace {

/** Maximum number of stored violations per promise; limits the memory of a failing run. */
constexpr uint64_t kMaxKeptViolations = 5;

}  // namespace

std::string_view toString(Promise promise) {
  switch (promise) {
    case Promise::kWholeAnswers:
      return "whole_answers";
    case Promise::kRightService:
      return "right_service";
    case Promise::kUnsafeOnce:
      return "unsafe_once";
    case Promise::kPacketsUnchanged:
      return "packets_unchanged";
    case Promise::kNoFlowsOnLeavingHosts:
      return "no_flows_on_leaving_hosts";
    case Promise::kConfigurationInTime:
      return "configuration_in_time";
    case Promise::kNoOlderConfiguration:
      return "no_older_configuration";
    case Promise::kOpenFlowsStay:
      return "open_flows_stay";
    case Promise::kRecovery:
      return "recovery";
    case Promise::kRefusedNotRun:
      return "refused_not_run";
    case Promise::kNoServiceStarved:
      return "no_service_starved";
    case Promise::kFullHostsSpared:
      return "full_hosts_spared";
    case Promise::kShareReturns:
      return "share_returns";
    case Promise::kBoundedNodes:
      return "bounded_nodes";
    case Promise::kReadableLogs:
      return "readable_logs";
    case Promise::kCount:
      break;
  }
  return "unknown";
}

void ViolationRecord::recordViolation(TimePoint now, Promise promise, const std::string& detail) {
  if (++counts_[static_cast<size_t>(promise)] <= kMaxKeptViolations) {
    firstViolations_.push_back({promise, now - start_, detail});
  }
}

uint64_t ViolationRecord::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), uint64_t{0});
}

void RunTracker::onRun(TimePoint now, uint64_t request, bool repeatable, bool allowed,
                       const std::string& host) {
  ++runs_;
  const std::string detail = "request " + std::to_string(request) + " at " + host;
  requestsRun_.insert(request);
  if (requestsNotRun_.contains(request)) {
    promises_.recordViolation(now, Promise::kRefusedNotRun, detail + ", after its refusal");
  }
  if (!allowed) {
    promises_.recordViolation(now, Promise::kRightService, detail);
  }
  if (!repeatable && ++unrepeatableRuns_[request] > 1) {
    promises_.recordViolation(now, Promise::kUnsafeOnce, detail);
  }
}

void RunTracker::onNotRun(TimePoint now, uint64_t request) {
  requestsNotRun_.insert(request);
  if (requestsRun_.contains(request)) {
    promises_.recordViolation(now, Promise::kRefusedNotRun, "request " + std::to_string(request));
  }
}

}  // namespace umberhold::soak
