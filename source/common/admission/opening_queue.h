/**
 * @file Queue of opening packets of new flows, which wait in the node while the hosts of their pool
 * are busy.
 *
 * This handles overload by new flows: more arrive at once than hosts can start to process, as in a
 * burst or when all callers reconnect after an outage. Hosts queue a few requests and reject the
 * rest; callers retry immediately and give up after a few attempts, regardless of priority. Hosts
 * can't prioritise, because the flows of all services share one queue.
 *
 * Therefore a node limits its openings under way at the hosts of a pool. Further openings are
 * queued, with more urgent services first, and the first answer to a flow releases the next
 * opening. Queueing an opening only delays its caller, since nothing has been executed. An opening
 * that is not released within a fraction of the callers' timeout is refused, so that its caller can
 * retry. Open flows are never delayed.
 *
 * Effect with 74 nodes and 120 hosts, 60% of which had left, under three times the usual callers
 * (three runs each, counted by the callers): 8 to 26 requests of the more urgent service were lost
 * of 22,400, instead of 1,002 to 1,129.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/flow/flow_director.h"

namespace umberhold {

/** When openings are queued, and for how long. */
struct OpeningLimits {
  /**
   * Maximum number of openings that all nodes together have under way at the hosts of a pool, per
   * request that these hosts process concurrently; 0: openings are never queued. Hosts with two
   * slots and a queue of eight can take 5. With 3, more openings wait than necessary (half of the
   * hosts gone, twice the callers, bench/load_model: 0.963 of the requests met their target, 0.970
   * with 4). With 5, hosts reject more (8 nodes, 3.5 times the callers, two runs each: 2,525 and
   * 2,652 late answers of 15,200 of the usual service, 1,975 and 2,003 with 4).
   */
  double openingsPerSlot = 4.0;
  /**
   * Maximum wait of an opening, as a fraction of the time after which callers give up a request; 0:
   * it is refused at once. One sixth leaves time for three attempts, each with as much time at the
   * host as in the queue.
   */
  double maxWaitPart = 1.0 / 6.0;

  bool operator==(const OpeningLimits&) const = default;
};

/** The part of a pool that openings of one priority may use. */
struct OpeningClaim {
  /** Service::priority. */
  uint32_t priority = 0;
  /** These openings are queued while at least this many openings of all priorities are under way at
   * the pool; the rest of the pool's limit is reserved for more urgent ones. */
  uint32_t limit = std::numeric_limits<uint32_t>::max();
  /** This many openings of this priority may be under way regardless of the others, which prevents
   * starvation. */
  uint32_t guaranteed = 0;
};

/** Decision for an opening. */
enum class OpeningDecision : uint8_t {
  kPlace,
  kWait,
  /** It has reached its maximum wait. */
  kRefuse,
};

/** An opening to be queued. */
struct WaitingOpening {
  FlowHash flow;
  std::string pool;
  /** Service::priority. */
  uint32_t priority = 0;
  /** Time after which callers give up a request; 0: not known. */
  Duration requestTimeout{0};
  /** The whole packet. */
  std::string_view bytes;
  /** While the earliest opening has waited for less than this, it is released first; after that,
   * the latest one is (adaptive LIFO). Under a standing queue, some openings are then in time
   * instead of none, and the others wait for the remaining capacity. nullopt: always FIFO. */
  std::optional<Duration> fifoWait{};
};

/**
 * An opening is under way from its placement until its caller acknowledges the first answer. The
 * queue is bounded: when it is full, further openings are placed without waiting. Does no I/O; not
 * thread safe.
 */
class OpeningQueue {
 public:
  explicit OpeningQueue(OpeningLimits limits) : limits_(limits) {}

  /** @return the maximum number of openings under way for one of `nodes` nodes at hosts with
   * `slots` slots in total. */
  uint32_t limitOf(double slots, uint32_t nodes) const;
  /** @return whether no opening of the pool has to wait, regardless of its limit. */
  bool isUncontended(TimePoint now, const std::string& pool);
  /** @param limit limit of this node, see limitOf(). @return the decision for an opening that
   * arrived or was released by take(). */
  OpeningDecision decideOpening(TimePoint now, const std::string& pool, uint32_t limit,
                                FlowHash flow, const OpeningClaim& claim = {});
  /** Queues an opening whose decision is kWait; a retransmission replaces the queued packet. */
  void hold(TimePoint now, const WaitingOpening& opening);
  /** Records that an opening was placed at a host of the pool. */
  void onPlaced(TimePoint now, const std::string& pool, FlowHash flow, uint32_t priority = 0);
  /** Handles a later packet of a flow. @param requestTime how long its request may count as under
   * way; nullopt: not known. @return whether the flow counted as under way. */
  bool onLaterPacket(TimePoint now, const FlowPacket& packet, std::optional<Duration> requestTime);

