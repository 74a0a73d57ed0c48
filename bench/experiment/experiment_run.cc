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

constexpr std::chrono::milliseconds kPoll(25);
constexpr std::chrono::seconds kFlowPatience(20);
constexpr std::chrono::seconds kFinishPatience(20);
constexpr std::chrono::seconds kForcePatience(15);
constexpr std::chrono::seconds kReloadPatience(5);
constexpr int kStopPatienceMillis = 30000;
/** Share of the planned flows that must be open before the scenario begins. */
constexpr double kOpenShare = 0.98;

bool within(std::chrono::steady_clock::duration patience, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + patience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

std::vector<Endpoint> adminEndpoints(const Environment& environment) {
  std::vector<Endpoint> endpoints;
  for (const NodePlan& node : environment.nodes()) {
    endpoints.push_back(Environment::adminOf(node));
  }
  return endpoints;
}

}  // namespace

ExperimentRun::ExperimentRun(Deployment deployment, const EnvironmentOptions& options,
                             uint32_t seconds)
    : environment_(std::move(deployment), options),
      seconds_(seconds),
      collector_(environment_.deployment()),
      operators_(adminEndpoints(environment_), Environment::adminToken(), options.operatorHabit) {}

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
  if (!putServices()) {
    return StartError{StartErrorCode::kStandinSilent, "platform"};
  }
  started = environment_.waitReady();
  if (!isOk(started)) {
    return started;
  }
  started = environment_.startTraffic();
  if (!isOk(started)) {
    return started;
  }
  if (!waitFlows()) {
    return StartError{StartErrorCode::kStandinSilent, "callers' flows"};
  }
  monitor_ = std::make_unique<NodeMonitor>(environment_);
  startedAt_ = std::chrono::steady_clock::now();
  return Ok{};
}

