#include "bench/control_sim/region_simulation.h"

#include <algorithm>
#include <ctime>
#include <numeric>

#include "common/base/hash.h"

namespace umberhold {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kWindow = std::chrono::seconds(10);
/** Windows that begin within this time after a node's start are not counted in its maxima. */
constexpr Duration kStartTime = std::chrono::seconds(30);
/** Time that a stopped node takes until it starts again. */
constexpr Duration kRestartTime = std::chrono::seconds(5);
/** Time from the announcement of a planned stop until the node stops. */
constexpr Duration kLeaveTime = std::chrono::seconds(3);
constexpr Duration kCrashSpacing = std::chrono::seconds(20);
constexpr double kChangesPerSecond = 0.22;
/** 24,000 restarts a day among 17,000 nodes. */
constexpr double kRestartsPerNodeAndSecond = 24000.0 / 86400.0 / 17000.0;
constexpr uint32_t kZones = 3;
constexpr uint32_t kSeedNodes = 3;
/** Id of the node that publishes records. */
constexpr uint32_t kReader = 1;

double secondsOf(Duration span) {
  return std::chrono::duration<double>(span).count();
}

/** @return the CPU time that this process has used, s. */
double cpuSecondsOfProcess() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

Member memberOf(uint32_t id, uint64_t incarnation, MemberState state = MemberState::kJoining) {
  Member member;
  member.id = NodeId{id};
  member.incarnation = incarnation;
  member.state = state;
  member.region = regionIdOf("region");
  member.zone = zoneIdOf(std::to_string(id % kZones));
  member.address = 0x7F000000U + id;
  member.controlPort = 4000;
  member.relayPort = 4001;
  return member;
}

}  // namespace

double Durations::mean() const {
  return seconds.empty() ? 0
                         : std::accumulate(seconds.begin(), seconds.end(), 0.0) /
                               static_cast<double>(seconds.size());
}

double Durations::maximum() const {
  return seconds.empty() ? 0 : *std::max_element(seconds.begin(), seconds.end());
}

/** A simulated process; observes its own member list and record store. */
struct RegionSimulation::Node : MembershipObserver, RecordObserver {
  explicit Node(RegionSimulation& parent) : simulation(parent) {}

  void onMemberChanged(const Member& member) override {
    if (member.state != MemberState::kDead || !simulation.measuring_) {
      return;
    }
    const Node& other = *simulation.nodes_.at(member.id.value);
    if (other.running && other.control->detector.selfMember().incarnation == member.incarnation) {
      simulation.falseDeaths_.insert({member.id.value, member.incarnation});
    }
  }
  void onRecordApplied(const ConfigRecord& record) override {
    for (PublishedChange& change : simulation.changes_) {
      if (change.version == record.version && change.missing.erase(id) > 0) {
        simulation.report_.applied.seconds.push_back(
            secondsOf(simulation.network_.now() - change.publishedAt));
      }
    }
  }

  RegionSimulation& simulation;
  uint32_t id = 0;
  std::unique_ptr<ControlNode> control;
  ByteAccount bytes;
  TimePoint startedAt;
  bool running = false;
};

RegionSimulation::RegionSimulation(const SimulationOptions& options)
    : options_(options), network_(options.seed), random_(options.seed + 1) {
  network_.onSend = [this](NodeId from, NodeId to, const Message& message) {
    countSent(from, to, message);
  };
}

RegionSimulation::~RegionSimulation() = default;

void RegionSimulation::countSent(NodeId from, NodeId to, const Message& message) {
  if (!measuring_) {
    return;
  }
  const double startCpuSeconds = cpuSecondsOfProcess();
  const uint64_t bytes = datagramBytes(message);
  nodes_.at(from.value)->bytes.addSent(byteClassOf(message), bytes);
  if (const auto receiver = nodes_.find(to.value); receiver != nodes_.end()) {
    receiver->second->bytes.addReceived(bytes);
  }
  cpuSeconds_ -= cpuSecondsOfProcess() - startCpuSeconds;
}

void RegionSimulation::start(uint32_t id, uint64_t incarnation, MemberState state) {
  auto& node = nodes_[id];
  if (!node) {
    node = std::make_unique<Node>(*this);
  }
  node->id = id;
  node->running = true;
  node->startedAt = network_.now();
  const Member self = memberOf(id, incarnation, state);
  MessageSink& sink =
      network_.attach(self.id, self.controlEndpoint(),
                      [this, receiver = node.get()](TimePoint now, const Endpoint& from,
                                                    NodeId sender, const Message& message) {
                        const double startCpuSeconds = cpuSecondsOfProcess();
                        receiver->control->onMessage(now, from, sender, message);
                        cpuSeconds_ += cpuSecondsOfProcess() - startCpuSeconds;
                      });
  node->control =
      std::make_unique<ControlNode>(self, random_.below(UINT64_MAX), sink, options_.spread);
  node->control->detector.addObserver(node.get());
  node->control->store.addObserver(node.get());
  std::vector<Endpoint> seeds;
  for (uint32_t seed = 1; seed <= kSeedNodes; ++seed) {
    seeds.push_back(memberOf(seed, 1).controlEndpoint());
  }
  node->control->detector.start(network_.now(), seeds);
}

