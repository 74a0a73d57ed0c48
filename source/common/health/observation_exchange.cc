#include "common/health/observation_exchange.h"

#include <algorithm>
#include <utility>

#include "common/base/hash.h"
#include "common/wire/codec.h"

namespace umberhold {
namespace {

/** How long after the last report a node still counts as one that is asked. */
constexpr Duration kAskedFor = std::chrono::seconds(5);
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
    : gatherer_(hashBytes(nodeName)) {}

void ObservationExchange::add(TimePoint now, const std::vector<HostSample>& samples,
                              const std::vector<HostAckState>& signs) {
  const bool urgent = isUrgent(signs);
  bool isAsked = false;
  {
    const std::lock_guard lock(mutex_);
    gatherer_.add(samples);
    signs_.add(signs);
    isAsked = askedAt_ && now - *askedAt_ <= kAskedFor;
    if (isAsked && now - mergedOwnAt_ >= (urgent ? kUrgentInterval : kOwnInterval)) {
      mergeOwn(now);
    }
  }
  if (urgent && !isAsked && notifyUrgent_) {
    notifyUrgent_();
  }
}

void ObservationExchange::mergeOwn(TimePoint now) {
  mergedOwnAt_ = now;
  mergeReport(now, takeOwnReport(now));
  news_ = newsNow(now);
}

HostReport ObservationExchange::takeOwnReport(TimePoint now) {
  HostReport report = gatherer_.takeReport(now);
  report.signs = signs_.take(now);
  return report;
}

ReportOutcome ObservationExchange::mergeReport(TimePoint now, const HostReport& report) {
  const ReportOutcome outcome = zone_.merge(now, report);
  if (outcome == ReportOutcome::kTaken) {
    silence_.merge(now, report.reporter, report.signs);
  }
  return outcome;
}

ZoneUpdate ObservationExchange::newsNow(TimePoint now) {
  ZoneUpdate news{zone_.standings(now), silence_.silentHosts(now), {}};
  news.speeds = zone_.speeds(now, mostSpeedsBeside(news.standings.size()));
  return news;
}

std::optional<ZoneUpdate> ObservationExchange::takeUpdate() {
  const std::lock_guard lock(mutex_);
  return std::exchange(news_, std::nullopt);
}

HostReport ObservationExchange::takeReport(TimePoint now) {
  const std::lock_guard lock(mutex_);
  return takeOwnReport(now);
}

void ObservationExchange::onPeerUpdate(ZoneUpdate news) {
  const std::lock_guard lock(mutex_);
  news_ = std::move(news);
}

void ObservationExchange::merge(TimePoint now, std::string_view bytes) {
  const auto report = decodeHostReport(bytes);
  const std::lock_guard lock(mutex_);
  askedAt_ = now;
  const ReportOutcome outcome =
      isOk(report) ? mergeReport(now, valueOf(report)) : ReportOutcome::kMalformed;
  ++counters_[static_cast<size_t>(outcome)];
}

ZoneUpdate ObservationExchange::zoneUpdate(TimePoint now) {
  const std::lock_guard lock(mutex_);
  return newsNow(now);
}

ReportCounters ObservationExchange::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

}  // namespace umberhold
