#include "test/soak/world/fault_injector.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace umberhold::soak {
namespace {

constexpr Duration kRollingGap = std::chrono::milliseconds(700);
constexpr Duration kStormGap = std::chrono::milliseconds(330);
constexpr Duration kDrainGap = std::chrono::milliseconds(800);
constexpr uint64_t kDrainedHosts = 4;
constexpr uint32_t kBigConfiguration = 500;
constexpr double kLostShare = 0.03;
/** Entries that expired in an outage are registered again within two seconds of its end. */
constexpr Duration kReregistrationTime = std::chrono::milliseconds(1500);
/** Ended nodes restart after half a second and are ready soon afterwards. */
constexpr Duration kStartTime = std::chrono::seconds(2);
constexpr auto kStoreSlow = std::chrono::milliseconds(200);
/** Host faults are injected only with more serving hosts than this. */
constexpr size_t kMinimumHosts = 8;
/** Hosts that remain during a capacity shortage. */
constexpr size_t kMainHostsLeft = 3;
constexpr size_t kSplitHostsLeft = 1;
constexpr Duration kRetryGap = std::chrono::milliseconds(500);

}  // namespace

FaultInjector::FaultInjector(const DeploymentPlan& plan, SoakWorld& world, NodeProcesses& nodes,
                             test::StandinStore& store)
    : plan_(plan), world_(world), nodes_(nodes), store_(store) {}

void FaultInjector::schedule(TimePoint start, const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    at(start + fault.at, [this, fault](TimePoint now) { inject(now, fault); });
  }
}

void FaultInjector::runDueSteps(TimePoint now) {
  while (!steps_.empty() && steps_.begin()->first <= now) {
    const Step step = std::move(steps_.begin()->second);
    steps_.erase(steps_.begin());
    step(now);
  }
  restarted(now);
}

void FaultInjector::restarted(TimePoint now) {
  const std::vector<size_t> started = nodes_.restartEnded(now);
  const std::lock_guard lock(world_.mutex());
  for (const size_t node : started) {
    world_.routes().onNodeStarted(node);
    world_.allDisturbances().recordInstant(nameOf(node), now);
  }
}

void FaultInjector::begin(const std::string& target, Cause cause, TimePoint now) {
  const std::lock_guard lock(world_.mutex());
  world_.allDisturbances().begin(target, now);
  if (cause == Cause::kUnplanned) {
    world_.unplannedDisturbances().begin(target, now);
  }
}

void FaultInjector::end(const std::string& target, Cause cause, TimePoint now) {
  const std::lock_guard lock(world_.mutex());
  world_.allDisturbances().end(target, now);
  if (cause == Cause::kUnplanned) {
    world_.unplannedDisturbances().end(target, now);
  }
}

void FaultInjector::recordOnce(const std::string& target, Cause cause, TimePoint now) {
  begin(target, cause, now);
  end(target, cause, now);
}

void FaultInjector::inject(TimePoint now, const Fault& fault) {
  ++counts_[fault.kind];
  if (fault.kind >= FaultKind::kUsualCount) {
    injectHardLoadFault(now, fault);
  } else if (fault.kind <= FaultKind::kRollingRestart || fault.kind == FaultKind::kReloadSettings ||
             fault.kind == FaultKind::kReloadBadSettings || fault.kind == FaultKind::kLossyFabric) {
    injectNodeFault(now, fault);
  } else if (fault.kind <= FaultKind::kCutFromStore) {
    injectStoreFault(now, fault);
  } else if (fault.kind <= FaultKind::kReuseAddress) {
    injectHostFault(now, fault);
  } else {
    injectConfigurationFault(now, fault);
  }
}

size_t FaultInjector::chosenNode(const Fault& fault) const {
  return fault.choice % plan_.nodes().size();
}

void FaultInjector::injectNodeFault(TimePoint now, const Fault& fault) {
  const size_t all = plan_.nodes().size();
  switch (fault.kind) {
    case FaultKind::kKillNode:
      return killNode(now, chosenNode(fault));
    case FaultKind::kKillHalf:
      return killShare(now, fault, all / 2);
    case FaultKind::kKillAll:
      return killShare(now, fault, all);
    case FaultKind::kFreezeNode:
      return freezeNode(now, fault);
    case FaultKind::kRestartNode:
      return restartNode(now, chosenNode(fault));
    case FaultKind::kRollingRestart:
      return rollingRestart(now);
    case FaultKind::kLossyFabric:
      return makeFabricLossy(now, fault);
    default:
      return nodes_.reload(chosenNode(fault), fault.kind == FaultKind::kReloadSettings);
  }
}

