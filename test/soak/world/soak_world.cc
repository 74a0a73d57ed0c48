#include "test/soak/world/soak_world.h"

#include <algorithm>

#include "common/base/hash.h"
#include "common/platform/steady_now.h"

namespace umberhold::soak {
namespace {

constexpr uint32_t kDispatchHosts = 12;
constexpr uint32_t kMapHosts = 6;
/** Under hard load markers have their own hosts, whose capacity is always sufficient. */
constexpr uint32_t kMarkerHosts = 6;
constexpr const char* kMarkerService = "beacons";
constexpr uint32_t kCallers = 90;
/** Additional callers during a capacity shortage. */
constexpr uint32_t kExtraCallers = 2 * kCallers;
constexpr uint32_t kReturningRoutes = 8;
constexpr uint32_t kCallersPerReturningRoute = 6;
constexpr Duration kProbeInterval = std::chrono::milliseconds(40);
constexpr uint16_t kFirstProbePort = 10000;
constexpr uint16_t kProbePorts = 40000;
/** Allowance for the time between the store's answer and its record in the host's slot. */
constexpr Duration kSlack = std::chrono::milliseconds(300);

constexpr uint32_t kRouteAddress = 0xC6120001;
constexpr uint16_t kAlertPort = 8443;
constexpr uint16_t kConfirmPort = 8080;
constexpr uint16_t kMapPort = 8444;
constexpr uint16_t kSplitPort = 8445;
constexpr uint16_t kFirstReturningPort = 8450;

std::vector<CallerRoute> callerRoutes(SoakLoad load) {
  std::vector<CallerRoute> routes = {
      {"alerts", {kRouteAddress, kAlertPort}, true, {{"dispatch", 1}}},
      {"confirmations", {kRouteAddress, kConfirmPort}, false, {{"dispatch", 1}}},
      {"maps", {kRouteAddress, kMapPort}, true, {{"mapstore", 1}}},
      {"split", {kRouteAddress, kSplitPort}, true, {{"dispatch", 3}, {"mapstore", 1}}}};
  if (load == SoakLoad::kHard) {
    routes[0].priority = 1;
    routes[1].priority = 0;
  }
  for (uint16_t number = 0; number < kReturningRoutes; ++number) {
    const Endpoint listen{kRouteAddress, static_cast<uint16_t>(kFirstReturningPort + number)};
    const char* const service = load == SoakLoad::kHard ? kMarkerService : "dispatch";
    routes.push_back({"returning-" + std::to_string(number), listen, false, {{service, 1}}});
    routes.back().returns = true;
  }
  return routes;
}

/** Request profiles of the users, in the order of callerRoutes(). */
CallerProfile profileOf(const CallerRoute& known, size_t route, SoakLoad load) {
  CallerProfile profile;
  profile.service = known.listen;
  profile.repeatable = known.repeatable;
  // Under hard load, callers with a flow per request compete with callers with long-lived flows.
  profile.flowPerRequest = load == SoakLoad::kHard && (route == 1 || route == 3);
  if (known.returns) {
    // Many flows are opened and in use while nodes learn of the route.
    profile.pause = std::chrono::milliseconds(150);
    profile.maxFlowAge = std::chrono::milliseconds(1500);
  }
  if (route == 2) {
    profile.flowPerRequest = true;
    profile.answerBytes = 40000;
    profile.deadline = std::chrono::seconds(8);
    profile.pause = std::chrono::milliseconds(800);
  }
  return profile;
}

/** @return the index of the caller's route in callerRoutes(). */
size_t routeOfCaller(uint32_t number) {
  const size_t kind = number % 8;
  return kind < 4 ? 0 : kind < 6 ? 1 : kind == 6 ? 2 : 3;
}

uint64_t flowHash(const EchoPacket& packet) {
  return mixHash((uint64_t{packet.source} << 16U) | packet.sourcePort,
                 (uint64_t{packet.target} << 16U) | packet.targetPort);
}

standins::FaultRule lossFrom(const std::string& node, double share) {
  standins::FaultRule rule;
  rule.from = node;
  rule.dropShare = share;
  return rule;
}

}  // namespace

SoakWorld::SoakWorld(const DeploymentPlan& plan, test::StandinStore& store, uint64_t seed,
                     Sabotage sabotage, SoakLoad load)
    : plan_(plan),
      store_(store),
      random_(seed),
      sabotage_(sabotage),
      load_(load),
      promises_(steadyNow()),
      runs_(promises_),
      loadWatch_({}, promises_),
      allDisturbances_(plan.bounds().settleTime),
      unplannedDisturbances_(plan.bounds().settleTime),
      delays_(loop_),
      overloadedLinks_(plan.bounds().settleTime) {
  const RouteTrackerOptions options =
      load_ == SoakLoad::kHard ? RouteTrackerOptions{HostFleet::kMaxFlows, kMarkerService}
                               : RouteTrackerOptions{};
  routes_ = std::make_unique<RouteTracker>(plan_, callerRoutes(load_), promises_, allDisturbances_,
                                           options);
  fleet_ = std::make_unique<HostFleet>(
      plan_, store_.objects(), [this](size_t slot) { return makeHostHooks(slot); },
      [this](TimePoint now) { return allDisturbances_.isSettled("store", now); }, random_, load_);
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
    addCaller(number, routeOfCaller(number));
  }
  for (const size_t route : returningRoutes()) {
    for (uint32_t count = 0; count < kCallersPerReturningRoute; ++count) {
      addCaller(static_cast<uint32_t>(callers_.size()), route);
    }
  }
  firstExtraCaller_ = callers_.size();
  for (uint32_t number = 0; load_ == SoakLoad::kHard && number < kExtraCallers; ++number) {
    addCaller(static_cast<uint32_t>(callers_.size()), routeOfCaller(kCallers + number));
  }
  setExtraCallers(false);
}

