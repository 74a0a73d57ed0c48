#include "test/soak/world/fault_player.h"

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
/** Entries that lapsed in an outage are back within two seconds of its end. */
constexpr Duration kRegisteredAnew = std::chrono::milliseconds(1500);
/** Nodes that end start again after half a second and are ready soon. */
constexpr Duration kStartTime = std::chrono::seconds(2);
constexpr auto kStoreSlow = std::chrono::milliseconds(200);
/** Fewer serving hosts than this are left alone. */
constexpr size_t kFewestHosts = 8;
/** Hosts that are left where room is short. */
constexpr size_t kMainHostsLeft = 3;
constexpr size_t kSplitHostsLeft = 1;
constexpr Duration kRetryGap = std::chrono::milliseconds(500);

}  // namespace

FaultPlayer::FaultPlayer(const DeploymentPlan& plan, SoakWorld& world, NodeProcesses& nodes,
                         test::StandinStore& store)
    : plan_(plan), world_(world), nodes_(nodes), store_(store) {}

void FaultPlayer::schedule(TimePoint start, const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    at(start + fault.at, [this, fault](TimePoint now) { strike(now, fault); });
  }
}

void FaultPlayer::play(TimePoint now) {
  while (!steps_.empty() && steps_.begin()->first <= now) {
    const Step step = std::move(steps_.begin()->second);
    steps_.erase(steps_.begin());
    step(now);
  }
  restarted(now);
}

void FaultPlayer::restarted(TimePoint now) {
  const std::vector<size_t> started = nodes_.restartEnded(now);
  const std::lock_guard lock(world_.mutex());
  for (const size_t node : started) {
    world_.routes().onNodeStarted(node);
    world_.anyTrouble().strike(nameOf(node), now);
  }
}

void FaultPlayer::begin(const std::string& struck, Cause cause, TimePoint now) {
  const std::lock_guard lock(world_.mutex());
  world_.anyTrouble().begin(struck, now);
  if (cause == Cause::kUnplanned) {
    world_.unplannedTrouble().begin(struck, now);
  }
}

void FaultPlayer::end(const std::string& struck, Cause cause, TimePoint now) {
  const std::lock_guard lock(world_.mutex());
  world_.anyTrouble().end(struck, now);
  if (cause == Cause::kUnplanned) {
    world_.unplannedTrouble().end(struck, now);
  }
}

void FaultPlayer::strikeOnce(const std::string& struck, Cause cause, TimePoint now) {
  begin(struck, cause, now);
  end(struck, cause, now);
}

void FaultPlayer::strike(TimePoint now, const Fault& fault) {
  ++counts_[fault.kind];
  if (fault.kind >= FaultKind::kUsualCount) {
    strikeHardLoad(now, fault);
  } else if (fault.kind <= FaultKind::kRollingRestart || fault.kind == FaultKind::kReloadSettings ||
             fault.kind == FaultKind::kReloadBadSettings || fault.kind == FaultKind::kLossyFabric) {
    strikeNode(now, fault);
  } else if (fault.kind <= FaultKind::kCutFromStore) {
    strikeStore(now, fault);
  } else if (fault.kind <= FaultKind::kReuseAddress) {
    strikeHosts(now, fault);
  } else {
    strikeConfiguration(now, fault);
  }
}

size_t FaultPlayer::chosenNode(const Fault& fault) const {
  return fault.choice % plan_.nodes().size();
}

void FaultPlayer::strikeNode(TimePoint now, const Fault& fault) {
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
      return loseFabric(now, fault);
    default:
      return nodes_.reload(chosenNode(fault), fault.kind == FaultKind::kReloadSettings);
  }
}

void FaultPlayer::killNode(TimePoint now, size_t node) {
  strikeOnce(nameOf(node), Cause::kUnplanned, now);
  nodes_.kill(node);
  at(now + kStartTime, [](TimePoint) {});
}

void FaultPlayer::killShare(TimePoint now, const Fault& fault, size_t count) {
  for (size_t index = 0; index < count; ++index) {
    killNode(now, (chosenNode(fault) + index) % plan_.nodes().size());
  }
}

void FaultPlayer::freezeNode(TimePoint now, const Fault& fault) {
  const size_t node = chosenNode(fault);
  begin(nameOf(node), Cause::kUnplanned, now);
  nodes_.signal(node, SIGSTOP);
  at(now + fault.lasts, [this, node](TimePoint later) {
    nodes_.signal(node, SIGCONT);
    end(nameOf(node), Cause::kUnplanned, later);
  });
}

void FaultPlayer::restartNode(TimePoint now, size_t node) {
  strikeOnce(nameOf(node), Cause::kPlanned, now);
  nodes_.signal(node, SIGTERM);
  at(now + kStartTime, [](TimePoint) {});
}

