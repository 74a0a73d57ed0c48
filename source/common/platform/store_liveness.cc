#include "common/platform/store_liveness.h"

#include <algorithm>
#include <utility>

#include "common/base/jitter.h"

namespace umberhold {
namespace {

/** Long enough for calls to be on their way before the probe. */
constexpr Duration kResumePause = std::chrono::milliseconds(20);
/** Of the wait after each further probe without an answer. */
constexpr int kGrowth = 3;
/** Of a start that are followed by the shortest wait. */
constexpr uint32_t kFirstMisses = 10;

}  // namespace

StoreLiveness::StoreLiveness(TimePoint now, StoreLivenessOptions options, RandomSource& random)
    : options_(options),
      random_(random),
      nextProbe_(now + jittered(options.first, options.jitter, random)),
      afterMiss_(options.intervalAfterMiss) {}

WaitingCalls StoreLiveness::onProbe(TimePoint now, bool answered) {
  const Duration usual = serving_ ? options_.servingInterval : options_.interval;
  nextProbe_ = now + jittered(answered ? usual : pauseAfterMiss(), options_.jitter, random_);
  if (answered) {
    afterMiss_ = options_.intervalAfterMiss;
  }
  const bool wasSilent = std::exchange(silent_, !answered);
  return answered && wasSilent ? WaitingCalls::kRenew : WaitingCalls::kKeep;
}

Duration StoreLiveness::pauseAfterMiss() {
  if (starting_) {
    return ++startingMisses_ <= kFirstMisses ? options_.startingIntervalAfterMiss
                                             : options_.maxStartingInterval;
  }
  if (following_ && !serving_) {
    return options_.maxIntervalAfterMiss;
  }
  const Duration longest =
      serving_ ? options_.servingIntervalAfterMiss : options_.maxIntervalAfterMiss;
  return std::min(longest, std::exchange(afterMiss_, std::min(afterMiss_ * kGrowth, longest)));
}

void StoreLiveness::probeSoon(TimePoint now) {
  nextProbe_ = std::min(nextProbe_, now + kResumePause);
}

void StoreLiveness::resume(TimePoint now) {
  silent_ = false;
  nextProbe_ = now + kResumePause;
}

}  // namespace umberhold
