/** @file Injected randomness, so that every run of the decision logic is reproducible from its
 * seed. */
#pragma once

#include <cstdint>
#include <random>

namespace umberhold {

/** Pseudorandom generator, seeded by its owner. Decision logic uses no other source of randomness.
 * Not thread safe. */
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : engine_(seed) {}

  /** @return a uniformly distributed integer in [0, bound); bound must be above 0. */
  uint64_t below(uint64_t bound) {
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(engine_);
  }

  /** @return a uniformly distributed number in [0, 1). */
  double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

  /** @return the engine, for std::shuffle and the standard distributions. */
  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace umberhold
