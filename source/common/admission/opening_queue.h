/**
 * @file Openings of new flows that wait in the node while the hosts of their pool have enough to
 * do.
 *
 * The load that this answers: more new flows at once than hosts can begin to work on, as in a
 * burst, or when all callers return after an outage. Hosts queue a few requests and turn the rest
 * away; callers try again at once and give up after a few tries, whatever their request is worth.
 * Hosts can't tell which request matters more, since the flows of all services meet in one queue.
 *
 * So a node has only so many openings under way at the hosts of a pool. Further ones wait, those of
 * more urgent services in front, and the first answer to a flow lets the next opening go. An
 * opening that waits costs its caller nothing but time, since nothing has run. One whose turn does
 * not come within a part of the time after which callers give up is refused, so that its caller may
 * try once more. Flows that are open are never held up.
 *
 * Gained with 74 nodes and 120 hosts, of which 60% had left, under three times the usual callers
 * (three runs each, the callers' own count): 8 to 26 instead of 1,002 to 1,129 requests of the more
 * urgent service lost of 22,400.
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

/** When openings wait, and how long. */
struct OpeningLimits {
  /**
   * Openings that all nodes together have under way at the hosts of a pool, for each request that
   * these work on at once; 0: no opening waits. Hosts of two slots that queue eight bear 5. With 3
   * more openings wait than have to (half of the hosts gone, twice the callers, bench/load_model:
   * 0.963 of the requests in aim, 0.970 with 4). With 5 hosts turn more away (8 nodes, 3.5 times
   * the callers, two runs each: 2,525 and 2,652 late answers of the usual service of 15,200, 1,975
   * and 2,003 with 4).
   */
  double openingsPerSlot = 4.0;
  /**
   * An opening waits for no longer than this part of the time after which callers give a request
   * up; 0: it is refused at once. A sixth leaves time for three tries, each with as much time at
   * the host as in the queue.
   */
  double maxWaitPart = 1.0 / 6.0;

  bool operator==(const OpeningLimits&) const = default;
};

/** What the openings of one priority may use of a pool. */
struct OpeningClaim {
  /** Service::priority. */
  uint32_t priority = 0;
  /** They wait from so many openings under way at the pool on, those of other priorities included:
   * what is left up to the pool's limit is for more urgent ones. */
  uint32_t limit = std::numeric_limits<uint32_t>::max();
  /** So many of this priority may be under way whatever others use: they are never starved. */
  uint32_t least = 0;
};

/** What becomes of an opening. */
enum class OpeningDecision : uint8_t {
  kPlace,
  kWait,
  /** It has waited as long as it may. */
  kRefuse,
};

/** An opening that is to wait. */
struct WaitingOpening {
  FlowHash flow;
  std::string pool;
  /** Service::priority. */
  uint32_t priority = 0;
  /** Callers give the request up after so long; 0: not known. */
  Duration requestTimeout{0};
  /** The whole packet. */
  std::string_view bytes;
  /** The earliest goes first while it has waited for less than this, then the latest: under a queue
   * that doesn't end, some are in time instead of none (adaptive LIFO), and the others wait for
   * what these leave. None: the earliest always goes first. */
  std::optional<Duration> orderlyWait{};
};

/**
 * An opening is under way from its placement to the first answer that its caller acknowledges.
 * Bounded: what is too much goes on without waiting. Decision logic without I/O; not thread safe.
 */
class OpeningQueue {
 public:
  explicit OpeningQueue(OpeningLimits limits) : limits_(limits) {}

  /** @return the openings under way that a node of `nodes` may have at hosts with so many slots. */
  uint32_t limitOf(double slots, uint32_t nodes) const;
  /** @return whether no opening of the pool has to wait, whatever its limit. */
  bool isCalm(TimePoint now, const std::string& pool);
  /** @param limit of this node, see limitOf(). @return what becomes of an opening that arrived, or
   * that take() gave. */
  OpeningDecision decideOpening(TimePoint now, const std::string& pool, uint32_t limit, FlowHash flow,
                     const OpeningClaim& claim = {});
  /** Keeps an opening whose turn is kWait; a copy takes the place of the one before. */
  void hold(TimePoint now, const WaitingOpening& opening);
  /** An opening was placed at a host of the pool. */
  void onPlaced(TimePoint now, const std::string& pool, FlowHash flow, uint32_t priority = 0);
  /** A later packet of a flow. @param patience for how long its request may count as under way;
   * none: not known. @return whether the flow counted as under way. */
  bool onLaterPacket(TimePoint now, const FlowPacket& packet, std::optional<Duration> patience);

