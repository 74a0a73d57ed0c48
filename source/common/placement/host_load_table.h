/**
 * @file Flows per host over all owners of a service, as one owner knows them.
 *
 * Counts of the shards owned here are exact, except for flows that an earlier owner placed and that
 * were not seen here yet ("inherited"). Counts of other shards are what their owners last said
 * (LoadShare): between two messages they are scaled by the growth of the own counts (flow hashes
 * spread evenly over shards, so all owners grow alike), and what sets a host apart from the others
 * fades with the flows' own mean life, because flows that ended took their part of the difference
 * with them.
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

/** How another owner's counts age; the alternatives are kept to be measured against. */
enum class ShareAging : uint8_t {
  /**
   * The counts weigh the less in the choice, the more flows were replaced since they were said and
   * are replaced between two messages: owners that all answer to the same old difference would
   * overshoot together.
   */
  kMeanLife,
  /** Last said counts stay as they are. */
  kNone,
  /** Nothing that others say is used. */
  kIgnoreOthers,
};

/** Not thread safe. Hosts are held in slots 0 to size() - 1. */
class HostLoadTable {
 public:
  /**
   * @param shareInterval shortest interval at which owners share for the sake of counts. Shares
   * that come sooner, for other news, don't make the counts count for more.
   */
  explicit HostLoadTable(ShareAging aging = ShareAging::kMeanLife,
                         Duration shareInterval = Duration{0})
      : aging_(aging), shareInterval_(shareInterval) {}

  /** Makes slots 0 to n - 1 for these hosts, in this order; others keep a slot behind them while
   * flows are counted. */
  void setHosts(const std::vector<HostId>& hosts);
  /** @return the host's slot; makes one where there is none. */
  size_t slotOf(HostId host);
  /** @return the slot, or size() where the host has none. */
  size_t findSlot(HostId host) const;
  size_t size() const { return hosts_.size(); }

  /** Starts counting a shard. @param inherited flows by host that were handed over; where it is
   * empty the last LoadShare of the shard stands in. */
  void addOwnShard(uint16_t shard, const std::vector<HostPermits>& inherited);
  /** Stops counting a shard; its counts stay as last said by its owner. */
  void removeOwnShard(TimePoint now, uint16_t shard);
  bool ownsShard(uint16_t shard) const { return own_.contains(shard); }
  /** Forgets inherited flows that were never seen. */
  void forgetInherited(uint16_t shard);

  /** Counts a flow; adopted flows leave the inherited count. The shard must be owned. */
  void flowAdded(uint16_t shard, HostId host, bool adopted);
  void flowRemoved(uint16_t shard, HostId host);
  /** @return flows of an owned shard on the slot's host, inherited ones included. */
  uint32_t shardFlows(uint16_t shard, size_t slot) const;
  /** @return the same for every slot; empty where the shard is not owned here; valid until the next
   * change. */
  std::span<const uint32_t> shardFlows(uint16_t shard) const;

  /** Takes the counts of a shard that is not owned here; an older epoch than the last is ignored.
   */
  void onLoadShare(TimePoint now, const LoadShare& share);
  /** @return when a LoadShare of the shard last arrived; the epoch (TimePoint{}) for never. */
  TimePoint lastShare(uint16_t shard) const;

  /** @return flows by slot over all owners, estimated for this instant; valid until the next call.
   */
  std::span<const double> estimate(TimePoint now);
  /** @return flows by slot as the load bound should see them: own flows plus weighted flows of
   * others. */
  std::span<const double> placementLoad(TimePoint now);
  /** @return mean life of the flows owned here, in seconds, from what ended in the last minute or
   * so. */
  double meanLifeSeconds() const;

 private:
  struct OwnShard {
    std::vector<uint32_t> known;
    std::vector<uint32_t> inherited;
    /** known + inherited. */
    std::vector<uint32_t> flows;
  };
  struct OtherShard {
    TimePoint heard;
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
  double choiceWeight(TimePoint now, const OtherShard& other) const;

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
  /** What the last estimate() or placementLoad() gave. */
  std::vector<double> estimate_;
  std::vector<double> choiceLoad_;
  bool othersDirty_ = true;
  TimePoint othersRefreshed_{};
  /** Flows that ended since the mean life was last updated. */
  uint64_t ended_ = 0;
  double endedPerSecond_ = 0.0;
  TimePoint lifeUpdated_{};
  bool lifeStarted_ = false;
};

}  // namespace umberhold
