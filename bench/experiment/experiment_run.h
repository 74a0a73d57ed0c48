/** @file One experiment: brings the system up, offers the actions of a scenario, collects the
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

/** How long unplanned events may explain a broken flow after they end. */
constexpr standins::UnixMillis kAftermathMillis = 15000;

/** A running experiment; the actions are meant for scenarios. */
class ExperimentRun {
 public:
  ExperimentRun(Deployment deployment, const EnvironmentOptions& options, uint32_t seconds);
  ~ExperimentRun();

  /** Starts everything and waits until the planned flows are open. */
  Result<Ok, StartError> start();
  /** Lets callers finish and judges. */
  ExperimentResult finish();

  /** @return whether this share of the run is over. */
  bool passed(double share) const;
  /** Sleeps until this share of the run is over. */
  void sleepUntil(double share);
  uint32_t seconds() const { return seconds_; }
  Environment& environment() { return environment_; }

  /** SIGTERM, wait for the end, start again, wait until ready. @return whether all went in time. */
  bool restartNode(const NodePlan& node);
  void killNode(const NodePlan& node);
  bool startNode(const NodePlan& node);
  /** One step of a key rotation: every running node gets the keys, and has taken them at the end.
   */
  void changeKeys(const NodeKeys& keys);
  void pauseNode(const NodePlan& node);
  void resumeNode(const NodePlan& node);

  /** The operator's way to the system. */
  OperatorClient& operators() { return operators_; }
  /** Changes a service through the admin API; a change that is not definitely in or out is counted.
   */
  Result<uint64_t, ChangeFailure> changeService(const std::string& service,
                                                const std::string& author,
                                                const std::function<void(Service&)>& change);
  /** Makes a host drain and takes the time. */
  bool drainHost(const std::string& service, size_t host);
  /** Adds the next spare host, cold, by a change of the service. @return whether it was accepted.
   */
  bool addHost(const std::string& service, uint32_t coldMillis);
  /** Sets a host's weight by a change of the service. */
  bool weighHost(const std::string& service, size_t host, uint32_t weight);
  /** Stops a host without a warning: its flows are lost. */
  void stopHost(const std::string& service, size_t host);
  /** @param query "action=stop", "action=load&percent=0" ... of the host stand-in. */
  void steerHost(const std::string& service, size_t host, const std::string& query);
  /** Cuts every path between a zone and the others, or heals them. */
  void cutZone(const std::string& zone);
  /** Cuts the zone's nodes off from the platform; healZones() ends it. */
  void cutFromPlatform(const std::string& zone);
  void healZones();
  /** @param json the fault switches of the platform stand-in. */
  void platformFaults(const std::string& json);
  /** Waits until every running node holds the version. @return the milliseconds that it took. */
  std::optional<double> waitInForce(uint64_t version);
  /** Makes a harmless change and takes the time until it is effective. */
  void measureConfigInForce();
  void countLostChange() { ++lostChanges_; }

 private:
  /** From now until the aftermath is over, broken flows are explained. */
  void beginUnplanned();
  /** Puts the first configuration straight into the store, as no node runs yet. */
  bool putServices();
  bool waitFlows();
  void steerHost(const std::string& service, const std::string& host, const std::string& query);
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
