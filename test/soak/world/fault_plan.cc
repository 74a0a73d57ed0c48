#include "test/soak/world/fault_plan.h"

#include <algorithm>

#include "common/base/hash.h"
#include "common/base/random.h"

namespace umberhold::soak {
namespace {

/** Mean time between two faults. */
constexpr double kMeanGapSeconds = 2.0;
constexpr double kMinFaultSeconds = 1.0;
constexpr double kMaxFaultSeconds = 5.0;
constexpr double kMeanHardLoadGapSeconds = 5.0;
constexpr uint64_t kHardLoadStream = 1;
constexpr uint64_t kOverloadedLinkStream = 2;
constexpr uint64_t kForeignEntryStream = 3;
constexpr uint64_t kShortSilenceStream = 4;
constexpr uint64_t kStaleLagStream = 5;
constexpr uint64_t kAbsenceStream = 6;
constexpr double kMinAbsenceSeconds = 0.5;
constexpr double kMaxAbsenceSeconds = 6.0;
constexpr double kMinAbsenceGapSeconds = 1.0;
constexpr double kMaxAbsenceGapSeconds = 4.0;
constexpr double kMeanForeignEntryGapSeconds = 3.0;
/** Shorter than the time between two probes of the store, so that most are not noticed by probes.
 */
constexpr double kMinSilenceSeconds = 0.1;
constexpr double kMaxSilenceSeconds = 1.2;
/** Longer than a silence, the settle time and the bound of the change that follows. */
constexpr Duration kShortSilenceRound = std::chrono::seconds(11);
/** Maximum age of answers that may be stale. */
constexpr double kMaxStaleLagSeconds = 3.0;
constexpr double kMeanOverloadedLinkGapSeconds = 2.0;
constexpr double kMinOverloadedLinkSeconds = 0.4;
constexpr double kMaxOverloadedLinkSeconds = 2.5;
constexpr double kMinLossShare = 0.4;
constexpr double kMaxLossShare = 0.95;
/** Share of the overloaded links that affect two nodes at once. */
constexpr double kTwoNodesShare = 0.25;
/** Longer than the bound after which leaving hosts receive no new flows (3 s) and than the maximum
 * time for which a service may be starved (6 s). */
constexpr Duration kShortageDuration = std::chrono::seconds(8);

Duration secondsOf(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** @return a uniformly distributed number in [low, high). */
double drawBetween(RandomSource& random, double low, double high) {
  return low + random.unit() * (high - low);
}

}  // namespace

std::string_view toString(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKillNode:
      return "kill_node";
    case FaultKind::kKillHalf:
      return "kill_half";
    case FaultKind::kKillAll:
      return "kill_all";
    case FaultKind::kFreezeNode:
      return "freeze_node";
    case FaultKind::kRestartNode:
      return "restart_node";
    case FaultKind::kRollingRestart:
      return "rolling_restart";
    case FaultKind::kStoreBusy:
      return "store_busy";
    case FaultKind::kStoreSilent:
      return "store_silent";
    case FaultKind::kStoreResets:
      return "store_resets";
    case FaultKind::kStoreSlow:
      return "store_slow";
    case FaultKind::kStoreForgetsHistory:
      return "store_forgets_history";
    case FaultKind::kCutFromStore:
      return "cut_from_store";
    case FaultKind::kLossyFabric:
      return "lossy_fabric";
    case FaultKind::kDrainHosts:
      return "drain_hosts";
    case FaultKind::kCrashHost:
      return "crash_host";
    case FaultKind::kReuseAddress:
      return "reuse_address";
    case FaultKind::kConfigurationStorm:
      return "configuration_storm";
    case FaultKind::kBigConfiguration:
      return "big_configuration";
    case FaultKind::kReloadSettings:
      return "reload_settings";
    case FaultKind::kReloadBadSettings:
      return "reload_bad_settings";
    case FaultKind::kShortRoom:
      return "short_room";
    case FaultKind::kShortSplit:
      return "short_split";
    case FaultKind::kRestartHost:
      return "restart_host";
    case FaultKind::kKillReader:
      return "kill_reader";
    case FaultKind::kOverloadedLink:
      return "overloaded_link";
    case FaultKind::kForeignEntry:
      return "foreign_entry";
    case FaultKind::kShortSilence:
      return "short_silence";
    case FaultKind::kRoutesReturn:
      return "routes_return";
    case FaultKind::kLeaveUnseen:
      return "leave_unseen";
    case FaultKind::kLeaveWithReader:
      return "leave_with_reader";
    case FaultKind::kCount:
      break;
  }
  return "unknown";
}

std::vector<Fault> drawFaults(uint64_t seed, Duration length) {
  RandomSource random(seed);
  std::vector<Fault> faults;
  Duration at = secondsOf(kMinFaultSeconds);
  while (at < length) {
    Fault fault;
    fault.kind =
        static_cast<FaultKind>(random.below(static_cast<uint64_t>(FaultKind::kUsualCount)));
    fault.at = at;
    fault.duration =
        secondsOf(kMinFaultSeconds + random.unit() * (kMaxFaultSeconds - kMinFaultSeconds));
    fault.choice = random.below(UINT32_MAX);
    faults.push_back(fault);
    at += secondsOf(2 * kMeanGapSeconds * random.unit());
  }
  return faults;
}

std::vector<Fault> drawHardLoad(uint64_t seed, Duration length) {
  RandomSource random(mixHash(seed, kHardLoadStream));
  std::vector<Fault> faults;
  Duration at = secondsOf(kMeanHardLoadGapSeconds * random.unit());
  Duration lastEnd = length;
  while (at < length) {
    constexpr auto kFirst = static_cast<uint64_t>(FaultKind::kShortRoom);
    const uint64_t kinds = static_cast<uint64_t>(FaultKind::kKillReader) - kFirst;
    const auto kind = static_cast<FaultKind>(kFirst + random.below(kinds));
    faults.push_back({kind, at, kShortageDuration, random.below(UINT32_MAX)});
    if (kind != FaultKind::kRestartHost) {
      at += kShortageDuration;
      lastEnd = std::max(lastEnd, at);
    }
    at += secondsOf(2 * kMeanHardLoadGapSeconds * random.unit());
  }
  faults.push_back({FaultKind::kShortRoom, lastEnd, kShortageDuration, random.below(UINT32_MAX)});
  return faults;
}

std::vector<Fault> drawOverloadedLinks(uint64_t seed, Duration length) {
  RandomSource random(mixHash(seed, kOverloadedLinkStream));
  std::vector<Fault> faults;
  Duration at = secondsOf(2 * kMeanOverloadedLinkGapSeconds * random.unit());
  while (at < length) {
    Fault fault;
    fault.kind = FaultKind::kOverloadedLink;
    fault.at = at;
    fault.duration =
        secondsOf(drawBetween(random, kMinOverloadedLinkSeconds, kMaxOverloadedLinkSeconds));
    fault.choice = random.below(UINT32_MAX);
    fault.lossShare = drawBetween(random, kMinLossShare, kMaxLossShare);
    fault.nodeCount = random.unit() < kTwoNodesShare ? 2 : 1;
    faults.push_back(fault);
    at += fault.duration + secondsOf(2 * kMeanOverloadedLinkGapSeconds * random.unit());
  }
  return faults;
}

std::vector<Fault> drawForeignEntries(uint64_t seed, Duration length) {
  RandomSource random(mixHash(seed, kForeignEntryStream));
  std::vector<Fault> faults;
  Duration at = secondsOf(2 * kMeanForeignEntryGapSeconds * random.unit());
  while (at < length) {
    Fault fault;
    fault.kind = FaultKind::kForeignEntry;
    fault.at = at;
    fault.choice = random.below(UINT32_MAX);
    faults.push_back(fault);
    at += secondsOf(2 * kMeanForeignEntryGapSeconds * random.unit());
  }
  return faults;
}

std::vector<Fault> drawShortSilences(uint64_t seed, Duration length) {
  RandomSource random(mixHash(seed, kShortSilenceStream));
  std::vector<Fault> faults;
  for (Duration at{0}; at < length; at += kShortSilenceRound) {
    Fault fault;
    fault.kind = FaultKind::kShortSilence;
    fault.at = at;
    fault.duration = secondsOf(drawBetween(random, kMinSilenceSeconds, kMaxSilenceSeconds));
    fault.choice = random.below(UINT32_MAX);
    faults.push_back(fault);
  }
  return faults;
}

std::vector<Fault> drawAbsences(uint64_t seed, Duration length) {
  RandomSource random(mixHash(seed, kAbsenceStream));
  std::vector<Fault> faults;
  Duration at = secondsOf(drawBetween(random, kMinAbsenceGapSeconds, kMaxAbsenceGapSeconds));
  while (at < length) {
    constexpr auto kFirst = static_cast<uint64_t>(FaultKind::kRoutesReturn);
    constexpr uint64_t kKinds = static_cast<uint64_t>(FaultKind::kCount) - kFirst;
    Fault fault;
    fault.kind = static_cast<FaultKind>(kFirst + random.below(kKinds));
    fault.at = at;
    fault.duration = secondsOf(drawBetween(random, kMinAbsenceSeconds, kMaxAbsenceSeconds));
    fault.choice = random.below(UINT32_MAX);
    faults.push_back(fault);
    at += fault.duration +
          secondsOf(drawBetween(random, kMinAbsenceGapSeconds, kMaxAbsenceGapSeconds));
  }
  return faults;
}

Duration drawStaleLag(uint64_t seed) {
  RandomSource random(mixHash(seed, kStaleLagStream));
  return secondsOf(drawBetween(random, 0, kMaxStaleLagSeconds));
}

}  // namespace umberhold::soak
