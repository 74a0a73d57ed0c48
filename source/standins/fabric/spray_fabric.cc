#include "standins/fabric/spray_fabric.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <optional>

namespace umberhold::standins {
namespace {

/** @return the endpoints of a JSON array of "address:port", or nothing if the text is invalid. */
std::optional<std::vector<Endpoint>> endpointsOf(const std::string& text) {
  try {
    const auto array = Poco::JSON::Parser().parse(text).extract<Poco::JSON::Array::Ptr>();
    std::vector<Endpoint> endpoints;
    for (size_t index = 0; index < array->size(); ++index) {
      const auto endpoint =
          parseEndpoint(array->getElement<std::string>(static_cast<unsigned>(index)));
      if (!endpoint) {
        return std::nullopt;
      }
      endpoints.push_back(*endpoint);
    }
    return endpoints;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

}  // namespace

SprayFabric::SprayFabric(const SprayFabricOptions& options)
    : options_(options), random_(options.seed), delayLine_(loop_) {
  socket_ = loop_.open(options.listen, [this](const Endpoint&, auto bytes) { onPacket(bytes); });
  loop_.onTick(
      [this] {
        applyDueLists();
        delayLine_.deliverDue();
      },
      DelayLine::kTickPeriod);
  control_ = std::make_unique<ControlServer>(
      options.control, [this](const ControlRequest& request) { return onControl(request); });
}

SprayFabric::~SprayFabric() = default;

void SprayFabric::run(const std::atomic<bool>& stop) {
  loop_.run(stop);
}
Endpoint SprayFabric::listenEndpoint() const {
  return loop_.localEndpoint(socket_);
}
Endpoint SprayFabric::controlEndpoint() const {
  return control_->endpoint();
}

void SprayFabric::setNodes(std::vector<Endpoint> nodes) {
  const std::lock_guard lock(loop_.mutex());
  pendingLists_.push_back(PendingList{currentMillis() + options_.lagMillis, std::move(nodes)});
}

void SprayFabric::applyDueLists() {
  while (!pendingLists_.empty() && pendingLists_.front().due <= currentMillis()) {
    nodes_ = std::move(pendingLists_.front().nodes);
    pendingLists_.pop_front();
  }
}

void SprayFabric::onPacket(std::string_view bytes) {
  if (nodes_.empty()) {
    return;
  }
  ++forwardedPackets_;
  delayLine_.send(options_.latencyMicros, socket_, nodes_[random_.below(nodes_.size())], bytes);
}

ControlResponse SprayFabric::onControl(const ControlRequest& request) {
  constexpr int kOk = 200;
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  if (request.path == "/control/stats") {
    const std::lock_guard lock(loop_.mutex());
    return {kOk, "{\"packets\":" + std::to_string(forwardedPackets_) +
                     ",\"nodes\":" + std::to_string(nodes_.size()) + "}"};
  }
  if (request.path != "/control/nodes") {
    return {kNotFound, "{}"};
  }
  auto nodes = endpointsOf(request.body);
  if (!nodes) {
    return {kBadRequest, "{}"};
  }
  setNodes(std::move(*nodes));
  return {kOk, "{}"};
}

}  // namespace umberhold::standins
