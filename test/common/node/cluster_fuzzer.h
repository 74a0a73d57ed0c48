/**
 * @file Random changes and faults of a cluster of node cores under traffic, checked by an oracle.
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

/** The change or fault applied in one step. */
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

/** One step: a change, its target, and the time that the cluster then runs. */
struct ClusterStep {
  ClusterChange change = ClusterChange::kNothing;
  uint32_t target = 0;
  uint32_t milliseconds = 0;
};

/** Prints a step as an initialiser for a regression test. */
std::ostream& operator<<(std::ostream& out, const ClusterStep& step);

/** Runs steps on a cluster of five nodes and three services. Not thread safe. */
class ClusterFuzzer {
 public:
  explicit ClusterFuzzer(uint64_t seed);

  /** Runs the steps, removes all faults, and runs the cluster until it has settled. */
  void run(const std::vector<ClusterStep>& steps);

  /** @return violations of the guarantees that hold under all faults; empty if none. */
  std::string unconditionalViolations() const;
  /** @return violations of the guarantees that hold under planned changes; empty if none. */
  std::string plannedChangeViolations() const;

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
  void stopLeftNodes();
  void removeExpiredHosts();

  /** @return a ready node that may stop, or 0 if too few would remain. */
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
  /** Leaving nodes; true if the node is to be restarted afterwards. */
  std::map<uint32_t, bool> leavingNodes_;
  std::map<uint32_t, TimePoint> pausedUntil_;
  std::map<Endpoint, TimePoint> deadlines_;
  bool died_ = false;
  /** Minimum version that a node may report of an object, by node and object. */
  std::map<std::pair<uint32_t, RecordKey>, uint64_t> minimumVersions_;
  std::vector<std::string> failures_;
};

}  // namespace umberhold
