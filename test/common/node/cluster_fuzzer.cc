#include "cluster_fuzzer.h"

#include <algorithm>
#include <ostream>
#include <sstream>

#include "test/support/service_builder.h"

namespace umberhold {
namespace {

constexpr uint32_t kNodes = 5;
constexpr size_t kMinNodes = 3;
constexpr size_t kMaxNodes = 7;
constexpr uint8_t kHosts = 6;
constexpr Duration kSettleTime = std::chrono::seconds(10);
constexpr Duration kDrainDeadline = std::chrono::seconds(6);
/** The fabric applies a planned stop before the node's linger time is over. */
constexpr Duration kMaxFabricLag = std::chrono::seconds(2);
constexpr const char* kPolicy = "spread";
constexpr const char* kServices[] = {"dispatch", "mapstore", "fleet"};

constexpr const char* kChangeNames[] = {
    "kNothing",         "kLeave",         "kJoin",
    "kPlannedRestart",  "kDrainHost",     "kDrainHostWithDeadline",
    "kUndrainHost",     "kChangeWeight",  "kAddHost",
    "kRemoveHost",      "kDeleteService", "kRecreateService",
    "kSpreadingPolicy", "kBrokenPolicy",  "kRefusingPolicy",
    "kStaleReader",     "kForgedInput",   "kNetworkFaults",
    "kFabricLag",       "kPause",         "kCutZones",
    "kHealZones",       "kKill",          "kSuddenRestart"};
static_assert(std::size(kChangeNames) == kAllChanges);

constexpr const char* kSpreadingSource =
    "function weigh(host) if host.draining then return 0 end return host.weight end";
constexpr const char* kBrokenSource = "function weigh(host) return host.weight / nothing end";
constexpr const char* kRefusingSource =
    "function weigh(host) return host.weight end function admit(service) return false end";

Service serviceNumber(uint8_t number) {
  Service service = makeService(kServices[number], static_cast<uint8_t>(number + 1), kHosts);
  service.protocol = number == 2 ? TransportProtocol::kUdp : TransportProtocol::kTcp;
  service.idleTimeoutSeconds = 600;
  service.policy = number == 0 ? kPolicy : "";
  return service;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const ClusterStep& step) {
  return out << "{ClusterChange::" << kChangeNames[static_cast<size_t>(step.change)] << ", "
             << step.target << ", " << step.milliseconds << "}";
}

ClusterFuzzer::ClusterFuzzer(uint64_t seed)
    : cluster_(seed), callers_(cluster_, seed), random_(seed) {
  for (uint32_t count = 0; count < kNodes; ++count) {
    cluster_.addNode();
  }
  cluster_.run(std::chrono::milliseconds(500));
  history_.put(Policy{kPolicy, kSpreadingSource});
  for (uint8_t number = 0; number < std::size(kServices); ++number) {
    const Service service = serviceNumber(number);
    originals_[service.name] = service;
    history_.put(service);
    callers_.addService(service);
  }
  cluster_.publish(NodeId{1}, history_.newest());
  runFor(std::chrono::seconds(8));
}

void ClusterFuzzer::run(const std::vector<ClusterStep>& steps) {
  for (const ClusterStep& step : steps) {
    apply(step);
    runFor(std::chrono::milliseconds(step.milliseconds));
  }
  heal();
  runFor(kSettleTime);
  checkSettled();
}

void ClusterFuzzer::runFor(Duration time) {
  const TimePoint end = cluster_.now() + time;
  while (cluster_.now() < end) {
    startRound();
    cluster_.run(ClusterCallers::kRound);
  }
  checkVersions();
}

void ClusterFuzzer::startRound() {
  for (auto paused = pausedUntil_.begin(); paused != pausedUntil_.end();) {
    if (paused->second <= cluster_.now()) {
      cluster_.resumeNode(NodeId{paused->first});
      paused = pausedUntil_.erase(paused);
    } else {
      ++paused;
    }
  }
  stopLeftNodes();
  removeExpiredHosts();
  callers_.round();
}

void ClusterFuzzer::stopLeftNodes() {
  for (auto leavingNode = leavingNodes_.begin(); leavingNode != leavingNodes_.end();) {
    const auto [id, restarts] = *leavingNode;
    if (cluster_.node(NodeId{id}).readiness() != NodeReadiness::kLeft) {
      ++leavingNode;
      continue;
    }
    leavingNode = leavingNodes_.erase(leavingNode);
    cluster_.killNode(NodeId{id});
    std::erase_if(minimumVersions_, [id = id](const auto& minimumVersion) {
      return minimumVersion.first.first == id;
    });
    if (restarts) {
      cluster_.restartNode(NodeId{id});
    }
  }
}

void ClusterFuzzer::removeExpiredHosts() {
  for (auto host = deadlines_.begin(); host != deadlines_.end();) {
    if (host->second <= cluster_.now()) {
      callers_.removeHost(host->first);
      host = deadlines_.erase(host);
    } else {
      ++host;
    }
  }
}

std::vector<uint32_t> ClusterFuzzer::readyNodes() const {
  std::vector<uint32_t> ready;
  auto& cluster = const_cast<SimulatedCluster&>(cluster_);
  for (const NodeId id : cluster.runningNodes()) {
    if (!cluster.isPaused(id) && cluster.node(id).readiness() == NodeReadiness::kReady) {
      ready.push_back(id.value);
    }
  }
  return ready;
}

uint32_t ClusterFuzzer::victim(uint32_t target) const {
  const std::vector<uint32_t> ready = readyNodes();
  return ready.size() <= kMinNodes ? 0 : ready[target % ready.size()];
}

std::string ClusterFuzzer::serviceName(uint32_t target) const {
  return kServices[target % std::size(kServices)];
}

void ClusterFuzzer::apply(const ClusterStep& step) {
  applyToNodes(step);
  applyToConfiguration(step);
  applyToNetwork(step);
}

void ClusterFuzzer::applyToNodes(const ClusterStep& step) {
  if (step.change == ClusterChange::kJoin) {
    if (cluster_.runningNodes().size() < kMaxNodes) {
      cluster_.addNode();
    }
    return;
  }
  const uint32_t id = victim(step.target);
  if (id == 0) {
    return;
  }
  switch (step.change) {
    case ClusterChange::kLeave:
    case ClusterChange::kPlannedRestart:
      leavingNodes_[id] = step.change == ClusterChange::kPlannedRestart;
      cluster_.node(NodeId{id}).leave(cluster_.now());
      break;
    case ClusterChange::kPause:
      pausedUntil_[id] = cluster_.now() + std::chrono::milliseconds(step.milliseconds * 2);
      cluster_.pauseNode(NodeId{id});
      break;
    case ClusterChange::kKill:
    case ClusterChange::kSuddenRestart:
      died_ = true;
      cluster_.killNode(NodeId{id});
      std::erase_if(minimumVersions_,
                    [id](const auto& minimumVersion) { return minimumVersion.first.first == id; });
      if (step.change == ClusterChange::kSuddenRestart) {
        cluster_.restartNode(NodeId{id});
      }
      break;
    default:
      break;
  }
}

void ClusterFuzzer::publish(uint32_t target, const ConfigRecord& record) {
  const std::vector<uint32_t> ready = readyNodes();
  if (!ready.empty()) {
    cluster_.publish(NodeId{ready[target % ready.size()]}, {record});
  }
}

void ClusterFuzzer::applyToConfiguration(const ClusterStep& step) {
  switch (step.change) {
    case ClusterChange::kDrainHost:
    case ClusterChange::kDrainHostWithDeadline:
    case ClusterChange::kUndrainHost:
    case ClusterChange::kChangeWeight:
    case ClusterChange::kAddHost:
    case ClusterChange::kRemoveHost:
      changeHost(step.target, step.change);
      break;
    case ClusterChange::kDeleteService: {
      const std::string name = serviceName(step.target);
      if (history_.service(name)) {
        callers_.removeService(name);
        publish(step.target, history_.remove(name));
      }
      break;
    }
    case ClusterChange::kRecreateService: {
      const std::string name = serviceName(step.target);
      if (!history_.service(name)) {
        callers_.addService(originals_[name]);
        publish(step.target, history_.put(originals_[name]));
      }
      break;
    }
    case ClusterChange::kSpreadingPolicy:
      setPolicy(step.target, kSpreadingSource);
      break;
    case ClusterChange::kBrokenPolicy:
      setPolicy(step.target, kBrokenSource);
      break;
    case ClusterChange::kRefusingPolicy:
      setPolicy(step.target, kRefusingSource);
      break;
    case ClusterChange::kStaleReader:
      republishOld(step.target);
      break;
    default:
      break;
  }
}

void ClusterFuzzer::setPolicy(uint32_t target, const std::string& source) {
  publish(target, history_.put(Policy{kPolicy, source}));
}

void ClusterFuzzer::changeHost(uint32_t target, ClusterChange change) {
  auto service = history_.service(serviceName(target));
  if (!service) {
    return;
  }
  HostSpec& host = service->hosts[(target / std::size(kServices)) % service->hosts.size()];
  const Endpoint endpoint = host.endpoint;
  const auto active =
      std::count_if(service->hosts.begin(), service->hosts.end(),
                    [](const HostSpec& other) { return other.state == HostState::kActive; });
  const bool mayStop = host.state == HostState::kActive && active > kHosts / 2;
  switch (change) {
    case ClusterChange::kDrainHost:
    case ClusterChange::kDrainHostWithDeadline:
      if (!mayStop) {
        return;
      }
      host.state = HostState::kDraining;
      callers_.oracle().setDraining(endpoint, cluster_.now());
      if (change == ClusterChange::kDrainHostWithDeadline) {
        host.drainDeadline = cluster_.unixNow() + kDrainDeadline / std::chrono::seconds(1);
        deadlines_[endpoint] = cluster_.now() + kDrainDeadline - std::chrono::seconds(1);
      }
      break;
    case ClusterChange::kUndrainHost:
      host.state = HostState::kActive;
      host.drainDeadline = 0;
      deadlines_.erase(endpoint);
      callers_.addHost(service->name, endpoint);
      callers_.oracle().setDraining(endpoint, std::nullopt);
      break;
    case ClusterChange::kChangeWeight:
      host.weight = 10 + target * 3;
      break;
    case ClusterChange::kAddHost: {
      HostSpec added = host;
      added.name = "added-" + std::to_string(history_.all().size());
      added.endpoint.address += 0x10000U + static_cast<uint32_t>(history_.all().size()) * 0x100U;
      added.state = HostState::kActive;
      added.drainDeadline = 0;
      callers_.addHost(service->name, added.endpoint);
      service->hosts.push_back(added);
      break;
    }
    case ClusterChange::kRemoveHost:
      if (!mayStop) {
        return;
      }
      deadlines_.erase(endpoint);
      callers_.removeHost(endpoint);
      std::erase_if(service->hosts,
                    [&](const HostSpec& other) { return other.endpoint == endpoint; });
      break;
    default:
      break;
  }
  publish(target, history_.put(*service));
}

void ClusterFuzzer::republishOld(uint32_t target) {
  std::vector<ConfigRecord> old;
  for (const ConfigRecord& record : history_.all()) {
    if (random_.below(2) == 0) {
      old.push_back(record);
    }
  }
  std::shuffle(old.begin(), old.end(), random_.engine());
  const std::vector<uint32_t> ready = readyNodes();
  if (!ready.empty()) {
    cluster_.publish(NodeId{ready[target % ready.size()]}, old);
  }
}

void ClusterFuzzer::forge(uint32_t target) {
  const std::vector<uint32_t> ready = readyNodes();
  if (ready.empty()) {
    return;
  }
  const NodeId victimNode{ready[target % ready.size()]};
  NodeCore& core = cluster_.node(victimNode);
  const NodeCounters before = core.counters();
  const size_t hostsBefore = cluster_.toHosts().size();
  std::string packet = standins::buildPacket(
      standins::InnerPacket{standins::PacketKind::kSyn, Endpoint{1, 1},
                            Endpoint{originals_["dispatch"].address, 443}, 1, 1, ""});
  packet.resize(random_.below(packet.size()));
  cluster_.packet(victimNode, packet);
  std::string noise(random_.below(200), '\0');
  for (char& byte : noise) {
    byte = static_cast<char>(random_.below(256));
  }
  cluster_.packet(victimNode, noise);
  cluster_.datagram(victimNode, noise);
  // A copy of the last datagram with one modified byte.
  std::string forged = cluster_.lastDatagram();
  forged[random_.below(forged.size())] ^= static_cast<char>(1 + random_.below(255));
  cluster_.datagram(victimNode, forged);
  const NodeCounters after = core.counters();
  const bool unchanged = after.flows == before.flows && after.records == before.records &&
                         after.ownedShards == before.ownedShards &&
                         after.effectiveVersion == before.effectiveVersion &&
                         cluster_.toHosts().size() == hostsBefore;
  if (!unchanged) {
    failures_.emplace_back("forged or malformed input had an effect");
  }
}

void ClusterFuzzer::applyToNetwork(const ClusterStep& step) {
  switch (step.change) {
    case ClusterChange::kForgedInput:
      forge(step.target);
      break;
    case ClusterChange::kNetworkFaults:
      cluster_.setFaults(ClusterFaults{0.03 * (step.target % 4), 0.05 * (step.target % 3),
                                       std::chrono::milliseconds(step.target % 2),
                                       std::chrono::milliseconds(1 + step.target % 50)});
      break;
    case ClusterChange::kFabricLag:
      cluster_.setFabricLag(kMaxFabricLag * (step.target % 5) / 4);
      break;
    case ClusterChange::kCutZones:
      cluster_.cutZones(step.target % SimulatedCluster::kZones,
                        (step.target + 1) % SimulatedCluster::kZones);
      break;
    case ClusterChange::kHealZones:
      cluster_.healZones();
      break;
    default:
      break;
  }
}

void ClusterFuzzer::heal() {
  cluster_.setFaults(ClusterFaults{});
  cluster_.healZones();
  for (auto& [id, until] : pausedUntil_) {
    until = cluster_.now();
  }
  const std::vector<uint32_t> ready = readyNodes();
  if (died_ && !ready.empty()) {
    // The reader may have died with records that only it had read: the next reader lists the store.
    cluster_.publish(NodeId{ready.front()}, history_.newest());
  }
}

void ClusterFuzzer::checkVersions() {
  for (const uint32_t id : readyNodes()) {
    for (const ConfigRecord& newest : history_.newest()) {
      uint64_t& minimumVersion = minimumVersions_[{id, newest.key}];
      const auto held = cluster_.node(NodeId{id}).record(newest.key);
      if (!isOk(held)) {
        minimumVersion =
            minimumVersion == 0
                ? 0
                : std::max(minimumVersion, history_.successor(newest.key, minimumVersion));
        continue;
      }
      if (valueOf(held).version < minimumVersion) {
        failures_.push_back("node " + std::to_string(id) + " reverted to an older " +
                            newest.key.name);
      }
      minimumVersion = std::max(minimumVersion, valueOf(held).version);
    }
  }
}

void ClusterFuzzer::checkSettled() {
  uint32_t owned = 0;
  for (const uint32_t id : readyNodes()) {
    NodeCore& core = cluster_.node(NodeId{id});
    owned += core.counters().ownedShards;
    for (const ConfigRecord& newest : history_.newest()) {
      const auto held = core.record(newest.key);
      const bool converged = newest.deleted ? !isOk(held) : isOk(held) && valueOf(held) == newest;
      if (!converged) {
        failures_.push_back("node " + std::to_string(id) + " does not have the newest " +
                            newest.key.name);
      }
    }
  }
  if (owned != history_.shards()) {
    failures_.push_back(std::to_string(owned) + " owned shards of " +
                        std::to_string(history_.shards()));
  }
}

uint64_t ClusterFuzzer::count(Violation::Kind kind) const {
  const auto& violations = const_cast<ClusterCallers&>(callers_).oracle().violations();
  return static_cast<uint64_t>(
      std::count_if(violations.begin(), violations.end(),
                    [kind](const Violation& violation) { return violation.kind == kind; }));
}

std::string ClusterFuzzer::unconditionalViolations() const {
  std::ostringstream out;
  for (const std::string& text : failures_) {
    out << text << "\n";
  }
  if (callers_.misdeliveredPackets() != 0) {
    out << callers_.misdeliveredPackets() << " packets at a host of another service\n";
  }
  if (const uint64_t flows = count(Violation::Kind::kRefusedThenForwarded)) {
    out << flows << " flows refused, then forwarded\n";
  }
  return out.str();
}

std::string ClusterFuzzer::plannedChangeViolations() const {
  std::ostringstream out;
  out << unconditionalViolations();
  const auto& violations = const_cast<ClusterCallers&>(callers_).oracle().violations();
  for (const Violation& violation : violations) {
    const bool undecidable =
        violation.kind == Violation::Kind::kNewOnDraining && !callers_.isTcp(violation.flow);
    if (!undecidable) {
      out << "flow " << violation.flow << (callers_.isTcp(violation.flow) ? " (TCP)" : " (UDP)")
          << " violation " << static_cast<int>(violation.kind) << " at "
          << violation.when.time_since_epoch() / std::chrono::milliseconds(1) << " ms\n";
    }
  }
  return out.str();
}

}  // namespace umberhold
