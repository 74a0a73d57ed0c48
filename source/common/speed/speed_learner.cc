#include "common/speed/speed_learner.h"

#include <algorithm>
#include <cmath>

#include "common/base/hash.h"
#include "common/speed/work_times.h"

namespace umberhold {
namespace {

/** A measure counts half after so long: a host that turned slow has half of its new speed by then,
 * one that recovers as well, and twenty callers a second of a zone's forty hosts leave enough. */
constexpr Duration kHalfLife = std::chrono::seconds(8);
/** A node's measures of a host count for so many requests at most, so that news of a busy host
 * outweigh what was in less than a second, and no node outweighs the others. */
constexpr double kMaxSamples = 6.0;
constexpr double kPercent = 100.0;
/** Without the lowest and the highest there is one left whom a faulty node can't move. */
constexpr size_t kMinReporters = 3;
/** Of the nodes that know a host, this part is left out at each end. */
constexpr size_t kTrimDivisor = 4;
/** Times of work spread by 0.5 (natural logarithm): with so many, a speed is known to a fifth. */
constexpr double kMinSamples = 6.0;
/** Requests at the usual speed that every host is taken to have had besides. */
constexpr double kPriorSamples = 1.5;
/** Measures with fewer say nothing any more. */
constexpr double kNegligibleSamples = 0.05;
constexpr Duration kExpiryInterval = std::chrono::seconds(2);
/** Hosts that one answer looks at, known or not: a tenth of a millisecond. */
constexpr size_t kMaxHostsExamined = 240;
/** LearnedSpeed::samples takes one byte up to here. */
constexpr double kMaxReportedSamples = 127.0;

}  // namespace

void SpeedLearner::add(TimePoint now, uint64_t reporter, uint32_t token, double workPercent,
                       uint32_t requests) {
  if (workPercent <= 0.0 || requests == 0) {
    return;
  }
  removeExpired(now);
  if (hosts_.size() >= kMaxHosts && !hosts_.contains(token)) {
    return;
  }
  const double ratio = std::clamp(workPercent / kPercent, kMinWorkRatio, kMaxWorkRatio);
  const double added = std::min<double>(requests, kMaxSamples);
  Measurement& measurement = measurementFor(now, hosts_[token], reporter);
  const double before = std::min(samplesAt(now, measurement), kMaxSamples - added);
  measurement.mean = (before * measurement.mean + added * std::log(ratio)) / (before + added);
  measurement.samples = before + added;
  measurement.at = now;
}

std::vector<LearnedSpeed> SpeedLearner::speeds(TimePoint now, size_t maxCount) {
  removeExpired(now);
  std::vector<LearnedSpeed> learned;
  if (hosts_.empty()) {
    return learned;
  }
  auto next = hosts_.lower_bound(static_cast<uint32_t>(mixHash(++responseCount_, 0)));
  const size_t examined = std::min(hosts_.size(), kMaxHostsExamined);
  for (size_t seen = 0; seen < examined && learned.size() < maxCount; ++seen) {
    next = next == hosts_.end() ? hosts_.begin() : next;
    const LearnedSpeed speed = speedOf(now, next->first, next->second);
    if (speed.samples > 0) {
      learned.push_back(speed);
    }
    ++next;
  }
  return learned;
}

double SpeedLearner::samplesAt(TimePoint now, const Measurement& measurement) {
  const auto age = std::max(now - measurement.at, Duration{0});
  return measurement.samples *
         std::exp2(-static_cast<double>(age.count()) / static_cast<double>(kHalfLife.count()));
}

SpeedLearner::Measurement& SpeedLearner::measurementFor(TimePoint now, Measurements& measurements,
                                              uint64_t reporter) {
  for (Measurement& measurement : measurements) {
    if (measurement.reporter == reporter) {
      return measurement;
    }
  }
  if (measurements.size() < kMaxReporters) {
    return measurements.emplace_back(Measurement{reporter, now, 0.0, 0.0});
  }
  Measurement& least = *std::min_element(measurements.begin(), measurements.end(),
                                     [now](const Measurement& left, const Measurement& right) {
                                       return samplesAt(now, left) < samplesAt(now, right);
                                     });
  least = {reporter, now, 0.0, 0.0};
  return least;
}

LearnedSpeed SpeedLearner::speedOf(TimePoint now, uint32_t token, const Measurements& measurements) {
  if (measurements.size() < kMinReporters) {
    return {token, 0, 0};
  }
  Measurements sorted = measurements;
  std::sort(sorted.begin(), sorted.end(),
            [](const Measurement& left, const Measurement& right) { return left.mean < right.mean; });
  const size_t trimmed = std::max<size_t>(1, sorted.size() / kTrimDivisor);
  double samples = 0.0;
  double sum = 0.0;
  double totalSamples = 0.0;
  for (size_t index = 0; index < sorted.size(); ++index) {
    const double weight = samplesAt(now, sorted[index]);
    totalSamples += weight;
    if (index >= trimmed && index + trimmed < sorted.size()) {
      samples += weight;
      sum += weight * sorted[index].mean;
    }
  }
  if (totalSamples < kMinSamples) {
    return {token, 0, 0};
  }
  const double speed = std::exp(-sum / (samples + kPriorSamples));
  return {token, static_cast<uint32_t>(std::lround(speed * kPercent)),
          static_cast<uint32_t>(std::min(totalSamples, kMaxReportedSamples))};
}

void SpeedLearner::removeExpired(TimePoint now) {
  if (now - lastExpiryAt_ < kExpiryInterval) {
    return;
  }
  lastExpiryAt_ = now;
  for (auto& [token, measurements] : hosts_) {
    std::erase_if(measurements, [now](const Measurement& measurement) {
      return samplesAt(now, measurement) < kNegligibleSamples;
    });
  }
  std::erase_if(hosts_, [](const auto& named) { return named.second.empty(); });
}

}  // namespace umberhold
