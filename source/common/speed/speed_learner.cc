#include "common/speed/speed_learner.h"

#include <algorithm>
#include <cmath>

#include "common/base/hash.h"
#include "common/speed/work_times.h"

namespace umberhold {
namespace {

/**
 * Half-life of a measurement: after this time the estimate has moved halfway to the new speed of a
 * host that became slow or recovered, and 20 callers per second on the 40 hosts of a zone still
 * provide enough samples.
 */
constexpr Duration kHalfLife = std::chrono::seconds(8);
/**
 * Maximum number of requests that a node's measurement of a host counts for, so that new samples of
 * a busy host outweigh older ones within less than a second and no node outweighs the others.
 */
constexpr double kMaxSamples = 6.0;
constexpr double kPercent = 100.0;
/**
 * After the lowest and the highest value are discarded, one remains that a single faulty node
 * cannot shift.
 */
constexpr size_t kMinReporters = 3;
/** One in this many nodes is discarded at each end (trimmed mean). */
constexpr size_t kTrimDivisor = 4;
/**
 * Processing times have a spread of 0.5 (natural logarithm), so this many samples determine a speed
 * to within a fifth.
 */
constexpr double kMinSamples = 6.0;
/** Number of requests at the usual speed added to the samples of each host. */
constexpr double kPriorSamples = 1.5;
/** Measurements with fewer samples are discarded. */
constexpr double kNegligibleSamples = 0.05;
constexpr Duration kExpiryInterval = std::chrono::seconds(2);
/**
 * Maximum number of hosts examined for one response, whether or not their speed is known; takes 0.1
 * ms.
 */
constexpr size_t kMaxHostsExamined = 240;
/** Largest value of LearnedSpeed::samples that is encoded in one byte. */
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

LearnedSpeed SpeedLearner::speedOf(TimePoint now, uint32_t token,
                                   const Measurements& measurements) {
  if (measurements.size() < kMinReporters) {
    return {token, 0, 0};
  }
  Measurements sorted = measurements;
  std::sort(sorted.begin(), sorted.end(), [](const Measurement& left, const Measurement& right) {
    return left.mean < right.mean;
  });
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
