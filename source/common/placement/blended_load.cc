#include "common/placement/blended_load.h"

#include <algorithm>

namespace umberhold {
namespace {

using Seconds = std::chrono::duration<double>;

/** A report has full weight up to kFreshSeconds of age; its weight falls linearly to 0 at
 * kStaleSeconds. */
constexpr double kFreshSeconds = 10.0;
constexpr double kStaleSeconds = 30.0;
/** Lower bound of the blended load, as a fraction of the count-based load. */
constexpr double kMinCountPart = 0.5;
/** A report's load is scaled with the flow count only if the host had at least this many flows when
 * it reported. */
constexpr double kMinFlowsForScaling = 10.0;
constexpr double kMaxScale = 3.0;
constexpr double kPercent = 100.0;

double freshness(TimePoint now, const LoadReport& report) {
  const double age = Seconds(now - report.at).count();
  return std::clamp((kStaleSeconds - age) / (kStaleSeconds - kFreshSeconds), 0.0, 1.0);
}

double countLoad(const LoadInput& host) {
  return host.flows / std::max(1.0, static_cast<double>(host.connectionLimit));
}

/** @return the reported load, scaled by the change in flow count since the report. */
double correctedLoad(const LoadInput& host) {
  const double reported = host.report->loadPercent / kPercent;
  if (host.report->flowsAtReport < kMinFlowsForScaling) {
    return reported;
  }
  const double scale = host.flows / host.report->flowsAtReport;
  return reported * std::clamp(scale, 1.0 / kMaxScale, kMaxScale);
}

/** @return the ratio of reported to count-based load over all hosts with reports; 1 without
 * reports. */
double reportScale(TimePoint now, const std::vector<LoadInput>& hosts) {
  double reported = 0.0;
  double counted = 0.0;
  for (const LoadInput& host : hosts) {
    if (host.report.has_value()) {
      const double weight = freshness(now, *host.report);
      reported += weight * correctedLoad(host);
      counted += weight * countLoad(host);
    }
  }
  return reported > 0.0 && counted > 0.0 ? reported / counted : 1.0;
}

}  // namespace

std::vector<double> blendLoads(TimePoint now, const std::vector<LoadInput>& hosts) {
  const double scale = reportScale(now, hosts);
  std::vector<double> loads;
  loads.reserve(hosts.size());
  for (const LoadInput& host : hosts) {
    const double counted = countLoad(host) * scale;
    const double reportWeight = host.report.has_value() ? freshness(now, *host.report) : 0.0;
    const double reported = host.report.has_value() ? correctedLoad(host) : 0.0;
    const double blended = reportWeight * reported + (1.0 - reportWeight) * counted;
    loads.push_back(std::max(blended, kMinCountPart * counted));
  }
  return loads;
}

}  // namespace umberhold
