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
constexpr double kMostSamples = 6.0;
constexpr double kPercent = 100.0;
/** Without the lowest and the highest there is one left whom a faulty node can't move. */
constexpr size_t kFewestReporters = 3;
/** Of the nodes that know a host, this part is left out at each end. */
constexpr size_t kLeftOutOf = 4;
/** Times of work spread by 0.5 (natural logarithm): with so many, a speed is known to a fifth. */
constexpr double kFewestSamples = 6.0;
/** Requests at the usual speed that every host is taken to have had besides. */
constexpr double kPriorSamples = 1.5;
/** Measures with fewer say nothing any more. */
constexpr double kLeastSamples = 0.05;
constexpr Duration kForgetInterval = std::chrono::seconds(2);
/** Hosts that one answer looks at, known or not: a tenth of a millisecond. */
constexpr size_t kMostLookedAt = 240;
/** LearnedSpeed::samples takes one byte up to here. */
constexpr double kMostSaidSamples = 127.0;

}  // namespace

void SpeedLearner::add(TimePoint now, uint64_t reporter, uint32_t token, double workPercent,
                       uint32_t requests) {
  if (workPercent <= 0.0 || requests == 0) {
    return;
  }
  forgetOld(now);
  if (hosts_.size() >= kMostHosts && !hosts_.contains(token)) {
    return;
  }
  const double ratio = std::clamp(workPercent / kPercent, kLeastWorkRatio, kMostWorkRatio);
  const double added = std::min<double>(requests, kMostSamples);
  Measure& measure = placeFor(now, hosts_[token], reporter);
  const double before = std::min(samplesAt(now, measure), kMostSamples - added);
  measure.mean = (before * measure.mean + added * std::log(ratio)) / (before + added);
  measure.samples = before + added;
  measure.at = now;
}

std::vector<LearnedSpeed> SpeedLearner::speeds(TimePoint now, size_t most) {
  forgetOld(now);
  std::vector<LearnedSpeed> learned;
  if (hosts_.empty()) {
    return learned;
  }
  auto next = hosts_.lower_bound(static_cast<uint32_t>(mixHash(++answers_, 0)));
  const size_t lookedAt = std::min(hosts_.size(), kMostLookedAt);
  for (size_t seen = 0; seen < lookedAt && learned.size() < most; ++seen) {
    next = next == hosts_.end() ? hosts_.begin() : next;
    const LearnedSpeed speed = speedOf(now, next->first, next->second);
    if (speed.samples > 0) {
      learned.push_back(speed);
    }
    ++next;
  }
  return learned;
}

double SpeedLearner::samplesAt(TimePoint now, const Measure& measure) {
  const auto age = std::max(now - measure.at, Duration{0});
  return measure.samples *
         std::exp2(-static_cast<double>(age.count()) / static_cast<double>(kHalfLife.count()));
}

SpeedLearner::Measure& SpeedLearner::placeFor(TimePoint now, Measures& measures,
                                              uint64_t reporter) {
  for (Measure& measure : measures) {
    if (measure.reporter == reporter) {
      return measure;
    }
  }
  if (measures.size() < kMostReporters) {
    return measures.emplace_back(Measure{reporter, now, 0.0, 0.0});
  }
  Measure& least = *std::min_element(measures.begin(), measures.end(),
                                     [now](const Measure& left, const Measure& right) {
                                       return samplesAt(now, left) < samplesAt(now, right);
                                     });
  least = {reporter, now, 0.0, 0.0};
  return least;
}

LearnedSpeed SpeedLearner::speedOf(TimePoint now, uint32_t token, const Measures& measures) {
  if (measures.size() < kFewestReporters) {
    return {token, 0, 0};
  }
  Measures sorted = measures;
  std::sort(sorted.begin(), sorted.end(),
            [](const Measure& left, const Measure& right) { return left.mean < right.mean; });
  const size_t leftOut = std::max<size_t>(1, sorted.size() / kLeftOutOf);
  double samples = 0.0;
  double sum = 0.0;
  double known = 0.0;
  for (size_t index = 0; index < sorted.size(); ++index) {
    const double weight = samplesAt(now, sorted[index]);
    known += weight;
    if (index >= leftOut && index + leftOut < sorted.size()) {
      samples += weight;
      sum += weight * sorted[index].mean;
    }
  }
  if (known < kFewestSamples) {
    return {token, 0, 0};
  }
  const double speed = std::exp(-sum / (samples + kPriorSamples));
  return {token, static_cast<uint32_t>(std::lround(speed * kPercent)),
          static_cast<uint32_t>(std::min(known, kMostSaidSamples))};
}

void SpeedLearner::forgetOld(TimePoint now) {
  if (now - forgotAt_ < kForgetInterval) {
    return;
  }
  forgotAt_ = now;
  for (auto& [token, measures] : hosts_) {
    std::erase_if(measures, [now](const Measure& measure) {
      return samplesAt(now, measure) < kLeastSamples;
    });
  }
  std::erase_if(hosts_, [](const auto& named) { return named.second.empty(); });
}

}  // namespace umberhold
