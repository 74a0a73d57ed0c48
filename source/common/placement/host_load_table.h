/**
 * @file Flows per host over all owners of a service, as seen by one owner.
 *
 * Counts of the shards owned here are exact, except for flows that an earlier owner placed and that
 * have not been seen here yet ("inherited"). Counts of other shards are the last ones received from
 * their owners (LoadShare). Between two messages they are scaled by the growth of the own counts:
 * flow hashes are spread evenly over shards, so all owners grow alike. For the placement, their
 * weight decays with the mean flow lifetime, because the difference between hosts that a count
 * describes disappears as its flows end.
 */
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

/** How another owner's counts age. The alternatives to kMeanLife are baselines for benchmarks. */
enum class ShareAging : uint8_t {
  /**
   * The weight of the counts in the placement decays with the fraction of flows replaced since the
   * counts were sent and between two messages. Without this, all owners would react to the same
   * stale difference and overshoot together.
   */
  kMeanLife,
  /** The last received counts keep full weight. */
  kNone,
  /** Counts of other owners are ignored. */
  kIgnoreOthers,
};

/** Not thread safe. Hosts occupy slots 0 to size() - 1. */
class HostLoadTable {
 public:
  /**
   * @param shareInterval minimum interval between two shares that are sent because counts changed.
   * Shares that arrive sooner for another reason don't increase the weight of the counts.
   */
  explicit HostLoadTable(ShareAging aging = ShareAging::kMeanLife,
                         Duration shareInterval = Duration{0})
      : aging_(aging), shareInterval_(shareInterval) {}

  /** Assigns slots 0 to n - 1 to these hosts, in this order. Other hosts keep a slot after them
   * while they have flows. */
  void setHosts(const std::vector<HostId>& hosts);
  /** @return the host's slot; creates one if the host has none. */
  size_t slotOf(HostId host);
  /** @return the host's slot, or size() if it has none. */
  size_t findSlot(HostId host) const;
  size_t size() const { return hosts_.size(); }

  /** Starts counting a shard. @param inherited flows by host that were handed over; if empty, the
   * last LoadShare of the shard is used. */
  void addOwnShard(uint16_t shard, const std::vector<HostPermits>& inherited);
  /** Stops counting a shard; its counts are kept as if received from its new owner. */
  void removeOwnShard(TimePoint now, uint16_t shard);
  bool ownsShard(uint16_t shard) const { return own_.contains(shard); }
  /** Removes inherited flows that have not been seen. */
  void removeInherited(uint16_t shard);

  /** Counts a flow; an adopted flow is subtracted from the inherited count. The shard must be
   * owned. */
  void flowAdded(uint16_t shard, HostId host, bool adopted);
  void flowRemoved(uint16_t shard, HostId host);
  /** @return flows of an owned shard on the slot's host, inherited ones included. */
  uint32_t shardFlows(uint16_t shard, size_t slot) const;
  /** @return the same for every slot; empty if the shard is not owned here. Valid until the next
   * change. */
  std::span<const uint32_t> shardFlows(uint16_t shard) const;

  /** Stores the counts of a shard that is not owned here; a share of an older epoch than the last
   * is ignored.
   */
  void onLoadShare(TimePoint now, const LoadShare& share);
  /** @return when a LoadShare of the shard last arrived; TimePoint{} if never. */
  TimePoint lastShare(uint16_t shard) const;

  /** @return estimated current flows by slot over all owners; valid until the next call. */
  std::span<const double> estimate(TimePoint now);
  /** @return flows by slot for the load bound: own flows plus weighted flows of other owners. */
  std::span<const double> placementLoad(TimePoint now);
  /** @return mean lifetime of the flows owned here, in seconds, averaged over about the last
   * minute. */
  double meanLifeSeconds() const;

 private:
  struct OwnShard {
    std::vector<uint32_t> known;
    std::vector<uint32_t> inherited;
    /** Sum of `known` and `inherited`. */
    std::vector<uint32_t> flows;
  };
  struct OtherShard {
    TimePoint receivedAt;
    uint32_t epoch = 0;
    std::vector<uint32_t> counts;
    /** Seconds between the last two shares. */
    double interval = 0.0;
    /** Flows owned here when the share arrived. */
    double ownTotal = 0.0;
  };

  void resizeShards();
  void refreshOthers(TimePoint now);
  void addOther(TimePoint now, const OtherShard& other);
  void updateMeanLife(TimePoint now);
  double placementWeight(TimePoint now, const OtherShard& other) const;

  ShareAging aging_;
  Duration shareInterval_;
  std::vector<HostId> hosts_;
  std::unordered_map<HostId, size_t> slots_;
  std::map<uint16_t, OwnShard> own_;
  std::map<uint16_t, OtherShard> others_;
  /** Sum over the owned shards, by slot. */
  std::vector<uint32_t> ownFlows_;
  uint64_t ownTotal_ = 0;
  std::vector<double> othersEstimate_;
  std::vector<double> othersWeighted_;
  /** Results of the last estimate() and placementLoad(). */
  std::vector<double> estimate_;
  std::vector<double> placementLoad_;
  bool othersDirty_ = true;
  TimePoint othersRefreshed_{};
  /** Flows that ended since the mean life was last updated. */
  uint64_t ended_ = 0;
  double endedPerSecond_ = 0.0;
  TimePoint lifeUpdated_{};
  bool lifeStarted_ = false;
};

}  // namespace umberhold
