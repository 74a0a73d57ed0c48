#include "common/health/observation_exchange.h"

#include <algorithm>
#include <utility>

#include "common/base/hash.h"
#include "common/wire/codec.h"

namespace umberhold {
namespace {

/** How long after the last report a node still counts as one that is asked. */
constexpr Duration kPeerReportLifetime = std::chrono::seconds(5);
/** How often a node that is asked adds its own samples, as others do by their polls. */
constexpr Duration kOwnInterval = std::chrono::seconds(1);
/** The same while a host leaves data unacknowledged. */
constexpr Duration kUrgentInterval = std::chrono::milliseconds(100);

bool isUrgent(const std::vector<HostAckState>& signs) {
  return std::any_of(signs.begin(), signs.end(),
                     [](const HostAckState& sign) { return sign.copies > 0; });
}

}  // namespace

ObservationExchange::ObservationExchange(std::string_view nodeName)
    : sampleCollector_(hashBytes(nodeName)) {}

void ObservationExchange::add(TimePoint now, const std::vector<HostSample>& samples,
                              const std::vector<HostAckState>& signs) {
  const bool urgent = isUrgent(signs);
  bool isQueriedByPeers = false;
  {
    const std::lock_guard lock(mutex_);
    sampleCollector_.add(samples);
    ackStateCollector_.add(signs);
    isQueriedByPeers = lastPeerReportAt_ && now - *lastPeerReportAt_ <= kPeerReportLifetime;
    if (isQueriedByPeers && now - mergedOwnAt_ >= (urgent ? kUrgentInterval : kOwnInterval)) {
      mergeOwn(now);
    }
  }
  if (urgent && !isQueriedByPeers && notifyUrgent_) {
    notifyUrgent_();
  }
}

void ObservationExchange::mergeOwn(TimePoint now) {
  mergedOwnAt_ = now;
  mergeReport(now, takeOwnReport(now));
  pendingUpdate_ = currentUpdate(now);
}

HostReport ObservationExchange::takeOwnReport(TimePoint now) {
  HostReport report = sampleCollector_.takeReport(now);
  report.signs = ackStateCollector_.take(now);
  return report;
}

ReportOutcome ObservationExchange::mergeReport(TimePoint now, const HostReport& report) {
  const ReportOutcome outcome = zone_.merge(now, report);
  if (outcome == ReportOutcome::kAccepted) {
    silence_.merge(now, report.reporter, report.signs);
  }
  return outcome;
}

ZoneUpdate ObservationExchange::currentUpdate(TimePoint now) {
  ZoneUpdate update{zone_.standings(now), silence_.silentHosts(now), {}};
  update.speeds = zone_.speeds(now, maxSpeedsBeside(update.standings.size()));
  return update;
}

std::optional<ZoneUpdate> ObservationExchange::takeUpdate() {
  const std::lock_guard lock(mutex_);
  return std::exchange(pendingUpdate_, std::nullopt);
}

HostReport ObservationExchange::takeReport(TimePoint now) {
  const std::lock_guard lock(mutex_);
  return takeOwnReport(now);
}

void ObservationExchange::onPeerUpdate(ZoneUpdate update) {
  const std::lock_guard lock(mutex_);
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
  return currentUpdate(now);
}

ReportCounters ObservationExchange::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

}  // namespace umberhold
