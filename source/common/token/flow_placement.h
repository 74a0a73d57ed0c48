/**
 * @file Which host of a pool gets a new flow.
 *
 * Hosts are compared by tier first (its zone, whether it answers, whether it is registered), then
 * by their load for their weight. Load is this node's own packets of late, scaled up for hosts that
 * answer later than the pool's median: what Peak EWMA in Finagle and least-request with slow start
 * in Envoy do with times and counts of requests that they terminate, this does with what passes by.
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

/** A host began or ceased to answer far later than the others of its pool; for logs. */
struct HostSlownessChange {
  std::string pool;
  std::string host;
  bool slow = false;
  /** Its answers of late, as a multiple of the pool's median. */
  double slowness = 1.0;
};

/** Not thread safe. */
class FlowPlacement {
 public:
  /** @param zone this node's. @param random borrowed; must outlive the object. */
  FlowPlacement(std::string zone, PlacementOptions options, RandomSource& random);

  /**
   * @param avoided token of a host that left an earlier copy of the opening unanswered; 0: none.
   * @return the host; nullptr where none may take a flow. evidence() says what decided.
   */
  TokenHost* place(TimePoint now, const TokenPool& pool, uint32_t avoided);
  /** @return requests that the pool's good hosts work on at once; 0 where that is not known. */
  double usableSlots(TimePoint now, const TokenPool& pool);
  bool learnsSpeeds() const { return options_.learnsSpeeds; }
  /** @return see HostSpeed; 1 where speeds are not learnt. */
  double speedOf(TimePoint now, const TokenHost& host) const {
    return options_.learnsSpeeds ? host.speed.value(now).speed : 1.0;
  }
  /** Hosts of these zones get no new flow. */
  void setEvacuatedZones(EvacuatedZones zones) { evacuated_ = std::move(zones); }
  /** Nodes of this node's zone, itself included; callers are spread evenly over them. */
  void setZoneNodes(uint32_t nodes) { zoneNodes_ = nodes; }
  /** Fed by who sees what hosts answer. */
  SilentZones& silentZones() { return silentZones_; }
  /** @return the hosts that became slow or usual since the last call. */
  std::vector<HostSlownessChange> takeSlownessChanges() { return std::exchange(slownessChanges_, {}); }
  /** @return what decided the last placement; fields that a pool doesn't know are left alone. */
  PlacementEvidence& evidence() { return evidence_; }

 private:
  /** A host that may take the flow. */
  struct Candidate {
    TokenHost* host = nullptr;
    bool otherZone = false;
    bool silent = false;
    /** The host left an earlier copy of this opening unanswered. */
    bool avoided = false;
    bool vanished = false;
    /** Answers of late, as a multiple of the pool's median. */
    double slowness = 1.0;
    /** See HostSpeed; 1 where speeds are not learnt. */
    double speed = 1.0;
    /** Load for its weight, the new flow included. */
    double load = 0.0;

    double weight() const { return host->spec.weight * speed; }
    /** Requests that it works on at once, in those of a host of usual speed. */
    double capacity() const { return host->spec.slots * speed; }
    /** @return whether its zone should not count on it. */
    bool isImpaired() const { return silent || avoided || host->slow || vanished; }
    /** @return the order of preference, lower first. @param leavesZone hosts of the own zone come
     * after others. */
    double rank(bool leavesZone) const;
  };

  /** Fills candidates_. */
  void collect(TimePoint now, const TokenPool& pool, uint32_t avoided);
  /** Scales the load of candidates that answer late. */
  void applyResponseTimes(TimePoint now);
  void recordSlownessChange(const Candidate& candidate);
  /** @return the median of the times in times_, the lower one of an even number; 1 where none is.
   */
  double medianTime();
  /**
   * @return part of the new flows that stay in this node's zone: all of them, or fewer where it has
   * clearly less than an equal share of the pool's good hosts, or where they answer later than
   * those of other zones. Zones are taken to have equal traffic.
   */
  double ownZoneFraction(TimePoint now, const TokenPool& pool) const;
  /**
   * @return part that stays by the load of the zone's own slots. What does not stay is spread over
   * all hosts, so that zones which are full alike exchange flows and lose nothing.
   */
  double fractionByLoad(TimePoint now, const TokenPool& pool) const;
  double fractionByResponseTime(TimePoint now, const TokenPool& pool,
                     const std::vector<std::string_view>& otherZones) const;
  /** @return the candidate with the lowest rank, by lot among equals. */
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
  /** Kept between calls for its memory. */
  std::vector<Candidate> candidates_;
  std::vector<double> times_;
  std::vector<HostSlownessChange> slownessChanges_;
};

}  // namespace umberhold
