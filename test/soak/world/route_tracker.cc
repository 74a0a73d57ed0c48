#include "test/soak/world/route_tracker.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace umberhold::soak {
namespace {

constexpr uint32_t kMarkerAddress = 0xC6120900;
constexpr uint32_t kExtraAddress = 0xC6120A00;
constexpr uint16_t kFirstPort = 2000;
constexpr uint16_t kMarkerPorts = 40000;
/** Allowance for the time between the store's answer and its record here, and for packets in
 * flight. */
constexpr Duration kSlack = std::chrono::milliseconds(200);
/** Number of latest markers that probes target: the current ones and some that were dropped. */
constexpr uint64_t kProbedMarkers = 6;

Endpoint markerEndpoint(uint64_t version) {
  return {kMarkerAddress, static_cast<uint16_t>(kFirstPort + version % kMarkerPorts)};
}

void writeRoute(std::ostream& text, const std::string& name, const Endpoint& listen,
                bool repeatable, const std::vector<std::pair<std::string, uint32_t>>& services,
                std::optional<uint32_t> priority = std::nullopt) {
  text << R"({"name":")" << name << R"(","host":")" << addressToString(listen.address)
       << R"(","path_prefix":"/)" << listen.port << R"(/","kind":")"
       << (repeatable ? "safe" : "unsafe") << R"(","timeout_ms":3000,)";
  if (priority) {
    text << R"("priority":)" << *priority << ",";
  }
  text << R"("traffic_split":[)";
  for (size_t index = 0; index < services.size(); ++index) {
    text << (index == 0 ? "" : ",") << R"({"service":")" << services[index].first
         << R"(","weight":)" << services[index].second << "}";
  }
  text << "]}";
}

}  // namespace

RouteTracker::RouteTracker(const DeploymentPlan& plan, std::vector<CallerRoute> routes,
                           ViolationRecord& promises, const DisturbanceTracker& disturbances,
                           RouteTrackerOptions options)
    : plan_(plan),
      routes_(std::move(routes)),
      promises_(promises),
      disturbances_(disturbances),
      options_(std::move(options)) {}

bool RouteTracker::isMarker(const Endpoint& service) {
  return service.address == kMarkerAddress;
}

std::string RouteTracker::nextVersion(uint32_t extraRoutes) {
  versions_.push_back({version() + 1, TimePoint::max()});
  std::ostringstream text;
  text << R"({"version":)" << version() * 10 << R"(,"routes":[)";
  const auto& firstRouteServices = routes_.front().services;
  for (size_t index = 0; index < routes_.size(); ++index) {
    const CallerRoute& route = routes_[index];
    if (absent_.contains(index)) {
      presentSince_[index] = TimePoint::max();
      continue;
    }
    writeRoute(text, route.name, route.listen, route.repeatable, route.services, route.priority);
    text << ",";
  }
  for (uint32_t extra = 0; extra < extraRoutes; ++extra) {
    const Endpoint listen{kExtraAddress, static_cast<uint16_t>(kFirstPort + extra)};
    writeRoute(text, "extra-" + std::to_string(extra), listen, true, firstRouteServices);
    text << ",";
  }
  const uint64_t oldestMarker = version() >= kMarkersKept ? version() - kMarkersKept + 1 : 1;
  for (uint64_t marker = oldestMarker; marker <= version(); ++marker) {
    writeRoute(text, "marker-" + std::to_string(marker), markerEndpoint(marker), true,
               {{options_.markerService, 1}});
    text << (marker < version() ? "," : "");
  }
  text << R"(],"services":[)";
  std::string separator;
  for (const std::string& service :
       std::set<std::string>{"dispatch", "mapstore", options_.markerService}) {
    text << separator << R"({"name":")" << service << R"(","max_connections":)" << options_.maxFlows
         << "}";
    separator = ",";
  }
  text << R"(],"limits":{"idle_timeout_ms":15000}})";
  return text.str();
}

void RouteTracker::setPresent(size_t route, bool present) {
  if (present) {
    absent_.erase(route);
  } else {
    absent_.insert(route);
  }
}

void RouteTracker::onAcknowledged(TimePoint now) {
  versions_.back().acknowledgedAt = now;
  for (auto& [route, since] : presentSince_) {
    if (since == TimePoint::max() && !absent_.contains(route)) {
      since = now;
    }
  }
}

bool RouteTracker::isPresentSince(const Endpoint& route, TimePoint time) const {
  return std::none_of(presentSince_.begin(), presentSince_.end(), [&](const auto& returned) {
    return routes_[returned.first].listen == route && returned.second > time;
  });
}

