#include "common/platform/store_liveness.h"

#include <algorithm>
#include <utility>

#include "common/base/jitter.h"

namespace umberhold {
namespace {

/** Long enough for calls to be on their way before the probe. */
constexpr Duration kResumePause = std::chrono::milliseconds(20);

}  // namespace

StoreLiveness::StoreLiveness(TimePoint now, StoreLivenessOptions options, RandomSource& random)
    : options_(options),
      random_(random),
      nextProbe_(now + jittered(options.first, options.jitter, random)) {}

WaitingCalls StoreLiveness::onProbe(TimePoint now, bool answered) {
  const Duration usual = serving_ ? options_.servingInterval : options_.interval;
  const Duration afterMiss =
      starting_ ? options_.startingIntervalAfterMiss : options_.intervalAfterMiss;
  nextProbe_ = now + jittered(answered ? usual : afterMiss, options_.jitter, random_);
  const bool wasSilent = std::exchange(silent_, !answered);
  return answered && wasSilent ? WaitingCalls::kRenew : WaitingCalls::kKeep;
}

void StoreLiveness::probeSoon(TimePoint now) {
  nextProbe_ = std::min(nextProbe_, now + kResumePause);
}

void StoreLiveness::resume(TimePoint now) {
  silent_ = false;
  nextProbe_ = now + kResumePause;
}

}  // namespace umberhold
