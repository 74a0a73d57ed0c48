#include "common/platform/store_liveness.h"

#include <utility>

namespace umberhold {

StoreLiveness::StoreLiveness(TimePoint now, StoreLivenessOptions options, RandomSource& random)
    : options_(options), random_(random), nextProbe_(now + jittered(options.first)) {}

WaitingCalls StoreLiveness::onProbe(TimePoint now, bool answered) {
  nextProbe_ = now + jittered(answered ? options_.interval : options_.intervalAfterMiss);
  const bool wasSilent = std::exchange(silent_, !answered);
  return answered && wasSilent ? WaitingCalls::kRenew : WaitingCalls::kKeep;
}

Duration StoreLiveness::jittered(Duration interval) {
  const double factor = 1.0 + options_.jitter * (2.0 * random_.unit() - 1.0);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(
      static_cast<double>(interval.count()) * factor));
}

}  // namespace umberhold
