/**
 * @file Hands observations of hosts between the thread that handles packets and the one that asks
 * peers.
 */
#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "common/health/host_observations.h"

namespace umberhold {

/** Reports that this node was sent, by outcome. */
using ReportCounters = std::array<uint64_t, static_cast<size_t>(ReportOutcome::kCount)>;

/** Thread safe; no call blocks for longer than another one takes. */
class ObservationExchange {
 public:
  /** @param nodeName tells the nodes of a zone apart. */
  explicit ObservationExchange(std::string_view nodeName);

  // The packets' thread.
  /** This node's own samples. */
  void add(TimePoint now, const std::vector<HostSample>& samples);
  /** @return what the zone's nodes together say, where that is newer than at the last call. */
  std::optional<std::vector<HostStanding>> takeNews();

  // A node that asks a peer.
  HostReport takeReport(TimePoint now);
  /** The peer's answer to the report. */
  void learn(std::vector<HostStanding> standings);

  // A node that is asked.
  /** @param bytes a report as encoded by encodeHostReport(). */
  void merge(TimePoint now, std::string_view bytes);
  std::vector<HostStanding> standings(TimePoint now);
  ReportCounters counters() const;

 private:
  /** Adds this node's own samples to those of the nodes that ask it. */
  void mergeOwn(TimePoint now);

  mutable std::mutex mutex_;
  SampleGatherer gatherer_;
  ZoneObservations zone_;
  std::optional<std::vector<HostStanding>> news_;
  ReportCounters counters_{};
  /** When a peer last reported; none where none did. */
  std::optional<TimePoint> askedAt_;
  TimePoint mergedOwnAt_{};
};

}  // namespace umberhold
