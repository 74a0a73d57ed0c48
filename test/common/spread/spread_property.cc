/**
 * @file Stateful property test of membership and configuration distribution, with the store's
 * history as the oracle: no object reverts to an older version, no node claims a version that it
 * does not hold completely, and all nodes converge once faults end.
 */
#include <algorithm>
#include <cstdio>
#include <ostream>

#include <rapidcheck.h>

#include "test/common/spread/spread_region.h"

// After the library headers: it replaces operator new with a macro.
// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

using namespace umberhold;

namespace {

constexpr uint32_t kNodes = 7;
constexpr uint32_t kReaders = 2;
constexpr uint32_t kKeys = 4;

/** Kind of command; `subject` selects the node, key or zone. */
enum class Action : uint8_t {
  kChange,
  kDelete,
  kRead,
  kRepeatOld,
  kCut,
  kHeal,
  kPause,
  kResume,
  kCrash,
  kRestart
};
constexpr int kActions = 10;

struct Command {
  Action action = Action::kChange;
  uint32_t subject = 0;
  /** Simulated time that passes afterwards. */
  int milliseconds = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << '{' << static_cast<int>(command.action) << ", " << command.subject << ", "
             << command.milliseconds << "ms}";
}

rc::Gen<Command> anyCommand() {
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, kActions),
                                     rc::gen::inRange<uint32_t>(0, 100), rc::gen::inRange(0, 4000)),
                      [](const auto& parts) {
                        return Command{static_cast<Action>(std::get<0>(parts)), std::get<1>(parts),
                                       std::get<2>(parts)};
                      });
}

/** Detects a record that reverted to an older version within one process. */
struct MonotonicityObserver : RecordObserver {
  void onRecordApplied(const ConfigRecord& record) override {
    uint64_t& version = versions[record.key];
    regressed = regressed || record.version < version;
    version = record.version;
  }
  std::map<RecordKey, uint64_t> versions;
  bool regressed = false;
};

/** The region under test and the history of the store. */
class World {
 public:
  explicit World(uint64_t seed) : region_(seed) {
    for (uint32_t id = 1; id <= kNodes; ++id) {
      startNode(id);
    }
    for (uint32_t reader = 1; reader <= kReaders; ++reader) {
      region_.control(reader).spread.setStoreListed();
    }
    NetworkFaults& faults = region_.network.faults;
    faults.loss = 0.1;
    faults.repetition = 0.1;
    faults.longestDelay = std::chrono::milliseconds(60);
    region_.run(std::chrono::seconds(3));
  }

  void apply(const Command& command) {
    switch (command.action) {
      case Action::kChange:
      case Action::kDelete:
        change(command.subject % kKeys, command.action == Action::kDelete);
        break;
      case Action::kRead:
        read(1 + command.subject % kReaders);
        break;
      case Action::kRepeatOld:
        repeatOld(1 + command.subject % kReaders, command.subject);
        break;
      case Action::kCut:
        cut(command.subject % SpreadRegion::kZones);
        break;
      case Action::kHeal:
        region_.network.faults.isCut = nullptr;
        break;
      case Action::kPause:
      case Action::kResume:
        pause(1 + command.subject % kNodes, command.action == Action::kPause);
        break;
      case Action::kCrash:
        crash(1 + command.subject % kNodes);
        break;
      case Action::kRestart:
        restart(1 + command.subject % kNodes);
        break;
    }
    region_.run(std::chrono::milliseconds(command.milliseconds));
  }
  /** Ends all faults and runs until readers and other nodes can have caught up. */
  void heal() {
    region_.network.faults = NetworkFaults{};
    for (uint32_t id = 1; id <= kNodes; ++id) {
      pause(id, false);
      restart(id);
    }
    for (uint32_t reader = 1; reader <= kReaders; ++reader) {
      read(reader);
    }
    region_.run(std::chrono::seconds(90));
  }

