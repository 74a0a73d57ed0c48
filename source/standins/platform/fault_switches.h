/** @file Switchable faults of the stand-in store. */
#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <string>

#include "common/base/result.h"
#include "common/base/time.h"

namespace umberhold::standins {

/** Availability of the API. */
enum class Outage : uint8_t {
  kNone,
  /** Every API request gets 503 with Retry-After. */
  kUnavailable,
  /** The API port is closed. */
  kRefused,
};

/** Settings of the switches; see docs/PLATFORM_API.md. */
struct FaultSettings {
  /** Delay before the API handles a request. */
  Duration slow{0};
  Outage outage = Outage::kNone;
  /** Retry-After of kUnavailable. */
  uint32_t retryAfterSeconds = 1;
  /** The answers to this many next changes are lost; the changes take effect. */
  uint32_t loseAnswersNext = 0;
  /** Probability that the answer to a change without a counted fault is lost; the change takes
   * effect. */
  double loseAnswersProbability = 0;
  /** This many next changes are lost before they take effect. */
  uint32_t loseRequestsNext = 0;
  /** The connections of this many next changes are closed immediately; the changes take effect
   * after `lateBy`. */
  uint32_t lateChangesNext = 0;
  Duration lateBy = std::chrono::seconds(1);
};

/** Fault to apply to one change. */
enum class ChangeFault : uint8_t { kNormal, kAnswerLost, kRequestLost, kLate };

/** Why a fault setting was refused. */
struct FaultError {
  std::string detail;
};

/** Holds the switches. Thread safe. */
class FaultSwitches {
 public:
  explicit FaultSwitches(uint64_t seed) : random_(seed) {}

  FaultSettings settings() const;
  void set(const FaultSettings& settings);
  /** Decrements the counted switches. @return the fault for the next change. */
  ChangeFault nextChangeFault();

 private:
  mutable std::mutex mutex_;
  FaultSettings settings_;
  std::mt19937_64 random_;
};

/** @return the settings updated by the keys of a JSON object; other keys are unchanged. */
Result<FaultSettings, FaultError> mergeFaults(FaultSettings settings, const std::string& json);
std::string encodeFaults(const FaultSettings& settings);

}  // namespace umberhold::standins
