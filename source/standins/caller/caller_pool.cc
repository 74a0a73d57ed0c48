#include "standins/caller/caller_pool.h"

#include <algorithm>

namespace umberhold::standins {
namespace {

/** 172.16.0.0; each process has its own block of kAddressesPerProcess addresses from here. */
constexpr uint32_t kFirstCallerAddress = 0xAC100000;
constexpr uint32_t kFirstPort = 1024;
constexpr uint32_t kAddressesPerProcess = 256;
constexpr double kMillisPerSecond = 1000.0;

}  // namespace

CallerPool::CallerPool(const CallerPoolOptions& options, std::vector<TargetPlan> targets)
    : options_(options),
      random_(options.seed),
      ids_(options.process),
      context_{random_, ids_, report_, out_} {
  for (TargetPlan& plan : targets) {
    targets_.push_back(std::make_unique<Target>(Target{std::move(plan), 0}));
  }
  socket_ = loop_.open(options.listen, [this](const Endpoint&, auto bytes) { onPacket(bytes); });
  loop_.onTick([this] { onTick(); });
  control_ = std::make_unique<ControlServer>(
      options.control, [this](const ControlRequest& request) { return onControl(request); });
}

CallerPool::~CallerPool() = default;

void CallerPool::run(const std::atomic<bool>& stop) {
  loop_.run(stop);
}
Endpoint CallerPool::controlEndpoint() const {
  return control_->endpoint();
}
Endpoint CallerPool::listenEndpoint() const {
  return loop_.localEndpoint(socket_);
}

/** Assigns different addresses to consecutive flows, like those of real callers. */
Endpoint CallerPool::nextLocalEndpoint() {
  const uint64_t number = nextLocalIndex_++;
  const auto address =
      static_cast<uint32_t>(kFirstCallerAddress + options_.process * kAddressesPerProcess +
                            number % kAddressesPerProcess);
  const auto port = static_cast<uint16_t>(kFirstPort + number / kAddressesPerProcess % 64000);
  return Endpoint{address, port};
}

void CallerPool::openFlow(UnixMillis now, Target& target) {
  const Endpoint local = nextLocalEndpoint();
  flows_.emplace(local, LiveFlow{CallerFlow(now, local, target.plan.profile, context_), &target});
  ++target.live;
}

void CallerPool::openFlows(UnixMillis now) {
  const double elapsed = lastTick_ == 0 ? 0.0 : static_cast<double>(now - lastTick_);
  lastTick_ = now;
  openBudget_ += elapsed * options_.openPerSecond / kMillisPerSecond;
  openBudget_ = std::min(openBudget_, static_cast<double>(options_.openPerSecond) / 10 + 1);
  bool opened = true;
  while (opened && openBudget_ >= 1 && !finishing_) {
    opened = false;
    for (const auto& target : targets_) {
      if (target->live < target->plan.flows && openBudget_ >= 1) {
        openFlow(now, *target);
        openBudget_ -= 1;
        opened = true;
      }
    }
  }
}

void CallerPool::onTick() {
  const UnixMillis now = currentMillis();
  openFlows(now);
  for (auto entry = flows_.begin(); entry != flows_.end();) {
    LiveFlow& live = entry->second;
    live.flow.onTick(now, context_);
    if (live.flow.ended()) {
      --live.target->live;
      entry = flows_.erase(entry);
    } else {
      ++entry;
    }
  }
  sendPackets();
}

void CallerPool::onPacket(std::string_view bytes) {
  const auto parsed = parsePacket(bytes);
  if (!isOk(parsed)) {
    ++report_.unexpectedPackets;
    return;
  }
  const InnerPacket& packet = valueOf(parsed);
  // An ICMP unreachable message quotes the packet that the flow sent.
  const bool isUnreachable = packet.kind == PacketKind::kUnreachable;
  const auto found = flows_.find(isUnreachable ? packet.source : packet.destination);
  if (found == flows_.end()) {
    return;  // Late packet of a flow that has ended.
  }
  found->second.flow.onPacket(currentMillis(), packet, context_);
  sendPackets();
}

void CallerPool::sendPackets() {
  for (const std::string& packet : out_) {
    loop_.send(socket_, options_.fabric, packet);
  }
  out_.clear();
}

CallerReport CallerPool::reportLocked() {
  CallerReport report = report_;
  report.openFlows = 0;
  report.outstandingRequests = 0;
  for (const auto& [local, live] : flows_) {
    report.openFlows += live.flow.established() ? 1 : 0;
    if (live.flow.established() && !live.flow.host().empty()) {
      ++report.openFlowsByHost[live.flow.host()];
    }
    report.outstandingRequests += live.flow.outstanding();
  }
  return report;
}

void CallerPool::finishLocked() {
  finishing_ = true;
  for (auto& [local, live] : flows_) {
    live.flow.finish();
  }
}

CallerReport CallerPool::report() {
  const std::lock_guard lock(loop_.mutex());
  return reportLocked();
}

void CallerPool::finish() {
  const std::lock_guard lock(loop_.mutex());
  finishLocked();
}

ControlResponse CallerPool::onControl(const ControlRequest& request) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  const std::lock_guard lock(loop_.mutex());
  if (request.path == "/control/report") {
    return {kOk, toJson(reportLocked())};
  }
  if (request.path == "/control/finish") {
    finishLocked();
    return {kOk, "{}"};
  }
  if (request.path == "/control/target") {
    for (const auto& target : targets_) {
      if (target->plan.profile.service == request.text("service")) {
        target->plan.flows = static_cast<uint32_t>(request.number("flows", target->plan.flows));
        target->plan.profile.requestPauseMillis = static_cast<uint32_t>(
            request.number("pause_ms", target->plan.profile.requestPauseMillis));
        return {kOk, "{}"};
      }
    }
  }
  return {kNotFound, "{}"};
}

}  // namespace umberhold::standins
