/**
 * @file Evacuations as nodes receive them: watches, stale lists, peers, outages and restarts, in
 * any order, compared with the store's history.
 *
 * A node at a version holds for each zone the store's state at that version or a later one. After
 * an answer of the store itself it holds the store's current state.
 */
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "common/platform/zone_evacuations.h"

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr uint64_t kSeeds = 300;
constexpr int kSteps = 300;
constexpr size_t kNodes = 4;

/** A change of one zone. */
struct Change {
  uint64_t revision = 0;
  std::string zone;
  bool begins = false;
};

/** The store's history. */
class History {
 public:
  void change(const std::string& zone) {
    const bool begins = !evacuatedAt(revision_).zones.contains(zone);
    ++revision_;
    changes_.push_back({revision_, zone, begins});
  }
  uint64_t revision() const { return revision_; }
  const std::vector<Change>& changes() const { return changes_; }
  EvacuatedZones evacuatedAt(uint64_t revision) const {
    EvacuatedZones evacuated;
    for (const Change& change : changes_) {
      if (change.revision > revision) {
        break;
      }
      if (change.begins) {
        evacuated.zones.insert(change.zone);
      } else {
        evacuated.zones.erase(change.zone);
      }
    }
    return evacuated;
  }

 private:
  uint64_t revision_ = 0;
  std::vector<Change> changes_;
};

/** A node and the version up to which its state is complete. */
struct Node {
  ZoneEvacuations evacuations;
  uint64_t version = 0;

  void restartWithLaggingList(const History& history, uint64_t revision) {
    evacuations = ZoneEvacuations{};
    for (const Change& change : history.changes()) {
      const bool listed = change.begins && change.revision <= revision &&
                          history.evacuatedAt(revision).zones.contains(change.zone);
      if (listed) {
        evacuations.onStarted(change.zone, change.revision);
      }
    }
    evacuations.onKnownUpTo(revision);
    version = revision;
  }
  /** Applies events in order, all at the version of the answer, as the adapter does. */
  void watch(const History& history) {
    for (const Change& change : history.changes()) {
      if (change.revision > version && change.begins) {
        evacuations.onStarted(change.zone, history.revision());
      } else if (change.revision > version) {
        evacuations.onEnded(change.zone, history.revision());
      }
    }
    evacuations.onKnownUpTo(history.revision());
    version = history.revision();
  }
  void list(const History& history) {
    evacuations.onSnapshot(history.evacuatedAt(history.revision()), history.revision());
    version = history.revision();
  }
  void applyPeerAnswer(const Node& peer) {
    evacuations.onSnapshot(peer.evacuations.evacuated(), peer.version);
    version = std::max(version, peer.version);
  }
  bool holds(const History& history, const std::string& zone) const {
    const bool held = evacuations.evacuated().zones.contains(zone);
    for (uint64_t revision = version; revision <= history.revision(); ++revision) {
      if (history.evacuatedAt(revision).zones.contains(zone) == held) {
        return true;
      }
    }
    return false;
  }
};

/** @return whether the node holds the store's current state. */
bool isCurrent(const Node& node, const History& history) {
  return node.evacuations.evacuated() == history.evacuatedAt(history.revision());
}

/**
 * Applies one random event to a node. @return whether the node's state is as required right after
 * it.
 */
bool applyRandomEvent(Node& node, const std::vector<Node>& nodes, const History& history,
                      RandomSource& random) {
  const double choice = random.unit();
  if (choice < 0.3) {
    node.watch(history);
    return isCurrent(node, history);
  }
  if (choice < 0.4) {
    node.list(history);
    return isCurrent(node, history);
  }
  if (choice < 0.5) {
    node.restartWithLaggingList(history, random.below(history.revision() + 1));
    return true;
  }
  const Node& peer = nodes[random.below(kNodes)];
  if (&peer != &node) {
    node.applyPeerAnswer(peer);
  }
  return true;
}

bool holdsInvariant(uint64_t seed) {
  RandomSource random(seed);
  const std::vector<std::string> zones{"bole", "piassa", "merkato"};
  History history;
  std::vector<Node> nodes(kNodes);
  for (int step = 0; step < kSteps; ++step) {
    // Nodes may receive nothing for a long time between two changes: an outage.
    if (random.unit() < 0.3) {
      history.change(zones[random.below(zones.size())]);
    }
    if (!applyRandomEvent(nodes[random.below(kNodes)], nodes, history, random)) {
      return false;
    }
    for (const Node& node : nodes) {
      for (const std::string& zone : zones) {
        if (!node.holds(history, zone)) {
          return false;
        }
      }
    }
  }
  return true;
}

}  // namespace

TEST_GROUP(ZoneEvacuationsProperty){};

TEST(ZoneEvacuationsProperty, NodeStateIsNeverOlderThanItsVersion) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CHECK_TRUE_TEXT(holdsInvariant(seed), ("seed " + std::to_string(seed)).c_str());
  }
}
