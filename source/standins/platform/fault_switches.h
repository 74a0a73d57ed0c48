/** @file What the stand-in store does wrong on request. */
#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <string>

#include "common/base/result.h"
#include "common/base/time.h"

namespace umberhold::standins {

/** Whether the API answers at all. */
enum class Outage : uint8_t {
  kNone,
  /** Every API request gets 503 with Retry-After. */
  kUnavailable,
  /** The API port is closed. */
  kRefused,
};

/** The switches' positions; see docs/PLATFORM_API.md. */
struct FaultSettings {
  Duration slow{0};
  Outage outage = Outage::kNone;
  uint32_t retryAfterSeconds = 1;
  /** The next so many changes take effect, but their answers are lost. */
  uint32_t loseAnswersNext = 0;
  /** Every other change's answer is lost with this probability. */
  double loseAnswersProbability = 0;
  /** The next so many changes are lost before they take effect. */
  uint32_t loseRequestsNext = 0;
  /** The next so many changes lose their connection at once and take effect only `lateBy` later. */
  uint32_t lateChangesNext = 0;
  Duration lateBy = std::chrono::seconds(1);
};

/** What is to happen to one change. */
enum class ChangeFate : uint8_t { kNormal, kAnswerLost, kRequestLost, kLate };

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
  /** Takes one change off the counted switches. */
  ChangeFate nextChange();

 private:
  mutable std::mutex mutex_;
  FaultSettings settings_;
  std::mt19937_64 random_;
};

/** @return the settings with the keys of a JSON object changed; other keys stay as they are. */
Result<FaultSettings, FaultError> mergeFaults(FaultSettings settings, const std::string& json);
std::string encodeFaults(const FaultSettings& settings);

}  // namespace umberhold::standins
