#include "test/soak/world/route_book.h"

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
/** Time from the store's answer to the operator's note of it, and of packets on their way. */
constexpr Duration kSlack = std::chrono::milliseconds(200);
/** Markers that probes ask for: those that are there and some that no longer are. */
constexpr uint64_t kProbedMarkers = 6;

Endpoint markerEndpoint(uint64_t version) {
  return {kMarkerAddress, static_cast<uint16_t>(kFirstPort + version % kMarkerPorts)};
}

void writeRoute(std::ostream& text, const std::string& name, const Endpoint& listen,
                bool repeatable, const std::vector<std::pair<std::string, uint32_t>>& parts,
                std::optional<uint32_t> priority = std::nullopt) {
  text << R"({"name":")" << name << R"(","host":")" << addressToString(listen.address)
       << R"(","path_prefix":"/)" << listen.port << R"(/","kind":")"
       << (repeatable ? "safe" : "unsafe") << R"(","timeout_ms":3000,)";
  if (priority) {
    text << R"("priority":)" << *priority << ",";
  }
  text << R"("traffic_split":[)";
  for (size_t index = 0; index < parts.size(); ++index) {
    text << (index == 0 ? "" : ",") << R"({"service":")" << parts[index].first << R"(","weight":)"
         << parts[index].second << "}";
  }
  text << "]}";
}

}  // namespace

RouteBook::RouteBook(const DeploymentPlan& plan, std::vector<CallerRoute> routes,
                     PromiseBook& promises, const ContactRecord& contact, RouteBookOptions options)
    : plan_(plan),
      routes_(std::move(routes)),
      promises_(promises),
      contact_(contact),
      options_(std::move(options)) {}

bool RouteBook::isMarker(const Endpoint& service) {
  return service.address == kMarkerAddress;
}

std::string RouteBook::nextVersion(uint32_t extraRoutes) {
  versions_.push_back({version() + 1, TimePoint::max()});
  std::ostringstream text;
  text << R"({"version":)" << version() * 10 << R"(,"routes":[)";
  const auto& anyService = routes_.front().parts;
  for (const CallerRoute& route : routes_) {
    writeRoute(text, route.name, route.listen, route.repeatable, route.parts, route.priority);
    text << ",";
  }
  for (uint32_t extra = 0; extra < extraRoutes; ++extra) {
    const Endpoint listen{kExtraAddress, static_cast<uint16_t>(kFirstPort + extra)};
    writeRoute(text, "extra-" + std::to_string(extra), listen, true, anyService);
    text << ",";
  }
  const uint64_t oldest = version() >= kMarkersKept ? version() - kMarkersKept + 1 : 1;
  for (uint64_t marker = oldest; marker <= version(); ++marker) {
    writeRoute(text, "marker-" + std::to_string(marker), markerEndpoint(marker), true,
               {{options_.markerService, 1}});
    text << (marker < version() ? "," : "");
  }
  text << R"(],"services":[)";
  std::string separator;
  for (const std::string& service :
       std::set<std::string>{"dispatch", "mapstore", options_.markerService}) {
    text << separator << R"({"name":")" << service << R"(","max_connections":)"
         << options_.mostFlows << "}";
    separator = ",";
  }
  text << R"(],"limits":{"idle_timeout_ms":15000}})";
  return text.str();
}

void RouteBook::onNodeStarted(size_t node) {
  ++lives_[node];
  shown_.erase(node);
}

TimePoint RouteBook::addedAt(uint64_t marker) const {
  return versions_[marker - 1].acknowledgedAt;
}

TimePoint RouteBook::droppedAt(uint64_t marker) const {
  const uint64_t dropping = versionThatDropped(marker);
  return dropping <= version() ? versions_[dropping - 1].acknowledgedAt : TimePoint::max();
}

std::optional<Endpoint> RouteBook::startProbe(TimePoint now, size_t node, uint16_t callerPort,
                                              RandomSource& random) {
  if (versions_.empty()) {
    return std::nullopt;
  }
  const uint64_t range = std::min(kProbedMarkers, version());
  const uint64_t marker = version() - random.below(range);
  underWay_[callerPort] = {node, marker, now, lives_[node]};
  ++probes_;
  return markerEndpoint(marker);
}

std::optional<Probe> RouteBook::takeProbe(uint16_t callerPort) {
  const auto found = underWay_.find(callerPort);
  if (found == underWay_.end()) {
    return std::nullopt;
  }
  const Probe probe = found->second;
  underWay_.erase(found);
  return probe.life == lives_[probe.node] ? std::optional(probe) : std::nullopt;
}

void RouteBook::show(size_t node, uint64_t version, const Probe& probe, TimePoint now) {
  Shown& shown = shown_[node];
  if (version > shown.version || shown.life != probe.life) {
    shown = {version, now, probe.life};
  }
}

void RouteBook::judge(TimePoint now, const Probe& probe, uint64_t neededVersion,
                      TimePoint neededSince, const char* handled) {
  const std::string& nodeName = plan_.nodes()[probe.node].name;
  // Trouble before the probe was sent counts, and trouble that began while it was under way.
  if (!contact_.isInTouch(nodeName, now) || !contact_.isInTouch("store", now)) {
    return;
  }
  const std::string detail = nodeName + " " + handled + " marker " + std::to_string(probe.marker) +
                             ", version " + std::to_string(neededVersion) + " of " +
                             std::to_string(version());
  if (neededSince != TimePoint::max() &&
      probe.sentAt > neededSince + plan_.bounds().change + kSlack) {
    promises_.broken(now, Promise::kConfigurationInTime, detail);
  }
  const auto shown = shown_.find(probe.node);
  if (shown != shown_.end() && shown->second.life == probe.life &&
      shown->second.version >= neededVersion &&
      probe.sentAt > shown->second.at + plan_.bounds().back) {
    promises_.broken(now, Promise::kNoOlderConfiguration, detail);
  }
}

void RouteBook::onAccepted(TimePoint now, uint16_t callerPort) {
  const auto probe = takeProbe(callerPort);
  if (!probe) {
    return;
  }
  const uint64_t dropping = versionThatDropped(probe->marker);
  if (dropping <= version()) {
    judge(now, *probe, dropping, droppedAt(probe->marker), "forwarded");
  }
  show(probe->node, probe->marker, *probe, now);
}

void RouteBook::onRefused(TimePoint now, uint16_t callerPort) {
  const auto probe = takeProbe(callerPort);
  if (!probe) {
    return;
  }
  const uint64_t dropping = versionThatDropped(probe->marker);
  const bool maybeDropped = dropping <= version();
  if (!maybeDropped) {
    judge(now, *probe, probe->marker, addedAt(probe->marker), "refused");
  }
}

bool RouteBook::mayRun(const Endpoint& route, const std::string& service) const {
  const auto found =
      std::find_if(routes_.begin(), routes_.end(),
                   [&route](const CallerRoute& known) { return known.listen == route; });
  const CallerRoute& known = found == routes_.end() ? routes_.front() : *found;
  return std::any_of(known.parts.begin(), known.parts.end(),
                     [&service](const auto& part) { return part.first == service; });
}

}  // namespace umberhold::soak
