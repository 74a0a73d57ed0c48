#include "test/soak/world/soak_world.h"

#include <algorithm>

#include "common/base/hash.h"
#include "common/platform/steady_now.h"

namespace umberhold::soak {
namespace {

constexpr uint32_t kDispatchHosts = 12;
constexpr uint32_t kMapHosts = 6;
constexpr uint32_t kCallers = 90;
constexpr Duration kProbeInterval = std::chrono::milliseconds(40);
constexpr uint16_t kFirstProbePort = 10000;
constexpr uint16_t kProbePorts = 40000;
/** Between the store's answer and the hosts' note of it. */
constexpr Duration kSlack = std::chrono::milliseconds(300);

constexpr uint32_t kRouteAddress = 0xC6120001;
constexpr uint16_t kAlertPort = 8443;
constexpr uint16_t kConfirmPort = 8080;
constexpr uint16_t kMapPort = 8444;
constexpr uint16_t kSplitPort = 8445;

std::vector<CallerRoute> callerRoutes() {
  return {{"alerts", {kRouteAddress, kAlertPort}, true, {{"dispatch", 1}}},
          {"confirmations", {kRouteAddress, kConfirmPort}, false, {{"dispatch", 1}}},
          {"maps", {kRouteAddress, kMapPort}, true, {{"mapstore", 1}}},
          {"split", {kRouteAddress, kSplitPort}, true, {{"dispatch", 3}, {"mapstore", 1}}}};
}

/** Habits of the users' kinds of requests, in the order of callerRoutes(). */
CallerHabit habitOf(uint32_t number) {
  const std::vector<CallerRoute> routes = callerRoutes();
  CallerHabit habit;
  const size_t kind = number % 8;
  const size_t route = kind < 4 ? 0 : kind < 6 ? 1 : kind == 6 ? 2 : 3;
  habit.service = routes[route].listen;
  habit.repeatable = routes[route].repeatable;
  if (route == 2) {
    habit.freshFlows = true;
    habit.answerBytes = 40000;
    habit.deadline = std::chrono::seconds(8);
    habit.pause = std::chrono::milliseconds(800);
  }
  return habit;
}

uint64_t flowHash(const EchoPacket& packet) {
  return mixHash((uint64_t{packet.source} << 16U) | packet.sourcePort,
                 (uint64_t{packet.target} << 16U) | packet.targetPort);
}

}  // namespace

SoakWorld::SoakWorld(const DeploymentPlan& plan, test::StandinStore& store, uint64_t seed,
                     Sabotage sabotage)
    : plan_(plan),
      store_(store),
      random_(seed),
      sabotage_(sabotage),
      promises_(steadyNow()),
      runs_(promises_),
      anyTrouble_(plan.bounds().contact),
      unplannedTrouble_(plan.bounds().contact),
      delays_(loop_) {
  routes_ = std::make_unique<RouteBook>(plan_, callerRoutes(), promises_, anyTrouble_);
  fleet_ = std::make_unique<HostFleet>(
      plan_, store_.objects(), [this](size_t slot) { return hooksOf(slot); }, random_);
  openHostSockets();
  makeCallers();
  probeSocket_ =
      loop_.open({plan_.probeAddress(), DeploymentPlan::kDataPort},
                 [this](const Endpoint&, std::string_view bytes) { onProbeDatagram(bytes); });
}

SoakWorld::~SoakWorld() {
  stop_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void SoakWorld::openHostSockets() {
  for (size_t slot = 0; slot < fleet_->slots().size(); ++slot) {
    hostSockets_.push_back(loop_.open(fleet_->slots()[slot].address,
                                      [this, slot](const Endpoint& from, std::string_view bytes) {
                                        onHostDatagram(slot, from, bytes);
                                      }));
  }
}

void SoakWorld::makeCallers() {
  for (uint32_t number = 0; number < kCallers; ++number) {
    addCaller(number, habitOf(number));
  }
}

void SoakWorld::addCaller(uint32_t number, const CallerHabit& habit) {
  const size_t index = callers_.size();
  CallerHooks hooks;
  hooks.send = [this, index](const std::string& packet) {
    const CallerEntry& entry = callers_[index];
    const auto parsed = decode(packet);
    const size_t node = routeOf(plan_.nodes(), *readiness_, entry.zone, flowHash(*parsed));
    toNode(node, entry.socket, entry.zone, packet);
  };
  hooks.openFlowReset = [this](const FlowName& flow) { onOpenFlowReset(flow); };
  hooks.wrongAnswer = [this](const std::string& detail) {
    promises_.broken(steadyNow(), Promise::kWholeAnswers, detail);
  };
  hooks.ended = [this](TimePoint at, bool served) { onEnded(at, served); };
  CallerEntry entry;
  const uint32_t address = plan_.callerAddress(number);
  entry.zone = plan_.zones()[number % plan_.zones().size()];
  entry.caller = std::make_unique<SoakCaller>(address, number, habit, hooks, random_);
  entry.socket = loop_.open({address, DeploymentPlan::kDataPort},
                            [this, index](const Endpoint& from, std::string_view bytes) {
                              onCallerDatagram(index, from, bytes);
                            });
  callers_.push_back(std::move(entry));
}

HostHooks SoakWorld::hooksOf(size_t slot) {
  HostHooks hooks;
  hooks.send = [this, slot](const Endpoint& caller, const std::string& packet) {
    toCaller(slot, caller, packet);
  };
  hooks.opening = [this, slot](const FlowName& flow, const Endpoint& node) {
    onHostOpening(slot, flow, node);
  };
  hooks.run = [this, slot](const FlowName& flow, const Request& request) {
    onHostRun(slot, flow, request);
  };
  hooks.forged = [this](const EchoPacket& packet) {
    promises_.broken(steadyNow(), Promise::kPacketsUnchanged,
                     "from " + toString(Endpoint{packet.source, packet.sourcePort}));
  };
  return hooks;
}

void SoakWorld::start() {
  const TimePoint now = steadyNow();
  {
    const std::lock_guard lock(mutex());
    for (uint32_t number = 0; number < kDispatchHosts + kMapHosts; ++number) {
      fleet_->start(now, number < kDispatchHosts ? "dispatch" : "mapstore",
                    plan_.zones()[number % plan_.zones().size()]);
    }
    storeConfiguration(0);
  }
  readiness_ = std::make_unique<ReadinessWatch>(plan_.nodes());
  loop_.onTick([this] { tick(); });
  thread_ = std::thread([this] { loop_.run(stop_); });
}

void SoakWorld::startTraffic(TimePoint now) {
  traffic_ = true;
  trafficSince_ = now;
}

void SoakWorld::stopTraffic() {
  for (CallerEntry& entry : callers_) {
    entry.caller->stop();
  }
}

void SoakWorld::storeConfiguration(uint32_t extraRoutes) {
  const std::string text = routes_->nextVersion(extraRoutes);
  store_.objects().set("config", "main", text);
  routes_->onAcknowledged(steadyNow());
}

void SoakWorld::tick() {
  const TimePoint now = steadyNow();
  delays_.deliverDue();
  fleet_->tick(now);
  if (!traffic_) {
    return;
  }
  for (CallerEntry& entry : callers_) {
    entry.caller->tick(now);
  }
  probe(now);
}

void SoakWorld::probe(TimePoint now) {
  if (now < nextProbe_) {
    return;
  }
  nextProbe_ = now + kProbeInterval;
  const size_t node = random_.below(plan_.nodes().size());
  if (!readiness_->isIn(node)) {
    return;
  }
  probePort_ = static_cast<uint16_t>((probePort_ + 1) % kProbePorts);
  const auto port = static_cast<uint16_t>(kFirstProbePort + probePort_);
  const auto marker = routes_->startProbe(now, node, port, random_);
  if (!marker) {
    return;
  }
  EchoPacket packet;
  packet.flags = kSyn;
  packet.sequence = 1;
  packet.source = plan_.probeAddress();
  packet.sourcePort = port;
  packet.target = marker->address;
  packet.targetPort = marker->port;
  loop_.send(probeSocket_, plan_.nodes()[node].data, encodeSealed(packet));
}

void SoakWorld::toNode(size_t node, standins::SocketIndex socket, const std::string& zone,
                       std::string_view packet) {
  const NodePlan& target = plan_.nodes()[node];
  const bool lost = faultsOver_ && sabotage_ == Sabotage::kNeverRecovers && strikes(0.7);
  if (lost) {
    return;
  }
  for (const uint32_t delay : fabric_.fate({"fabric", zone}, {target.name, target.zone}, random_)) {
    delays_.send(delay, socket, target.data, packet);
  }
}

void SoakWorld::toCaller(size_t slot, const Endpoint& caller, const std::string& packet) {
  loop_.send(hostSockets_[slot], {caller.address, DeploymentPlan::kDataPort},
             sabotageToCaller(packet));
}

void SoakWorld::onHostDatagram(size_t slot, const Endpoint& from, std::string_view bytes) {
  if (sabotageToHost(slot, from, bytes)) {
    return;
  }
  if (fleet_->slots()[slot].host) {
    fleet_->slots()[slot].host->onDatagram(steadyNow(), from, bytes);
  }
}

void SoakWorld::onCallerDatagram(size_t caller, const Endpoint& from, std::string_view bytes) {
  sender_ = from;
  callers_[caller].caller->onDatagram(steadyNow(), bytes);
}

void SoakWorld::onProbeDatagram(std::string_view bytes) {
  const auto packet = decode(bytes);
  if (packet && packet->has(kRst) && packet->sum == 0) {
    // Also a refused probe tells its node only by the port that it was sent from.
    routes_->onRefused(steadyNow(), packet->targetPort);
  }
}

std::string SoakWorld::nodeNameOf(const Endpoint& data) const {
  for (const NodePlan& node : plan_.nodes()) {
    if (node.data == data) {
      return node.name;
    }
  }
  return toString(data);
}

void SoakWorld::onHostOpening(size_t slot, const FlowName& flow, const Endpoint& node) {
  const TimePoint now = steadyNow();
  const std::string name = nodeNameOf(node);
  if (RouteBook::isMarker(flow.service)) {
    routes_->onAccepted(now, flow.caller.port);
  }
  const HostSlot& taken = fleet_->slots()[slot];
  const bool late = taken.leavesSince && now > *taken.leavesSince + plan_.bounds().drain + kSlack;
  if (late && anyTrouble_.isInTouch(name, now) && anyTrouble_.isInTouch("store", now)) {
    promises_.broken(now, Promise::kNoFlowsOnLeavingHosts, name + " to " + taken.host->plan().id);
  }
}

void SoakWorld::onHostRun(size_t slot, const FlowName& flow, const Request& request) {
  const HostPlan& host = fleet_->slots()[slot].host->plan();
  const bool allowed = routes_->mayRun(flow.service, host.service);
  runs_.onRun(steadyNow(), request.id, request.repeatable, allowed, host.id);
  if (sabotage_ == Sabotage::kRunsTwice && strikes(0.05)) {
    runs_.onRun(steadyNow(), request.id, request.repeatable, allowed, host.id + " again");
  }
}

void SoakWorld::onOpenFlowReset(const FlowName& flow) {
  const TimePoint now = steadyNow();
  const auto holder = fleet_->holderOf(flow);
  if (!holder) {
    return;  // Its host has ended.
  }
  const std::string host = fleet_->slots()[*holder].host->plan().id;
  const std::string node = nodeNameOf(sender_);
  if (unplannedTrouble_.isInTouch(node, now) && unplannedTrouble_.isInTouch(host, now)) {
    promises_.broken(now, Promise::kOpenFlowsStay, node + " reset a flow at " + host);
  }
}

void SoakWorld::onEnded(TimePoint begunAt, bool served) {
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(begunAt - trafficSince_);
  SecondCounts& counts = seconds_[second.count()];
  ++counts.asked;
  counts.served += served ? 1 : 0;
}

CallerCounts SoakWorld::totals() const {
  CallerCounts total;
  for (const CallerEntry& entry : callers_) {
    const CallerCounts& counts = entry.caller->counts();
    total.asked += counts.asked;
    total.served += counts.served;
    total.failed += counts.failed;
    total.tries += counts.tries;
    total.openingsRefused += counts.openingsRefused;
    total.openingsUnanswered += counts.openingsUnanswered;
    total.systemResets += counts.systemResets;
    total.hostResets += counts.hostResets;
  }
  return total;
}

}  // namespace umberhold::soak
