#include "standins/backend/backend_pool.h"

#include "standins/backend/host_record.h"
#include "standins/common/report_json.h"

namespace umberhold::standins {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

BackendPool::BackendPool(const BackendPoolOptions& options, const std::vector<HostProfile>& hosts)
    : options_(options), delayLine_(loop_) {
  for (size_t index = 0; index < hosts.size(); ++index) {
    addHost(hosts[index], options.seed + index);
  }
  loop_.onTick(
      [this] {
        const UnixMillis now = currentMillis();
        for (const auto& poolHost : hosts_) {
          poolHost->host->onTick(now);
          sendDuePackets(*poolHost);
        }
        delayLine_.deliverDue();
      },
      DelayLine::kTickPeriod);
  control_ = std::make_unique<ControlServer>(
      options.control, [this](const ControlRequest& request) { return onControl(request); });
}

BackendPool::~BackendPool() = default;

void BackendPool::addHost(const HostProfile& profile, uint64_t seed) {
  hosts_.push_back(std::make_unique<PoolHost>());
  PoolHost& poolHost = *hosts_.back();
  poolHost.host = std::make_unique<VirtualHost>(profile, currentMillis(), seed);
  poolHost.socket =
      loop_.open(Endpoint{options_.address, 0}, [this, &poolHost](const Endpoint&, auto bytes) {
        if (poolHost.stopped) {
          return;
        }
        poolHost.host->onPacket(currentMillis(), bytes);
        sendDuePackets(poolHost);
      });
  poolHost.probe = std::make_unique<ControlServer>(
      Endpoint{options_.address, 0},
      [this, &poolHost](const ControlRequest& request) { return onProbe(poolHost, request); });
}

void BackendPool::sendDuePackets(PoolHost& poolHost) {
  for (const std::string& packet : poolHost.host->takeDue(currentMillis())) {
    if (!poolHost.stopped) {
      delayLine_.send(options_.latencyMicros, poolHost.socket, options_.gateway, packet);
    }
  }
}

void BackendPool::run(const std::atomic<bool>& stop) {
  loop_.run(stop);
}

Endpoint BackendPool::controlEndpoint() const {
  return control_->endpoint();
}

Endpoint BackendPool::hostEndpoint(size_t index) const {
  return loop_.localEndpoint(hosts_[index]->socket);
}

ControlResponse BackendPool::onProbe(PoolHost& poolHost, const ControlRequest& request) {
  const std::lock_guard lock(loop_.mutex());
  if (poolHost.stopped) {
    return {kUnavailable, "{}"};
  }
  if (request.path == "/health") {
    return {poolHost.host->reportsHealthy() ? kOk : kUnavailable, "{}"};
  }
  if (request.path == "/load") {
    return {kOk, "{\"load_percent\":" + std::to_string(poolHost.host->reportedLoad()) + "}"};
  }
  return {kNotFound, "{}"};
}

ControlResponse BackendPool::onControl(const ControlRequest& request) {
  const std::lock_guard lock(loop_.mutex());
  if (request.path == "/control/hosts") {
    return {kOk, hostsJson()};
  }
  if (request.path == "/control/record") {
    return {kOk, recordJson()};
  }
  if (request.path != "/control/host") {
    return {kNotFound, "{}"};
  }
  for (const auto& poolHost : hosts_) {
    if (poolHost->host->profile().name == request.text("name")) {
      return applyAction(*poolHost, request);
    }
  }
  return {kNotFound, "{}"};
}

ControlResponse BackendPool::applyAction(PoolHost& poolHost, const ControlRequest& request) {
  const std::string action = request.text("action");
  if (action == "stop") {
    poolHost.stopped = true;
    poolHost.host->restart(currentMillis());
  } else if (action == "start") {
    poolHost.host->setCold(static_cast<uint32_t>(request.number("cold_ms", 0)));
    poolHost.host->restart(currentMillis());
    poolHost.stopped = false;
  } else if (action == "health") {
    poolHost.host->setReportedHealth(request.number("healthy", 1) != 0);
  } else if (action == "load") {
    poolHost.host->setReportedLoad(static_cast<uint32_t>(request.number("percent", 0)));
  } else if (action == "true-load") {
    poolHost.host->setReportedLoad(std::nullopt);
  } else {
    return {kNotFound, "{}"};
  }
  return {kOk, "{}"};
}

std::string BackendPool::hostsJson() {
  Poco::JSON::Array hosts;
  for (const auto& poolHost : hosts_) {
    Poco::JSON::Object host;
    host.set("service", poolHost->host->profile().service);
    host.set("name", poolHost->host->profile().name);
    host.set("endpoint", toString(loop_.localEndpoint(poolHost->socket)));
    host.set("probe", toString(poolHost->probe->endpoint()));
    hosts.add(host);
  }
  return textOf(hosts);
}

std::string BackendPool::recordJson() {
  std::vector<HostRecord> records;
  for (const auto& poolHost : hosts_) {
    records.push_back(recordOf(*poolHost->host));
  }
  return toJson(records);
}

}  // namespace umberhold::standins
