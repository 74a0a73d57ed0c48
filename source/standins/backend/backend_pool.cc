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
        for (const auto& member : members_) {
          member->host->onTick(now);
          flush(*member);
        }
        delayLine_.deliverDue();
      },
      DelayLine::kTickPeriod);
  control_ = std::make_unique<ControlServer>(
      options.control, [this](const ControlRequest& request) { return onControl(request); });
}

BackendPool::~BackendPool() = default;

void BackendPool::addHost(const HostProfile& profile, uint64_t seed) {
  members_.push_back(std::make_unique<Member>());
  Member& member = *members_.back();
  member.host = std::make_unique<VirtualHost>(profile, currentMillis(), seed);
  member.socket =
      loop_.open(Endpoint{options_.address, 0}, [this, &member](const Endpoint&, auto bytes) {
        if (member.stopped) {
          return;
        }
        member.host->onPacket(currentMillis(), bytes);
        flush(member);
      });
  member.probe = std::make_unique<ControlServer>(
      Endpoint{options_.address, 0},
      [this, &member](const ControlRequest& request) { return onProbe(member, request); });
}

void BackendPool::flush(Member& member) {
  for (const std::string& packet : member.host->takeDue(currentMillis())) {
    if (!member.stopped) {
      delayLine_.send(options_.latencyMicros, member.socket, options_.gateway, packet);
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
  return loop_.localEndpoint(members_[index]->socket);
}

ControlResponse BackendPool::onProbe(Member& member, const ControlRequest& request) {
  const std::lock_guard lock(loop_.mutex());
  if (member.stopped) {
    return {kUnavailable, "{}"};
  }
  if (request.path == "/health") {
    return {member.host->reportsHealthy() ? kOk : kUnavailable, "{}"};
  }
  if (request.path == "/load") {
    return {kOk, "{\"load_percent\":" + std::to_string(member.host->reportedLoad()) + "}"};
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
  for (const auto& member : members_) {
    if (member->host->profile().name == request.text("name")) {
      return applyAction(*member, request);
    }
  }
  return {kNotFound, "{}"};
}

ControlResponse BackendPool::applyAction(Member& member, const ControlRequest& request) {
  const std::string action = request.text("action");
  if (action == "stop") {
    member.stopped = true;
    member.host->restart(currentMillis());
  } else if (action == "start") {
    member.host->setCold(static_cast<uint32_t>(request.number("cold_ms", 0)));
    member.host->restart(currentMillis());
    member.stopped = false;
  } else if (action == "health") {
    member.host->setReportedHealth(request.number("healthy", 1) != 0);
  } else if (action == "load") {
    member.host->setReportedLoad(static_cast<uint32_t>(request.number("percent", 0)));
  } else if (action == "true-load") {
    member.host->setReportedLoad(std::nullopt);
  } else {
    return {kNotFound, "{}"};
  }
  return {kOk, "{}"};
}

std::string BackendPool::hostsJson() {
  Poco::JSON::Array hosts;
  for (const auto& member : members_) {
    Poco::JSON::Object host;
    host.set("service", member->host->profile().service);
    host.set("name", member->host->profile().name);
    host.set("endpoint", toString(loop_.localEndpoint(member->socket)));
    host.set("probe", toString(member->probe->endpoint()));
    hosts.add(host);
  }
  return textOf(hosts);
}

std::string BackendPool::recordJson() {
  std::vector<HostRecord> records;
  for (const auto& member : members_) {
    records.push_back(recordOf(*member->host));
  }
  return toJson(records);
}

}  // namespace umberhold::standins
