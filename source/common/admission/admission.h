/**
 * @file Which openings of flows are placed at once, wait in the node, or are refused: the facade of
 * this folder.
 *
 * Requests on flows that are open can't be held back: a node must neither drop nor reset them. So
 * they are counted, and the openings of services that share a pool with a more urgent one get what
 * they leave of its room. Openings of the most urgent service wait for each other alone.
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

/** What admission knows of the service of an opening. */
struct OpeningParameters {
  std::string_view service;
  uint32_t priority = 0;
  /** Callers give the request up after so long; 0: not known. */
  Duration requestTimeout{0};
  /** Callers want an answer within so long; 0: not known. */
  Duration targetLatency{0};
};

/** A pool's hosts, as a node that sends flows there sees them. */
struct PoolSize {
  /** Requests that its good hosts work on at once; 0: not known. */
  double slots = 0.0;
  /** Nodes that send flows to the pool. */
  uint32_t sendingNodes = 1;
};

/** Openings that a node has at a pool. */
struct OpeningUse {
  /** Under way at its hosts, and those that wait for them. */
  double openings = 0.0;
  /** So many may be under way. */
  double limit = 0.0;
};

/** What became of one service's openings at one pool, since the start. */
struct AdmissionCounters {
  uint64_t waited = 0;
  uint64_t refusedAfterWait = 0;
  /** Requests whose time at the host alone was beyond the service's target. */
  uint64_t lateByEstimate = 0;
};

/** A pool's figures, for metrics. */
struct PoolFigures {
  std::string pool;
  PoolRoom room;
  double underWay = 0.0;
  double onOpenFlows = 0.0;
  size_t waiting = 0;
};

/** See the file comment. Decisions without I/O. Not thread safe. */
class Admission {
 public:
  Admission(OpeningLimits openings, RoomLimits room);

  /**
   * @param size asked for only where the pool is not calm.
   * @return what becomes of an opening that arrived, or that take() gave. One that is to wait is
   * given to hold(), unless it goes elsewhere.
   */
  OpeningDecision decideOpening(TimePoint now, const std::string& pool, const OpeningParameters& needs,
                     FlowHash flow, const std::function<PoolSize()>& size);
  /** Keeps an opening that is to wait, or the copy of one. @param bytes the whole packet. */
  void hold(TimePoint now, const std::string& pool, const OpeningParameters& needs, FlowHash flow,
            std::string_view bytes);
  bool isWaiting(FlowHash flow) const { return queue_.isWaiting(flow); }
  /** @return the pool that an opening waits for; see OpeningQueue. */
  const std::string* poolOf(FlowHash flow) const { return queue_.poolOf(flow); }
  OpeningUse openingsAt(TimePoint now, const std::string& pool, const PoolSize& size);
  void onPlaced(TimePoint now, const std::string& pool, FlowHash flow, uint32_t priority) {
    queue_.onPlaced(now, pool, flow, priority);
  }
  /** A later packet of a flow; see OpeningQueue. */
  bool onLaterPacket(TimePoint now, const FlowPacket& packet, std::optional<Duration> patience) {
    return queue_.onLaterPacket(now, packet, patience);
  }
  /** A request of a service ended, or waits beyond all measure. */
  void onEnded(TimePoint now, const std::string& pool, const OpeningParameters& needs,
               const EndedRequest& request);

  /** @return openings that wait no longer; see OpeningQueue. */
  std::vector<std::string> take(TimePoint now) { return queue_.take(now); }
  std::optional<TimePoint> nextDue() const { return queue_.nextDue(); }

  /** @return the room of a pool whose times are known; else nothing is held back by it. */
  PoolRoom roomOf(TimePoint now, const std::string& pool, const PoolSize& size) const;

  std::vector<PoolFigures> figures(TimePoint now) const;
  /** @return by pool and service. */
  const std::map<std::pair<std::string, std::string>, AdmissionCounters>& counters() const {
    return counters_;
  }
  /** Forgets what is known of a pool that is no more, its counters included. */
  void removePool(const std::string& pool);

 private:
  struct Pool {
    PoolUse use;
    TimeOfLate atHosts;
    /** The shortest target latency of the services that use it; 0: none has one. */
    Duration targetLatency{0};
    /** When a service with that target last had an answer. */
    TimePoint targetAt{};
    /** As of the last opening that was not placed at once. */
    PoolRoom room;
  };

  const Pool* known(const std::string& pool) const;
  /** Counts what became of an opening. @return the turn. */
  OpeningDecision noted(OpeningDecision turn, const std::string& pool, const OpeningParameters& needs);
  OpeningClaim claimOf(TimePoint now, const std::string& pool, const OpeningParameters& needs,
                       const PoolSize& size);
  /** @return how long openings keep their order; none: always. */
  std::optional<Duration> orderlyWait(TimePoint now, const std::string& pool,
                                      const OpeningParameters& needs) const;
  /** @return whether the opening is placed whatever the pool's size. */
  bool isCalm(TimePoint now, const std::string& pool, const OpeningParameters& needs);
  AdmissionCounters& countersOf(const std::string& pool, const OpeningParameters& needs);

  const RoomLimits limits_;
  /** OpeningLimits::openingsPerSlot is above 0; otherwise no opening waits. */
  const bool holdsOpenings_;
  OpeningQueue queue_;
  std::map<std::string, Pool> pools_;
  std::map<std::pair<std::string, std::string>, AdmissionCounters> counters_;
};

}  // namespace umberhold
