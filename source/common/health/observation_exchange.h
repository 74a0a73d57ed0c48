/**
 * @file Passes host observations between the packet thread and the thread that exchanges them with
 * peers.
 */
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "common/health/host_observations.h"
#include "common/health/zone_silence.h"

namespace umberhold {

/** Number of reports received by this node, by outcome. */
using ReportCounters = std::array<uint64_t, static_cast<size_t>(ReportOutcome::kCount)>;

/** Aggregated host state of a zone. */
struct ZoneUpdate {
  /** Hosts with high response times. */
  std::vector<SlowHost> slowHosts;
  /** Hosts that are silent to all nodes. */
  std::vector<SilentHost> silentHosts;
  /** Hosts with a known speed; only some of them if there are many. */
  std::vector<LearnedSpeed> speeds;
};

/** Thread safe; each call holds the lock only briefly. */
class ObservationExchange {
 public:
  /** @param nodeName identifies this node within its zone. */
  explicit ObservationExchange(std::string_view nodeName);

  // Called on the packet thread.
  /** Sets the number of nodes in this node's zone, including this node. */
  void setZoneNodes(uint32_t nodes);
  /** Adds the samples and acknowledgement states of this node. */
  void add(TimePoint now, const std::vector<HostSample>& samples,
           const std::vector<HostAckState>& states);
  /** @return the aggregated state of the zone if it was updated since the last call. */
  std::optional<ZoneUpdate> takeUpdate();
  /**
   * @param notify called on the packet thread if there is an observation that peers should receive
   * at once: a host left data unacknowledged. Must be set before the first add().
   */
  void setUrgentCallback(std::function<void()> notify) { notifyUrgent_ = std::move(notify); }

  // Called on a node that queries a peer.
  HostReport takeReport(TimePoint now);
  /** Applies the peer's response to the report. */
  void onPeerUpdate(ZoneUpdate update);

  // Called on a node that is queried by peers.
  /** @param bytes a report as encoded by encodeHostReport(). */
  void merge(TimePoint now, std::string_view bytes);
  ZoneUpdate zoneUpdate(TimePoint now);
  ReportCounters counters() const;

 private:
  /** Merges this node's own samples with those of the nodes that query it. */
  void mergeOwn(TimePoint now);

  mutable std::mutex mutex_;
  HostReport takeOwnReport(TimePoint now);
  ReportOutcome mergeReport(TimePoint now, const HostReport& report);
  ZoneUpdate currentUpdate(TimePoint now);

  const uint64_t reporter_;
  SampleCollector sampleCollector_;
  AckStateCollector ackStateCollector_;
  ZoneObservations zone_;
  ZoneSilence silence_;
  std::optional<ZoneUpdate> pendingUpdate_;
  /** What the last report to a peer contained, until the peer has answered it. */
  std::vector<HostAckState> unconfirmed_;
  std::function<void()> notifyUrgent_;
  ReportCounters counters_{};
  /** When a peer last reported; unset if none has. */
  std::optional<TimePoint> lastPeerReportAt_;
  TimePoint mergedOwnAt_{};
};

}  // namespace umberhold
