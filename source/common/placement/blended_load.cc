#include "common/placement/blended_load.h"

#include <algorithm>

namespace umberhold {
namespace {

using Seconds = std::chrono::duration<double>;

/** A report counts in full up to the first age, and not at all from the second on. */
constexpr double kFreshSeconds = 10.0;
constexpr double kStaleSeconds = 30.0;
/** Part of the count-based load below which no report is believed. */
constexpr double kLeastBelief = 0.5;
/** Least flows at the time of a report from which its load is scaled with the flows. */
constexpr double kScalableFlows = 10.0;
constexpr double kLargestScale = 3.0;
constexpr double kPercent = 100.0;

double freshness(TimePoint now, const LoadReport& report) {
  const double age = Seconds(now - report.at).count();
  return std::clamp((kStaleSeconds - age) / (kStaleSeconds - kFreshSeconds), 0.0, 1.0);
}

double countLoad(const LoadEvidence& host) {
  return host.flows / std::max(1.0, static_cast<double>(host.connectionLimit));
}

/** @return the reported load, corrected by the flows that came or went since. */
double correctedLoad(const LoadEvidence& host) {
  const double reported = host.report->loadPercent / kPercent;
  if (host.report->flowsAtReport < kScalableFlows) {
    return reported;
  }
  const double scale = host.flows / host.report->flowsAtReport;
  return reported * std::clamp(scale, 1.0 / kLargestScale, kLargestScale);
}

/** @return reported load for each unit of count-based load, over all hosts that report; 1 without
 * reports. */
double reportScale(TimePoint now, const std::vector<LoadEvidence>& hosts) {
  double reported = 0.0;
  double counted = 0.0;
  for (const LoadEvidence& host : hosts) {
    if (host.report.has_value()) {
      const double weight = freshness(now, *host.report);
      reported += weight * correctedLoad(host);
      counted += weight * countLoad(host);
    }
  }
  return reported > 0.0 && counted > 0.0 ? reported / counted : 1.0;
}

}  // namespace

std::vector<double> blendLoads(TimePoint now, const std::vector<LoadEvidence>& hosts) {
  const double scale = reportScale(now, hosts);
  std::vector<double> loads;
  loads.reserve(hosts.size());
  for (const LoadEvidence& host : hosts) {
    const double counted = countLoad(host) * scale;
    const double trust = host.report.has_value() ? freshness(now, *host.report) : 0.0;
    const double reported = host.report.has_value() ? correctedLoad(host) : 0.0;
    const double blended = trust * reported + (1.0 - trust) * counted;
    loads.push_back(std::max(blended, kLeastBelief * counted));
  }
  return loads;
}

}  // namespace umberhold
