#include "common/health/observation_exchange.h"

#include <algorithm>
#include <utility>

#include "common/base/hash.h"
#include "common/wire/codec.h"

namespace umberhold {
namespace {

/** How long a peer's last report marks this node as the one that its peers query. */
constexpr Duration kPeerReportLifetime = std::chrono::seconds(5);
/** How often a queried node merges its own samples, corresponding to the polls of other nodes. */
constexpr Duration kOwnInterval = std::chrono::seconds(1);
/** The same while a host leaves data unacknowledged. */
constexpr Duration kUrgentInterval = std::chrono::milliseconds(100);

bool isUrgent(const std::vector<HostAckState>& states) {
  return std::any_of(states.begin(), states.end(),
                     [](const HostAckState& state) { return state.copies > 0; });
}

}  // namespace

ObservationExchange::ObservationExchange(std::string_view nodeName)
    : reporter_(hashBytes(nodeName)), sampleCollector_(reporter_) {}

void ObservationExchange::add(TimePoint now, const std::vector<HostSample>& samples,
                              const std::vector<HostAckState>& states) {
  const bool urgent = isUrgent(states);
  bool isQueriedByPeers = false;
  {
    const std::lock_guard lock(mutex_);
    sampleCollector_.add(samples);
    ackStateCollector_.add(states);
    isQueriedByPeers = lastPeerReportAt_ && now - *lastPeerReportAt_ <= kPeerReportLifetime;
    if (isQueriedByPeers && now - mergedOwnAt_ >= (urgent ? kUrgentInterval : kOwnInterval)) {
      mergeOwn(now);
    }
  }
  if (urgent && !isQueriedByPeers && notifyUrgent_) {
    notifyUrgent_();
  }
}

void ObservationExchange::setZoneNodes(uint32_t nodes) {
  const std::lock_guard lock(mutex_);
  silence_.setZoneNodes(nodes);
}

void ObservationExchange::mergeOwn(TimePoint now) {
  mergedOwnAt_ = now;
  mergeReport(now, takeOwnReport(now));
  pendingUpdate_ = currentUpdate(now);
}

HostReport ObservationExchange::takeOwnReport(TimePoint now) {
  HostReport report = sampleCollector_.takeReport(now);
  report.livenessReports = ackStateCollector_.take(now);
  return report;
}

ReportOutcome ObservationExchange::mergeReport(TimePoint now, const HostReport& report) {
  const ReportOutcome outcome = zone_.merge(now, report);
  if (outcome == ReportOutcome::kAccepted) {
    silence_.merge(now, report.reporter, report.livenessReports);
  }
  return outcome;
}

ZoneUpdate ObservationExchange::currentUpdate(TimePoint now) {
  ZoneUpdate update{zone_.slowHosts(now), silence_.silentHosts(now), {}};
  update.speeds = zone_.speeds(now, maxSpeedsBeside(update.slowHosts.size()));
  return update;
}

std::optional<ZoneUpdate> ObservationExchange::takeUpdate() {
  const std::lock_guard lock(mutex_);
  return std::exchange(pendingUpdate_, std::nullopt);
}

HostReport ObservationExchange::takeReport(TimePoint now) {
  const std::lock_guard lock(mutex_);
  ackStateCollector_.restore(unconfirmed_);
  HostReport report = takeOwnReport(now);
  unconfirmed_ = ackStateCollector_.lastTaken();
  return report;
}

void ObservationExchange::onPeerUpdate(ZoneUpdate update) {
  const std::lock_guard lock(mutex_);
  unconfirmed_.clear();
  pendingUpdate_ = std::move(update);
}

void ObservationExchange::merge(TimePoint now, std::string_view bytes) {
  const auto report = decodeHostReport(bytes);
  const std::lock_guard lock(mutex_);
  lastPeerReportAt_ = now;
  const ReportOutcome outcome =
      isOk(report) ? mergeReport(now, valueOf(report)) : ReportOutcome::kMalformed;
  ++counters_[static_cast<size_t>(outcome)];
}

ZoneUpdate ObservationExchange::zoneUpdate(TimePoint now) {
  const std::lock_guard lock(mutex_);
  // This node's own answers count at once, although it merges all its observations less often. They
  // are still reported to the node that this one may follow.
  silence_.merge(now, reporter_, ackStateCollector_.peek(now));
  return currentUpdate(now);
}

ReportCounters ObservationExchange::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

}  // namespace umberhold