void FaultInjector::killNode(TimePoint now, size_t node) {
  recordOnce(nameOf(node), Cause::kUnplanned, now);
  nodes_.kill(node);
  at(now + kStartTime, [](TimePoint) {});
}

void FaultInjector::killShare(TimePoint now, const Fault& fault, size_t count) {
  for (size_t index = 0; index < count; ++index) {
    killNode(now, (chosenNode(fault) + index) % plan_.nodes().size());
  }
}

void FaultInjector::freezeNode(TimePoint now, const Fault& fault) {
  const size_t node = chosenNode(fault);
  begin(nameOf(node), Cause::kUnplanned, now);
  nodes_.signal(node, SIGSTOP);
  at(now + fault.lasts, [this, node](TimePoint later) {
    nodes_.signal(node, SIGCONT);
    end(nameOf(node), Cause::kUnplanned, later);
  });
}

void FaultInjector::restartNode(TimePoint now, size_t node) {
  recordOnce(nameOf(node), Cause::kPlanned, now);
  nodes_.signal(node, SIGTERM);
  at(now + kStartTime, [](TimePoint) {});
}

void FaultInjector::rollingRestart(TimePoint now) {
  for (size_t node = 0; node < plan_.nodes().size(); ++node) {
    at(now + static_cast<Duration::rep>(node) * kRollingGap,
       [this, node](TimePoint later) { restartNode(later, node); });
  }
}

void FaultInjector::makeFabricLossy(TimePoint now, const Fault& fault) {
  {
    const std::lock_guard lock(world_.mutex());
    standins::FaultRule rule;
    rule.dropShare = kLostShare;
    rule.reorderShare = kLostShare;
    rule.repeatShare = kLostShare;
    world_.fabric().set(rule);
  }
  at(now + fault.lasts, [this](TimePoint) {
    const std::lock_guard lock(world_.mutex());
    world_.fabric().clear();
  });
}

void FaultInjector::injectStoreFault(TimePoint now, const Fault& fault) {
  test::StandinFaults faults;
  switch (fault.kind) {
    case FaultKind::kStoreBusy:
      faults.responseMode = test::StoreResponseMode::kBusy;
      break;
    case FaultKind::kStoreSilent:
      faults.responseMode = test::StoreResponseMode::kSilent;
      faults.staysSilent = fault.choice % 2 == 0;
      break;
    case FaultKind::kStoreResets:
      faults.responseMode = test::StoreResponseMode::kReset;
      break;
    case FaultKind::kStoreSlow:
      faults.slow = kStoreSlow;
      break;
    case FaultKind::kCutFromStore:
      return cutFromStore(now, fault);
    default:
      recordOnce("store", Cause::kUnplanned, now);
      store_.objects().forgetHistory();
      return;
  }
  applyStoreFaults(now, fault, faults);
}

void FaultInjector::applyStoreFaults(TimePoint now, const Fault& fault,
                                     const test::StandinFaults& faults) {
  if (storeFaultActive_) {
    return;
  }
  storeFaultActive_ = true;
  const bool expires =
      faults.responseMode == test::StoreResponseMode::kSilent && fault.choice % 3 == 0;
  begin("store", Cause::kUnplanned, now);
  store_.setFaults(faults);
  if (expires) {
    const std::lock_guard lock(world_.mutex());
    world_.hosts().expireEntries();
  }
  at(now + fault.lasts, [this, expires](TimePoint later) {
    store_.setFaults({});
    storeFaultActive_ = false;
    if (!expires) {
      end("store", Cause::kUnplanned, later);
      return;
    }
    at(later + kReregistrationTime, [this](TimePoint latest) {
      {
        const std::lock_guard lock(world_.mutex());
        world_.hosts().registerAll();
      }
      end("store", Cause::kUnplanned, latest);
    });
  });
}

void FaultInjector::cutFromStore(TimePoint now, const Fault& fault) {
  const size_t node = chosenNode(fault);
  begin(nameOf(node), Cause::kUnplanned, now);
  nodes_.setCut(node, true);
  at(now + fault.lasts, [this, node](TimePoint later) {
    nodes_.setCut(node, false);
    end(nameOf(node), Cause::kUnplanned, later);
  });
}

