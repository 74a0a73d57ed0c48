/**
 * @file Generates the operator's configurations and detects nodes that use an outdated one.
 *
 * Besides the callers' routes, each version adds a marker, which is a route that callers don't use,
 * and drops older markers. A probe opens a flow to a marker at a selected node: whether the opening
 * reaches a host or is refused shows the node's version.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "common/base/time.h"
#include "test/soak/world/deployment_plan.h"
#include "test/soak/world/disturbance_tracker.h"
#include "test/soak/world/promises.h"

namespace umberhold::soak {

/** A route used by callers. */
struct CallerRoute {
  std::string name;
  Endpoint listen;
  bool repeatable = true;
  /** Services with their weights. */
  std::vector<std::pair<std::string, uint32_t>> services;
  /** 0 is the most urgent; empty: not set in the configuration. */
  std::optional<uint32_t> priority = std::nullopt;
  /** Whether the route is absent from some versions; see RouteTracker::setPresent(). */
  bool returns = false;
};

/** A probe in flight. */
struct Probe {
  size_t node = 0;
  uint64_t marker = 0;
  TimePoint sentAt{};
  /** Process number of the node at sending; a restarted node may have an older configuration. */
  uint32_t processNumber = 0;
};

/** Contents of a configuration other than its routes. */
struct RouteTrackerOptions {
  /** `max_connections` of each service. */
  uint32_t maxFlows = 2000;
  /** Service of the markers. Under hard load its hosts are not those of the callers, so that no
   * probe is refused for lack of capacity. */
  std::string markerService = "dispatch";
};

/** See the file comment. Not thread safe. */
class RouteTracker {
 public:
  /** @param plan, promises, disturbances borrowed. */
  RouteTracker(const DeploymentPlan& plan, std::vector<CallerRoute> routes,
               ViolationRecord& promises, const DisturbanceTracker& disturbances,
               RouteTrackerOptions options = {});

  /** Sets whether the route is part of the next versions. */
  void setPresent(size_t route, bool present);
  /** @return whether no version since the time has lacked the route of the address. */
  bool isPresentSince(const Endpoint& route, TimePoint time) const;
  /** Creates the next version, with `extraRoutes` unused routes. @return its text. */
  std::string nextVersion(uint32_t extraRoutes);
  /** Records that the store accepted the newest version. */
  void onAcknowledged(TimePoint now);
  /** Records the start of a new process of the node. */
  void onNodeStarted(size_t node);

  /** Starts a probe of a random marker. @return its endpoint, or nothing before the first version.
   */
  std::optional<Endpoint> startProbe(TimePoint now, size_t node, uint16_t callerPort,
                                     RandomSource& random);
  /** Records that the probe's opening reached a host. */
  void onAccepted(TimePoint now, uint16_t callerPort);
  /** Records that the probe's opening was refused. */
  void onRefused(TimePoint now, uint16_t callerPort);

  const std::vector<CallerRoute>& routes() const { return routes_; }
  static bool isMarker(const Endpoint& service);
  uint64_t probes() const { return probes_; }
  /** @return the longest time after which an undisturbed node still used an older version. */
  Duration longestDelay() const { return longestDelay_; }
  uint64_t version() const { return versions_.empty() ? 0 : versions_.back().number; }
  /** @return whether the service belongs to the route of the address in any version. An address
   * without a caller route counts as the first route. */
  bool mayRun(const Endpoint& route, const std::string& service) const;

 private:
  struct Version {
    uint64_t number = 0;
    TimePoint acknowledgedAt = TimePoint::max();
  };
  /** The newest version that a node has shown. */
  struct ShownVersion {
    uint64_t version = 0;
    TimePoint at{};
    uint32_t processNumber = 0;
  };

  /** @return when the version that dropped the marker was acknowledged. */
  TimePoint droppedAt(uint64_t marker) const;
  /** @return when the version that added the marker was acknowledged. */
  TimePoint addedAt(uint64_t marker) const;
  uint64_t versionThatDropped(uint64_t marker) const { return marker + kMarkersKept; }
  /** Removes and returns a pending probe; nothing if unknown or if its node has restarted since. */
  std::optional<Probe> consumeProbe(uint16_t callerPort);
  void recordShownVersion(size_t node, uint64_t version, const Probe& probe, TimePoint now);
  /** Checks a probe whose outcome shows that the node used a version older than `neededVersion`.
   * @param neededSince when that version was acknowledged. @param outcome verb for the report. */
  void checkVersion(TimePoint now, const Probe& probe, uint64_t neededVersion,
                    TimePoint neededSince, const char* outcome);

  /** Number of versions that contain a marker, from its own version on. */
  static constexpr uint64_t kMarkersKept = 3;

  const DeploymentPlan& plan_;
  const std::vector<CallerRoute> routes_;
  ViolationRecord& promises_;
  const DisturbanceTracker& disturbances_;
  const RouteTrackerOptions options_;
  std::vector<Version> versions_;
  /** Routes that the next version lacks. */
  std::set<size_t> absent_;
  /** When the store acknowledged the version that added an earlier absent route again; the latest
   * time while it is absent. */
  std::map<size_t, TimePoint> presentSince_;
  std::map<size_t, ShownVersion> shownVersions_;
  std::map<uint16_t, Probe> pendingProbes_;
  std::map<size_t, uint32_t> processNumbers_;
  uint64_t probes_ = 0;
  Duration longestDelay_{0};
};

}  // namespace umberhold::soak
