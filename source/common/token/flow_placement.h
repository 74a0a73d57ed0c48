/**
 * @file Selects the host of a pool that receives a new flow.
 *
 * Hosts are compared by tier first (own zone, responsive, registered) and then by load per weight.
 * Load is the number of recent packets that this node sent to the host, scaled up for hosts whose
 * response times exceed the median of the pool. It follows the same idea as Peak EWMA in Finagle
 * and least-request with slow start in Envoy, but those terminate requests and can count and time
 * them, whereas this class only observes forwarded packets.
 */
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/base/random.h"
#include "common/config/evacuated_zones.h"
#include "common/flow/flow_director.h"
#include "common/token/placement_options.h"
#include "common/token/silent_zones.h"
#include "common/token/token_hosts.h"

namespace umberhold {

/** A host became much slower than the other hosts of its pool or recovered; for logs. */
struct HostSlownessChange {
  std::string pool;
  std::string host;
  bool slow = false;
  /** Recent response times of the host as a multiple of the pool's median. */
  double slowness = 1.0;
};

/** Not thread safe. */
class FlowPlacement {
 public:
  /**
   * @param zone the zone of this node.
   * @param random borrowed; must outlive the object.
   */
  FlowPlacement(std::string zone, PlacementOptions options, RandomSource& random);

  /**
   * @param avoided token of a host that left an earlier copy of the opening packet unanswered; 0:
   * none.
   * @return the host, or nullptr if no host can take a flow. evidence() returns the factors behind
   * the placement.
   */
  TokenHost* place(TimePoint now, const TokenPool& pool, uint32_t avoided);
  /**
   * @return the number of requests that the unimpaired hosts of the pool process concurrently; 0 if
   * that is not known.
   */
  double usableSlots(TimePoint now, const TokenPool& pool);
  bool learnsSpeeds() const { return options_.learnsSpeeds; }
  /** @return the speed of the host, see HostSpeed; 1 if speed estimation is disabled. */
  double speedOf(TimePoint now, const TokenHost& host) const {
    return options_.learnsSpeeds ? host.speed.value(now).speed : 1.0;
  }
  /** Excludes the hosts of these zones from new flows. */
  void setEvacuatedZones(EvacuatedZones zones) { evacuated_ = std::move(zones); }
  /**
   * Sets the number of nodes in this node's zone, including this node. Callers are assumed to be
   * spread evenly over them.
   */
  void setZoneNodes(uint32_t nodes) { zoneNodes_ = nodes; }
  /** State of silent zones; the component that observes answers updates it. */
  SilentZones& silentZones() { return silentZones_; }
  /** @return the hosts that became slow or recovered since the last call. */
  std::vector<HostSlownessChange> takeSlownessChanges() {
    return std::exchange(slownessChanges_, {});
  }
  /**
   * @return the factors behind the last placement. Fields that a pool does not determine are left
   * unchanged.
   */
  PlacementEvidence& evidence() { return evidence_; }

 private:
  /** A host that can take the flow. */
  struct Candidate {
    TokenHost* host = nullptr;
    bool otherZone = false;
    bool silent = false;
    /** The host left an earlier copy of this opening packet unanswered. */
    bool avoided = false;
    bool vanished = false;
    /** Recent response times as a multiple of the pool's median. */
    double slowness = 1.0;
    /** See HostSpeed; 1 if speed estimation is disabled. */
    double speed = 1.0;
    /** Load per weight, including the new flow. */
    double load = 0.0;

    double weight() const { return host->spec.weight * speed; }
    /** Concurrent requests that the host can process, in units of a host of usual speed. */
    double capacity() const { return host->spec.slots * speed; }
    /** @return whether the zone's capacity is computed without this host. */
    bool isImpaired() const { return silent || avoided || host->slow || vanished; }
    /**
     * @return the rank of the host; lower ranks are preferred.
     * @param leavesZone whether hosts of the own zone rank after others.
     */
    double rank(bool leavesZone) const;
  };

  /** Fills candidates_. */
  void collect(TimePoint now, const TokenPool& pool, uint32_t avoided);
  /** Scales up the load of candidates whose response times are high. */
  void applyResponseTimes(TimePoint now);
  void recordSlownessChange(const Candidate& candidate);
  /** @return the median of times_, the lower one if their number is even; 1 if times_ is empty. */
  double medianTime();
  /**
   * @return the fraction of new flows that stay in this node's zone. It is 1 unless the zone has
   * clearly less than an equal share of the pool's unimpaired hosts, or its hosts are loaded or
   * respond later than those of other zones. All zones are assumed to have equal traffic.
   */
  double ownZoneFraction(TimePoint now, const TokenPool& pool) const;
  /**
   * @return the fraction that stays, based on the load of the zone's own slots. The remainder is
   * spread over all hosts, so that equally loaded zones exchange flows without a loss of capacity.
   */
  double fractionByLoad(TimePoint now, const TokenPool& pool) const;
  double fractionByResponseTime(TimePoint now, const TokenPool& pool,
                                const std::vector<std::string_view>& otherZones) const;
  /** @return the candidate with the lowest rank; ties are broken at random. */
  const Candidate* best();
  void recordEvidence(TimePoint now, const TokenPool& pool, const Candidate& chosen);

  bool isEvacuated(const TokenHost& host) const {
    return evacuated_.zones.contains(host.spec.zone);
  }

  const std::string zone_;
  const PlacementOptions options_;
  RandomSource& random_;
  EvacuatedZones evacuated_;
  uint32_t zoneNodes_ = 1;
  SilentZones silentZones_;
  PlacementEvidence evidence_;
  /** Reused between calls to avoid allocations. */
  std::vector<Candidate> candidates_;
  std::vector<double> times_;
  std::vector<HostSlownessChange> slownessChanges_;
};

}  // namespace umberhold
