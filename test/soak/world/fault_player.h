/** @file Brings the faults of a plan about and ends them. */
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

/** For the thread that runs the soak. */
class FaultPlayer {
 public:
  /** All are borrowed. */
  FaultPlayer(const DeploymentPlan& plan, SoakWorld& world, NodeProcesses& nodes,
              test::StandinStore& store);

  /** Does what is due; call it often. */
  void play(TimePoint now);
  /** Plans the faults from an instant on. */
  void schedule(TimePoint start, const std::vector<Fault>& faults);
  /** @return whether no fault is under way or to come. */
  bool isOver() const { return steps_.empty(); }
  const std::map<FaultKind, uint64_t>& counts() const { return counts_; }

 private:
  using Step = std::function<void(TimePoint)>;
  /** Whether a trouble was planned by the operator. */
  enum class Cause : uint8_t { kPlanned, kUnplanned };

  void at(TimePoint when, Step step) { steps_.emplace(when, std::move(step)); }
  void strike(TimePoint now, const Fault& fault);
  void strikeNode(TimePoint now, const Fault& fault);
  void strikeStore(TimePoint now, const Fault& fault);
  void strikeHosts(TimePoint now, const Fault& fault);
  void strikeConfiguration(TimePoint now, const Fault& fault);

  size_t chosenNode(const Fault& fault) const;
  void killNode(TimePoint now, size_t node);
  void killShare(TimePoint now, const Fault& fault, size_t count);
  void freezeNode(TimePoint now, const Fault& fault);
  void restartNode(TimePoint now, size_t node);
  void rollingRestart(TimePoint now);
  void moodOfStore(TimePoint now, const Fault& fault, const test::StandinFaults& faults);
  void cutFromStore(TimePoint now, const Fault& fault);
  void loseFabric(TimePoint now, const Fault& fault);
  void drainHosts(TimePoint now, const Fault& fault);
  void crashHost(TimePoint now, const Fault& fault, bool reuse);
  void strikeHardLoad(TimePoint now, const Fault& fault);
  void shortenRoom(TimePoint now, const Fault& fault);
  /** Starts so many hosts of the service; the crowd goes. */
  void giveRoomBack(TimePoint now, const std::string& service, size_t hosts);
  void killReader(TimePoint now);
  void restarted(TimePoint now);

  void begin(const std::string& struck, Cause cause, TimePoint now);
  void end(const std::string& struck, Cause cause, TimePoint now);
  void strikeOnce(const std::string& struck, Cause cause, TimePoint now);
  std::string nameOf(size_t node) const { return plan_.nodes()[node].name; }

  const DeploymentPlan& plan_;
  SoakWorld& world_;
  NodeProcesses& nodes_;
  test::StandinStore& store_;
  std::multimap<TimePoint, Step> steps_;
  std::map<FaultKind, uint64_t> counts_;
  /** The store has one mood at a time. */
  bool storeTroubled_ = false;
};

}  // namespace umberhold::soak