void RegionSimulation::stop(Node& node) {
  node.running = false;
  network_.detach(memberOf(node.id, 1).controlEndpoint());
  for (PublishedChange& change : changes_) {
    change.missing.erase(node.id);
  }
}

void RegionSimulation::step() {
  network_.advanceTo(network_.now() + kTick);
  const double startCpuSeconds = cpuSecondsOfProcess();
  for (auto& [id, node] : nodes_) {
    if (node->running) {
      node->control->tick(network_.now());
    }
  }
  cpuSeconds_ += cpuSecondsOfProcess() - startCpuSeconds;
  restartDueNodes();
  checkChanges();
  if (network_.now() >= windowEnd_) {
    windowEnd_ += kWindow;
    closeWindows();
  }
}

void RegionSimulation::runFor(Duration span) {
  const TimePoint end = network_.now() + span;
  while (network_.now() < end) {
    step();
  }
}

void RegionSimulation::closeWindows() {
  for (auto& [id, node] : nodes_) {
    const bool isCounted =
        node->running && network_.now() - node->startedAt >= kStartTime + kWindow;
    node->bytes.closeWindow(measuring_ && isCounted);
  }
}

/**
 * Starts the region in a converged state: every node receives the members and records that it would
 * have fetched. Nodes that restart later fetch them over the network.
 */
void RegionSimulation::startRegion() {
  JoinReply members;
  for (uint32_t id = 1; id <= options_.nodes; ++id) {
    members.members.push_back(memberOf(id, 1, MemberState::kAlive));
  }
  std::vector<ConfigRecord> records;
  for (uint32_t index = 0; index < options_.records; ++index) {
    records.push_back(nextVersionOf(index));
  }
  for (uint32_t id = 1; id <= options_.nodes; ++id) {
    start(id, 1, MemberState::kAlive);
    ControlNode& control = *nodes_.at(id)->control;
    control.detector.handle(network_.now(), Endpoint{}, NodeId{}, members);
    control.spread.publish(network_.now(), records);
    control.spread.setStoreListed();
  }
  runFor(kStartTime + kWindow);
}

ConfigRecord RegionSimulation::nextVersionOf(uint64_t index) {
  return {{ObjectKind::kService, "service-" + std::to_string(index)},
          ++lastVersion_,
          false,
          std::string(options_.recordBytes, 'x')};
}

void RegionSimulation::publish() {
  ConfigRecord record = nextVersionOf(random_.below(options_.records));
  PublishedChange change{record.version, network_.now(), {}, false};
  for (const auto& [id, node] : nodes_) {
    if (node->running && node->control->spread.caughtUp()) {
      change.missing.insert(id);
    }
  }
  changes_.push_back(std::move(change));
  nodes_.at(kReader)->control->spread.publish(network_.now(), {std::move(record)});
}

void RegionSimulation::checkChanges() {
  std::erase_if(changes_, [&](PublishedChange& change) {
    const double waited = secondsOf(network_.now() - change.publishedAt);
    if (change.missing.empty() && !change.appliedEverywhere) {
      change.appliedEverywhere = true;
      report_.appliedEverywhere.seconds.push_back(waited);
    }
    if (!change.appliedEverywhere) {
      return false;
    }
    for (const auto& [id, node] : nodes_) {
      const ConfigSpread& spread = node->control->spread;
      if (node->running && spread.caughtUp() && spread.effectiveVersion() < change.version) {
        return false;
      }
    }
    report_.effectiveEverywhere.seconds.push_back(waited);
    return true;
  });
}

RegionSimulation::Node& RegionSimulation::randomNonSeedNode() {
  while (true) {
    const auto id = static_cast<uint32_t>(1 + random_.below(options_.nodes));
    Node& node = *nodes_.at(id);
    if (id > kSeedNodes && node.running &&
        node.control->detector.selfMember().state == MemberState::kAlive) {
      return node;
    }
  }
}

/** Stops a random node and schedules its restart. Half of the stops are planned, half are crashes.
 */
void RegionSimulation::stopRandomNode() {
  Node& node = randomNonSeedNode();
  ++report_.restarts;
  if (random_.below(2) == 0) {
    node.control->detector.announceLeaving(network_.now());
    pendingRestarts_.emplace(network_.now() + kLeaveTime, node.id);
  } else {
    stop(node);
    pendingRestarts_.emplace(network_.now() + kRestartTime, node.id);
  }
}