  /** @return the whole packets of openings released from the queue. The caller must pass each to
   * decideOpening() again before the next call. */
  std::vector<std::string> take(TimePoint now);
  /** @return when take() may release an opening without further packets; nullopt if the queue is
   * empty. */
  std::optional<TimePoint> nextDue() const;
  bool isWaiting(FlowHash flow) const { return waiting_.contains(flow); }
  size_t waitingCount() const { return waiting_.size(); }
  /** @return the pool for which an opening is queued, or was queued until take() released it;
   * nullptr for others. Valid until the next call. */
  const std::string* poolOf(FlowHash flow) const;
  /** @return the number of openings under way at hosts of the pool plus those queued for it. */
  size_t openingsOf(TimePoint now, const std::string& pool);
  size_t waitingCount(const std::string& pool) const;
  /** @return the number of openings under way at the pool. */
  uint32_t underWayCount(const std::string& pool) const;

  /** Maximum wait of an opening. Callers retransmit it after 200 and 600 ms and give up 800 ms
   * later, so an opening released by then can still be answered. */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(400);
  /** Openings of about 40 bytes each, plus about 300 bytes of bookkeeping (calculated): 0.4 MB. */
  static constexpr size_t kCapacity = 1024;
  /** Minimum limit of a node, regardless of the number of nodes: openings of a few callers coincide
   * by chance. */
  static constexpr uint32_t kMinLimit = 2;

 private:
  struct UnderWay {
    std::string pool;
    uint32_t priority = 0;
    /** Acknowledgement number of the packet that completed the handshake; nullopt before that. */
    std::optional<uint32_t> acknowledged;
    TimePoint until{};
  };
  struct Waiting {
    std::string pool;
    uint32_t priority = 0;
    /** Sequence number in order of arrival. */
    uint64_t arrival = 0;
    std::string bytes;
    TimePoint until{};
    /** From then on, the latest opening is released first; nullopt: never. */
    std::optional<TimePoint> fifoUntil;
  };
  /** Openings of one priority at a pool. */
  struct Level {
    OpeningClaim claim;
    uint32_t underWay = 0;
    /** By arrival. */
    std::map<uint64_t, FlowHash> queue;
  };
  struct Pool {
    uint32_t underWay = 0;
    uint32_t limit = kMinLimit;
    /** By priority, most urgent first. */
    std::map<uint32_t, Level> levels;

    bool hasRoomFor(const Level& level) const {
      return underWay < std::min(limit, level.claim.limit) ||
             level.underWay < level.claim.guaranteed;
    }
    size_t waiting() const;
  };
  using UnderWayFlows = std::unordered_map<FlowHash, UnderWay>;
  using WaitingFlows = std::unordered_map<FlowHash, Waiting>;

  Duration maxWait(Duration requestTimeout) const;
  /** @return the queued opening to release next. */
  FlowHash nextInQueue(TimePoint now, const Level& level) const;
  /** Releases the openings for which the pool has room. */
  void releaseFrom(TimePoint now, Pool& pool, std::vector<std::string>& taken);
  /** Stops counting openings as under way once their time has expired. */
  void endExpired(TimePoint now);
  void end(UnderWayFlows::iterator entry);
  /** Removes an opening from the queue and stores its decision. @return the packet. */
  std::string release(WaitingFlows::iterator entry, OpeningDecision decision);

  const OpeningLimits limits_;
  std::map<std::string, Pool, std::less<>> pools_;
  UnderWayFlows underWay_;
  /** Flows under way by the time at which they may expire. */
  std::multimap<TimePoint, FlowHash> expiries_;
  WaitingFlows waiting_;
  /** Flows that are or were queued, by the end of their maximum wait. */
  std::multimap<TimePoint, FlowHash> waitDeadlines_;
  uint64_t arrivals_ = 0;
  struct Released {
    OpeningDecision decision = OpeningDecision::kPlace;
    std::string pool;
  };
  /** Decisions for the openings released by the last take(). */
  std::unordered_map<FlowHash, Released> decisions_;
};

}  // namespace umberhold
