/**
 * @file Admission control for opening packets of flows: each is placed at once, queued in the node,
 * or refused. This is the interface of this folder.
 *
 * Requests on open flows can't be delayed: a node must neither drop nor reset them. They are
 * counted instead, and the openings of services that share a pool with a more urgent service may
 * use the part of the pool's room that these requests leave. Openings of the most urgent service
 * wait only for each other.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/admission/opening_queue.h"
#include "common/admission/pool_room.h"
#include "common/admission/pool_use.h"
#include "common/admission/room_limits.h"
#include "common/base/time.h"
#include "common/flow/flow_director.h"

namespace umberhold {

/** Parameters of an opening's service. */
struct OpeningParameters {
  std::string_view service;
  uint32_t priority = 0;
  /** Time after which callers give up a request; 0: not known. */
  Duration requestTimeout{0};
  /** Time within which callers want an answer; 0: not known. */
  Duration targetLatency{0};
};

/** Size of a pool, as seen by a node that sends flows to it. */
struct PoolSize {
  /** Number of requests that its usable hosts process concurrently; 0: not known. */
  double slots = 0.0;
  /** Number of nodes that send flows to the pool. */
  uint32_t sendingNodes = 1;
};

/** A node's openings at a pool. */
struct OpeningUse {
  /** Openings under way at its hosts, plus those that wait for them. */
  double openings = 0.0;
  /** Maximum number of openings under way. */
  double limit = 0.0;
};

/** Counters of one service's openings at one pool, since the start. */
struct AdmissionCounters {
  uint64_t waited = 0;
  uint64_t refusedAfterWait = 0;
  /** Requests whose time at the host alone exceeded the service's target latency. */
  uint64_t lateByEstimate = 0;
};

/** A pool's state for metrics. */
struct PoolFigures {
  std::string pool;
  PoolRoom room;
  double underWay = 0.0;
  double onOpenFlows = 0.0;
  size_t waiting = 0;
};

/** See the file comment. Does no I/O; not thread safe. */
class Admission {
 public:
  Admission(OpeningLimits openings, RoomLimits room);

  /**
   * @param size called only if the pool is contended.
   * @return the decision for an opening that arrived or was released by take(). If it is kWait, the
   * caller passes the opening to hold(), unless it sends it to another pool.
   */
  OpeningDecision decideOpening(TimePoint now, const std::string& pool,
                                const OpeningParameters& parameters, FlowHash flow,
                                const std::function<PoolSize()>& size);
  /** Queues an opening, or replaces its queued copy. @param bytes the whole packet. */
  void hold(TimePoint now, const std::string& pool, const OpeningParameters& parameters,
            FlowHash flow, std::string_view bytes);
  bool isWaiting(FlowHash flow) const { return queue_.isWaiting(flow); }
  /** @return the pool for which an opening is queued; see OpeningQueue. */
  const std::string* poolOf(FlowHash flow) const { return queue_.poolOf(flow); }
  OpeningUse openingsAt(TimePoint now, const std::string& pool, const PoolSize& size);
  void onPlaced(TimePoint now, const std::string& pool, FlowHash flow, uint32_t priority) {
    queue_.onPlaced(now, pool, flow, priority);
  }
  /** Handles a later packet of a flow; see OpeningQueue. */
  bool onLaterPacket(TimePoint now, const FlowPacket& packet, std::optional<Duration> requestTime) {
    return queue_.onLaterPacket(now, packet, requestTime);
  }
  /** A request of a service ended, or has been waiting for an excessive time. */
  void onEnded(TimePoint now, const std::string& pool, const OpeningParameters& parameters,
               const EndedRequest& request);

  /** @return openings released from the queue; see OpeningQueue. */
  std::vector<std::string> take(TimePoint now) { return queue_.take(now); }
  std::optional<TimePoint> nextDue() const { return queue_.nextDue(); }

  /** @return the room of a pool. If the pool's latencies are not known, the room is 0 (unknown) and
   * nothing is queued because of it. */
  PoolRoom roomOf(TimePoint now, const std::string& pool, const PoolSize& size) const;

  std::vector<PoolFigures> figures(TimePoint now) const;
  /** @return counters by pool and service. */
  const std::map<std::pair<std::string, std::string>, AdmissionCounters>& counters() const {
    return counters_;
  }
  /** Removes the state and counters of a pool that no longer exists. */
  void removePool(const std::string& pool);

 private:
  struct Pool {
    PoolUse use;
    /** Recent time of requests at the hosts. */
    RecentAverage atHosts;
    /** Minimum target latency of the services that use the pool; 0: none has one. */
    Duration targetLatency{0};
    /** When a request of a service with that target last ended. */
    TimePoint targetAt{};
    /** Room at the last opening for which the pool was contended. */
    PoolRoom room;
  };

  const Pool* findPool(const std::string& pool) const;
  /** Counts a decision. @return the decision. */
  OpeningDecision countDecision(OpeningDecision decision, const std::string& pool,
                                const OpeningParameters& parameters);
  OpeningClaim claimOf(TimePoint now, const std::string& pool, const OpeningParameters& parameters,
                       const PoolSize& size);
  /** @return how long openings are released in FIFO order; nullopt: always. */
  std::optional<Duration> fifoWait(TimePoint now, const std::string& pool,
                                   const OpeningParameters& parameters) const;
  /** @return whether the opening is placed regardless of the pool's size. */
  bool isUncontended(TimePoint now, const std::string& pool, const OpeningParameters& parameters);
  AdmissionCounters& countersOf(const std::string& pool, const OpeningParameters& parameters);

  const RoomLimits limits_;
  /** OpeningLimits::openingsPerSlot is above 0; otherwise no opening is queued. */
  const bool holdsOpenings_;
  OpeningQueue queue_;
  std::map<std::string, Pool> pools_;
  std::map<std::pair<std::string, std::string>, AdmissionCounters> counters_;
};

}  // namespace umberhold
