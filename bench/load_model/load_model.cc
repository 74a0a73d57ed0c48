/** @file A deterministic model of callers, nodes and hosts under load: nodes are the product's own
 * TokenDirector, the network is delays. */
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

constexpr double kCallerDelay = 0.001;
constexpr double kOwnZoneDelay = 0.0002;
constexpr double kOtherZoneDelay = 0.0014;
/** Callers send again after these times, and give an opening up with the last. */
constexpr double kCopies[] = {0.2, 0.6, 1.4};
constexpr double kDeadline = 2.5;
constexpr uint32_t kMostTries = 3;
constexpr double kTick = 0.02;
constexpr double kShareInterval = 0.3;
/** Spread of work times: the standard deviation of their logarithm. */
constexpr double kWorkSpread = 0.47;
constexpr double kLongestWork = 0.14;
constexpr uint32_t kRequestBytes = 200;
constexpr uint32_t kAnswerBytes = 1000;
constexpr uint16_t kPort = 443;
/** A request that waits at a host counts for so many open flows: their callers' pauses are so much
 * longer than the work. */
constexpr double kFlowsOfWaiting = 50.0;
constexpr const char* kPool = "dispatch";

TimePoint pointOf(double seconds) {
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
  double slowness = 1.0;
  uint32_t busy = 0;
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

struct User {
  size_t zone = 0;
  /** Users of a burst leave when it ends. */
  double until = 1e9;
  /** All that it asks for; none: all kinds. */
  std::optional<size_t> kind;
  /** One for each kind. */
  std::vector<Flow> flows;
};

struct Request {
  size_t user = 0;
  size_t kind = 0;
  double askedAt = 0.0;
  uint32_t tries = 0;
  /** It ended for its user; late events of it mean nothing. */
  bool over = false;
  /** Rises with each try: events of earlier tries mean nothing. */
  uint32_t generation = 0;
};

class Model {
 public:
  explicit Model(const LoadDay& day) : day_(day), random_(day.seed) {
    result_.zones.resize(day.zones.size());
    result_.kinds.resize(day.kinds.size());
    addHosts();
    addNodes();
    for (size_t zone = 0; zone < day.zones.size(); ++zone) {
      addUsers(zone, day.zones[zone].users, 0.0, day.pause, 1e9);
    }
    for (const LoadEvent& event : day.events) {
      at(event.from, [this, event] { begin(event); });
      at(event.to, [this] { end(); });
    }
    at(kTick, [this] { tick(); });
    at(kShareInterval, [this] { share(); });
  }

  LoadResult play() {
    while (!events_.empty() && events_.top().time <= day_.seconds) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.run();
    }
    finish();
    return result_;
  }

 private:
  struct Event {
    double time = 0.0;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  void at(double time, std::function<void()> run) {
    events_.push({std::max(time, now_), ++order_, std::move(run)});
  }
  TimePoint now() const { return pointOf(now_); }

  // The world.
  void addHosts() {
    for (size_t zone = 0; zone < day_.zones.size(); ++zone) {
      for (uint32_t index = 0; index < day_.zones[zone].hosts; ++index) {
        Host& host = hosts_.emplace_back();
        host.zone = zone;
        host.token = flowTokenOf(hosts_.size());
        byToken_[host.token] = hosts_.size() - 1;
      }
    }
  }
  HostPool pool() const {
    HostPool pool{kPool, {}};
    for (size_t index = 0; index < hosts_.size(); ++index) {
      HostSpec spec;
      spec.name = "h-" + std::to_string(index);
      spec.endpoint = {0x0A800000 + static_cast<uint32_t>(index), 8080};
      spec.zone = day_.zones[hosts_[index].zone].name;
      spec.incarnation = index + 1;
      spec.slots = day_.slots;
      spec.weight = 100 * day_.slots;
      spec.state = hosts_[index].leaving ? HostState::kDraining : HostState::kActive;
      pool.hosts.push_back(spec);
    }
    return pool;
  }
  void addNodes() {
    if (day_.chooser != Chooser::kNodes) {
      return;
    }
    for (const LoadZone& zone : day_.zones) {
      auto& nodes = nodes_.emplace_back();
      gatherers_.emplace_back(zone.nodes);
      silence_.emplace_back();
      for (uint32_t index = 0; index < zone.nodes; ++index) {
        TokenOptions options;
        options.zone = zone.name;
        options.placement = day_.placement;
        options.openings = day_.openings;
        options.room = day_.room;
        nodes.push_back(std::make_unique<TokenDirector>(options, random_));
        nodes.back()->setZoneNodes(zone.nodes);
        nodes.back()->setPool(now(), pool());
        for (size_t kind = 0; kind < day_.kinds.size(); ++kind) {
          Service service;
          service.name = serviceName(kind);
          service.address = static_cast<uint32_t>(kind + 1);
          service.port = kPort;
          service.groups = {{kPool, 1}};
          service.repeatable = kind == 0;
          service.priority = day_.kinds[kind].priority;
          service.targetLatencyMilliseconds = static_cast<uint32_t>(day_.kinds[kind].aim);
          service.requestTimeoutMilliseconds = static_cast<uint32_t>(kDeadline * 1000.0);
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
  void addUsers(size_t zone, size_t count, double from, double within, double until,
                std::optional<size_t> kind = std::nullopt) {
    for (size_t added = 0; added < count; ++added) {
      User& user = users_.emplace_back();
      user.zone = zone;
      user.until = until;
      user.kind = kind;
      user.flows.resize(day_.kinds.size());
      const size_t index = users_.size() - 1;
      for (size_t kind = 0; kind < day_.kinds.size(); ++kind) {
        Flow& flow = user.flows[kind];
        flow.key.caller = {static_cast<uint32_t>(0x64400000 + index),
                           static_cast<uint16_t>(1024 + kind)};
        flow.key.service = {static_cast<uint32_t>(kind + 1), kPort};
      }
      at(from + within * random_.unit(), [this, index] { ask(index); });
    }
  }
  void begin(const LoadEvent& event) {
    ++running_;
    for (size_t zone = 0; zone < day_.zones.size(); ++zone) {
      const double more = (event.users - 1.0) * day_.zones[zone].users;
      if (more > 0.0) {
        addUsers(zone, static_cast<size_t>(more), now_, 1.0, event.to, event.kind);
      }
    }
    std::vector<size_t> order(hosts_.size());
    for (size_t index = 0; index < order.size(); ++index) {
      order[index] = index;
    }
    std::shuffle(order.begin(), order.end(), random_.engine());
    const auto count = [&](double part) {
      return static_cast<size_t>(part * static_cast<double>(order.size()));
    };
    for (size_t place = 0; place < order.size(); ++place) {
      Host& host = hosts_[order[place]];
      host.leaving = host.leaving || place < count(event.hostsGone);
      host.dead = host.dead || place < count(event.deadPart);
      host.slowness = place < count(event.slowPart) ? event.slowness : host.slowness;
    }
    if (event.hostsGone > 0.0) {
      setPools();
    }
  }
  void end() {
    --running_;
    for (Host& host : hosts_) {
      host.slowness = 1.0;
    }
  }

  // Nodes.
  TokenDirector* nodeOf(const User& user, const Flow& flow) {
    return nodes_.empty()
               ? nullptr
               : nodes_[user.zone][hashOf(flow.key).value % nodes_[user.zone].size()].get();
  }
  FlowDecision decide(const User& user, size_t kind, PacketPhase phase, uint32_t dataBytes) {
    const Flow& flow = user.flows[kind];
    FlowPacket packet;
    packet.key = flow.key;
    packet.hash = hashOf(flow.key);
    packet.service = serviceIdOf(serviceName(kind));
    packet.phase = phase;
    packet.token = flow.open ? hosts_[flow.host].token : 0;
    packet.sequence = flow.sequence;
    packet.acknowledged = flow.acknowledged;
    packet.dataBytes = dataBytes;
    // What waits in the node is known again by the user and the kind.
    const std::string bytes =
        std::to_string(flow.key.caller.address - 0x64400000) + " " + std::to_string(kind);
    return nodeOf(user, flow)->decide(now(), packet, bytes);
  }
  static bool takesFlows(const Host& host) { return !host.leaving && !host.dead; }
  std::optional<size_t> anyHost() {
    std::vector<size_t> able;
    for (size_t index = 0; index < hosts_.size(); ++index) {
      if (takesFlows(hosts_[index])) {
        able.push_back(index);
      }
    }
    return able.empty() ? std::nullopt : std::optional(able[random_.below(able.size())]);
  }
  std::optional<size_t> emptiestHost() const {
    std::optional<size_t> best;
    double least = 0.0;
    for (size_t index = 0; index < hosts_.size(); ++index) {
      const Host& host = hosts_[index];
      const double load =
          host.slowness *
          (host.openFlows + kFlowsOfWaiting * static_cast<double>(host.queue.size()));
      if (takesFlows(host) && (!best || load < least)) {
        best = index;
        least = load;
      }
    }
    return best;
  }
  void tick() {
    for (size_t zone = 0; zone < nodes_.size(); ++zone) {
      for (auto& node : nodes_[zone]) {
        node->onCaughtUp(now());
        takeResets(*node);
        takeReleased(*node);
      }
    }
    at(now_ + kTick, [this] { tick(); });
  }
  /** Openings that waited in the node are decided on again. */
  void takeReleased(TokenDirector& node) {
    for (const std::string& bytes : node.takeReleased(now())) {
      const size_t space = bytes.find(' ');
      const auto underWay = underWay_.find(std::stoul(bytes.substr(0, space)));
      const size_t kind = std::stoul(bytes.substr(space));
      if (underWay != underWay_.end() && requests_[underWay->second].kind == kind) {
        const size_t id = underWay->second;
        chooseFor(id, requests_[id].generation, 0);
      }
    }
  }
  void takeResets(TokenDirector& node) {
    for (const ResetFlow& reset : node.takeResets()) {
      User& user = users_[reset.key.caller.address - 0x64400000];
      const size_t kind = reset.key.service.address - 1;
      if (user.flows[kind].key == reset.key) {
        close(user.flows[kind]);
      }
      // A request under way that may run twice is sent again at once.
      const auto underWay = underWay_.find(reset.key.caller.address - 0x64400000);
      if (underWay != underWay_.end() && requests_[underWay->second].kind == kind) {
        tryAgain(underWay->second, false);
      }
    }
  }
  void share() {
    for (size_t zone = 0; day_.sharesSilence && zone < nodes_.size(); ++zone) {
      for (size_t index = 0; index < nodes_[zone].size(); ++index) {
        AckStateCollector& gatherer = gatherers_[zone][index];
        gatherer.add(nodes_[zone][index]->takeAckStates());
        silence_[zone].merge(now(), index, gatherer.take(now()));
        nodes_[zone][index]->applySilentHosts(now(), silence_[zone].silentHosts(now()));
      }
    }
    at(now_ + kShareInterval, [this] { share(); });
  }

  // Users.
  void ask(size_t userIndex) {
    const User& user = users_[userIndex];
    if (now_ >= user.until) {
      return;
    }
    double draw = random_.unit();
    size_t kind = user.kind.value_or(0);
    while (!user.kind && kind + 1 < day_.kinds.size() && draw >= day_.kinds[kind].share) {
      draw -= day_.kinds[kind].share;
      ++kind;
    }
    requests_.push_back({userIndex, kind, now_, 0, false, 0});
    underWay_[userIndex] = requests_.size() - 1;
    counted(requests_.back(), [](LoadOutcome& outcome) { ++outcome.asked; });
    attempt(requests_.size() - 1);
  }
  void attempt(size_t id) {
    Request& request = requests_[id];
    ++request.tries;
    const uint32_t generation = ++request.generation;
    if (users_[request.user].flows[request.kind].open) {
      send(id, generation, 0);
    } else {
      open(id, generation, 0);
    }
  }
  void open(size_t id, uint32_t generation, size_t copy) {
    Request& request = requests_[id];
    if (request.over || request.generation != generation) {
      return;
    }
    User& user = users_[request.user];
    Flow& flow = user.flows[request.kind];
    if (copy == 0) {
      flow.key.caller.port = static_cast<uint16_t>(flow.key.caller.port + day_.kinds.size());
    }
    if (copy == std::size(kCopies)) {
      tryAgain(id, false);
      return;
    }
    chooseFor(id, generation, copy);
  }
  /** Finds a host for a new flow, or lets the opening wait in its node, or be refused. */
  void chooseFor(size_t id, uint32_t generation, size_t copy) {
    const User& user = users_[requests_[id].user];
    if (day_.chooser != Chooser::kNodes) {
      openAt(id, generation, copy, day_.chooser == Chooser::kRandom ? anyHost() : emptiestHost());
      return;
    }
    const FlowDecision decision = decide(user, requests_[id].kind, PacketPhase::kOpening, 0);
    if (const auto* forward = std::get_if<ForwardToHost>(&decision)) {
      openAt(id, generation, copy, byToken_.at(forward->token));
    } else if (!std::holds_alternative<HoldPacket>(decision)) {
      openAt(id, generation, copy, std::nullopt);
    }
  }
  void openAt(size_t id, uint32_t generation, size_t copy, std::optional<size_t> chosen) {
    const Request& request = requests_[id];
    if (!chosen) {
      tryAgain(id, true);
      return;
    }
    const User& user = users_[request.user];
    const Host& host = hosts_[*chosen];
    if (host.dead) {
      at(request.askedAt + kCopies[copy], [=, this] { open(id, generation, copy + 1); });
      return;
    }
    ++hosts_[*chosen].openFlows;
    ++opened_;
    otherZone_ += host.zone != user.zone ? 1 : 0;
    at(now_ + 2 * (kCallerDelay + delayTo(user, host)),
       [=, this] { opened(id, generation, *chosen); });
  }
  void opened(size_t id, uint32_t generation, size_t host) {
    Request& request = requests_[id];
    if (request.over || request.generation != generation) {
      --hosts_[host].openFlows;
      return;
    }
    User& user = users_[request.user];
    Flow& flow = user.flows[request.kind];
    flow.open = true;
    flow.host = host;
    if (!nodes_.empty()) {
      decide(user, request.kind, PacketPhase::kContinuing, 0);
    }
    send(id, generation, 0);
  }
  void send(size_t id, uint32_t generation, size_t copy) {
    Request& request = requests_[id];
    if (request.over || request.generation != generation) {
      return;
    }
    User& user = users_[request.user];
    Flow& flow = user.flows[request.kind];
    if (now_ - request.askedAt >= kDeadline || copy == std::size(kCopies)) {
      close(flow);
      conclude(id, [](LoadOutcome& outcome) { ++outcome.failed; });
      return;
    }
    const bool refused =
        !nodes_.empty() && std::holds_alternative<RefuseFlow>(
                               decide(user, request.kind, PacketPhase::kContinuing, kRequestBytes));
    if (refused) {
      close(flow);
      tryAgain(id, false);
      return;
    }
    const size_t host = flow.host;
    if (hosts_[host].dead) {
      at(now_ + (copy == 0 ? kCopies[0] : kCopies[copy] - kCopies[copy - 1]),
         [=, this] { send(id, generation, copy + 1); });
      return;
    }
    at(now_ + kCallerDelay + delayTo(user, hosts_[host]),
       [=, this] { arrive(id, generation, host); });
  }
  double delayTo(const User& user, const Host& host) const {
    return host.zone == user.zone ? kOwnZoneDelay : kOtherZoneDelay;
  }
  void close(Flow& flow) {
    if (flow.open) {
      flow.open = false;
      --hosts_[flow.host].openFlows;
    }
  }
  /** @param turnedAway the request did not run; otherwise its flow broke. */
  void tryAgain(size_t id, bool turnedAway) {
    Request& request = requests_[id];
    if (request.over) {
      return;
    }
    close(users_[request.user].flows[request.kind]);
    const bool mayRepeat = turnedAway || request.kind == 0;
    if (mayRepeat && request.tries < kMostTries) {
      attempt(id);
    } else {
      conclude(id, [turnedAway](LoadOutcome& outcome) {
        ++(turnedAway ? outcome.refused : outcome.failed);
      });
    }
  }

  // Hosts.
  void arrive(size_t id, uint32_t generation, size_t hostIndex) {
    Host& host = hosts_[hostIndex];
    if (host.dead) {
      return;  // The next copy finds it out.
    }
    host.arrivals += running_ > 0 ? 1 : 0;
    if (host.busy < day_.slots) {
      work(id, generation, hostIndex);
    } else if (host.queue.size() < day_.queue) {
      host.queue.push_back(id);
    } else {
      at(now_ + kCallerDelay, [=, this] {
        if (requests_[id].generation == generation) {
          tryAgain(id, true);
        }
      });
    }
  }
  void work(size_t id, uint32_t generation, size_t hostIndex) {
    Host& host = hosts_[hostIndex];
    ++host.busy;
    const double mean = day_.kinds[requests_[id].kind].workMean / 1000.0;
    std::lognormal_distribution<double> spread(std::log(mean) - kWorkSpread * kWorkSpread / 2,
                                               kWorkSpread);
    const double time = std::min(spread(random_.engine()), kLongestWork) * host.slowness;
    at(now_ + time, [=, this] { done(id, generation, hostIndex); });
  }
  void done(size_t id, uint32_t generation, size_t hostIndex) {
    Host& host = hosts_[hostIndex];
    --host.busy;
    if (host.dead) {
      return;
    }
    if (!host.queue.empty()) {
      const size_t next = host.queue.front();
      host.queue.pop_front();
      work(next, requests_[next].generation, hostIndex);
    }
    at(now_ + kCallerDelay, [=, this] { answered(id, generation); });
  }
  void answered(size_t id, uint32_t generation) {
    Request& request = requests_[id];
    if (request.over || request.generation != generation) {
      return;
    }
    User& user = users_[request.user];
    Flow& flow = user.flows[request.kind];
    flow.sequence += kRequestBytes;
    flow.acknowledged += kAnswerBytes;
    if (!nodes_.empty()) {
      decide(user, request.kind, PacketPhase::kContinuing, 0);
      takeReleased(*nodeOf(user, flow));
    }
    if (hosts_[flow.host].leaving || day_.kinds[request.kind].opensEach) {
      close(flow);
    }
    const bool inAim = (now_ - request.askedAt) * 1000.0 <= day_.kinds[request.kind].aim;
    conclude(id, [inAim](LoadOutcome& outcome) { ++(inAim ? outcome.inAim : outcome.late); });
  }

  template <class Count>
  void counted(const Request& request, const Count& count) {
    count(result_.all);
    const bool inEvent =
        std::any_of(day_.events.begin(), day_.events.end(), [&](const LoadEvent& event) {
          return request.askedAt >= event.from && request.askedAt < event.to;
        });
    if (inEvent) {
      count(result_.zones[users_[request.user].zone]);
      count(result_.kinds[request.kind]);
    }
  }
  template <class Count>
  void conclude(size_t id, const Count& count) {
    Request& request = requests_[id];
    request.over = true;
    underWay_.erase(request.user);
    counted(request, count);
    const double pause = std::exponential_distribution<double>(1.0 / day_.pause)(random_.engine());
    const size_t user = request.user;
    at(now_ + pause, [this, user] { ask(user); });
  }
  void finish() {
    uint64_t busiest = 0;
    uint64_t sum = 0;
    uint64_t count = 0;
    for (const Host& host : hosts_) {
      if (!host.leaving && !host.dead) {
        busiest = std::max(busiest, host.arrivals);
        sum += host.arrivals;
        ++count;
      }
    }
    result_.busiestToMean =
        sum == 0 ? 1.0 : static_cast<double>(busiest * count) / static_cast<double>(sum);
    result_.otherZonePart =
        opened_ == 0 ? 0.0 : static_cast<double>(otherZone_) / static_cast<double>(opened_);
  }

  const LoadDay& day_;
  RandomSource random_;
  LoadResult result_;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  double now_ = 0.0;
  int running_ = 0;
  uint64_t opened_ = 0;
  uint64_t otherZone_ = 0;
  std::vector<Host> hosts_;
  std::unordered_map<uint32_t, size_t> byToken_;
  std::vector<std::vector<std::unique_ptr<TokenDirector>>> nodes_;
  std::vector<std::vector<AckStateCollector>> gatherers_;
  std::vector<ZoneSilence> silence_;
  std::deque<User> users_;
  std::deque<Request> requests_;
  /** The request of a user that is under way. */
  std::unordered_map<size_t, size_t> underWay_;
};

}  // namespace

LoadResult playDay(const LoadDay& day) {
  return Model(day).play();
}

}  // namespace umberhold::load_model