  /** @return openings that wait no longer, whole packets. They are to be decided on again before
   * the next call. */
  std::vector<std::string> take(TimePoint now);
  /** @return when take() may have something to give without further packets; none where nothing
   * waits. */
  std::optional<TimePoint> nextDue() const;
  bool isWaiting(FlowHash flow) const { return waiting_.contains(flow); }
  size_t waitingCount() const { return waiting_.size(); }
  /** @return the pool that an opening waits for, or waited for until take() gave it; nullptr for
   * others. Valid until the next call. */
  const std::string* poolOf(FlowHash flow) const;
  /** @return openings under way at hosts of the pool, and those that wait for them. */
  size_t openingsOf(TimePoint now, const std::string& pool);
  size_t waitingCount(const std::string& pool) const;
  /** @return openings under way at the pool. */
  uint32_t underWayCount(const std::string& pool) const;

  /** Callers send an opening again after 200 and 600 ms and give it up 800 ms later: one that goes
   * on after this time is still answered. */
  static constexpr Duration kLongestWait = std::chrono::milliseconds(400);
  /** Openings of some 40 bytes, and about 300 bytes of bookkeeping each (by arithmetic): 0.4 MB. */
  static constexpr size_t kCapacity = 1024;
  /** A node may have so many under way whatever the number of nodes: openings of a few callers meet
   * by chance. */
  static constexpr uint32_t kLeastLimit = 2;

 private:
  struct UnderWay {
    std::string pool;
    uint32_t priority = 0;
    /** What the caller acknowledged as it ended the handshake; none before. */
    std::optional<uint32_t> acknowledged;
    TimePoint until{};
  };
  struct Waiting {
    std::string pool;
    uint32_t priority = 0;
    /** Rises with each opening. */
    uint64_t arrival = 0;
    std::string bytes;
    TimePoint until{};
    /** The latest goes first from then on; none: never. */
    std::optional<TimePoint> orderlyUntil;
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
    uint32_t limit = kLeastLimit;
    /** The most urgent first. */
    std::map<uint32_t, Level> levels;

    bool isFor(const Level& level) const {
      return underWay < std::min(limit, level.claim.limit) || level.underWay < level.claim.least;
    }
    size_t waiting() const;
  };
  using UnderWayFlows = std::unordered_map<FlowHash, UnderWay>;
  using WaitingFlows = std::unordered_map<FlowHash, Waiting>;

  Duration longestWait(Duration requestTimeout) const;
  /** @return which opening of those that wait goes next. */
  FlowHash nextOf(TimePoint now, const Level& level) const;
  /** Releases what the pool has room for. */
  void takeFrom(TimePoint now, Pool& pool, std::vector<std::string>& taken);
  /** Openings that count for long enough are under way no more. */
  void endOverdue(TimePoint now);
  void end(UnderWayFlows::iterator entry);
  /** Gives an opening its turn. */
  std::string release(WaitingFlows::iterator entry, OpeningDecision turn);

  const OpeningLimits limits_;
  std::map<std::string, Pool, std::less<>> pools_;
  UnderWayFlows underWay_;
  /** Flows under way by the time at which they may count for long enough. */
  std::multimap<TimePoint, FlowHash> overdueAt_;
  WaitingFlows waiting_;
  /** Flows that wait, or have waited, by the time at which they wait no longer. */
  std::multimap<TimePoint, FlowHash> refusedAt_;
  uint64_t arrivals_ = 0;
  struct Released {
    OpeningDecision turn = OpeningDecision::kPlace;
    std::string pool;
  };
  /** The openings that take() gave last. */
  std::unordered_map<FlowHash, Released> turns_;
};

}  // namespace umberhold
