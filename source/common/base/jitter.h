/** @file Jitter for periods, so that nodes that started together do not act in step. */
#pragma once

#include "common/base/random.h"
#include "common/base/time.h"

namespace umberhold {

/** @return the period, lengthened or shortened at random by up to `fraction` of it. */
inline Duration jittered(Duration period, double fraction, RandomSource& random) {
  const double factor = 1.0 + fraction * (2.0 * random.unit() - 1.0);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(
      static_cast<double>(period.count()) * factor));
}

}  // namespace umberhold
