/** @file One experiment: starts the system, performs the actions of a scenario and collects the
 * evidence. */
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "environment.h"
#include "evidence_collector.h"
#include "experiment_result.h"
#include "node_monitor.h"
#include "operator_client.h"
#include "standins/oracle/oracle.h"

namespace umberhold::experiment {

/** Flows that break within this time after an unplanned event are attributed to it. */
constexpr standins::UnixMillis kUnplannedEventMillis = 15000;

/** A running experiment and the actions that scenarios perform on it. */
class ExperimentRun {
 public:
  ExperimentRun(Deployment deployment, const EnvironmentOptions& options, uint32_t seconds);
  ~ExperimentRun();

  /** Starts all processes and waits until the planned flows are open. */
  Result<Ok, StartError> start();
  /** Waits for the end of the run, lets callers finish their requests and evaluates the run. */
  ExperimentResult finish();

  /** @param share part of the run, from 0 to 1. @return whether it has elapsed. */
  bool hasPassed(double share) const;
  /** Sleeps until this part of the run, from 0 to 1, has elapsed. */
  void sleepUntil(double share);
  uint32_t seconds() const { return seconds_; }
  Environment& environment() { return environment_; }

  /** Sends SIGTERM, waits for the exit, starts the node again and waits until it is ready. @return
   * whether it exited and became ready before the timeouts. */
  bool restartNode(const NodePlan& node);
  void killNode(const NodePlan& node);
  bool startNode(const NodePlan& node);
  /** Performs one step of a key rotation: sets the keys of each node in turn and waits until the
   * node uses them or the timeout expires. */
  void changeKeys(const NodeKeys& keys);
  void pauseNode(const NodePlan& node);
  void resumeNode(const NodePlan& node);

  /** Client of the admin API. */
  OperatorClient& operators() { return operators_; }
  /** Changes a service through the admin API. Counts changes that were not confirmed. */
  Result<uint64_t, ChangeFailure> changeService(const std::string& service,
                                                const std::string& author,
                                                const std::function<void(Service&)>& change);
  /** Drains a host and records the time. @return whether the change was accepted. */
  bool drainHost(const std::string& service, size_t host);
  /** Starts the next spare host cold and adds it to the service. @param coldMillis duration of its
   * cold start. @return whether the change was accepted. */
  bool addHost(const std::string& service, uint32_t coldMillis);
  /** Sets the static weight of a host. @return whether the change was accepted. */
  bool setHostWeight(const std::string& service, size_t host, uint32_t weight);
  /** Stops a host abruptly, which breaks its flows. */
  void stopHost(const std::string& service, size_t host);
  /** Sends a control request to a host. @param query of the host stand-in, such as "action=stop" or
   * "action=load&percent=0". */
  void controlHost(const std::string& service, size_t host, const std::string& query);
  /** Partitions a zone from the other zones of its region until healZones(). */
  void cutZone(const std::string& zone);
  /** Partitions the nodes of a zone from the platform until healZones(). */
  void cutZoneFromPlatform(const std::string& zone);
  /** Ends all partitions. */
  void healZones();
  /** Sets the faults that the platform stand-in injects. @param json its fault settings; settings
   * that are absent keep their value. */
  void setPlatformFaults(const std::string& json);
  /** Waits until every running node applies at least this configuration version. @return the wait
   * in milliseconds; nullopt after the timeout. */
  std::optional<double> waitUntilEffective(uint64_t version);
  /** Changes the weight of a host slightly and measures the time until all running nodes apply the
   * change. Counts a lost change if they don't apply it before the timeout. */
  void measureConfigPropagation();
  void countLostChange() { ++lostChanges_; }

 private:
  /** Attributes broken flows to an unplanned event from now until kUnplannedEventMillis later. */
  void recordUnplannedEvent();
  /** Writes the initial configuration directly to the store, because no node is ready to accept
   * changes yet. */
  bool storeServices();
  bool waitForFlows();
  void controlHost(const std::string& service, const std::string& host, const std::string& query);
  std::string hostName(const std::string& service, size_t host) const;
  const RegionPlan* regionOfService(const std::string& service) const;

  Environment environment_;
  uint32_t seconds_;
  EvidenceCollector collector_;
  OperatorClient operators_;
  std::unique_ptr<NodeMonitor> monitor_;
  std::chrono::steady_clock::time_point startedAt_;
  standins::RunEvidence evidence_;
  std::vector<std::string> downNodes_;
  std::map<std::string, size_t> addedHosts_;
  std::optional<double> configInForceMillis_;
  std::atomic<uint64_t> lostChanges_{0};
  std::atomic<uint64_t> failedChanges_{0};
  std::optional<uint64_t> keysNotTaken_;
};

}  // namespace umberhold::experiment
