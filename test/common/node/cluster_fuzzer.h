/** @file Random changes and faults of a cluster of whole cores, under traffic, against an oracle.
 */
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "cluster_callers.h"
#include "common/base/random.h"
#include "configuration_history.h"
#include "test/support/simulated_cluster.h"

namespace umberhold {

/** What is done to the cluster in one step. */
enum class ClusterChange : uint8_t {
  // Planned.
  kNothing,
  kLeave,
  kJoin,
  kPlannedRestart,
  kDrainHost,
  kDrainHostWithDeadline,
  kUndrainHost,
  kChangeWeight,
  kAddHost,
  kRemoveHost,
  kDeleteService,
  kRecreateService,
  kSpreadingPolicy,
  kBrokenPolicy,
  kRefusingPolicy,
  kStaleReader,
  kForgedInput,
  kNetworkFaults,
  kFabricLag,
  // Unplanned.
  kPause,
  kCutZones,
  kHealZones,
  kKill,
  kSuddenRestart,
  kCount,
};
inline constexpr int kPlannedChanges = static_cast<int>(ClusterChange::kPause);
inline constexpr int kChangesWithoutDeath = static_cast<int>(ClusterChange::kKill);
inline constexpr int kAllChanges = static_cast<int>(ClusterChange::kCount);

/** One step: a change, what it hits, and how long the cluster then runs, in milliseconds. */
struct ClusterStep {
  ClusterChange change = ClusterChange::kNothing;
  uint32_t target = 0;
  uint32_t milliseconds = 0;
};

/** Prints a step as the initialiser that a regression test takes. */
std::ostream& operator<<(std::ostream& out, const ClusterStep& step);

/** Runs steps on a cluster of five nodes and three services. Not thread safe. */
class ClusterFuzzer {
 public:
  explicit ClusterFuzzer(uint64_t seed);

  /** Runs the steps, heals everything, and lets the cluster settle. */
  void run(const std::vector<ClusterStep>& steps);

  /** @return what broke of the promises that hold whatever happens; empty if nothing. */
  std::string alwaysBroken() const;
  /** @return what broke of the promises that hold under planned changes; empty if nothing. */
  std::string plannedBroken() const;

  uint64_t count(Violation::Kind kind) const;
  ClusterCallers& callers() { return callers_; }
  SimulatedCluster& cluster() { return cluster_; }

 private:
  void apply(const ClusterStep& step);
  void applyToNodes(const ClusterStep& step);
  void applyToConfiguration(const ClusterStep& step);
  void applyToNetwork(const ClusterStep& step);
  void runFor(Duration time);
  void startRound();
  void endLeavers();
  void removeExpiredHosts();

  /** @return a ready node that may stop, or 0 where too few would be left. */
  uint32_t victim(uint32_t target) const;
  std::vector<uint32_t> readyNodes() const;
  void publish(uint32_t target, const ConfigRecord& record);
  void republishOld(uint32_t target);
  void forge(uint32_t target);
  void changeHost(uint32_t target, ClusterChange change);
  void setPolicy(uint32_t target, const std::string& source);
  std::string serviceName(uint32_t target) const;

  void checkVersions();
  void checkSettled();
  void heal();

  SimulatedCluster cluster_;
  ClusterCallers callers_;
  RandomSource random_;
  ConfigurationHistory history_;
  std::map<std::string, Service> originals_;
  /** Nodes that were asked to leave; true: to be started again afterwards. */
  std::map<uint32_t, bool> leavers_;
  std::map<uint32_t, TimePoint> pausedUntil_;
  std::map<Endpoint, TimePoint> deadlines_;
  bool died_ = false;
  /** Lowest version that a node may show of an object, by node and object. */
  std::map<std::pair<uint32_t, RecordKey>, uint64_t> floors_;
  std::vector<std::string> broken_;
};

}  // namespace umberhold
