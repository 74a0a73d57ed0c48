/** @file Starts, controls and stops the processes of an experiment. */
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

/** Options of the processes. */
struct EnvironmentOptions {
  /** Folder of umberholdd and the stand-ins. */
  std::string programFolder;
  /** Folder for settings files and logs; must exist. */
  std::string workFolder;
  uint64_t seed = 1;
  std::string strategy = "owned";
  /** Whether nodes relay packets to the owner of their flow; false disables this for comparison. */
  bool ownerRelay = true;
  /** Mean life of a flow in milliseconds; 0: flows stay open for the whole run. */
  uint32_t flowLifeMillis = 0;
  ConflictPolicy conflictPolicy = ConflictPolicy::kReapply;
  /** New flows per second in each region. */
  uint32_t openPerSecond = 700;
};

/** Why the environment failed to start. */
enum class StartErrorCode : uint8_t {
  kProgramMissing,
  kStandinUnresponsive,
  /** The process has exited, although its address responded; another run may use the address. */
  kStandinExited,
  kNodeNotReady
};

struct StartError {
  StartErrorCode code = StartErrorCode::kProgramMissing;
  /** Path of the missing program, or name of the process; "planned flows of the callers" if too few
   * flows were opened before the timeout. */
  std::string process;
};

/** The running system. */
class Environment {
 public:
  Environment(Deployment deployment, EnvironmentOptions options);

  /** Starts platform, hosts, proxy and nodes without waiting until the nodes are ready. */
  Result<Ok, StartError> startSystem();
  /** Waits until all nodes report that they are ready, and announces them to the fabrics. */
  Result<Ok, StartError> waitUntilReady();
  /** Starts the fabrics and the callers. */
  Result<Ok, StartError> startTraffic();

  const Deployment& deployment() const { return deployment_; }
  /** @return the nodes of all regions in the order of the plan. */
  std::vector<NodePlan> nodes() const;
  /** @return the services with the endpoints that their hosts reported; empty before startSystem().
   */
  const std::vector<Service>& services() const { return services_; }
  /** @return the running hosts that the initial services don't contain, by service. */
  const std::map<std::string, std::vector<HostSpec>>& spareHosts() const { return spareHosts_; }
  ProcessGroup& processes() { return processes_; }

  /** Sets the latency between zones at the proxy; required after its start and after its rules were
   * cleared. */
  void setZoneLatency();
  /** Starts the process and registers its machine at the platform. */
  void startNode(const NodePlan& node);
  /** Sets the keys for nodes that start or reload their settings afterwards. */
  void setKeys(const NodeKeys& keys) { keys_ = keys; }
  /** Writes the node's settings and sends SIGHUP. */
  void reloadNode(const NodePlan& node);
  /** Sends SIGTERM, removes the node from its fabric and registers its machine as leaving. */
  void beginNodeStop(const NodePlan& node);
  /** Sends SIGKILL and removes the node from its fabric and the machine list; both removals take
   * effect after their lag. */
  void killNode(const NodePlan& node);
  /** Adds the node to those to which its fabric sends packets. */
  void announceNode(const NodePlan& node);
  /** Removes the node from its fabric. @param leaving whether its machine is registered as leaving;
   * otherwise it is removed from the machine list. */
  void withdrawNode(const NodePlan& node, bool leaving);
  bool isNodeReady(const NodePlan& node) const;
  static std::string nodeName(const NodePlan& node);

  Endpoint platformApi() const { return {deployment_.platformAddress, kPlatformPort}; }
  Endpoint platformControl() const { return {deployment_.platformAddress, kStandinControlPort}; }
  Endpoint proxyControl() const { return {deployment_.proxyAddress, kStandinControlPort}; }
  static Endpoint callerControl(const RegionPlan& region);
  static Endpoint backendControl(const RegionPlan& region);
  static Endpoint adminEndpoint(const NodePlan& node) { return {node.address, kAdminPort}; }
  /** Token of the admin API. */
  static const char* adminToken();

 private:
  std::string programPath(const std::string& name) const;
  std::string writeSettings(const NodePlan& node) const;
  Result<Ok, StartError> startStandins();
  /** Waits until the path returns 200. Then checks that the process is still running, because a
   * process of another run may have responded. */
  Result<Ok, StartError> waitForStandin(const std::string& process, const Endpoint& server,
                                        const std::string& path);
  Result<Ok, StartError> readHosts(const RegionPlan& region);
  void startBackend(const RegionPlan& region);
  void startProxy();
  void startCallers(const RegionPlan& region);
  void updateMachineList(const NodePlan& node, bool leaving);
  void updateFabric(const std::string& region);
  const RegionPlan& regionOf(const NodePlan& node) const;

  Deployment deployment_;
  EnvironmentOptions options_;
  NodeKeys keys_;
  std::vector<Service> services_;
  std::map<std::string, std::vector<HostSpec>> spareHosts_;
  /** Nodes to which the fabrics send packets, by id. */
  std::map<uint32_t, NodePlan> announced_;
  ProcessGroup processes_;
};

}  // namespace umberhold::experiment
