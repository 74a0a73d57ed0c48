/** @file Injects the faults of a plan and reverts them. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "test/soak/world/fault_plan.h"
#include "test/soak/world/node_processes.h"
#include "test/soak/world/soak_world.h"

namespace umberhold::soak {

/** Not thread safe; used by the thread that runs the soak. */
class FaultInjector {
 public:
  /** Arguments are borrowed. */
  FaultInjector(const DeploymentPlan& plan, SoakWorld& world, NodeProcesses& nodes,
                test::StandinStore& store);

  /** Runs the steps that are due; call it often. */
  void runDueSteps(TimePoint now);
  /** Schedules the faults relative to the start. */
  void schedule(TimePoint start, const std::vector<Fault>& faults);
  /** @return whether no fault is active or scheduled. */
  bool isOver() const { return steps_.empty(); }
  const std::map<FaultKind, uint64_t>& counts() const { return counts_; }

 private:
  using Step = std::function<void(TimePoint)>;
  /** Whether a disturbance is a planned operation, which must not reset open flows. */
  enum class Cause : uint8_t { kPlanned, kUnplanned };

  void scheduleStep(TimePoint when, Step step) { steps_.emplace(when, std::move(step)); }
  void inject(TimePoint now, const Fault& fault);
  void injectNodeFault(TimePoint now, const Fault& fault);
  void injectStoreFault(TimePoint now, const Fault& fault);
  void injectHostFault(TimePoint now, const Fault& fault);
  void injectConfigurationFault(TimePoint now, const Fault& fault);

  size_t chosenNode(const Fault& fault) const;
  void killNode(TimePoint now, size_t node);
  void killShare(TimePoint now, const Fault& fault, size_t count);
  void freezeNode(TimePoint now, size_t node, Duration duration);
  void restartNode(TimePoint now, size_t node);
  void rollingRestart(TimePoint now);
  void applyStoreFaults(TimePoint now, const Fault& fault, const test::StandinFaults& faults);
  void cutFromStore(TimePoint now, size_t node, Duration duration);
  void makeFabricLossy(TimePoint now, const Fault& fault);
  void drainHosts(TimePoint now, const Fault& fault);
  void crashHost(TimePoint now, const Fault& fault, bool reuse);
  void injectHardLoadFault(TimePoint now, const Fault& fault);
  void restartHost(const Fault& fault);
  void silenceStoreAfterChange(TimePoint now, const Fault& fault);
  /** Changes the configuration and makes a host leave, at the same time. */
  void changeConfigurationAndHost(TimePoint now, uint64_t choice);
  void overloadLinks(TimePoint now, const Fault& fault);
  void writeForeignEntry(TimePoint now, const Fault& fault);
  void reduceCapacity(TimePoint now, const Fault& fault);
  /** Starts the given number of hosts of the service and stops the extra callers. */
  void restoreCapacity(TimePoint now, const std::string& service, size_t hosts);
  void killReader(TimePoint now);
  void removeRoutes(TimePoint now);
  /** Adds the route again; retries while the store takes no change. */
  void returnRoute(TimePoint now, size_t route);
  size_t servingCount(const std::string& service);
  void leaveUnseen(TimePoint now, const Fault& fault);
  void leaveWithReader(TimePoint now, const Fault& fault);
  /**
   * Hosts leave without draining, those of the zone first, and new ones start.
   * @param service of the hosts; any if empty.
   */
  void replaceWithoutDraining(TimePoint now, const std::string& zone, const std::string& service,
                              size_t count);
  /** Restarts ended nodes whose restart is due. */
  void restartEndedNodes(TimePoint now);

  void beginDisturbance(const std::string& target, Cause cause, TimePoint now);
  void endDisturbance(const std::string& target, Cause cause, TimePoint now);
  void recordInstantDisturbance(const std::string& target, Cause cause, TimePoint now);
  std::string nameOf(size_t node) const { return plan_.nodes()[node].name; }

  const DeploymentPlan& plan_;
  SoakWorld& world_;
  NodeProcesses& nodes_;
  test::StandinStore& store_;
  std::multimap<TimePoint, Step> steps_;
  std::map<FaultKind, uint64_t> counts_;
  /** Whether a store fault is active; only one is active at a time. */
  bool storeFaultActive_ = false;
  /** Whether routes are absent that are still to be added again. */
  bool routesAbsent_ = false;
};

}  // namespace umberhold::soak