void RouteTracker::onNodeStarted(size_t node) {
  ++processNumbers_[node];
  shownVersions_.erase(node);
}

TimePoint RouteTracker::addedAt(uint64_t marker) const {
  return versions_[marker - 1].acknowledgedAt;
}

TimePoint RouteTracker::droppedAt(uint64_t marker) const {
  const uint64_t droppingVersion = versionThatDropped(marker);
  return droppingVersion <= version() ? versions_[droppingVersion - 1].acknowledgedAt
                                      : TimePoint::max();
}

std::optional<Endpoint> RouteTracker::startProbe(TimePoint now, size_t node, uint16_t callerPort,
                                                 RandomSource& random) {
  if (versions_.empty()) {
    return std::nullopt;
  }
  const uint64_t range = std::min(kProbedMarkers, version());
  const uint64_t marker = version() - random.below(range);
  pendingProbes_[callerPort] = {node, marker, now, processNumbers_[node]};
  ++probes_;
  return markerEndpoint(marker);
}

std::optional<Probe> RouteTracker::consumeProbe(uint16_t callerPort) {
  const auto found = pendingProbes_.find(callerPort);
  if (found == pendingProbes_.end()) {
    return std::nullopt;
  }
  const Probe probe = found->second;
  pendingProbes_.erase(found);
  return probe.processNumber == processNumbers_[probe.node] ? std::optional(probe) : std::nullopt;
}

void RouteTracker::recordShownVersion(size_t node, uint64_t version, const Probe& probe,
                                      TimePoint now) {
  ShownVersion& shown = shownVersions_[node];
  if (version > shown.version || shown.processNumber != probe.processNumber) {
    shown = {version, now, probe.processNumber};
  }
}

void RouteTracker::checkVersion(TimePoint now, const Probe& probe, uint64_t neededVersion,
                                TimePoint neededSince, const char* outcome) {
  const std::string& nodeName = plan_.nodes()[probe.node].name;
  // Disturbances before the probe was sent and while it was in flight both count.
  if (!disturbances_.isSettled(nodeName, now) || !disturbances_.isSettled("store", now)) {
    return;
  }
  const std::string detail = nodeName + " " + outcome + " marker " + std::to_string(probe.marker) +
                             ", version " + std::to_string(neededVersion) + " of " +
                             std::to_string(version());
  if (neededSince != TimePoint::max()) {
    longestDelay_ = std::max(longestDelay_, probe.sentAt - neededSince);
  }
  if (neededSince != TimePoint::max() &&
      probe.sentAt > neededSince + plan_.bounds().change + kSlack) {
    promises_.recordViolation(now, Promise::kConfigurationInTime, detail);
  }
  const auto shown = shownVersions_.find(probe.node);
  if (shown != shownVersions_.end() && shown->second.processNumber == probe.processNumber &&
      shown->second.version >= neededVersion &&
      probe.sentAt > shown->second.at + plan_.bounds().olderVersionGrace) {
    promises_.recordViolation(now, Promise::kNoOlderConfiguration, detail);
  }
}

void RouteTracker::onAccepted(TimePoint now, uint16_t callerPort) {
  const auto probe = consumeProbe(callerPort);
  if (!probe) {
    return;
  }
  const uint64_t droppingVersion = versionThatDropped(probe->marker);
  if (droppingVersion <= version()) {
    checkVersion(now, *probe, droppingVersion, droppedAt(probe->marker), "forwarded");
  }
  recordShownVersion(probe->node, probe->marker, *probe, now);
}

void RouteTracker::onRefused(TimePoint now, uint16_t callerPort) {
  const auto probe = consumeProbe(callerPort);
  if (!probe) {
    return;
  }
  const uint64_t droppingVersion = versionThatDropped(probe->marker);
  const bool mayBeDropped = droppingVersion <= version();
  if (!mayBeDropped) {
    checkVersion(now, *probe, probe->marker, addedAt(probe->marker), "refused");
  }
}

bool RouteTracker::mayRun(const Endpoint& route, const std::string& service) const {
  const auto found =
      std::find_if(routes_.begin(), routes_.end(),
                   [&route](const CallerRoute& known) { return known.listen == route; });
  const CallerRoute& known = found == routes_.end() ? routes_.front() : *found;
  return std::any_of(known.services.begin(), known.services.end(),
                     [&service](const auto& part) { return part.first == service; });
}

}  // namespace umberhold::soak
