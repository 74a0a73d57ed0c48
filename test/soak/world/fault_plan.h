/** @file Which faults strike when: drawn from a seed. */
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
  /** The kinds above strike under usual load too. */
  kUsualCount,
  /** Most hosts of the main service leave, then several times the callers come. */
  kShortRoom = kUsualCount,
  /** All hosts but one leave that a split shares with the main service. */
  kShortSplit,
  /** A host starts again under its id. */
  kRestartHost,
  /** While room is short, the reader of a zone is killed. Drawn with a shortage only. */
  kKillReader,
  kCount,
};

/** @return the snake_case name of a kind. */
std::string_view toString(FaultKind kind);

/** One fault. */
struct Fault {
  FaultKind kind = FaultKind::kKillNode;
  /** From the start of the traffic. */
  Duration at{0};
  Duration lasts{0};
  /** Chooses what is struck. */
  uint64_t choice = 0;
};

/**
 * @param seed decides everything.
 * @param length of the time in which faults begin; they end soon after.
 * @return faults by time, several at once at times; every kind has the same chance.
 */
std::vector<Fault> drawFaults(uint64_t seed, Duration length);
/** As drawFaults(), the kinds of hard load; drawn apart, so that a seed's other faults stay as they
 * are. At the end room is short in any case. */
std::vector<Fault> drawHardLoad(uint64_t seed, Duration length);

}  // namespace umberhold::soak
