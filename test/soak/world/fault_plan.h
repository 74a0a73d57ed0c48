/** @file Kinds and times of faults, generated from a seed. */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "common/base/time.h"

namespace umberhold::soak {

enum class FaultKind : uint8_t {
  kKillNode,
  kKillHalf,
  kKillAll,
  kFreezeNode,
  kRestartNode,
  kRollingRestart,
  kStoreBusy,
  kStoreSilent,
  kStoreResets,
  kStoreSlow,
  kStoreForgetsHistory,
  kCutFromStore,
  kLossyFabric,
  kDrainHosts,
  kCrashHost,
  kReuseAddress,
  kConfigurationStorm,
  kBigConfiguration,
  kReloadSettings,
  kReloadBadSettings,
  /** Number of the kinds above, which are also used under usual load. */
  kUsualCount,
  /** Most hosts of the main service leave while the number of callers is multiplied. */
  kShortRoom = kUsualCount,
  /** All but one host of the service that shares a traffic split with the main service leave. */
  kShortSplit,
  /** A host restarts under its id. */
  kRestartHost,
  /** The reader of a zone is killed during a capacity shortage; generated only with one. */
  kKillReader,
  kCount,
};

/** @return the snake_case name of a kind. */
std::string_view toString(FaultKind kind);

/** One fault. */
struct Fault {
  FaultKind kind = FaultKind::kKillNode;
  /** Time since the start of the traffic. */
  Duration at{0};
  Duration lasts{0};
  /** Random number that selects the target. */
  uint64_t choice = 0;
};

/**
 * @param seed determines the result completely.
 * @param length time in which faults begin; they end soon after.
 * @return faults in order of time; they may overlap, and all kinds are equally likely.
 */
std::vector<Fault> drawFaults(uint64_t seed, Duration length);
/** Like drawFaults(), for the kinds of hard load; generated separately, so that the other faults of
 * a seed are unchanged. Always ends with a capacity shortage. */
std::vector<Fault> drawHardLoad(uint64_t seed, Duration length);

}  // namespace umberhold::soak