void RegionSimulation::restartDueNodes() {
  while (!pendingRestarts_.empty() && pendingRestarts_.begin()->first <= network_.now()) {
    const uint32_t id = pendingRestarts_.begin()->second;
    pendingRestarts_.erase(pendingRestarts_.begin());
    Node& node = *nodes_.at(id);
    if (node.running) {
      // Counts as stopped before it announces that it has left, so that its own announcement is
      // not counted as a false death.
      node.running = false;
      node.control->detector.announceLeft(network_.now());
      stop(node);
      pendingRestarts_.emplace(network_.now() + kRestartTime, id);
      continue;
    }
    start(id, node.control->detector.selfMember().incarnation + 1000, MemberState::kJoining);
  }
}

void RegionSimulation::resetMeasurement() {
  report_ = SimulationReport{};
  falseDeaths_.clear();
  for (auto& [id, node] : nodes_) {
    node->bytes = ByteAccount{};
  }
  windowEnd_ = network_.now() + kWindow;
  cpuSeconds_ = 0;
  measuring_ = true;
}

void RegionSimulation::runSteady() {
  const double restartsPerSecond = kRestartsPerNodeAndSecond * options_.nodes;
  const double seconds = options_.steadySeconds;
  const TimePoint end = network_.now() + std::chrono::seconds(options_.steadySeconds);
  while (network_.now() < end) {
    step();
    if (random_.unit() < kChangesPerSecond * secondsOf(kTick)) {
      publish();
    }
    if (random_.unit() < restartsPerSecond * secondsOf(kTick)) {
      stopRandomNode();
    }
  }
  report_.cpuMicroseconds = cpuSeconds_ * 1e6 / (seconds * options_.nodes);
  report_.falseDeaths = falseDeaths_.size();
  report_.falseDeathsPerNodeHour =
      static_cast<double>(falseDeaths_.size()) * 3600.0 / (seconds * options_.nodes);
  measureBytes(seconds);
  measuring_ = false;
}

void RegionSimulation::measureBytes(double seconds) {
  const double perNodeSecond = 1.0 / (seconds * options_.nodes);
  const auto meanSent = [&](const ByteAccount& bytes, ByteClass byteClass) {
    return static_cast<double>(bytes.sent[static_cast<size_t>(byteClass)]) * perNodeSecond;
  };
  for (const auto& [id, node] : nodes_) {
    const ByteAccount& bytes = node->bytes;
    report_.membershipBytes += meanSent(bytes, ByteClass::kMembership);
    report_.spreadBytes += meanSent(bytes, ByteClass::kSpread);
    report_.coverageBytes += meanSent(bytes, ByteClass::kCoverage);
    report_.sentBytes += static_cast<double>(bytes.totalSent()) * perNodeSecond;
    report_.sentAndReceivedBytes +=
        static_cast<double>(bytes.totalSent() + bytes.received) * perNodeSecond;
    report_.maxSentBytes = std::max(report_.maxSentBytes,
                                    static_cast<double>(bytes.maxWindowSent) / secondsOf(kWindow));
    report_.maxSentAndReceivedBytes =
        std::max(report_.maxSentAndReceivedBytes,
                 static_cast<double>(bytes.maxWindowTotal) / secondsOf(kWindow));
  }
}

void RegionSimulation::runCrashes() {
  for (uint32_t crash = 0; crash < options_.crashes; ++crash) {
    Node& node = randomNonSeedNode();
    const NodeId crashedId{node.id};
    stop(node);
    const TimePoint crashedAt = network_.now();
    bool detectedByOne = false;
    bool detectedByAll = false;
    while (network_.now() < crashedAt + kCrashSpacing) {
      step();
      size_t detecting = 0;
      size_t running = 0;
      for (const auto& [id, other] : nodes_) {
        const Member* member = other->running ? other->control->detector.find(crashedId) : nullptr;
        running += other->running ? 1 : 0;
        detecting +=
            other->running && (member == nullptr || member->state == MemberState::kDead) ? 1 : 0;
      }
      if (!detectedByOne && detecting > 0) {
        detectedByOne = true;
        report_.firstDetection.seconds.push_back(secondsOf(network_.now() - crashedAt));
      }
      if (!detectedByAll && detecting == running) {
        detectedByAll = true;
        report_.lastDetection.seconds.push_back(secondsOf(network_.now() - crashedAt));
      }
    }
    report_.undetected += detectedByAll ? 0 : 1;
  }
}

SimulationReport RegionSimulation::run() {
  startRegion();
  network_.faults.loss = options_.loss;
  network_.faults.longestDelay = network_.faults.shortestDelay + std::chrono::microseconds(500);
  runFor(kWindow);
  resetMeasurement();
  runSteady();
  runCrashes();
  return report_;
}

}  // namespace umberhold
