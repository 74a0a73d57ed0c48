#include "common/health/host_observations.h"

#include <algorithm>
#include <cmath>

#include "common/health/zone_silence.h"

namespace umberhold {
namespace {

/** Maximum age of a report: three poll intervals if change_bound_milliseconds is 5000. */
constexpr Duration kWindow = std::chrono::seconds(3);
/**
 * Number of usual response times added to each host's samples, so that a few reports have little
 * effect.
 */
constexpr double kPriorSamples = 2.0;
/** Hosts with a lower score are omitted from responses. */
constexpr double kMinSlowScore = 1.5;
constexpr size_t kMinReporters = 2;
/** Encoded size in a response. */
constexpr size_t kSlowHostBytes = 12;
constexpr size_t kSpeedBytes = 10;
constexpr double kPercent = 100.0;
constexpr uint32_t kMaxPercent = static_cast<uint32_t>(ResponseScore::kMaxSample * kPercent);
constexpr uint32_t kMaxWorkPercent = static_cast<uint32_t>(kMaxWorkRatio * kPercent);

bool isValid(const HostObservation& seen) {
  return seen.requests > 0 && seen.percentOfUsual <= kMaxPercent &&
         seen.workPercent <= kMaxWorkPercent;
}

}  // namespace

size_t maxSpeedsBeside(size_t slowHostCount) {
  const size_t left = kMaxSlowHosts - std::min(slowHostCount, kMaxSlowHosts);
  return std::min(kMaxLearnedSpeeds, left * kSlowHostBytes / kSpeedBytes);
}

std::string_view toString(ReportOutcome outcome) {
  switch (outcome) {
    case ReportOutcome::kAccepted:
      return "taken";
    case ReportOutcome::kRepeated:
      return "repeated";
    case ReportOutcome::kInvalid:
      return "invalid";
    case ReportOutcome::kMalformed:
      return "malformed";
    case ReportOutcome::kCount:
      break;
  }
  return "unknown";
}

void SampleCollector::add(const std::vector<HostSample>& samples) {
  for (const HostSample& sample : samples) {
    if (sums_.size() >= kMaxReportedHosts && !sums_.contains(sample.token)) {
      continue;
    }
    Sum& sum = sums_[sample.token];
    ++sum.requests;
    sum.ratios += std::min(sample.ratio, ResponseScore::kMaxSample);
    if (sample.workRatio) {
      ++sum.works;
      sum.workRatios += std::log(std::clamp(*sample.workRatio, kMinWorkRatio, kMaxWorkRatio));
    }
  }
}

HostReport SampleCollector::takeReport(TimePoint now) {
  HostReport report;
  report.reporter = reporter_;
  report.sequence = static_cast<uint64_t>(now.time_since_epoch().count());
  for (const auto& [token, sum] : sums_) {
    const double mean = sum.ratios / sum.requests;
    const double work = sum.works == 0 ? 0.0 : std::exp(sum.workRatios / sum.works);
    report.hosts.push_back({token, sum.requests,
                            static_cast<uint32_t>(std::lround(mean * kPercent)),
                            static_cast<uint32_t>(std::lround(work * kPercent))});
  }
  sums_.clear();
  return report;
}

ReportOutcome ZoneObservations::merge(TimePoint now, const HostReport& report) {
  const bool isValidReport = report.hosts.size() <= kMaxReportedHosts &&
                             report.livenessReports.size() <= kMaxLivenessReports &&
                             std::all_of(report.hosts.begin(), report.hosts.end(), isValid);
  if (!isValidReport) {
    return ReportOutcome::kInvalid;
  }
  removeExpired(now);
  Reporter& reporter = reporters_[report.reporter];
  if (report.sequence <= reporter.sequence) {
    return ReportOutcome::kRepeated;
  }
  reporter = {report.sequence, now};
  for (const HostObservation& seen : report.hosts) {
    record(hosts_[seen.token], {report.reporter, now, seen.percentOfUsual / kPercent});
    speeds_.add(now, report.reporter, seen.token, seen.workPercent, seen.requests);
  }
  return ReportOutcome::kAccepted;
}

void ZoneObservations::record(Observations& observations, const Observation& observation) {
  for (Observation& earlier : observations) {
    if (earlier.reporter == observation.reporter) {
      earlier = observation;
      return;
    }
  }
  observations.push_back(observation);
}

void ZoneObservations::removeExpired(TimePoint now) {
  const auto isOld = [now](const auto& entry) { return now - entry.at > kWindow; };
  for (auto& [token, observations] : hosts_) {
    std::erase_if(observations, isOld);
  }
  std::erase_if(hosts_, [](const auto& named) { return named.second.empty(); });
  std::erase_if(reporters_, [&](const auto& named) { return isOld(named.second); });
}

double ZoneObservations::scoreOf(const Observations& observations) {
  double sum = kPriorSamples;
  double highest = 0.0;
  for (const Observation& observation : observations) {
    sum += observation.ratio;
    highest = std::max(highest, observation.ratio);
  }
  const double counted = kPriorSamples + static_cast<double>(observations.size()) - 1.0;
  return (sum - highest) / counted;
}

std::vector<SlowHost> ZoneObservations::slowHosts(TimePoint now) {
  removeExpired(now);
  std::vector<SlowHost> slowHosts;
  for (const auto& [token, observations] : hosts_) {
    const double score = scoreOf(observations);
    if (observations.size() < kMinReporters || score < kMinSlowScore) {
      continue;
    }
    const auto youngest = std::max_element(
        observations.begin(), observations.end(),
        [](const Observation& left, const Observation& right) { return left.at < right.at; });
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - youngest->at);
    slowHosts.push_back({token, static_cast<uint32_t>(std::lround(score * kPercent)),
                         static_cast<uint32_t>(age.count())});
  }
  std::sort(slowHosts.begin(), slowHosts.end(), [](const SlowHost& left, const SlowHost& right) {
    return left.percentOfUsual > right.percentOfUsual;
  });
  slowHosts.resize(std::min(slowHosts.size(), kMaxSlowHosts));
  return slowHosts;
}

}  // namespace umberhold