std::vector<size_t> SoakWorld::returningRoutes() const {
  std::vector<size_t> returning;
  for (size_t route = 0; route < routes_->routes().size(); ++route) {
    if (routes_->routes()[route].returns) {
      returning.push_back(route);
    }
  }
  return returning;
}

void SoakWorld::setExtraCallers(bool active) {
  for (size_t number = firstExtraCaller_; number < callers_.size(); ++number) {
    SoakCaller& caller = *callers_[number].caller;
    active ? caller.start() : caller.stop();
  }
}

void SoakWorld::addCaller(uint32_t number, size_t route) {
  const CallerProfile profile = profileOf(routes_->routes()[route], route, load_);
  const size_t index = callers_.size();
  CallerHooks hooks;
  hooks.send = [this, index](const std::string& packet) {
    const CallerEntry& entry = callers_[index];
    const auto parsed = decode(packet);
    const size_t node = selectNode(plan_.nodes(), *readiness_, entry.zone, flowHash(*parsed));
    sendToNode(node, entry.socket, entry.zone, packet);
  };
  hooks.openFlowReset = [this](const FlowName& flow, TimePoint openedAt) {
    onOpenFlowReset(flow, openedAt);
  };
  hooks.wrongAnswer = [this](const std::string& detail) {
    promises_.recordViolation(steadyNow(), Promise::kWholeAnswers, detail);
  };
  hooks.notRun = [this](uint64_t request) { runs_.onNotRun(steadyNow(), request); };
  hooks.ended = [this, route](TimePoint at, bool served) {
    onEnded(routes_->routes()[route], at, served);
  };
  CallerEntry entry;
  const uint32_t address = plan_.callerAddress(number);
  entry.zone = plan_.zones()[number % plan_.zones().size()];
  entry.caller = std::make_unique<SoakCaller>(address, number, profile, hooks, random_);
  entry.socket = loop_.open({address, DeploymentPlan::kDataPort},
                            [this, index](const Endpoint& from, std::string_view bytes) {
                              onCallerDatagram(index, from, bytes);
                            });
  callers_.push_back(std::move(entry));
}

