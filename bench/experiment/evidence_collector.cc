#include "evidence_collector.h"

#include <optional>
#include <string>

#include "bench/support/http_client.h"
#include "environment.h"

namespace umberhold::experiment {
namespace {

/** Allows for reports of several megabytes on a busy machine. */
constexpr int kTimeoutSeconds = 10;
constexpr int kMaxAttempts = 3;

std::optional<std::string> fetch(const Endpoint& server, const std::string& path) {
  const auto response = httpCall(server, HttpRequest{"GET", path, "", {}, kTimeoutSeconds});
  if (!response || response->status != kHttpOk) {
    return std::nullopt;
  }
  return response->body;
}

std::optional<standins::CallerReport> fetchReport(const RegionPlan& region) {
  const auto text = fetch(Environment::callerControl(region), "/control/report");
  if (!text) {
    return std::nullopt;
  }
  auto report = standins::reportFromJson(*text);
  return isOk(report) ? std::optional(std::move(valueOf(report))) : std::nullopt;
}

std::optional<std::vector<standins::HostRecord>> fetchRecords(const RegionPlan& region) {
  const auto text = fetch(Environment::backendControl(region), "/control/record");
  if (!text) {
    return std::nullopt;
  }
  auto records = standins::recordsFromJson(*text);
  return isOk(records) ? std::optional(std::move(valueOf(records))) : std::nullopt;
}

template <class Fetch>
auto withRetries(const Fetch& fetchOnce) {
  auto fetched = fetchOnce();
  for (int attempt = 1; !fetched && attempt < kMaxAttempts; ++attempt) {
    fetched = fetchOnce();
  }
  return fetched;
}

}  // namespace

CallerProgress EvidenceCollector::progress() const {
  CallerProgress progress;
  progress.complete = true;
  for (const RegionPlan& region : deployment_.regions) {
    const auto report = fetchReport(region);
    progress.complete = progress.complete && report.has_value();
    progress.openFlows += report ? report->openFlows : 0;
    progress.outstandingRequests += report ? report->outstandingRequests : 0;
  }
  return progress;
}

bool EvidenceCollector::collect(standins::RunEvidence& evidence) const {
  bool complete = true;
  evidence.callers.clear();
  evidence.hosts.clear();
  for (const RegionPlan& region : deployment_.regions) {
    auto report = withRetries([&] { return fetchReport(region); });
    auto records = withRetries([&] { return fetchRecords(region); });
    complete = complete && report.has_value() && records.has_value();
    if (report) {
      evidence.callers.push_back(std::move(*report));
    }
    if (records) {
      evidence.hosts.insert(evidence.hosts.end(), records->begin(), records->end());
    }
  }
  return complete;
}

}  // namespace umberhold::experiment