void FaultInjector::injectHostFault(TimePoint now, const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kDrainHosts:
      return drainHosts(now, fault);
    case FaultKind::kCrashHost:
      return crashHost(now, fault, false);
    default:
      return crashHost(now, fault, true);
  }
}

void FaultInjector::drainHosts(TimePoint now, const Fault& fault) {
  for (uint64_t step = 0; step < kDrainedHosts; ++step) {
    at(now + static_cast<Duration::rep>(step) * kDrainGap, [this, fault, step](TimePoint later) {
      if (storeFaultActive_) {
        return;  // A host leaves only after the store has accepted its change.
      }
      const std::lock_guard lock(world_.mutex());
      const std::vector<size_t> serving = world_.hosts().serving();
      if (serving.size() > kMinimumHosts) {
        world_.hosts().replace(later, serving[(fault.choice + step) % serving.size()]);
      }
    });
  }
}

void FaultInjector::crashHost(TimePoint now, const Fault& fault, bool reuse) {
  const std::lock_guard lock(world_.mutex());
  const std::vector<size_t> serving = world_.hosts().serving();
  if (serving.size() <= kMinimumHosts) {
    return;
  }
  const size_t slot = serving[fault.choice % serving.size()];
  const HostPlan plan = world_.hosts().slots()[slot].host->plan();
  if (reuse) {
    world_.hosts().crashAndReuse(now, slot);
  } else {
    world_.hosts().crash(now, slot);
  }
  world_.hosts().start(now, plan.service, plan.zone);
}

void FaultInjector::injectHardLoadFault(TimePoint now, const Fault& fault) {
  if (fault.kind != FaultKind::kRestartHost) {
    reduceCapacity(now, fault);
    return;
  }
  const std::lock_guard lock(world_.mutex());
  const std::vector<size_t> serving = world_.hosts().serving();
  if (!serving.empty()) {
    world_.hosts().restart(serving[fault.choice % serving.size()]);
  }
}

void FaultInjector::reduceCapacity(TimePoint now, const Fault& fault) {
  if (storeFaultActive_) {  // A host leaves only after the store has accepted its change.
    at(now + kRetryGap, [this, fault](TimePoint later) { reduceCapacity(later, fault); });
    return;
  }
  const bool isMain = fault.kind == FaultKind::kShortRoom;
  const std::string service = isMain ? "dispatch" : "mapstore";
  const std::lock_guard lock(world_.mutex());
  const std::vector<size_t> serving = world_.hosts().serving(service);
  const size_t left = std::min(serving.size(), isMain ? kMainHostsLeft : kSplitHostsLeft);
  for (size_t index = left; index < serving.size(); ++index) {
    world_.hosts().leave(now, serving[index]);
  }
  world_.setExtraCallers(isMain);
  world_.load().onCapacityReduced();
  if (fault.choice % 2 == 0) {
    at(now + fault.lasts / 2, [this](TimePoint later) { killReader(later); });
  }
  const size_t gone = serving.size() - left;
  at(now + fault.lasts,
     [this, service, gone](TimePoint later) { restoreCapacity(later, service, gone); });
}

void FaultInjector::restoreCapacity(TimePoint now, const std::string& service, size_t hosts) {
  const std::lock_guard lock(world_.mutex());
  for (size_t index = 0; index < hosts; ++index) {
    world_.hosts().start(now, service, plan_.zones()[index % plan_.zones().size()]);
  }
  world_.setExtraCallers(false);
  world_.load().onCapacityRestored(now);
}

void FaultInjector::killReader(TimePoint now) {
  const auto reader = nodes_.readerOfZone();
  if (reader) {
    ++counts_[FaultKind::kKillReader];
    killNode(now, *reader);
  }
}

void FaultInjector::injectConfigurationFault(TimePoint now, const Fault& fault) {
  const auto store = [this](uint32_t extraRoutes) {
    if (!storeFaultActive_) {
      const std::lock_guard lock(world_.mutex());
      world_.storeConfiguration(extraRoutes);
    }
  };
  if (fault.kind == FaultKind::kBigConfiguration) {
    store(kBigConfiguration);
    at(now + fault.lasts, [store](TimePoint) { store(0); });
    return;
  }
  for (Duration after{0}; after < fault.lasts; after += kStormGap) {
    at(now + after, [store](TimePoint) { store(0); });
  }
}

}  // namespace umberhold::soak
