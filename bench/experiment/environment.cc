#include "environment.h"

#include <Poco/Exception.h>
#include <Poco/File.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

#include "bench/support/http_client.h"
#include "node_settings_text.h"

namespace umberhold::experiment {
namespace {

constexpr std::chrono::seconds kStartTimeout(30);
constexpr std::chrono::milliseconds kPollInterval(50);
/** Delay until fabrics apply changes of their nodes and the platform lists changes of machines. */
constexpr uint32_t kFabricLagMillis = 1000;
/** Mean interval between unsolicited messages of a host on a TCP flow. It models the users'
 * pickup alerts and grid-status messages. */
constexpr uint32_t kPushIntervalMillis = 5000;

bool waitUntil(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::string serviceArgument(const ServicePlan& service, uint32_t count) {
  const char* protocol = service.protocol == TransportProtocol::kTcp ? "tcp" : "udp";
  return service.name + "=" + toString(service.address) + "/" + protocol + "/" +
         std::to_string(count);
}

std::string endpointText(uint32_t address, uint16_t port) {
  return toString(Endpoint{address, port});
}

/** @return the proxy rule for the latency between two zones, 1.5 ms one way in both regions. */
std::string latencyRule(const std::string& from, const std::string& to) {
  std::string rule = "/control/rule?delay_us=1500&from=";
  rule.append(from).append("&to=").append(to);
  return rule;
}

std::string portPairText(uint16_t front, uint16_t port) {
  return std::to_string(front) + ":" + std::to_string(port);
}

Service makeService(const RegionPlan& region, const ServicePlan& plan) {
  Service service;
  service.name = plan.name;
  service.region = region.name;
  service.address = plan.address.address;
  service.port = plan.address.port;
  service.protocol = plan.protocol;
  return service;
}

}  // namespace

Environment::Environment(Deployment deployment, EnvironmentOptions options)
    : deployment_(std::move(deployment)),
      options_(std::move(options)),
      processes_(options_.workFolder) {}

const char* Environment::adminToken() {
  return "experiment-token";
}

std::string Environment::programPath(const std::string& name) const {
  return options_.programFolder + "/" + name;
}

std::string Environment::nodeName(const NodePlan& node) {
  return "node-" + std::to_string(node.id);
}

Endpoint Environment::callerControl(const RegionPlan& region) {
  return {region.callerAddress, kStandinControlPort};
}

Endpoint Environment::backendControl(const RegionPlan& region) {
  return {region.backendAddress, kStandinControlPort};
}

std::vector<NodePlan> Environment::nodes() const {
  std::vector<NodePlan> nodes;
  for (const RegionPlan& region : deployment_.regions) {
    nodes.insert(nodes.end(), region.nodes.begin(), region.nodes.end());
  }
  return nodes;
}

const RegionPlan& Environment::regionOf(const NodePlan& node) const {
  for (const RegionPlan& region : deployment_.regions) {
    if (region.name == node.region) {
      return region;
    }
  }
  return deployment_.regions.front();
}

Result<Ok, StartError> Environment::startSystem() {
  for (const char* name : {"umberholdd", "standin_platform", "standin_backend", "standin_caller",
                           "standin_fabric", "standin_proxy"}) {
    if (!Poco::File(programPath(name)).exists()) {
      return StartError{StartErrorCode::kProgramMissing, programPath(name)};
    }
  }
  auto started = startStandins();
  if (!isOk(started)) {
    return started;
  }
  for (const NodePlan& node : nodes()) {
    startNode(node);
  }
  return Ok{};
}

Result<Ok, StartError> Environment::startStandins() {
  processes_.start(
      "platform", programPath("standin_platform"),
      {"--address", addressToString(deployment_.platformAddress), "--port",
       std::to_string(kPlatformPort), "--control-port", std::to_string(kStandinControlPort),
       "--machines-lag-ms", std::to_string(kFabricLagMillis)});
  startProxy();
  for (const RegionPlan& region : deployment_.regions) {
    startBackend(region);
    auto hosts = readHosts(region);
    if (!isOk(hosts)) {
      return hosts;
    }
  }
  auto platform = waitForStandin("platform", platformControl(), "/control/stats");
  if (!isOk(platform)) {
    return platform;
  }
  auto proxy = waitForStandin("proxy", proxyControl(), "/control/stats");
  if (!isOk(proxy)) {
    return proxy;
  }
  setZoneLatency();
  return Ok{};
}

Result<Ok, StartError> Environment::waitForStandin(const std::string& process,
                                                   const Endpoint& server,
                                                   const std::string& path) {
  if (!waitUntil([&] { return httpOk(server, path); })) {
    return StartError{StartErrorCode::kStandinUnresponsive, process};
  }
  if (!processes_.running(process)) {
    return StartError{StartErrorCode::kStandinExited, process};
  }
  return Ok{};
}

void Environment::startBackend(const RegionPlan& region) {
  std::vector<std::string> arguments = {
      "--control",    toString(backendControl(region)),
      "--gateway",    endpointText(region.callerAddress, kStandinDataPort),
      "--seed",       std::to_string(options_.seed),
      "--latency-us", std::to_string(region.clientLatencyMicros),
      "--push-ms",    std::to_string(kPushIntervalMillis)};
  for (const ServicePlan& service : region.services) {
    arguments.push_back("--service");
    arguments.push_back(serviceArgument(service, service.hosts + service.spareHosts));
  }
  processes_.start("backend-" + region.name, programPath("standin_backend"), arguments);
}

Result<Ok, StartError> Environment::readHosts(const RegionPlan& region) {
  std::optional<HttpResponse> response;
  const bool up = waitUntil([&] {
    response = httpCall(backendControl(region), "GET", "/control/hosts");
    return response.has_value();
  });
  if (!up) {
    return StartError{StartErrorCode::kStandinUnresponsive, "backend-" + region.name};
  }
  if (!processes_.running("backend-" + region.name)) {
    return StartError{StartErrorCode::kStandinExited, "backend-" + region.name};
  }
  const auto hosts = Poco::JSON::Parser().parse(response->body).extract<Poco::JSON::Array::Ptr>();
  for (const ServicePlan& plan : region.services) {
    Service service = makeService(region, plan);
    for (size_t index = 0; index < hosts->size(); ++index) {
      const auto object = hosts->getObject(static_cast<unsigned>(index));
      if (object->getValue<std::string>("service") != plan.name) {
        continue;
      }
      HostSpec host;
      host.name = object->getValue<std::string>("name");
      host.endpoint = parseEndpoint(object->getValue<std::string>("endpoint")).value_or(Endpoint{});
      host.probe = parseEndpoint(object->getValue<std::string>("probe")).value_or(Endpoint{});
      host.zone = region.zones[service.hosts.size() % region.zones.size()];
      const bool spare = service.hosts.size() >= plan.hosts;
      (spare ? spareHosts_[plan.name] : service.hosts).push_back(host);
    }
    services_.push_back(service);
  }
  return Ok{};
}

void Environment::startProxy() {
  std::vector<std::string> arguments = {"--control",        toString(proxyControl()),
                                        "--seed",           std::to_string(options_.seed),
                                        "--platform",       toString(platformApi()),
                                        "--platform-front", std::to_string(kPlatformFrontPort)};
  for (const NodePlan& node : nodes()) {
    arguments.push_back("--node");
    arguments.push_back(nodeName(node) + "/" + node.zone + "/" + addressToString(node.address) +
                        "/" + portPairText(kRelayFrontPort, kRelayPort) + "/" +
                        portPairText(kControlFrontPort, kControlPort));
  }
  processes_.start("proxy", programPath("standin_proxy"), arguments);
}

void Environment::setZoneLatency() {
  for (const RegionPlan& region : deployment_.regions) {
    for (const std::string& from : region.zones) {
      for (const std::string& to : region.zones) {
        if (from != to) {
          httpCall(proxyControl(), "PUT", latencyRule(from, to));
        }
      }
    }
  }
}

std::string Environment::writeSettings(const NodePlan& node) const {
  std::string path = options_.workFolder + "/" + nodeName(node) + ".toml";
  const NodeSettingsOptions options{adminToken(), options_.strategy, options_.ownerRelay, keys_};
  std::ofstream(path) << settingsText(node, regionOf(node), options);
  return path;
}

void Environment::startNode(const NodePlan& node) {
  processes_.start(nodeName(node), programPath("umberholdd"), {"--settings", writeSettings(node)});
  updateMachineList(node, false);
}

bool Environment::isNodeReady(const NodePlan& node) const {
  return httpOk(adminEndpoint(node), "/readyz");
}

Result<Ok, StartError> Environment::waitUntilReady() {
  for (const NodePlan& node : nodes()) {
    if (!waitUntil([&] { return isNodeReady(node); })) {
      return StartError{StartErrorCode::kNodeNotReady, nodeName(node)};
    }
    announceNode(node);
  }
  return Ok{};
}

void Environment::announceNode(const NodePlan& node) {
  announced_[node.id] = node;
  updateFabric(node.region);
}

void Environment::updateMachineList(const NodePlan& node, bool leaving) {
  Poco::JSON::Object machine;
  machine.set("node_id", node.id);
  machine.set("region", node.region);
  machine.set("zone", node.zone);
  machine.set("control", endpointText(node.address, kControlFrontPort));
  machine.set("leaving", leaving);
  std::ostringstream body;
  machine.stringify(body);
  httpCall(platformControl(), "PUT", "/control/machines/" + std::to_string(node.id), body.str());
}

void Environment::withdrawNode(const NodePlan& node, bool leaving) {
  announced_.erase(node.id);
  updateFabric(node.region);
  if (leaving) {
    updateMachineList(node, true);
  } else {
    httpCall(platformControl(), "DELETE", "/control/machines/" + std::to_string(node.id));
  }
}

void Environment::reloadNode(const NodePlan& node) {
  writeSettings(node);
  processes_.signal(nodeName(node), SIGHUP);
}

void Environment::beginNodeStop(const NodePlan& node) {
  processes_.signal(nodeName(node), SIGTERM);
  withdrawNode(node, true);
}

void Environment::killNode(const NodePlan& node) {
  processes_.kill(nodeName(node));
  withdrawNode(node, false);
}

void Environment::updateFabric(const std::string& region) {
  Poco::JSON::Array list;
  for (const auto& [id, node] : announced_) {
    if (node.region == region) {
      list.add(endpointText(node.address, kDataPort));
    }
  }
  std::ostringstream body;
  list.stringify(body);
  for (const RegionPlan& plan : deployment_.regions) {
    if (plan.name == region) {
      httpCall({plan.fabricAddress, kStandinControlPort}, "PUT", "/control/nodes", body.str());
    }
  }
}

void Environment::startCallers(const RegionPlan& region) {
  const bool first = region.name == deployment_.regions.front().name;
  std::vector<std::string> arguments = {"--fabric",
                                        endpointText(region.fabricAddress, kStandinDataPort),
                                        "--listen",
                                        endpointText(region.callerAddress, kStandinDataPort),
                                        "--control",
                                        toString(callerControl(region)),
                                        "--process",
                                        first ? "1" : "2",
                                        "--seed",
                                        std::to_string(options_.seed),
                                        "--life-ms",
                                        std::to_string(options_.flowLifeMillis),
                                        "--open-per-second",
                                        std::to_string(options_.openPerSecond)};
  for (const ServicePlan& service : region.services) {
    arguments.push_back("--target");
    arguments.push_back(serviceArgument(service, service.flows));
  }
  processes_.start("caller-" + region.name, programPath("standin_caller"), arguments);
}

Result<Ok, StartError> Environment::startTraffic() {
  for (const RegionPlan& region : deployment_.regions) {
    const Endpoint control{region.fabricAddress, kStandinControlPort};
    processes_.start("fabric-" + region.name, programPath("standin_fabric"),
                     {"--listen", endpointText(region.fabricAddress, kStandinDataPort), "--control",
                      toString(control), "--lag-ms", std::to_string(kFabricLagMillis), "--seed",
                      std::to_string(options_.seed), "--latency-us",
                      std::to_string(region.clientLatencyMicros)});
    auto fabric = waitForStandin("fabric-" + region.name, control, "/control/stats");
    if (!isOk(fabric)) {
      return fabric;
    }
    updateFabric(region.name);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(kFabricLagMillis + 200));
  for (const RegionPlan& region : deployment_.regions) {
    startCallers(region);
    auto caller = waitForStandin("caller-" + region.name, callerControl(region), "/control/report");
    if (!isOk(caller)) {
      return caller;
    }
  }
  return Ok{};
}

}  // namespace umberhold::experiment