void FaultPlayer::rollingRestart(TimePoint now) {
  for (size_t node = 0; node < plan_.nodes().size(); ++node) {
    at(now + static_cast<Duration::rep>(node) * kRollingGap,
       [this, node](TimePoint later) { restartNode(later, node); });
  }
}

void FaultPlayer::loseFabric(TimePoint now, const Fault& fault) {
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

void FaultPlayer::strikeStore(TimePoint now, const Fault& fault) {
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
      strikeOnce("store", Cause::kUnplanned, now);
      store_.objects().forgetHistory();
      return;
  }
  moodOfStore(now, fault, faults);
}

void FaultPlayer::moodOfStore(TimePoint now, const Fault& fault,
                              const test::StandinFaults& faults) {
  if (storeTroubled_) {
    return;
  }
  storeTroubled_ = true;
  const bool lapses = faults.responseMode == test::StoreResponseMode::kSilent && fault.choice % 3 == 0;
  begin("store", Cause::kUnplanned, now);
  store_.setFaults(faults);
  if (lapses) {
    const std::lock_guard lock(world_.mutex());
    world_.hosts().lapse();
  }
  at(now + fault.lasts, [this, lapses](TimePoint later) {
    store_.setFaults({});
    storeTroubled_ = false;
    if (!lapses) {
      end("store", Cause::kUnplanned, later);
      return;
    }
    at(later + kRegisteredAnew, [this](TimePoint latest) {
      {
        const std::lock_guard lock(world_.mutex());
        world_.hosts().registerAll();
      }
      end("store", Cause::kUnplanned, latest);
    });
  });
}

void FaultPlayer::cutFromStore(TimePoint now, const Fault& fault) {
  const size_t node = chosenNode(fault);
  begin(nameOf(node), Cause::kUnplanned, now);
  nodes_.setCut(node, true);
  at(now + fault.lasts, [this, node](TimePoint later) {
    nodes_.setCut(node, false);
    end(nameOf(node), Cause::kUnplanned, later);
  });
}

void FaultPlayer::strikeHosts(TimePoint now, const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kDrainHosts:
      return drainHosts(now, fault);
    case FaultKind::kCrashHost:
      return crashHost(now, fault, false);
    default:
      return crashHost(now, fault, true);
  }
}

void FaultPlayer::drainHosts(TimePoint now, const Fault& fault) {
  for (uint64_t step = 0; step < kDrainedHosts; ++step) {
    at(now + static_cast<Duration::rep>(step) * kDrainGap, [this, fault, step](TimePoint later) {
      if (storeTroubled_) {
        return;  // A host leaves once the store has taken that.
      }
      const std::lock_guard lock(world_.mutex());
      const std::vector<size_t> serving = world_.hosts().serving();
      if (serving.size() > kFewestHosts) {
        world_.hosts().replace(later, serving[(fault.choice + step) % serving.size()]);
      }
    });
  }
}

void FaultPlayer::crashHost(TimePoint now, const Fault& fault, bool reuse) {
  const std::lock_guard lock(world_.mutex());
  const std::vector<size_t> serving = world_.hosts().serving();
  if (serving.size() <= kFewestHosts) {
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

void FaultPlayer::strikeHardLoad(TimePoint now, const Fault& fault) {
  if (fault.kind != FaultKind::kRestartHost) {
    shortenRoom(now, fault);
    return;
  }
  const std::lock_guard lock(world_.mutex());
  const std::vector<size_t> serving = world_.hosts().serving();
  if (!serving.empty()) {
    world_.hosts().restart(serving[fault.choice % serving.size()]);
  }
}

void FaultPlayer::shortenRoom(TimePoint now, const Fault& fault) {
  if (storeTroubled_) {  // A host leaves once the store has taken that.
    at(now + kRetryGap, [this, fault](TimePoint later) { shortenRoom(later, fault); });
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
  world_.setCrowd(isMain);
  world_.load().onRoomShort();
  if (fault.choice % 2 == 0) {
    at(now + fault.lasts / 2, [this](TimePoint later) { killReader(later); });
  }
  const size_t gone = serving.size() - left;
  at(now + fault.lasts,
     [this, service, gone](TimePoint later) { giveRoomBack(later, service, gone); });
}

void FaultPlayer::giveRoomBack(TimePoint now, const std::string& service, size_t hosts) {
  const std::lock_guard lock(world_.mutex());
  for (size_t index = 0; index < hosts; ++index) {
    world_.hosts().start(now, service, plan_.zones()[index % plan_.zones().size()]);
  }
  world_.setCrowd(false);
  world_.load().onRoomBack(now);
}

void FaultPlayer::killReader(TimePoint now) {
  const auto reader = nodes_.readerOfZone();
  if (reader) {
    ++counts_[FaultKind::kKillReader];
    killNode(now, *reader);
  }
}

void FaultPlayer::strikeConfiguration(TimePoint now, const Fault& fault) {
  const auto store = [this](uint32_t extraRoutes) {
    if (!storeTroubled_) {
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
