#include "common/platform/store_liveness.h"

#include <algorithm>
#include <utility>

#include "common/base/jitter.h"

namespace umberhold {
namespace {

/** Delay of a probe that is due soon: pending calls must be sent before it. */
constexpr Duration kProbeDelay = std::chrono::milliseconds(20);
/** Growth factor of the delay after each further unanswered probe. */
constexpr int kMissDelayGrowth = 3;
/** Number of unanswered probes after a start that are followed by the shortest delay. */
constexpr uint32_t kShortDelayMisses = 10;

}  // namespace

StoreLiveness::StoreLiveness(TimePoint now, StoreLivenessOptions options, RandomSource& random)
    : options_(options),
      random_(random),
      nextProbe_(now + jittered(options.first, options.jitter, random)),
      delayAfterMiss_(options.intervalAfterMiss) {}

WaitingCalls StoreLiveness::onProbe(TimePoint now, bool answered) {
  const Duration usual = serving_ ? options_.servingInterval : options_.interval;
  nextProbe_ = now + jittered(answered ? usual : nextDelayAfterMiss(), options_.jitter, random_);
  if (answered) {
    delayAfterMiss_ = options_.intervalAfterMiss;
  }
  const bool wasUnresponsive = std::exchange(unresponsive_, !answered);
  return answered && wasUnresponsive ? WaitingCalls::kRenew : WaitingCalls::kKeep;
}

Duration StoreLiveness::nextDelayAfterMiss() {
  if (starting_) {
    return ++startingMisses_ <= kShortDelayMisses ? options_.startingIntervalAfterMiss
                                                  : options_.maxStartingInterval;
  }
  if (following_ && !serving_) {
    return options_.maxIntervalAfterMiss;
  }
  const Duration maximum =
      serving_ ? options_.servingIntervalAfterMiss : options_.maxIntervalAfterMiss;
  return std::min(maximum, std::exchange(delayAfterMiss_,
                                         std::min(delayAfterMiss_ * kMissDelayGrowth, maximum)));
}

void StoreLiveness::probeSoon(TimePoint now) {
  nextProbe_ = std::min(nextProbe_, now + kProbeDelay);
}

void StoreLiveness::resume(TimePoint now) {
  unresponsive_ = false;
  nextProbe_ = now + kProbeDelay;
}

}  // namespace umberhold
