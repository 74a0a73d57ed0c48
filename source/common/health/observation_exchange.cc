#include "common/health/observation_exchange.h"

#include <utility>

#include "common/base/hash.h"
#include "common/wire/codec.h"

namespace umberhold {
namespace {

/** How long after the last report a node still counts as one that is asked. */
constexpr Duration kAskedFor = std::chrono::seconds(5);
/** How often a node that is asked adds its own samples, as others do by their polls. */
constexpr Duration kOwnInterval = std::chrono::seconds(1);

}  // namespace

ObservationExchange::ObservationExchange(std::string_view nodeName)
    : gatherer_(hashBytes(nodeName)) {}

void ObservationExchange::add(TimePoint now, const std::vector<HostSample>& samples) {
  const std::lock_guard lock(mutex_);
  gatherer_.add(samples);
  const bool isAsked = askedAt_ && now - *askedAt_ <= kAskedFor;
  if (isAsked && now - mergedOwnAt_ >= kOwnInterval) {
    mergeOwn(now);
  }
}

void ObservationExchange::mergeOwn(TimePoint now) {
  mergedOwnAt_ = now;
  zone_.merge(now, gatherer_.takeReport(now));
  news_ = zone_.standings(now);
}

std::optional<std::vector<HostStanding>> ObservationExchange::takeNews() {
  const std::lock_guard lock(mutex_);
  return std::exchange(news_, std::nullopt);
}

HostReport ObservationExchange::takeReport(TimePoint now) {
  const std::lock_guard lock(mutex_);
  return gatherer_.takeReport(now);
}

void ObservationExchange::learn(std::vector<HostStanding> standings) {
  const std::lock_guard lock(mutex_);
  news_ = std::move(standings);
}

void ObservationExchange::merge(TimePoint now, std::string_view bytes) {
  const auto report = decodeHostReport(bytes);
  const std::lock_guard lock(mutex_);
  askedAt_ = now;
  const ReportOutcome outcome =
      isOk(report) ? zone_.merge(now, valueOf(report)) : ReportOutcome::kMalformed;
  ++counters_[static_cast<size_t>(outcome)];
}

std::vector<HostStanding> ObservationExchange::standings(TimePoint now) {
  const std::lock_guard lock(mutex_);
  return zone_.standings(now);
}

ReportCounters ObservationExchange::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

}  // namespace umberhold
