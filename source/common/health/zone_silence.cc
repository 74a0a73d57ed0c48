#include "common/health/zone_silence.h"

#include <algorithm>
#include <set>

namespace umberhold {
namespace {

/** Copies and reports older than this say nothing of the host as it is now. */
constexpr Duration kWindow = std::chrono::seconds(3);
constexpr size_t kMinReporters = 2;
/** One caller alone may have lost its own path. */
constexpr size_t kMinCallers = 2;
/** Three lost packets in a row without an answer between: at a loss of one in 500, one of 10^8. */
constexpr uint32_t kMinCopies = 3;
/** Times of two nodes are compared by when their reports arrive: a report may be under way for so
 * long, and what was sent less than that after a sign of life does not count. */
constexpr Duration kReportDelay = std::chrono::milliseconds(100);

uint32_t millisecondsSince(TimePoint then, TimePoint now) {
  const Duration age = std::max(now - then, Duration{0});
  return static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

}  // namespace

void AckStateCollector::add(const std::vector<HostAckState>& signs) {
  for (const HostAckState& sign : signs) {
    if (pending_.size() < kMaxReportedSigns || pending_.contains(sign.token) || sign.copies > 0) {
      pending_[sign.token] = sign;
    }
  }
}

std::vector<HostSign> AckStateCollector::take(TimePoint now) {
  std::vector<HostSign> report;
  for (const auto& [token, sign] : pending_) {
    HostSign& reported = report.emplace_back();
    reported.token = token;
    reported.answeredAgoMilliseconds =
        sign.answeredAt ? millisecondsSince(*sign.answeredAt, now) : kNeverAnswered;
    reported.copies = sign.copies;
    reported.callers = sign.callers;
    reported.callers.resize(std::min(reported.callers.size(), kMaxReportedCallers));
    reported.silentMilliseconds = sign.copies == 0 ? 0 : millisecondsSince(sign.since, now);
  }
  std::stable_sort(report.begin(), report.end(), [](const HostSign& left, const HostSign& right) {
    return left.copies > right.copies;
  });
  report.resize(std::min(report.size(), kMaxReportedSigns));
  std::erase_if(pending_, [now](const auto& named) {
    return named.second.copies == 0 || now - named.second.lastCopyAt > kWindow;
  });
  return report;
}

void ZoneSilence::merge(TimePoint now, uint64_t reporter, const std::vector<HostSign>& signs) {
  for (const HostSign& sign : signs) {
    Host& host = hosts_[sign.token];
    if (sign.answeredAgoMilliseconds != kNeverAnswered) {
      const auto ago = std::chrono::milliseconds(sign.answeredAgoMilliseconds);
      host.answeredAt = std::max(host.answeredAt, now - ago);
    }
    if (sign.copies == 0) {
      host.reports.erase(reporter);
    } else {
      const auto ago = std::chrono::milliseconds(sign.silentMilliseconds);
      host.reports[reporter] = {now, sign.copies, sign.callers, now - ago};
    }
  }
}

std::optional<TimePoint> ZoneSilence::silentSince(const Host& host) {
  const auto counts = [&host](const Report& report) {
    return report.since > host.answeredAt + kReportDelay;
  };
  TimePoint since = TimePoint::max();
  for (const auto& [reporter, report] : host.reports) {
    since = counts(report) ? std::min(since, report.since) : since;
  }
  size_t reporters = 0;
  uint32_t copies = 0;
  std::set<uint32_t> callers;
  for (const auto& [reporter, report] : host.reports) {
    // A report tells nothing of what came after it: the host may have answered by then.
    if (counts(report) && report.at - since >= kMinSilence) {
      ++reporters;
      copies += report.copies;
      callers.insert(report.callers.begin(), report.callers.end());
    }
  }
  const bool isSilent =
      reporters >= kMinReporters && callers.size() >= kMinCallers && copies >= kMinCopies;
  return isSilent ? std::optional(since) : std::nullopt;
}

std::vector<SilentHost> ZoneSilence::silentHosts(TimePoint now) {
  std::vector<SilentHost> silent;
  for (auto& [token, host] : hosts_) {
    std::erase_if(host.reports,
                  [now](const auto& named) { return now - named.second.at > kWindow; });
    if (const auto since = silentSince(host)) {
      silent.push_back({token, millisecondsSince(*since, now)});
    }
  }
  std::erase_if(hosts_, [now](const auto& named) {
    return named.second.reports.empty() && now - named.second.answeredAt > kWindow;
  });
  silent.resize(std::min(silent.size(), kMaxSilentHosts));
  return silent;
}

}  // namespace umberhold
