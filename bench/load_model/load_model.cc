/**
 * @file Deterministic discrete-event simulation of callers, nodes and hosts under load.
 *
 * Nodes run the production TokenDirector; the network is modelled as fixed delays. Times are in
 * seconds unless stated otherwise.
 */
#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "bench/load_model/load_day.h"
#include "common/base/hash.h"
#include "common/health/zone_silence.h"
#include "common/token/token_director.h"

namespace umberhold::load_model {
namespace {

/** One-way delay between a caller and its node, and of the answer to the caller. */
constexpr double kCallerDelay = 0.001;
/** One-way delay to a host of the caller's zone or of another zone. */
constexpr double kOwnZoneDelay = 0.0002;
constexpr double kOtherZoneDelay = 0.0014;
/** Callers retransmit at these times: a request after its first transmission, an opening after its
 * request was issued. At the last one, they give up the attempt instead. */
constexpr double kRetransmissionTimes[] = {0.2, 0.6, 1.4};
/** Callers give up a request after this time. */
constexpr double kRequestTimeout = 2.5;
constexpr uint32_t kMaxAttempts = 3;
/** Interval at which nodes are polled for resets and for openings released from their queues. */
constexpr double kTickInterval = 0.02;
/** Interval at which the nodes of a zone exchange observations of silent hosts. */
constexpr double kSilenceExchangeInterval = 0.3;
/** Service times are log-normal; this is the standard deviation of their logarithm. */
constexpr double kServiceTimeSigma = 0.47;
/** Maximum service time at a host that is not slowed down. */
constexpr double kMaxServiceTime = 0.14;
constexpr uint32_t kRequestBytes = 200;
constexpr uint32_t kAnswerBytes = 1000;
constexpr uint16_t kPort = 443;
/** A queued request adds as much load to a host as this many open flows, because the pauses of
 * their callers are about this many times longer than the service time. */
constexpr double kFlowsPerQueuedRequest = 50.0;
constexpr const char* kPoolName = "dispatch";

TimePoint toTimePoint(double seconds) {
  return TimePoint{
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1000.0 + seconds))};
}

std::string serviceName(size_t kind) {
  return "kind-" + std::to_string(kind);
}

struct Host {
  size_t zone = 0;
  uint32_t token = 0;
  bool dead = false;
  bool leaving = false;
  double slowdown = 1.0;
  uint32_t busySlots = 0;
  uint32_t openFlows = 0;
  uint64_t arrivals = 0;
  std::deque<size_t> queue;
};

struct Flow {
  FlowKey key;
  bool open = false;
  size_t host = 0;
  uint32_t sequence = 1;
  uint32_t acknowledged = 1;
};

struct Caller {
  size_t zone = 0;
  /** Callers of a burst leave when it ends. */
  double leavesAt = 1e9;
  /** The only kind of request that it issues; nullopt: all kinds. */
  std::optional<size_t> onlyKind;
  /** One per kind of request. */
  std::vector<Flow> flows;
};

struct Request {
  size_t caller = 0;
  size_t kind = 0;
  double issuedAt = 0.0;
  uint32_t attempts = 0;
  /** The caller has an answer or has given up; later events of the request are ignored. */
  bool finished = false;
  /** Incremented with each attempt; events of earlier attempts are ignored. */
  uint32_t generation = 0;
};

class LoadSimulation {
 public:
  explicit LoadSimulation(const LoadScenario& scenario)
      : scenario_(scenario), random_(scenario.seed) {
    result_.zones.resize(scenario.zones.size());
    result_.kinds.resize(scenario.kinds.size());
    addHosts();
    addNodes();
    for (size_t zone = 0; zone < scenario.zones.size(); ++zone) {
      addCallers(zone, scenario.zones[zone].callers, 0.0, scenario.meanPause, 1e9);
    }
    for (const LoadEvent& event : scenario.events) {
      scheduleAt(event.from, [this, event] { beginEvent(event); });
      scheduleAt(event.to, [this] { endEvent(); });
    }
    scheduleAt(kTickInterval, [this] { tick(); });
    scheduleAt(kSilenceExchangeInterval, [this] { exchangeSilentHosts(); });
  }

