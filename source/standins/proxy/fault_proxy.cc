#include "standins/proxy/fault_proxy.h"

namespace umberhold::standins {
namespace {

constexpr double kPercent = 100.0;

FaultRule ruleOf(const ControlRequest& request) {
  FaultRule rule;
  rule.from = request.text("from").empty() ? "*" : request.text("from");
  rule.to = request.text("to").empty() ? "*" : request.text("to");
  rule.cut = request.number("cut", 0) != 0;
  rule.dropShare = static_cast<double>(request.number("drop_percent", 0)) / kPercent;
  rule.repeatShare = static_cast<double>(request.number("repeat_percent", 0)) / kPercent;
  rule.reorderShare = static_cast<double>(request.number("reorder_percent", 0)) / kPercent;
  rule.reorderMillis = static_cast<uint32_t>(request.number("reorder_ms", rule.reorderMillis));
  rule.delayMicros = static_cast<uint32_t>(request.number("delay_us", 0));
  return rule;
}

}  // namespace

FaultProxy::FaultProxy(const Endpoint& control, std::vector<ProxiedNode> nodes, uint64_t seed)
    : nodes_(std::move(nodes)), random_(seed), delayLine_(loop_) {
  for (size_t node = 0; node < nodes_.size(); ++node) {
    for (const ProxiedPort& proxied : nodes_[node].ports) {
      const uint16_t port = proxied.node;
      auto front = std::make_shared<SocketIndex>(0);
      *front = loop_.open(Endpoint{nodes_[node].address, proxied.front},
                          [this, node, port, front](const Endpoint& from, auto bytes) {
                            onFront(node, port, *front, from, bytes);
                          });
    }
  }
  loop_.onTick([this] { delayLine_.deliverDue(); }, DelayLine::kTickPeriod);
  control_ = std::make_unique<ControlServer>(
      control, [this](const ControlRequest& request) { return onControl(request); });
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::run(const std::atomic<bool>& stop) {
  loop_.run(stop);
}
Endpoint FaultProxy::controlEndpoint() const {
  return control_->endpoint();
}

ProxyParty FaultProxy::partyOf(const Endpoint& source) const {
  for (const ProxiedNode& node : nodes_) {
    if (node.address == source.address) {
      return node.party;
    }
  }
  return {};
}

SocketIndex FaultProxy::pairSocket(size_t node, uint16_t port, SocketIndex front,
                                   const Endpoint& from) {
  const PairKey key{from, Endpoint{nodes_[node].address, port}};
  const auto found = pairSockets_.find(key);
  if (found != pairSockets_.end()) {
    return found->second;
  }
  const Endpoint freePort{nodes_[node].address, 0};
  const SocketIndex socket =
      loop_.open(freePort, [this, node, front, from](const Endpoint&, auto bytes) {
        forward(nodes_[node].party, partyOf(from), front, from, bytes);
      });
  pairSockets_[key] = socket;
  return socket;
}

void FaultProxy::onFront(size_t node, uint16_t port, SocketIndex front, const Endpoint& from,
                         std::string_view bytes) {
  const SocketIndex socket = pairSocket(node, port, front, from);
  forward(partyOf(from), nodes_[node].party, socket, Endpoint{nodes_[node].address, port}, bytes);
}

void FaultProxy::forward(const ProxyParty& from, const ProxyParty& to, SocketIndex socket,
                         const Endpoint& endpoint, std::string_view bytes) {
  const std::vector<uint32_t> delays = rules_.deliveryDelays(from, to, random_);
  dropped_ += delays.empty() ? 1 : 0;
  for (const uint32_t delay : delays) {
    ++forwarded_;
    delayLine_.send(delay, socket, endpoint, bytes);
  }
}

void FaultProxy::setRule(const FaultRule& rule) {
  const std::lock_guard lock(loop_.mutex());
  rules_.set(rule);
}

void FaultProxy::clearRules() {
  const std::lock_guard lock(loop_.mutex());
  rules_.clear();
}

void FaultProxy::addPlatformFront(size_t node, uint16_t port, const Endpoint& platform) {
  const ProxyParty& party = nodes_[node].party;
  const ProxyParty platformParty{"platform", "platform"};
  const auto isCut = [this, party, platformParty] {
    const std::lock_guard lock(loop_.mutex());
    return rules_.isCut(party, platformParty);
  };
  fronts_.push_back(
      std::make_unique<TcpFront>(Endpoint{nodes_[node].address, port}, platform, isCut));
}

uint64_t FaultProxy::droppedCount() {
  const std::lock_guard lock(loop_.mutex());
  return dropped_;
}

ControlResponse FaultProxy::onControl(const ControlRequest& request) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  if (request.path == "/control/rule") {
    FaultRule rule = ruleOf(request);
    setRule(rule);
    if (request.number("both", 0) != 0) {
      std::swap(rule.from, rule.to);
      setRule(rule);
    }
    return {kOk, "{}"};
  }
  if (request.path == "/control/clear") {
    clearRules();
    return {kOk, "{}"};
  }
  if (request.path == "/control/stats") {
    const std::lock_guard lock(loop_.mutex());
    return {kOk, "{\"passed\":" + std::to_string(forwarded_) +
                     ",\"lost\":" + std::to_string(dropped_) + "}"};
  }
  return {kNotFound, "{}"};
}

}  // namespace umberhold::standins
