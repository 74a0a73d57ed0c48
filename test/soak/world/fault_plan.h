/** @file Kinds and times of faults, generated from a seed. */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "common/base/time.h"

namespace umberhold::soak {

/** The ranges of this order are used to dispatch faults; see FaultInjector::inject(). */
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
  /** The node that reads the store for its zone is killed. Never generated on its own: half of the
   * capacity shortages include it. */
  kKillReader,
  /** Packet loss on the overloaded link of one or two nodes, from the nodes to all hosts. */
  kOverloadedLink,
  /** Another writer adds an entry that holds the address of a serving host, or replaces the entry
   * of one. */
  kForeignEntry,
  /** The store takes calls and never answers them, for a short time right after a change of the
   * configuration and of a host, when the nodes' next watches arrive; another such change follows
   * once the bounds apply again. */
  kShortSilence,
  /** Routes are removed, and added again one after the other during a rolling restart. */
  kRoutesReturn,
  /** A node that reads the store itself is cut off from it while a host leaves without draining. */
  kLeaveUnseen,
  /** All nodes of a zone but one are killed, frozen or cut off from the store just as many hosts of
   * a service leave without draining. */
  kLeaveWithReader,
  kCount,
};

/** @return the snake_case name of a kind. */
std::string_view toString(FaultKind kind);

/** One fault. */
struct Fault {
  FaultKind kind = FaultKind::kKillNode;
  /** Time since the start of the traffic. */
  Duration at{0};
  Duration duration{0};
  /** Random number that selects the target and the variant of the fault. */
  uint64_t choice = 0;
  /** For kOverloadedLink: the share of datagrams lost and the number of nodes. */
  double lossShare = 0;
  uint32_t nodeCount = 1;
};

/**
 * @param seed determines the result completely.
 * @param length time in which faults begin; they end soon after.
 * @return faults in order of time; they may overlap, and all kinds are equally likely.
 */
std::vector<Fault> drawFaults(uint64_t seed, Duration length);
/** Like drawFaults(), for the kinds used only under hard load. They have their own random stream,
 * so that a seed has the same usual faults under both loads. The last one is always a capacity
 * shortage of the main service. */
std::vector<Fault> drawHardLoad(uint64_t seed, Duration length);
/** Like drawHardLoad(), for overloaded links, which also have their own random stream. They do not
 * overlap each other. */
std::vector<Fault> drawOverloadedLinks(uint64_t seed, Duration length);
/** Foreign entries, under both loads, which also have their own random stream. */
std::vector<Fault> drawForeignEntries(uint64_t seed, Duration length);
/** Short silences, one after the other, which also have their own random stream. */
std::vector<Fault> drawShortSilences(uint64_t seed, Duration length);
/** Routes that return and hosts that leave unseen, under both loads, which also have their own
 * random stream. They do not overlap each other. */
std::vector<Fault> drawAbsences(uint64_t seed, Duration length);
/** @return how long ago the state was that the store shows in answers that may be stale. */
Duration drawStaleLag(uint64_t seed);

}  // namespace umberhold::soak