  LoadResult run() {
    while (!events_.empty() && events_.top().time <= scenario_.durationSeconds) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.callback();
    }
    computeHostTotals();
    return result_;
  }

 private:
  struct Event {
    double time = 0.0;
    /** Orders events of the same time by when they were scheduled. */
    uint64_t sequence = 0;
    std::function<void()> callback;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  void scheduleAt(double time, std::function<void()> callback) {
    events_.push({std::max(time, now_), ++lastSequence_, std::move(callback)});
  }
  TimePoint now() const { return toTimePoint(now_); }

  // Setup and events of the scenario.
  void addHosts() {
    for (size_t zone = 0; zone < scenario_.zones.size(); ++zone) {
      for (uint32_t index = 0; index < scenario_.zones[zone].hosts; ++index) {
        Host& host = hosts_.emplace_back();
        host.zone = zone;
        host.token = flowTokenOf(hosts_.size());
        hostByToken_[host.token] = hosts_.size() - 1;
      }
    }
  }
  HostPool pool() const {
    HostPool pool{kPoolName, {}};
    for (size_t index = 0; index < hosts_.size(); ++index) {
      HostSpec spec;
      spec.name = "h-" + std::to_string(index);
      spec.endpoint = {0x0A800000 + static_cast<uint32_t>(index), 8080};
      spec.zone = scenario_.zones[hosts_[index].zone].name;
      spec.incarnation = index + 1;
      spec.slots = scenario_.slotsPerHost;
      spec.weight = 100 * scenario_.slotsPerHost;
      spec.state = hosts_[index].leaving ? HostState::kDraining : HostState::kActive;
      pool.hosts.push_back(spec);
    }
    return pool;
  }
  void addNodes() {
    if (scenario_.hostSelection != HostSelection::kNodes) {
      return;
    }
    for (const LoadZone& zone : scenario_.zones) {
      auto& nodes = nodes_.emplace_back();
      ackStateCollectors_.emplace_back(zone.nodes);
      zoneSilence_.emplace_back();
      for (uint32_t index = 0; index < zone.nodes; ++index) {
        TokenOptions options;
        options.zone = zone.name;
        options.placement = scenario_.placement;
        options.openings = scenario_.openings;
        options.room = scenario_.room;
        nodes.push_back(std::make_unique<TokenDirector>(options, random_));
        nodes.back()->setZoneNodes(zone.nodes);
        nodes.back()->setPool(now(), pool());
        for (size_t kind = 0; kind < scenario_.kinds.size(); ++kind) {
          Service service;
          service.name = serviceName(kind);
          service.address = static_cast<uint32_t>(kind + 1);
          service.port = kPort;
          service.groups = {{kPoolName, 1}};
          service.repeatable = kind == 0;
          service.priority = scenario_.kinds[kind].priority;
          service.targetLatencyMilliseconds =
              static_cast<uint32_t>(scenario_.kinds[kind].targetLatency);
          service.requestTimeoutMilliseconds = static_cast<uint32_t>(kRequestTimeout * 1000.0);
          nodes.back()->setService(service);
        }
      }
    }
  }
  void setPools() {
    for (auto& nodes : nodes_) {
      for (auto& node : nodes) {
        node->setPool(now(), pool());
      }
    }
  }
  void addCallers(size_t zone, size_t count, double from, double startWindow, double leavesAt,
                  std::optional<size_t> onlyKind = std::nullopt) {
    for (size_t added = 0; added < count; ++added) {
      Caller& caller = callers_.emplace_back();
      caller.zone = zone;
      caller.leavesAt = leavesAt;
      caller.onlyKind = onlyKind;
      caller.flows.resize(scenario_.kinds.size());
      const size_t index = callers_.size() - 1;
      for (size_t kind = 0; kind < scenario_.kinds.size(); ++kind) {
        Flow& flow = caller.flows[kind];
        flow.key.caller = {static_cast<uint32_t>(0x64400000 + index),
                           static_cast<uint16_t>(1024 + kind)};
        flow.key.service = {static_cast<uint32_t>(kind + 1), kPort};
      }
      scheduleAt(from + startWindow * random_.unit(), [this, index] { issueRequest(index); });
    }
  }
  void beginEvent(const LoadEvent& event) {
    ++activeEvents_;
    for (size_t zone = 0; zone < scenario_.zones.size(); ++zone) {
      const double additional = (event.callers - 1.0) * scenario_.zones[zone].callers;
      if (additional > 0.0) {
        addCallers(zone, static_cast<size_t>(additional), now_, 1.0, event.to, event.kind);
      }
    }
    std::vector<size_t> hostOrder(hosts_.size());
    for (size_t index = 0; index < hostOrder.size(); ++index) {
      hostOrder[index] = index;
    }
    std::shuffle(hostOrder.begin(), hostOrder.end(), random_.engine());
    const auto hostCount = [&](double fraction) {
      return static_cast<size_t>(fraction * static_cast<double>(hostOrder.size()));
    };
    for (size_t rank = 0; rank < hostOrder.size(); ++rank) {
      Host& host = hosts_[hostOrder[rank]];
      host.leaving = host.leaving || rank < hostCount(event.leavingFraction);
      host.dead = host.dead || rank < hostCount(event.deadFraction);
      host.slowdown = rank < hostCount(event.slowFraction) ? event.slowdown : host.slowdown;
    }
    if (event.leavingFraction > 0.0) {
      setPools();
    }
  }
  void endEvent() {
    --activeEvents_;
    for (Host& host : hosts_) {
      host.slowdown = 1.0;
    }
  }

  // Nodes.
  TokenDirector* nodeOf(const Caller& caller, const Flow& flow) {
    return nodes_.empty()
               ? nullptr
               : nodes_[caller.zone][hashOf(flow.key).value % nodes_[caller.zone].size()].get();
  }
  FlowDecision decide(const Caller& caller, size_t kind, PacketPhase phase, uint32_t dataBytes) {
    const Flow& flow = caller.flows[kind];
    FlowPacket packet;
    packet.key = flow.key;
    packet.hash = hashOf(flow.key);
    packet.service = serviceIdOf(serviceName(kind));
    packet.phase = phase;
    packet.token = flow.open ? hosts_[flow.host].token : 0;
    packet.sequence = flow.sequence;
    packet.acknowledged = flow.acknowledged;
    packet.dataBytes = dataBytes;
    // The packet only has to identify the caller and the kind if the node queues and releases it.
    const std::string bytes =
        std::to_string(flow.key.caller.address - 0x64400000) + " " + std::to_string(kind);
    return nodeOf(caller, flow)->decide(now(), packet, bytes);
  }
  static bool acceptsFlows(const Host& host) { return !host.leaving && !host.dead; }
  std::optional<size_t> randomHost() {
    std::vector<size_t> candidates;
    for (size_t index = 0; index < hosts_.size(); ++index) {
      if (acceptsFlows(hosts_[index])) {
        candidates.push_back(index);
      }
    }
    return candidates.empty() ? std::nullopt
                              : std::optional(candidates[random_.below(candidates.size())]);
  }
  std::optional<size_t> leastLoadedHost() const {
    std::optional<size_t> best;
    double lowestLoad = 0.0;
    for (size_t index = 0; index < hosts_.size(); ++index) {
      const Host& host = hosts_[index];
      const double load =
          host.slowdown *
          (host.openFlows + kFlowsPerQueuedRequest * static_cast<double>(host.queue.size()));
      if (acceptsFlows(host) && (!best || load < lowestLoad)) {
        best = index;
        lowestLoad = load;
      }
    }
    return best;
  }
  void tick() {
    for (size_t zone = 0; zone < nodes_.size(); ++zone) {
      for (auto& node : nodes_[zone]) {
        node->onCaughtUp(now());
        handleResets(*node);
        handleReleased(*node);
      }
    }
    scheduleAt(now_ + kTickInterval, [this] { tick(); });
  }
  /** Passes the openings that a node released from its queue to placement again. */
  void handleReleased(TokenDirector& node) {
    for (const std::string& bytes : node.takeReleased(now())) {
      const size_t space = bytes.find(' ');
      const auto active = activeRequests_.find(std::stoul(bytes.substr(0, space)));
      const size_t kind = std::stoul(bytes.substr(space));
      if (active != activeRequests_.end() && requests_[active->second].kind == kind) {
        const size_t id = active->second;
        placeFlow(id, requests_[id].generation, 0);
      }
    }
  }
  void handleResets(TokenDirector& node) {
    for (const ResetFlow& reset : node.takeResets()) {
      Caller& caller = callers_[reset.key.caller.address - 0x64400000];
      const size_t kind = reset.key.service.address - 1;
      if (caller.flows[kind].key == reset.key) {
        closeFlow(caller.flows[kind]);
      }
      // retry() repeats the flow's active request immediately if it may be executed twice.
      const auto active = activeRequests_.find(reset.key.caller.address - 0x64400000);
      if (active != activeRequests_.end() && requests_[active->second].kind == kind) {
        retry(active->second, false);
      }
    }
  }
  void exchangeSilentHosts() {
    for (size_t zone = 0; scenario_.sharesSilentHosts && zone < nodes_.size(); ++zone) {
      for (size_t index = 0; index < nodes_[zone].size(); ++index) {
        AckStateCollector& collector = ackStateCollectors_[zone][index];
        collector.add(nodes_[zone][index]->takeAckStates());
        zoneSilence_[zone].merge(now(), index, collector.take(now()));
        nodes_[zone][index]->applySilentHosts(now(), zoneSilence_[zone].silentHosts(now()));
      }
    }
    scheduleAt(now_ + kSilenceExchangeInterval, [this] { exchangeSilentHosts(); });
  }

  // Callers.
  void issueRequest(size_t callerIndex) {
    const Caller& caller = callers_[callerIndex];
    if (now_ >= caller.leavesAt) {
      return;
    }
    double draw = random_.unit();
    size_t kind = caller.onlyKind.value_or(0);
    while (!caller.onlyKind && kind + 1 < scenario_.kinds.size() &&
           draw >= scenario_.kinds[kind].share) {
      draw -= scenario_.kinds[kind].share;
      ++kind;
    }
    requests_.push_back({callerIndex, kind, now_, 0, false, 0});
    activeRequests_[callerIndex] = requests_.size() - 1;
    updateCounts(requests_.back(), [](OutcomeCounts& outcome) { ++outcome.issued; });
    startAttempt(requests_.size() - 1);
  }
  void startAttempt(size_t id) {
    Request& request = requests_[id];
    ++request.attempts;
    const uint32_t generation = ++request.generation;
    if (callers_[request.caller].flows[request.kind].open) {
      sendRequest(id, generation, 0);
    } else {
      sendOpening(id, generation, 0);
    }
  }
  void sendOpening(size_t id, uint32_t generation, size_t transmission) {
    Request& request = requests_[id];
    if (request.finished || request.generation != generation) {
      return;
    }
    Caller& caller = callers_[request.caller];
    Flow& flow = caller.flows[request.kind];
    if (transmission == 0) {
      flow.key.caller.port = static_cast<uint16_t>(flow.key.caller.port + scenario_.kinds.size());
    }
    if (transmission == std::size(kRetransmissionTimes)) {
      retry(id, false);
      return;
    }
    placeFlow(id, generation, transmission);
  }
  /** Selects a host for a new flow; the node may also queue or refuse the opening. */
  void placeFlow(size_t id, uint32_t generation, size_t transmission) {
    const Caller& caller = callers_[requests_[id].caller];
    if (scenario_.hostSelection != HostSelection::kNodes) {
      openFlowAt(
          id, generation, transmission,
          scenario_.hostSelection == HostSelection::kRandom ? randomHost() : leastLoadedHost());
      return;
    }
    const FlowDecision decision = decide(caller, requests_[id].kind, PacketPhase::kOpening, 0);
    if (const auto* forward = std::get_if<ForwardToHost>(&decision)) {
      openFlowAt(id, generation, transmission, hostByToken_.at(forward->token));
    } else if (!std::holds_alternative<HoldPacket>(decision)) {
      openFlowAt(id, generation, transmission, std::nullopt);
    }
  }
  void openFlowAt(size_t id, uint32_t generation, size_t transmission,
                  std::optional<size_t> hostIndex) {
    const Request& request = requests_[id];
    if (!hostIndex) {
      retry(id, true);
      return;
    }
    const Caller& caller = callers_[request.caller];
    const Host& host = hosts_[*hostIndex];
    if (host.dead) {
      scheduleAt(request.issuedAt + kRetransmissionTimes[transmission],
                 [=, this] { sendOpening(id, generation, transmission + 1); });
      return;
    }
    ++hosts_[*hostIndex].openFlows;
    ++openedFlows_;
    otherZoneFlows_ += host.zone != caller.zone ? 1 : 0;
    scheduleAt(now_ + 2 * (kCallerDelay + delayTo(caller, host)),
               [=, this] { onFlowOpened(id, generation, *hostIndex); });
  }
  void onFlowOpened(size_t id, uint32_t generation, size_t host) {
    Request& request = requests_[id];
    if (request.finished || request.generation != generation) {
      --hosts_[host].openFlows;
      return;
    }
    Caller& caller = callers_[request.caller];
    Flow& flow = caller.flows[request.kind];
    flow.open = true;
    flow.host = host;
    if (!nodes_.empty()) {
      decide(caller, request.kind, PacketPhase::kContinuing, 0);
    }
    sendRequest(id, generation, 0);
  }
  void sendRequest(size_t id, uint32_t generation, size_t transmission) {
    Request& request = requests_[id];
    if (request.finished || request.generation != generation) {
      return;
    }
    Caller& caller = callers_[request.caller];
    Flow& flow = caller.flows[request.kind];
    if (now_ - request.issuedAt >= kRequestTimeout ||
        transmission == std::size(kRetransmissionTimes)) {
      closeFlow(flow);
      finishRequest(id, [](OutcomeCounts& outcome) { ++outcome.failed; });
      return;
    }
    const bool refused =
        !nodes_.empty() && std::holds_alternative<RefuseFlow>(decide(
                               caller, request.kind, PacketPhase::kContinuing, kRequestBytes));
    if (refused) {
      closeFlow(flow);
      retry(id, false);
      return;
    }
    const size_t host = flow.host;
    if (hosts_[host].dead) {
      scheduleAt(now_ + (transmission == 0 ? kRetransmissionTimes[0]
                                           : kRetransmissionTimes[transmission] -
                                                 kRetransmissionTimes[transmission - 1]),
                 [=, this] { sendRequest(id, generation, transmission + 1); });
      return;
    }
    scheduleAt(now_ + kCallerDelay + delayTo(caller, hosts_[host]),
               [=, this] { onRequestArrived(id, generation, host); });
  }
  double delayTo(const Caller& caller, const Host& host) const {
    return host.zone == caller.zone ? kOwnZoneDelay : kOtherZoneDelay;
  }
  void closeFlow(Flow& flow) {
    if (flow.open) {
      flow.open = false;
      --hosts_[flow.host].openFlows;
    }
  }
  /**
   * Repeats a request if it may be repeated and attempts are left; otherwise finishes it.
   * @param rejected whether the request was refused and not executed. Otherwise its flow broke or
   * could not be opened, and only a request of kind 0, which may be executed twice, is repeated.
   */
  void retry(size_t id, bool rejected) {
    Request& request = requests_[id];
    if (request.finished) {
      return;
    }
    closeFlow(callers_[request.caller].flows[request.kind]);
    const bool retryable = rejected || request.kind == 0;
    if (retryable && request.attempts < kMaxAttempts) {
      startAttempt(id);
    } else {
      finishRequest(id, [rejected](OutcomeCounts& outcome) {
        ++(rejected ? outcome.refused : outcome.failed);
      });
    }
  }

  // Hosts.
  void onRequestArrived(size_t id, uint32_t generation, size_t hostIndex) {
    Host& host = hosts_[hostIndex];
    if (host.dead) {
      return;  // The attempt is lost; no retransmission is scheduled for it.
    }
    host.arrivals += activeEvents_ > 0 ? 1 : 0;
    if (host.busySlots < scenario_.slotsPerHost) {
      startProcessing(id, generation, hostIndex);
    } else if (host.queue.size() < scenario_.queueCapacity) {
      host.queue.push_back(id);
    } else {
      scheduleAt(now_ + kCallerDelay, [=, this] {
        if (requests_[id].generation == generation) {
          retry(id, true);
        }
      });
    }
  }
  void startProcessing(size_t id, uint32_t generation, size_t hostIndex) {
    Host& host = hosts_[hostIndex];
    ++host.busySlots;
    const double mean = scenario_.kinds[requests_[id].kind].meanServiceTime / 1000.0;
    // The location is chosen so that the mean of the distribution is `mean`.
    std::lognormal_distribution<double> distribution(
        std::log(mean) - kServiceTimeSigma * kServiceTimeSigma / 2, kServiceTimeSigma);
    const double serviceTime =
        std::min(distribution(random_.engine()), kMaxServiceTime) * host.slowdown;
    scheduleAt(now_ + serviceTime, [=, this] { onProcessed(id, generation, hostIndex); });
  }
  void onProcessed(size_t id, uint32_t generation, size_t hostIndex) {
    Host& host = hosts_[hostIndex];
    --host.busySlots;
    if (host.dead) {
      return;
    }
    if (!host.queue.empty()) {
      const size_t next = host.queue.front();
      host.queue.pop_front();
      startProcessing(next, requests_[next].generation, hostIndex);
    }
    scheduleAt(now_ + kCallerDelay, [=, this] { onAnswered(id, generation); });
  }
  void onAnswered(size_t id, uint32_t generation) {
    Request& request = requests_[id];
    if (request.finished || request.generation != generation) {
      return;
    }
    Caller& caller = callers_[request.caller];
    Flow& flow = caller.flows[request.kind];
    flow.sequence += kRequestBytes;
    flow.acknowledged += kAnswerBytes;
    if (!nodes_.empty()) {
      decide(caller, request.kind, PacketPhase::kContinuing, 0);
      handleReleased(*nodeOf(caller, flow));
    }
    if (hosts_[flow.host].leaving || scenario_.kinds[request.kind].opensFlowPerRequest) {
      closeFlow(flow);
    }
    const bool onTime =
        (now_ - request.issuedAt) * 1000.0 <= scenario_.kinds[request.kind].targetLatency;
    finishRequest(id,
                  [onTime](OutcomeCounts& outcome) { ++(onTime ? outcome.onTime : outcome.late); });
  }

  template <class Count>
  void updateCounts(const Request& request, const Count& count) {
    count(result_.all);
    const bool inEvent =
        std::any_of(scenario_.events.begin(), scenario_.events.end(), [&](const LoadEvent& event) {
          return request.issuedAt >= event.from && request.issuedAt < event.to;
        });
    if (inEvent) {
      count(result_.zones[callers_[request.caller].zone]);
      count(result_.kinds[request.kind]);
    }
  }
  template <class Count>
  void finishRequest(size_t id, const Count& count) {
    Request& request = requests_[id];
    request.finished = true;
    activeRequests_.erase(request.caller);
    updateCounts(request, count);
    const double pause =
        std::exponential_distribution<double>(1.0 / scenario_.meanPause)(random_.engine());
    const size_t caller = request.caller;
    scheduleAt(now_ + pause, [this, caller] { issueRequest(caller); });
  }
  void computeHostTotals() {
    uint64_t maxArrivals = 0;
    uint64_t totalArrivals = 0;
    uint64_t activeHosts = 0;
    for (const Host& host : hosts_) {
      if (!host.leaving && !host.dead) {
        maxArrivals = std::max(maxArrivals, host.arrivals);
        totalArrivals += host.arrivals;
        ++activeHosts;
      }
    }
    result_.maxToMeanArrivals =
        totalArrivals == 0
            ? 1.0
            : static_cast<double>(maxArrivals * activeHosts) / static_cast<double>(totalArrivals);
    result_.otherZoneFraction = openedFlows_ == 0 ? 0.0
                                                  : static_cast<double>(otherZoneFlows_) /
                                                        static_cast<double>(openedFlows_);
  }

  const LoadScenario& scenario_;
  RandomSource random_;
  LoadResult result_;
  std::priority_queue<Event> events_;
  uint64_t lastSequence_ = 0;
  double now_ = 0.0;
  int activeEvents_ = 0;
  uint64_t openedFlows_ = 0;
  uint64_t otherZoneFlows_ = 0;
  std::vector<Host> hosts_;
  std::unordered_map<uint32_t, size_t> hostByToken_;
  std::vector<std::vector<std::unique_ptr<TokenDirector>>> nodes_;
  std::vector<std::vector<AckStateCollector>> ackStateCollectors_;
  std::vector<ZoneSilence> zoneSilence_;
  std::deque<Caller> callers_;
  std::deque<Request> requests_;
  /** By index of the caller, the index of its request that has not finished. */
  std::unordered_map<size_t, size_t> activeRequests_;
};

}  // namespace

LoadResult runScenario(const LoadScenario& scenario) {
  return LoadSimulation(scenario).run();
}

}  // namespace umberhold::load_model
