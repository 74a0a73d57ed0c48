/**
 * @file Property test: copies that read the store and exchange updates in any order are checked
 * against the store's history.
 *
 * A copy that claims to know everything up to a version must hold, for every host, what the store
 * had at that version or something newer. Thus older state never replaces newer state, and removed
 * hosts stay removed.
 */
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "platform/store/store_copy.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;
using namespace umberhold::platform;

namespace {

constexpr uint64_t kSeeds = 150;
constexpr int kSteps = 400;
constexpr size_t kCopies = 5;
constexpr uint64_t kHosts = 12;

/** One change of a host in the store's history. */
struct Change {
  uint64_t revision = 0;
  uint64_t madeAt = 0;
  bool gone = false;
  bool draining = false;
};

std::string hostName(uint64_t host) {
  return "i-" + std::to_string(host + 1);
}

/** The store with its full history. */
class History {
 public:
  void change(uint64_t host, RandomSource& random) {
    std::vector<Change>& changes = hosts_[host];
    const bool exists = !changes.empty() && !changes.back().gone;
    Change next;
    next.revision = ++revision_;
    next.gone = exists && random.unit() < 0.3;
    next.draining = random.unit() < 0.3;
    next.madeAt = exists ? changes.back().madeAt : revision_;
    changes.push_back(next);
  }
  uint64_t revision() const { return revision_; }
  /** @return the last change of the host up to the revision. */
  std::optional<Change> at(uint64_t host, uint64_t revision) const {
    std::optional<Change> last;
    const auto changes = hosts_.find(host);
    if (changes != hosts_.end()) {
      for (const Change& change : changes->second) {
        last = change.revision <= revision ? change : last;
      }
    }
    return last;
  }
  /** @return the events after `since`, in order. */
  std::vector<StoreObject> since(uint64_t since) const {
    std::map<uint64_t, StoreObject> events;
    for (const auto& [host, changes] : hosts_) {
      for (const Change& change : changes) {
        if (change.revision > since) {
          events[change.revision] = objectOf(host, change);
        }
      }
    }
    std::vector<StoreObject> ordered;
    for (auto& [revision, event] : events) {
      ordered.push_back(std::move(event));
    }
    return ordered;
  }
  std::vector<StoreObject> list(uint64_t revision) const {
    std::vector<StoreObject> all;
    for (const auto& [host, changes] : hosts_) {
      const auto last = at(host, revision);
      if (last && !last->gone) {
        all.push_back(objectOf(host, *last));
      }
    }
    return all;
  }

 private:
  static StoreObject objectOf(uint64_t host, const Change& change) {
    RegisteredHost registered;
    registered.id = hostName(host);
    registered.service = "s-one";
    // Each host has its own address, so that none supersedes another.
    registered.address = Endpoint{0x0A000000 + static_cast<uint32_t>(host), 80};
    registered.draining = change.draining;
    StoreObject object{hostName(host), change.revision, change.madeAt, change.gone, registered};
    if (change.gone) {
      object.specification = Unreadable{};
    }
    return object;
  }

  uint64_t revision_ = 0;
  std::map<uint64_t, std::vector<Change>> hosts_;
};

/** A copy and the version it claims to know. */
struct Copy {
  StoreCopy copy{TimePoint{}, "addis", HostPresenceOptions{}};
  uint64_t version = 0;
  /** All hosts at an earlier version of this copy, for nodes that are too far behind. */
  std::vector<HostEvent> offered;
  uint64_t offeredVersion = 0;

  void readStaleList(TimePoint now, const History& history, uint64_t revision) {
    for (StoreObject& object : history.list(revision)) {
      copy.apply(now, StoreKind::kHosts, std::move(object));
    }
    copy.onStaleHostList(revision);
    version = revision;
  }
  void readList(TimePoint now, const History& history) {
    std::set<std::string> names;
    for (StoreObject& object : history.list(history.revision())) {
      names.insert(object.name);
      copy.apply(now, StoreKind::kHosts, std::move(object));
    }
    copy.onCurrentHostList(now, version, history.revision(), names);
    version = history.revision();
  }
  void watch(TimePoint now, const History& history) {
    for (StoreObject& event : history.since(version)) {
      copy.apply(now, StoreKind::kHosts, std::move(event));
    }
    version = history.revision();
  }
  /**
   * An offer is valid as long as all changes after it are known, and only for nodes whose version
   * is not newer than the offer.
   */
  void prepareOffer(uint64_t since) {
    if (!copy.reaches(offeredVersion) || offeredVersion < since) {
      offered = copy.registeredHosts();
      offeredVersion = version;
    }
  }
  void requestChangesFrom(TimePoint now, Copy& peer) {
    PeerChanges changes;
    changes.hostsVersion = peer.version;
    uint64_t since = version;
    if (!peer.copy.reaches(version)) {
      peer.prepareOffer(version);
      since = peer.offeredVersion;
      copy.applySnapshot(now, version, since, peer.offered);
    }
    peer.copy.describeChanges(now, since, changes);
    copy.apply(now, now, version, changes);
    version = std::max(version, peer.version);
  }
  /** @return whether the copy holds what the store had at its version, or something newer. */
  bool isUpToDate(const History& history) const {
    std::map<std::string, uint64_t> held;
    for (const StoreObject& object : copy.page(StoreKind::kHosts).objects) {
      held[object.name] = object.revision;
    }
    for (uint64_t host = 0; host < kHosts; ++host) {
      const auto expected = history.at(host, version);
      const auto found = held.find(hostName(host));
      const bool newer = found != held.end() && expected && found->second > expected->revision;
      const bool same =
          found != held.end() && expected && !expected->gone && found->second == expected->revision;
      const bool absent = found == held.end() && (!expected || expected->gone);
      // It may already have received the removal of a host after its version.
      const auto newest = history.at(host, history.revision());
      const bool removedLater = found == held.end() && newest && newest->gone;
      const bool createdLater = found != held.end() && !expected;
      if (!newer && !same && !absent && !removedLater && !createdLater) {
        return false;
      }
    }
    return true;
  }
};

/** @return whether every copy satisfied the invariant after every step. */
bool isInvariantKept(uint64_t seed) {
  RandomSource random(seed);
  History history;
  std::vector<Copy> copies(kCopies);
  TimePoint now{std::chrono::seconds(1000)};
  for (uint64_t host = 0; host < kHosts / 2; ++host) {
    history.change(host, random);
  }
  for (Copy& copy : copies) {
    copy.readStaleList(now, history, 1 + random.below(history.revision()));
  }
  for (int step = 0; step < kSteps; ++step) {
    now += std::chrono::milliseconds(random.below(100));
    Copy& copy = copies[random.below(kCopies)];
    const double choice = random.unit();
    if (choice < 0.4) {
      history.change(random.below(kHosts), random);
    } else if (choice < 0.55) {
      copy.watch(now, history);
    } else if (choice < 0.6) {
      copy.readList(now, history);
    } else {
      Copy& peer = copies[random.below(kCopies)];
      if (&peer != &copy) {
        copy.requestChangesFrom(now, peer);
      }
    }
    for (const Copy& each : copies) {
      if (!each.isUpToDate(history)) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace

TEST_GROUP_BASE(StoreCopyProperty, test::WithoutLeakDetection){};

TEST(StoreCopyProperty, NoCopyIsOlderThanItsClaimedVersion) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CHECK_TRUE_TEXT(isInvariantKept(seed), ("seed " + std::to_string(seed)).c_str());
  }
}
