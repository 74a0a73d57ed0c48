/**
 * @file The operator's configurations, and whether nodes handle probes by one that is too old.
 *
 * Besides the routes that callers use, each version adds a marker, a route that nobody uses, and
 * drops older ones. A probe opens a flow to a marker at a chosen node: that node's newest version
 * shows in whether the opening reaches a host or is refused.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "common/base/time.h"
#include "test/soak/world/contact_record.h"
#include "test/soak/world/deployment_plan.h"
#include "test/soak/world/promises.h"

namespace umberhold::soak {

/** A route that callers use. */
struct CallerRoute {
  std::string name;
  Endpoint listen;
  bool repeatable = true;
  /** Services with their weights. */
  std::vector<std::pair<std::string, uint32_t>> parts;
  /** 0 is the most urgent; none: the configuration doesn't say. */
  std::optional<uint32_t> priority = std::nullopt;
};

/** A probe that is under way. */
struct Probe {
  size_t node = 0;
  uint64_t marker = 0;
  TimePoint sentAt{};
  /** Of the node when the probe was sent; a node that starts again may know less. */
  uint32_t life = 0;
};

/** What a configuration says beside its routes. */
struct RouteBookOptions {
  /** `max_connections` of each service. */
  uint32_t mostFlows = 2000;
  /** Whose hosts markers lead to. Where room is short they are others than the callers', so that a
   * node which refuses a probe can't do so for lack of room. */
  std::string markerService = "dispatch";
};

/** See the file comment. Not thread safe. */
class RouteBook {
 public:
  /** @param plan, promises, contact borrowed. */
  RouteBook(const DeploymentPlan& plan, std::vector<CallerRoute> routes, PromiseBook& promises,
            const ContactRecord& contact, RouteBookOptions options = {});

  /** Makes the next version, with `extra` routes that nobody uses. @return its text. */
  std::string nextVersion(uint32_t extraRoutes);
  /** The store has taken the newest version. */
  void onAcknowledged(TimePoint now) { versions_.back().acknowledgedAt = now; }
  /** A new process serves as the node. */
  void onNodeStarted(size_t node);

  /** @return where a probe of some marker goes, or nothing before there is one. */
  std::optional<Endpoint> startProbe(TimePoint now, size_t node, uint16_t callerPort,
                                     RandomSource& random);
  /** The probe's opening reached a host. */
  void onAccepted(TimePoint now, uint16_t callerPort);
  /** The probe's opening was refused. */
  void onRefused(TimePoint now, uint16_t callerPort);

  const std::vector<CallerRoute>& routes() const { return routes_; }
  static bool isMarker(const Endpoint& service);
  uint64_t probes() const { return probes_; }
  uint64_t version() const { return versions_.empty() ? 0 : versions_.back().number; }
  /** @return whether a service may ever run requests to the address. */
  bool mayRun(const Endpoint& route, const std::string& service) const;

 private:
  struct Version {
    uint64_t number = 0;
    TimePoint acknowledgedAt = TimePoint::max();
  };
  /** What a node has shown. */
  struct Shown {
    uint64_t version = 0;
    TimePoint at{};
    uint32_t life = 0;
  };

  /** @return when the version that dropped the marker was acknowledged. */
  TimePoint droppedAt(uint64_t marker) const;
  TimePoint addedAt(uint64_t marker) const;
  uint64_t versionThatDropped(uint64_t marker) const { return marker + kMarkersKept; }
  std::optional<Probe> takeProbe(uint16_t callerPort);
  void show(size_t node, uint64_t version, const Probe& probe, TimePoint now);
  /** The node handled the probe as only versions before the needed one allow. */
  void judge(TimePoint now, const Probe& probe, uint64_t neededVersion, TimePoint neededSince,
             const char* handled);

  /** A marker is there in its own version and the following ones, so many in all. */
  static constexpr uint64_t kMarkersKept = 3;

  const DeploymentPlan& plan_;
  const std::vector<CallerRoute> routes_;
  PromiseBook& promises_;
  const ContactRecord& contact_;
  const RouteBookOptions options_;
  std::vector<Version> versions_;
  std::map<size_t, Shown> shown_;
  std::map<uint16_t, Probe> underWay_;
  std::map<size_t, uint32_t> lives_;
  uint64_t probes_ = 0;
};

}  // namespace umberhold::soak