HostHooks SoakWorld::makeHostHooks(size_t slot) {
  HostHooks hooks;
  hooks.send = [this, slot](const Endpoint& caller, const std::string& packet) {
    sendToCaller(slot, caller, packet);
  };
  hooks.opening = [this, slot](const FlowName& flow, const Endpoint& node) {
    onHostOpening(slot, flow, node);
  };
  hooks.run = [this, slot](const FlowName& flow, const Request& request) {
    onHostRun(slot, flow, request);
  };
  hooks.rejected = [this, slot](const Request& request) { onRejected(slot, request); };
  hooks.full = [this, slot] {
    loadWatch_.onFull(steadyNow(), fleet_->slots()[slot].host->plan().id);
  };
  hooks.forged = [this](const EchoPacket& packet) {
    promises_.recordViolation(steadyNow(), Promise::kPacketsUnchanged,
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
    for (uint32_t number = 0; load_ == SoakLoad::kHard && number < kMarkerHosts; ++number) {
      fleet_->start(now, kMarkerService, plan_.zones()[number % plan_.zones().size()]);
    }
    storeConfiguration(0);
  }
  readiness_ = std::make_unique<ReadinessWatch>(plan_.nodes());
  loop_.onTick([this] { tick(); });
  thread_ = std::thread([this] { loop_.run(stop_); });
}

void SoakWorld::startTraffic(TimePoint now) {
  traffic_ = true;
  trafficStartedAt_ = now;
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
  if (traffic_ && lastTick_) {
    longestPause_ = std::max(longestPause_, now - *lastTick_);
    pauses_.onWait(now, "soak", now - *lastTick_);
  }
  lastTick_ = now;
  delays_.deliverDue();
  fleet_->tick(now);
  if (!traffic_) {
    return;
  }
  for (CallerEntry& entry : callers_) {
    entry.caller->tick(now);
  }
  loadWatch_.tick(now, areAllSettled(now));
  probe(now);
}

void SoakWorld::probe(TimePoint now) {
  if (now < nextProbe_) {
    return;
  }
  nextProbe_ = now + kProbeInterval;
  const size_t node = random_.below(plan_.nodes().size());
  if (!readiness_->isReady(node)) {
    return;
  }
  probePortOffset_ = static_cast<uint16_t>((probePortOffset_ + 1) % kProbePorts);
  const auto port = static_cast<uint16_t>(kFirstProbePort + probePortOffset_);
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

void SoakWorld::sendToNode(size_t node, standins::SocketIndex socket, const std::string& zone,
                           std::string_view packet) {
  const NodePlan& target = plan_.nodes()[node];
  const bool lost = faultsOver_ && sabotage_ == Sabotage::kNeverRecovers && drawShare(0.7);
  if (lost) {
    return;
  }
  for (const uint32_t delay :
       fabric_.deliveryDelays({"fabric", zone}, {target.name, target.zone}, random_)) {
    delays_.send(delay, socket, target.data, packet);
  }
}

void SoakWorld::sendToCaller(size_t slot, const Endpoint& caller, const std::string& packet) {
  loop_.send(hostSockets_[slot], {caller.address, DeploymentPlan::kDataPort},
             sabotageToCaller(packet));
}

void SoakWorld::overloadLink(TimePoint now, size_t node, double lossShare) {
  const std::string& name = plan_.nodes()[node].name;
  links_.set(lossFrom(name, lossShare));
  overloadedLinks_.begin(name, now);
}

void SoakWorld::relieveLink(TimePoint now, size_t node) {
  const std::string& name = plan_.nodes()[node].name;
  links_.set(lossFrom(name, 0));
  overloadedLinks_.end(name, now);
}

bool SoakWorld::isLostOnLink(const Endpoint& node) {
  return links_.deliveryDelays({nodeNameOf(node), ""}, {"hosts", ""}, random_).empty();
}

void SoakWorld::onHostDatagram(size_t slot, const Endpoint& from, std::string_view bytes) {
  if (isLostOnLink(from)) {
    ++lostOnLinks_;
    return;
  }
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
    // The node of a refused probe is identified only by the probe's source port.
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
  if (RouteTracker::isMarker(flow.service)) {
    routes_->onAccepted(now, flow.caller.port);
  }
  const HostSlot& hostSlot = fleet_->slots()[slot];
  maxOpenFlows_ = std::max(maxOpenFlows_, hostSlot.host->openFlowCount());
  if (!hostSlot.leavingSince || !allDisturbances_.isSettled(name, now) ||
      !allDisturbances_.isSettled("store", now)) {
    return;
  }
  // The bound runs from an acknowledgement that the store gives while it is settled.
  const TimePoint boundFrom =
      hostSlot.acknowledgedBySettledStore
          ? *hostSlot.leavingSince
          : std::max(*hostSlot.leavingSince, allDisturbances_.settledSince("store"));
  const Duration delay = now - boundFrom;
  longestDrainDelay_ = std::max(longestDrainDelay_, delay);
  if (delay > plan_.bounds().drain + kSlack) {
    promises_.recordViolation(now, Promise::kNoFlowsOnLeavingHosts,
                              name + " to " + hostSlot.host->plan().id + ", which left " +
                                  std::to_string(millisecondsBetween(*hostSlot.leavingSince, now)) +
                                  " ms before");
  }
}

void SoakWorld::onHostRun(size_t slot, const FlowName& flow, const Request& request) {
  const HostPlan& host = fleet_->slots()[slot].host->plan();
  const bool allowed = routes_->mayRun(flow.service, host.service);
  runs_.onRun(steadyNow(), request.id, request.repeatable, allowed, host.id);
  if (sabotage_ == Sabotage::kRunsTwice && drawShare(0.05)) {
    runs_.onRun(steadyNow(), request.id, request.repeatable, allowed, host.id + " again");
  }
}

void SoakWorld::onRejected(size_t slot, const Request& request) {
  if (sabotage_ == Sabotage::kIgnoresRoom) {
    runs_.onRun(steadyNow(), request.id, request.repeatable, true,
                fleet_->slots()[slot].host->plan().id);
  }
}

bool SoakWorld::areAllSettled(TimePoint now) const {
  return allDisturbances_.isSettled("store", now) &&
         std::all_of(plan_.nodes().begin(), plan_.nodes().end(), [this, now](const auto& node) {
           return allDisturbances_.isSettled(node.name, now);
         });
}

void SoakWorld::onOpenFlowReset(const FlowName& flow, TimePoint openedAt) {
  const TimePoint now = steadyNow();
  const auto holder = fleet_->holderOf(flow);
  if (!holder || !routes_->isPresentSince(flow.service, openedAt)) {
    return;  // The host of the flow has ended, or a version dropped its route.
  }
  const std::string host = fleet_->slots()[*holder].host->plan().id;
  const std::string node = nodeNameOf(sender_);
  if (unplannedDisturbances_.isSettled(node, now) && unplannedDisturbances_.isSettled(host, now)) {
    const bool overloaded = !overloadedLinks_.isSettled(node, now);
    promises_.recordViolation(
        now, Promise::kOpenFlowsStay,
        node + " reset a flow at " + host + (overloaded ? ", its link was overloaded" : ""));
  }
}

void SoakWorld::onEnded(const CallerRoute& route, TimePoint startedAt, bool served) {
  if (route.returns) {
    return;  // Requests fail while the route is absent.
  }
  loadWatch_.onEnded(steadyNow(), route.services.front().first, route.name, startedAt, served);
  const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(startedAt - trafficStartedAt_);
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
    total.strayResets += counts.strayResets;
    total.hostResets += counts.hostResets;
    total.rejected += counts.rejected;
  }
  return total;
}

}  // namespace umberhold::soak
