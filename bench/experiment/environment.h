/** @file Starts and ends the processes of an experiment, and steers them one by one. */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bench/support/process_group.h"
#include "common/base/result.h"
#include "common/config/service.h"
#include "deployment.h"
#include "node_settings_text.h"
#include "operator_client.h"

namespace umberhold::experiment {

/** How the processes are started. */
struct EnvironmentOptions {
  /** Holds umberholdd and the stand-ins. */
  std::string programFolder;
  /** Gets settings files and logs. */
  std::string workFolder;
  uint64_t seed = 1;
  std::string strategy = "owned";
  /** Whether nodes relay packets to their flow's owner; false shows what the relay is for. */
  bool ownerRelay = true;
  /** Mean life of a flow in milliseconds; 0: the whole run. */
  uint32_t flowLifeMillis = 0;
  OperatorHabit operatorHabit = OperatorHabit::kCareful;
  uint32_t openPerSecond = 700;
};

/** Why the environment did not come up. */
enum class StartErrorCode : uint8_t {
  kProgramMissing,
  kStandinSilent,
  /** Something answered at its address, but the process of this run has ended. */
  kStandinEnded,
  kNodeNotReady
};

/** A failed start. */
struct StartError {
  StartErrorCode code = StartErrorCode::kProgramMissing;
  /** The process. */
  std::string process;
};

/** The running system. Node numbers count over all regions, in the order of the plan. */
class Environment {
 public:
  Environment(Deployment deployment, EnvironmentOptions options);

  /** Starts platform, hosts, proxy and nodes; the nodes are not yet ready. */
  Result<Ok, StartError> startSystem();
  /** Waits until all nodes say that they are ready. */
  Result<Ok, StartError> waitReady();
  /** Starts the fabrics and the callers. */
  Result<Ok, StartError> startTraffic();

  const Deployment& deployment() const { return deployment_; }
  std::vector<NodePlan> nodes() const;
  /** @return the services with the endpoints that their hosts reported; empty before startSystem().
   */
  const std::vector<Service>& services() const { return services_; }
  /** @return hosts that run but are in no service yet, by service. */
  const std::map<std::string, std::vector<HostSpec>>& spareHosts() const { return spareHosts_; }
  ProcessGroup& processes() { return processes_; }

  /** Tells the proxy the latency between zones, after it was started or its rules were cleared. */
  void setZoneLatency();
  /** Starts the process; the platform lists the machine from then on. */
  void startNode(const NodePlan& node);
  /** Keys of nodes that are started or reload their settings from now on. */
  void setKeys(const NodeKeys& keys) { keys_ = keys; }
  /** Writes the node's settings and sends SIGHUP. */
  void reloadNode(const NodePlan& node);
  /** SIGTERM; the fabric learns of it as of any leaving machine. */
  void beginNodeStop(const NodePlan& node);
  /** SIGKILL; the fabric learns of it after its lag. */
  void killNode(const NodePlan& node);
  /** Tells the fabric that the node takes packets. */
  void announceNode(const NodePlan& node);
  /** Takes the node off both lists. */
  void withdrawNode(const NodePlan& node, bool leaving);
  bool nodeReady(const NodePlan& node) const;
  static std::string nodeName(const NodePlan& node);

  Endpoint platformApi() const { return {deployment_.platformAddress, kPlatformPort}; }
  Endpoint platformControl() const { return {deployment_.platformAddress, kStandinControlPort}; }
  Endpoint proxyControl() const { return {deployment_.proxyAddress, kStandinControlPort}; }
  static Endpoint callerControl(const RegionPlan& region);
  static Endpoint backendControl(const RegionPlan& region);
  static Endpoint adminOf(const NodePlan& node) { return {node.address, kAdminPort}; }
  /** Token of the admin API. */
  static const char* adminToken();

 private:
  std::string program(const std::string& name) const;
  std::string writeSettings(const NodePlan& node) const;
  Result<Ok, StartError> startStandins();
  /** Waits until the path is answered, and by a process of this run. */
  Result<Ok, StartError> awaitStandin(const std::string& process, const Endpoint& server,
                                      const std::string& path);
  Result<Ok, StartError> readHosts(const RegionPlan& region);
  void startBackend(const RegionPlan& region);
  void startProxy();
  void startCallers(const RegionPlan& region);
  void tellMachineList(const NodePlan& node, bool leaving);
  void tellFabric(const std::string& region);
  const RegionPlan& regionOf(const NodePlan& node) const;

  Deployment deployment_;
  EnvironmentOptions options_;
  NodeKeys keys_;
  std::vector<Service> services_;
  std::map<std::string, std::vector<HostSpec>> spareHosts_;
  /** Nodes that the fabrics know, by id. */
  std::map<uint32_t, NodePlan> announced_;
  ProcessGroup processes_;
};

}  // namespace umberhold::experiment