bool ExperimentRun::putServices() {
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

bool ExperimentRun::waitFlows() {
  uint64_t planned = 0;
  for (const RegionPlan& region : environment_.deployment().regions) {
    for (const ServicePlan& service : region.services) {
      planned += service.flows;
    }
  }
  return within(kFlowPatience, [&] {
    const uint64_t open = collector_.progress().openFlows;
    return static_cast<double>(open) >= kOpenShare * static_cast<double>(planned);
  });
}

bool ExperimentRun::passed(double share) const {
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
  standins::RunEvidence whileOpen = evidence_;
  result.evidenceComplete = collector_.collect(whileOpen);
  const auto balances = standins::judge(whileOpen).balances;
  for (const RegionPlan& region : environment_.deployment().regions) {
    httpCall(Environment::callerControl(region), "POST", "/control/finish");
  }
  within(kFinishPatience, [this] {
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
  const bool ended = environment_.processes().waitForExit(name, kStopPatienceMillis);
  if (!ended) {
    environment_.processes().kill(name);
  }
  environment_.withdrawNode(node, false);
  return startNode(node) && ended;
}

bool ExperimentRun::startNode(const NodePlan& node) {
  monitor_->forget(node);
  environment_.startNode(node);
  std::erase(downNodes_, Environment::nodeName(node));
  const bool ready = within(kForcePatience, [&] { return environment_.nodeReady(node); });
  environment_.announceNode(node);
  return ready;
}

void ExperimentRun::killNode(const NodePlan& node) {
  beginUnplanned();
  downNodes_.push_back(Environment::nodeName(node));
  environment_.killNode(node);
}

void ExperimentRun::changeKeys(const NodeKeys& keys) {
  environment_.setKeys(keys);
  for (const NodePlan& node : environment_.nodes()) {
    environment_.reloadNode(node);
    const bool taken = within(kReloadPatience, [&] { return NodeMonitor::holdsKeys(node, keys); });
    keysNotTaken_ = keysNotTaken_.value_or(0) + (taken ? 0 : 1);
  }
}

void ExperimentRun::pauseNode(const NodePlan& node) {
  beginUnplanned();
  downNodes_.push_back(Environment::nodeName(node));
  environment_.processes().signal(Environment::nodeName(node), SIGSTOP);
}

void ExperimentRun::resumeNode(const NodePlan& node) {
  std::erase(downNodes_, Environment::nodeName(node));
  environment_.processes().signal(Environment::nodeName(node), SIGCONT);
}

void ExperimentRun::beginUnplanned() {
  const UnixMillis now = currentMillis();
  evidence_.unplanned.push_back(standins::UnplannedEvent{now, now + kAftermathMillis});
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
  const auto spares = environment_.spareHosts().find(service);
  size_t& added = addedHosts_[service];
  if (spares == environment_.spareHosts().end() || added >= spares->second.size()) {
    return false;
  }
  const HostSpec host = spares->second[added++];
  steerHost(service, host.name, "action=start&cold_ms=" + std::to_string(coldMillis));
  const auto changed =
      changeService(service, "add", [&](Service& object) { object.hosts.push_back(host); });
  return isOk(changed);
}

bool ExperimentRun::weighHost(const std::string& service, size_t host, uint32_t weight) {
  const std::string name = hostName(service, host);
  const auto changed = changeService(service, "weigh", [&](Service& object) {
    for (HostSpec& spec : object.hosts) {
      spec.weight = spec.name == name ? weight : spec.weight;
    }
  });
  return isOk(changed);
}

void ExperimentRun::stopHost(const std::string& service, size_t host) {
  steerHost(service, host, "action=stop");
  evidence_.hostStops.push_back(standins::HostStop{currentMillis(), hostName(service, host)});
  evidence_.unsettledHosts.push_back(hostName(service, host));
}

void ExperimentRun::steerHost(const std::string& service, size_t host, const std::string& query) {
  steerHost(service, hostName(service, host), query);
}

void ExperimentRun::steerHost(const std::string& service, const std::string& host,
                              const std::string& query) {
  if (const RegionPlan* region = regionOfService(service)) {
    std::string path = "/control/host?name=";
    path.append(host).append("&").append(query);
    httpCall(Environment::backendControl(*region), "POST", path);
  }
}

void ExperimentRun::cutZone(const std::string& zone) {
  beginUnplanned();
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

void ExperimentRun::cutFromPlatform(const std::string& zone) {
  httpCall(environment_.proxyControl(), "PUT", "/control/rule?cut=1&from=" + zone + "&to=platform");
}

void ExperimentRun::healZones() {
  httpCall(environment_.proxyControl(), "PUT", "/control/clear");
  environment_.setZoneLatency();
  beginUnplanned();
}

void ExperimentRun::platformFaults(const std::string& json) {
  httpCall(environment_.platformControl(), "PUT", "/control/faults", json);
}

std::optional<double> ExperimentRun::waitInForce(uint64_t version) {
  const auto begin = std::chrono::steady_clock::now();
  std::vector<NodePlan> missing = environment_.nodes();
  std::erase_if(missing, [this](const NodePlan& node) {
    const std::string name = Environment::nodeName(node);
    return std::find(downNodes_.begin(), downNodes_.end(), name) != downNodes_.end();
  });
  const bool inForce = within(kForcePatience, [&] {
    std::erase_if(missing, [&](const NodePlan& node) {
      return NodeMonitor::configVersion(node).value_or(0) >= version;
    });
    return missing.empty();
  });
  if (!inForce) {
    return std::nullopt;
  }
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  return std::chrono::duration<double, std::milli>(elapsed).count();
}

void ExperimentRun::measureConfigInForce() {
  const std::string& service = environment_.services().front().name;
  const auto changed =
      changeService(service, "weight", [](Service& object) { object.hosts.front().weight += 1; });
  if (!isOk(changed)) {
    return;
  }
  const auto took = waitInForce(valueOf(changed));
  if (!took) {
    countLostChange();
    return;
  }
  configInForceMillis_ = std::max(configInForceMillis_.value_or(0), *took);
}

}  // namespace umberhold::experiment
