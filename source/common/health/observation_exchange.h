/**
 * @file Hands observations of hosts between the thread that handles packets and the one that asks
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

/** Reports that this node was sent, by outcome. */
using ReportCounters = std::array<uint64_t, static_cast<size_t>(ReportOutcome::kCount)>;

/** What a zone's nodes together say of hosts. */
struct ZoneUpdate {
  /** Hosts that answer late. */
  std::vector<HostStanding> standings;
  /** Hosts that are silent to all. */
  std::vector<SilentHost> silentHosts;
  /** Hosts whose speed is known; of many, a part of them. */
  std::vector<LearnedSpeed> speeds;
};

/** Thread safe; no call blocks for longer than another one takes. */
class ObservationExchange {
 public:
  /** @param nodeName tells the nodes of a zone apart. */
  explicit ObservationExchange(std::string_view nodeName);

  // The packets' thread.
  /** This node's own samples and signs. */
  void add(TimePoint now, const std::vector<HostSample>& samples,
           const std::vector<HostAckState>& signs);
  /** @return what the zone's nodes together say, where that is newer than at the last call. */
  std::optional<ZoneUpdate> takeUpdate();
  /** @param notify called on the packets' thread when there is something that others should hear
   * of at once: a host left data unacknowledged. Set it before the first add(). */
  void setUrgentCallback(std::function<void()> notify) { notifyUrgent_ = std::move(notify); }

  // A node that asks a peer.
  HostReport takeReport(TimePoint now);
  /** The peer's answer to the report. */
  void onPeerUpdate(ZoneUpdate update);

  // A node that is asked.
  /** @param bytes a report as encoded by encodeHostReport(). */
  void merge(TimePoint now, std::string_view bytes);
  ZoneUpdate zoneUpdate(TimePoint now);
  ReportCounters counters() const;

 private:
  /** Adds this node's own samples to those of the nodes that ask it. */
  void mergeOwn(TimePoint now);

  mutable std::mutex mutex_;
  HostReport takeOwnReport(TimePoint now);
  ReportOutcome mergeReport(TimePoint now, const HostReport& report);
  ZoneUpdate currentUpdate(TimePoint now);

  SampleCollector sampleCollector_;
  AckStateCollector ackStateCollector_;
  ZoneObservations zone_;
  ZoneSilence silence_;
  std::optional<ZoneUpdate> pendingUpdate_;
  std::function<void()> notifyUrgent_;
  ReportCounters counters_{};
  /** When a peer last reported; none where none did. */
  std::optional<TimePoint> lastPeerReportAt_;
  TimePoint mergedOwnAt_{};
};

}  // namespace umberhold
