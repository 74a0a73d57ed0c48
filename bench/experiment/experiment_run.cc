#include "experiment_run.h"

#include <algorithm>
#include <csignal>
#include <thread>

#include "bench/support/http_client.h"
#include "common/platform/http_platform_store.h"
#include "common/platform/object_json.h"

namespace umberhold::experiment {
namespace {

using standins::currentMillis;
using standins::UnixMillis;

constexpr std::chrono::milliseconds kPollInterval(25);
constexpr std::chrono::seconds kFlowOpenTimeout(20);
constexpr std::chrono::seconds kFinishTimeout(20);
/** Timeout for a node to become ready or to apply a configuration version. */
constexpr std::chrono::seconds kNodeTimeout(15);
constexpr std::chrono::seconds kReloadTimeout(5);
constexpr int kStopTimeoutMillis = 30000;
/** Part of the planned flows, from 0 to 1, that must be open before the scenario begins. */
constexpr double kMinOpenPart = 0.98;

bool waitUntil(std::chrono::steady_clock::duration timeout,
               const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::vector<Endpoint> adminEndpoints(const Environment& environment) {
  std::vector<Endpoint> endpoints;
  for (const NodePlan& node : environment.nodes()) {
    endpoints.push_back(Environment::adminEndpoint(node));
  }
  return endpoints;
}

}  // namespace

ExperimentRun::ExperimentRun(Deployment deployment, const EnvironmentOptions& options,
                             uint32_t seconds)
    : environment_(std::move(deployment), options),
      seconds_(seconds),
      collector_(environment_.deployment()),
      operators_(adminEndpoints(environment_), Environment::adminToken(), options.conflictPolicy) {}

ExperimentRun::~ExperimentRun() {
  monitor_.reset();
}

Result<Ok, StartError> ExperimentRun::start() {
  auto started = environment_.startSystem();
  if (!isOk(started)) {
    return started;
  }
  for (const auto& [service, hosts] : environment_.spareHosts()) {
    for (const HostSpec& host : hosts) {
      evidence_.unsettledHosts.push_back(host.name);
    }
  }
  if (!storeServices()) {
    return StartError{StartErrorCode::kStandinUnresponsive, "platform"};
  }
  started = environment_.waitUntilReady();
  if (!isOk(started)) {
    return started;
  }
  started = environment_.startTraffic();
  if (!isOk(started)) {
    return started;
  }
  if (!waitForFlows()) {
    return StartError{StartErrorCode::kStandinUnresponsive, "planned flows of the callers"};
  }
  monitor_ = std::make_unique<NodeMonitor>(environment_);
  startedAt_ = std::chrono::steady_clock::now();
  return Ok{};
}

bool ExperimentRun::storeServices() {
  HttpPlatformStore store(environment_.platformApi());
  for (const Service& service : environment_.services()) {
    StoredObject object;
    object.collection = Collection::kServices;
    object.name = service.name;
    object.specification = formatService(service);
    if (!isOk(store.put(object))) {
      return false;
    }
  }
  return !environment_.services().empty();
}

bool ExperimentRun::waitForFlows() {
  uint64_t plannedFlows = 0;
  for (const RegionPlan& region : environment_.deployment().regions) {
    for (const ServicePlan& service : region.services) {
      plannedFlows += service.flows;
    }
  }
  return waitUntil(kFlowOpenTimeout, [&] {
    const uint64_t openFlows = collector_.progress().openFlows;
    return static_cast<double>(openFlows) >= kMinOpenPart * static_cast<double>(plannedFlows);
  });
}

bool ExperimentRun::hasPassed(double share) const {
  const auto elapsed = std::chrono::steady_clock::now() - startedAt_;
  return std::chrono::duration<double>(elapsed).count() >= share * seconds_;
}

void ExperimentRun::sleepUntil(double share) {
  const auto offset = std::chrono::duration<double>(share * seconds_);
  std::this_thread::sleep_until(
      startedAt_ + std::chrono::duration_cast<std::chrono::steady_clock::duration>(offset));
}

ExperimentResult ExperimentRun::finish() {
  sleepUntil(1.0);
  ExperimentResult result;
  standins::RunEvidence evidenceBeforeFinish = evidence_;
  result.evidenceComplete = collector_.collect(evidenceBeforeFinish);
  const auto balances = standins::judge(evidenceBeforeFinish).balances;
  for (const RegionPlan& region : environment_.deployment().regions) {
    httpCall(Environment::callerControl(region), "POST", "/control/finish");
  }
  waitUntil(kFinishTimeout, [this] {
    const CallerProgress progress = collector_.progress();
    return progress.complete && progress.outstandingRequests == 0;
  });
  result.evidenceComplete = collector_.collect(evidence_) && result.evidenceComplete;
  result.verdict = standins::judge(evidence_);
  result.verdict.balances = balances;
  for (const auto& report : evidence_.callers) {
    addCounts(result.totals, report);
  }
  result.nodes = monitor_->figures();
  result.configInForceMillis = configInForceMillis_;
  result.keysNotTaken = keysNotTaken_;
  result.lostChanges = lostChanges_;
  result.failedChanges = failedChanges_;
  return result;
}

bool ExperimentRun::restartNode(const NodePlan& node) {
  const std::string name = Environment::nodeName(node);
  environment_.beginNodeStop(node);
  const bool exited = environment_.processes().waitForExit(name, kStopTimeoutMillis);
  if (!exited) {
    environment_.processes().kill(name);
  }
  environment_.withdrawNode(node, false);
  return startNode(node) && exited;
}

bool ExperimentRun::startNode(const NodePlan& node) {
  monitor_->resetNode(node);
  environment_.startNode(node);
  std::erase(downNodes_, Environment::nodeName(node));
  const bool ready = waitUntil(kNodeTimeout, [&] { return environment_.isNodeReady(node); });
  environment_.announceNode(node);
  return ready;
}

void ExperimentRun::killNode(const NodePlan& node) {
  recordUnplannedEvent();
  downNodes_.push_back(Environment::nodeName(node));
  environment_.killNode(node);
}

void ExperimentRun::changeKeys(const NodeKeys& keys) {
  environment_.setKeys(keys);
  for (const NodePlan& node : environment_.nodes()) {
    environment_.reloadNode(node);
    const bool applied =
        waitUntil(kReloadTimeout, [&] { return NodeMonitor::usesKeys(node, keys); });
    keysNotTaken_ = keysNotTaken_.value_or(0) + (applied ? 0 : 1);
  }
}

void ExperimentRun::pauseNode(const NodePlan& node) {
  recordUnplannedEvent();
  downNodes_.push_back(Environment::nodeName(node));
  environment_.processes().signal(Environment::nodeName(node), SIGSTOP);
}

void ExperimentRun::resumeNode(const NodePlan& node) {
  std::erase(downNodes_, Environment::nodeName(node));
  environment_.processes().signal(Environment::nodeName(node), SIGCONT);
}

void ExperimentRun::recordUnplannedEvent() {
  const UnixMillis now = currentMillis();
  evidence_.unplanned.push_back(standins::UnplannedEvent{now, now + kUnplannedEventMillis});
}

Result<uint64_t, ChangeFailure> ExperimentRun::changeService(
    const std::string& service, const std::string& author,
    const std::function<void(Service&)>& change) {
  auto changed = operators_.changeService(service, author, change);
  failedChanges_ += isOk(changed) ? 0 : 1;
  return changed;
}

std::string ExperimentRun::hostName(const std::string& service, size_t host) const {
  return service + "-" + std::to_string(host);
}

const RegionPlan* ExperimentRun::regionOfService(const std::string& service) const {
  for (const RegionPlan& region : environment_.deployment().regions) {
    for (const ServicePlan& plan : region.services) {
      if (plan.name == service) {
        return &region;
      }
    }
  }
  return nullptr;
}

bool ExperimentRun::drainHost(const std::string& service, size_t host) {
  const auto drained = operators_.drain(service, hostName(service, host));
  failedChanges_ += isOk(drained) ? 0 : 1;
  if (isOk(drained)) {
    evidence_.drains.push_back(standins::DrainEvent{currentMillis(), hostName(service, host)});
    evidence_.unsettledHosts.push_back(hostName(service, host));
  }
  return isOk(drained);
}

bool ExperimentRun::addHost(const std::string& service, uint32_t coldMillis) {
  const auto spareHosts = environment_.spareHosts().find(service);
  size_t& added = addedHosts_[service];
  if (spareHosts == environment_.spareHosts().end() || added >= spareHosts->second.size()) {
    return false;
  }
  const HostSpec host = spareHosts->second[added++];
  controlHost(service, host.name, "action=start&cold_ms=" + std::to_string(coldMillis));
  const auto changed =
      changeService(service, "add", [&](Service& object) { object.hosts.push_back(host); });
  return isOk(changed);
}

bool ExperimentRun::setHostWeight(const std::string& service, size_t host, uint32_t weight) {
  const std::string name = hostName(service, host);
  const auto changed = changeService(service, "weigh", [&](Service& object) {
    for (HostSpec& spec : object.hosts) {
      spec.weight = spec.name == name ? weight : spec.weight;
    }
  });
  return isOk(changed);
}

void ExperimentRun::stopHost(const std::string& service, size_t host) {
  controlHost(service, host, "action=stop");
  evidence_.hostStops.push_back(standins::HostStop{currentMillis(), hostName(service, host)});
  evidence_.unsettledHosts.push_back(hostName(service, host));
}

void ExperimentRun::controlHost(const std::string& service, size_t host, const std::string& query) {
  controlHost(service, hostName(service, host), query);
}

void ExperimentRun::controlHost(const std::string& service, const std::string& host,
                                const std::string& query) {
  if (const RegionPlan* region = regionOfService(service)) {
    std::string path = "/control/host?name=";
    path.append(host).append("&").append(query);
    httpCall(Environment::backendControl(*region), "POST", path);
  }
}

void ExperimentRun::cutZone(const std::string& zone) {
  recordUnplannedEvent();
  for (const RegionPlan& region : environment_.deployment().regions) {
    if (std::find(region.zones.begin(), region.zones.end(), zone) == region.zones.end()) {
      continue;
    }
    for (const std::string& other : region.zones) {
      if (other != zone) {
        std::string rule = "/control/rule?cut=1&both=1&from=";
        rule.append(zone).append("&to=").append(other);
        httpCall(environment_.proxyControl(), "PUT", rule);
      }
    }
  }
}

void ExperimentRun::cutZoneFromPlatform(const std::string& zone) {
  httpCall(environment_.proxyControl(), "PUT", "/control/rule?cut=1&from=" + zone + "&to=platform");
}

void ExperimentRun::healZones() {
  httpCall(environment_.proxyControl(), "PUT", "/control/clear");
  environment_.setZoneLatency();
  recordUnplannedEvent();
}

void ExperimentRun::setPlatformFaults(const std::string& json) {
  httpCall(environment_.platformControl(), "PUT", "/control/faults", json);
}

std::optional<double> ExperimentRun::waitUntilEffective(uint64_t version) {
  const auto startedAt = std::chrono::steady_clock::now();
  std::vector<NodePlan> pending = environment_.nodes();
  std::erase_if(pending, [this](const NodePlan& node) {
    const std::string name = Environment::nodeName(node);
    return std::find(downNodes_.begin(), downNodes_.end(), name) != downNodes_.end();
  });
  const bool isEffective = waitUntil(kNodeTimeout, [&] {
    std::erase_if(pending, [&](const NodePlan& node) {
      return NodeMonitor::configVersion(node).value_or(0) >= version;
    });
    return pending.empty();
  });
  if (!isEffective) {
    return std::nullopt;
  }
  const auto elapsed = std::chrono::steady_clock::now() - startedAt;
  return std::chrono::duration<double, std::milli>(elapsed).count();
}

void ExperimentRun::measureConfigPropagation() {
  const std::string& service = environment_.services().front().name;
  const auto changed =
      changeService(service, "weight", [](Service& object) { object.hosts.front().weight += 1; });
  if (!isOk(changed)) {
    return;
  }
  const auto waitedMillis = waitUntilEffective(valueOf(changed));
  if (!waitedMillis) {
    countLostChange();
    return;
  }
  configInForceMillis_ = std::max(configInForceMillis_.value_or(0), *waitedMillis);
}

}  // namespace umberhold::experiment