  bool noVersionRegressed() const {
    return std::none_of(observers_.begin(), observers_.end(),
                        [](const auto& observer) { return observer->regressed; });
  }
  /** @return whether every node holds every change up to its effective version. */
  bool claimsHold() {
    for (auto& [id, node] : region_.nodes) {
      const uint64_t effective = node.control->spread.effectiveVersion();
      for (const ConfigRecord& event : history_) {
        if (event.version <= effective &&
            node.control->store.versionOf(event.key) < event.version) {
          return false;
        }
      }
    }
    return true;
  }
  bool converged() {
    for (auto& [id, node] : region_.nodes) {
      for (const ConfigRecord& event : history_) {
        const auto held = node.control->store.find(event.key);
        if (!held || held->version < event.version) {
          return false;
        }
      }
      const uint64_t last = history_.empty() ? 0 : history_.back().version;
      if (node.control->spread.effectiveVersion() != last || !node.control->spread.caughtUp()) {
        return false;
      }
    }
    return region_.countEqual(1) == kNodes;
  }
  bool viewsAgree() {
    for (auto& [viewer, node] : region_.nodes) {
      for (uint32_t id = 1; id <= kNodes; ++id) {
        const Member* member = node.control->detector.find(NodeId{id});
        if (member == nullptr || member->state != MemberState::kAlive) {
          return false;
        }
      }
    }
    return true;
  }

 private:
  void startNode(uint32_t id) {
    observers_.push_back(std::make_unique<MonotonicityObserver>());
    region_.start(id, ++incarnation_).store.addObserver(observers_.back().get());
  }
  void change(uint32_t key, bool isDeletion) {
    ConfigRecord record = SpreadRegion::recordOf("service-" + std::to_string(key), ++version_, 40);
    record.deleted = isDeletion;
    if (isDeletion) {
      record.payload.clear();
    }
    history_.push_back(std::move(record));
  }
  /** The reader publishes the changes that it has not read yet, in order. */
  void read(uint32_t reader) {
    if (!region_.nodes.at(reader).paused) {
      publish(reader, cursors_[reader], history_.size());
      cursors_[reader] = history_.size();
    }
  }
  /** The reader publishes a change again that it has read before. */
  void repeatOld(uint32_t reader, uint32_t choice) {
    if (cursors_[reader] > 0 && !region_.nodes.at(reader).paused) {
      const size_t first = choice % cursors_[reader];
      publish(reader, first, first + 1);
    }
  }
  void publish(uint32_t reader, size_t first, size_t last) {
    const auto begin = history_.begin();
    region_.control(reader).spread.publish(
        region_.network.now(),
        {begin + static_cast<std::ptrdiff_t>(first), begin + static_cast<std::ptrdiff_t>(last)});
  }
  void cut(uint32_t zone) {
    region_.network.faults.isCut = [zone](NodeId from, NodeId to) {
      return (from.value % SpreadRegion::kZones == zone) !=
             (to.value % SpreadRegion::kZones == zone);
    };
  }
  void pause(uint32_t id, bool paused) {
    if (region_.nodes.at(id).running && region_.nodes.at(id).paused != paused) {
      region_.pause(id, paused);
    }
  }
  /** Readers do not crash, because their re-election is not modelled here. */
  void crash(uint32_t id) {
    if (id > kReaders && region_.nodes.at(id).running) {
      region_.crash(id);
    }
  }
  void restart(uint32_t id) {
    if (!region_.nodes.at(id).running) {
      startNode(id);
    }
  }

  SpreadRegion region_;
  std::vector<std::unique_ptr<MonotonicityObserver>> observers_;
  std::vector<ConfigRecord> history_;
  std::map<uint32_t, size_t> cursors_;
  uint64_t version_ = 0;
  uint64_t incarnation_ = 0;
};

}  // namespace

TEST_GROUP_BASE(SpreadProperty, test::WithoutLeakDetection){};

TEST(SpreadProperty, VersionsNeverDecreaseAndNodesConvergeAfterHealing) {
  const bool holds = rc::check([] {
    World world(*rc::gen::arbitrary<uint64_t>());
    const auto commands = *rc::gen::container<std::vector<Command>>(anyCommand());
    for (const Command& command : commands) {
      world.apply(command);
      RC_ASSERT(world.noVersionRegressed());
      RC_ASSERT(world.claimsHold());
    }
    world.heal();
    RC_ASSERT(world.noVersionRegressed());
    RC_ASSERT(world.claimsHold());
    RC_ASSERT(world.viewsAgree());
    RC_ASSERT(world.converged());
  });
  CHECK_TRUE(holds);
}
