/**
 * @file Measures the load of the reader election on the store at the size of the whole system, and
 * how soon a dead reader is replaced. Simulated time; the election's decision logic is production
 * code.
 *
 * Prints a table. Flags: number of regions, members per region, simulated hours, seed.
 */
#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "common/platform/reader_election.h"

using namespace umberhold;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time between two steps of the simulation. */
constexpr Duration kStep = milliseconds(100);
constexpr Duration kWarmUp = std::chrono::minutes(2);
constexpr Duration kDeathInterval = std::chrono::minutes(5);
constexpr uint32_t kZones = 3;

/** Membership of one region as seen by one of its members. Members are alive unless killed. */
class RegionView : public MembershipView {
 public:
  RegionView(uint32_t firstId, uint32_t count) {
    for (uint32_t id = firstId; id < firstId + count; ++id) {
      Member member;
      member.id = NodeId{id};
      member.zone = ZoneId{id % kZones};
      members_.push_back(member);
    }
  }
  NodeId self() const override { return selfId; }
  const Member* find(NodeId) const override { return nullptr; }
  void forEach(const std::function<void(const Member&)>& visitor) const override {
    std::for_each(members_.begin(), members_.end(), visitor);
  }
  uint64_t revision() const override { return 0; }
  const std::vector<Member>& members() const { return members_; }
  void kill(NodeId id) {
    for (Member& member : members_) {
      if (member.id == id) {
        member.state = MemberState::kDead;
      }
    }
  }

  NodeId selfId;

 private:
  std::vector<Member> members_;
};

/** The lease objects in the store; counts reads and writes. */
struct CountingStore {
  std::array<std::optional<ObservedLease>, kReaderSlots> slots;
  uint64_t version = 0;
  uint64_t reads = 0;
  uint64_t writes = 0;
};

struct SimulatedNode {
  SimulatedNode(NodeId node, size_t regionIndex, uint64_t seed)
      : id(node), region(regionIndex), random(seed), election({}, node, random) {}
  NodeId id;
  size_t region;
  RandomSource random;
  ReaderElection election;
};

/** Simulates all regions; only nodes that are candidates for a slot take part. */
class Simulation {
 public:
  Simulation(uint32_t regions, uint32_t members, uint64_t seed) : seed_(seed) {
    for (uint32_t region = 0; region < regions; ++region) {
      views_.emplace_back(region * members + 1, members);
      refreshCandidates(region);
    }
  }

  void step() {
    now_ += kStep;
    for (auto& [id, node] : nodes_) {
      runElection(*node);
    }
  }

  /** Kills the holder of the slot; the membership of its region is updated immediately. */
  void killHolder(uint8_t slot) {
    for (auto& [id, node] : nodes_) {
      if (node->election.heldSlot(now_) == slot) {
        const size_t region = node->region;
        views_[region].kill(id);
        nodes_.erase(id);
        refreshCandidates(region);
        return;
      }
    }
  }

  bool isHeld(uint8_t slot) const {
    return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
      return entry.second->election.heldSlot(now_) == slot;
    });
  }

  size_t candidates() const { return nodes_.size(); }
  CountingStore store;

 private:
  /** Updates the ranks of the candidates of a region and adds new candidates. */
  void refreshCandidates(size_t region) {
    RegionView& view = views_[region];
    for (const Member& member : view.members()) {
      view.selfId = member.id;
      const ReaderRanks ranks = readerRanks(view);
      const bool isCandidate = std::any_of(ranks.begin(), ranks.end(),
                                           [](const auto& rank) { return rank.has_value(); });
      auto entry = nodes_.find(member.id);
      if (entry == nodes_.end() && !isCandidate) {
        continue;
      }
      if (entry == nodes_.end()) {
        auto node = std::make_unique<SimulatedNode>(member.id, region, seed_ + member.id.value);
        entry = nodes_.emplace(member.id, std::move(node)).first;
      }
      entry->second->election.setRanks(ranks, now_);
    }
  }

  /** Executes the actions that the election of a node requests at this time. */
  void runElection(SimulatedNode& node) {
    for (ElectionAction action = node.election.next(now_);
         !std::holds_alternative<WaitUntil>(action); action = node.election.next(now_)) {
      if (const auto* read = std::get_if<ReadLease>(&action)) {
        ++store.reads;
        node.election.onRead(now_, read->slot, store.slots[read->slot]);
        continue;
      }
      const auto& write = std::get<WriteLease>(action);
      ++store.writes;
      auto& slot = store.slots[write.slot];
      if ((slot ? slot->version : 0) == write.expectedVersion) {
        slot = ObservedLease{++store.version, write.lease};
        node.election.onWritten(now_, write, store.version);
      } else {
        node.election.onWriteFailed(now_, write.slot, {StoreErrorCode::kConflict, "", {}});
      }
    }
  }

  const uint64_t seed_;
  TimePoint now_{};
  std::vector<RegionView> views_;
  std::map<NodeId, std::unique_ptr<SimulatedNode>> nodes_;
};

double perSecond(uint64_t count, Duration duration) {
  return static_cast<double>(count) / (static_cast<double>(duration.count()) / 1e6);
}

void measure(uint32_t regions, uint32_t members, Duration duration, uint64_t seed) {
  Simulation simulation(regions, members, seed);
  Duration elapsed{0};
  for (; elapsed < kWarmUp; elapsed += kStep) {
    simulation.step();
  }
  simulation.store.reads = 0;
  simulation.store.writes = 0;
  for (elapsed = Duration{0}; elapsed < duration; elapsed += kStep) {
    simulation.step();
  }
  const double reads = perSecond(simulation.store.reads, duration);
  const double writes = perSecond(simulation.store.writes, duration);

  double totalVacantSeconds = 0;
  double maxVacantSeconds = 0;
  uint32_t deaths = 0;
  // Limited so that every region keeps candidates.
  const uint32_t maxDeaths = std::max(1U, regions * members / 4);
  for (elapsed = Duration{0}; elapsed < duration && deaths < maxDeaths; elapsed += kDeathInterval) {
    const auto slot = static_cast<uint8_t>(deaths % kReaderSlots);
    simulation.killHolder(slot);
    Duration vacant{0};
    for (Duration waited{0}; waited < kDeathInterval; waited += kStep) {
      simulation.step();
      vacant += simulation.isHeld(slot) ? Duration{0} : kStep;
    }
    const double vacantSeconds = static_cast<double>(vacant.count()) / 1e6;
    totalVacantSeconds += vacantSeconds;
    maxVacantSeconds = std::max(maxVacantSeconds, vacantSeconds);
    ++deaths;
  }
  std::cout << "nodes candidates lease_reads_per_s lease_writes_per_s deaths vacant_mean_s "
               "vacant_worst_s seed\n"
            << regions * members << " " << simulation.candidates() << " " << reads << " " << writes
            << " " << deaths << " " << totalVacantSeconds / deaths << " " << maxVacantSeconds << " "
            << seed << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine commandLine("Load of the reader election on the store", ' ');
    TCLAP::ValueArg<uint32_t> regions("", "regions", "Regions", false, 9, "count", commandLine);
    TCLAP::ValueArg<uint32_t> members("", "members", "Members per region", false, 1900, "count",
                                      commandLine);
    TCLAP::ValueArg<uint32_t> hours("", "hours", "Simulated hours", false, 2, "hours", commandLine);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed", false, 20261202, "number", commandLine);
    commandLine.parse(argc, argv);
    measure(regions.getValue(), members.getValue(), std::chrono::hours(hours.getValue()),
            seed.getValue());
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
    return 2;
  }
  return 0;
}
