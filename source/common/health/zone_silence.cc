#include "common/health/zone_silence.h"

#include <algorithm>
#include <set>

namespace umberhold {
namespace {

/** Older retransmissions and reports are no evidence about the current state of the host. */
constexpr Duration kWindow = std::chrono::seconds(3);
constexpr size_t kMinReporters = 2;
/** One in so many nodes of a zone reads the store for the others; see RosterOptions. */
constexpr uint32_t kMaxNodesPerReader = 32;
/** A single caller may have lost its own path. */
constexpr size_t kMinCallers = 2;
/**
 * Three lost packets in a row without an answer in between: with a loss rate of 1 in 500, the
 * probability is about 1 in 10^8.
 */
constexpr uint32_t kMinCopies = 3;
/**
 * Times of two nodes are aligned by the arrival of their reports. A report may take this long, so
 * data that was sent less than this time after an acknowledgement does not count.
 */
constexpr Duration kReportDelay = std::chrono::milliseconds(100);

uint32_t millisecondsSince(TimePoint then, TimePoint now) {
  const Duration age = std::max(now - then, Duration{0});
  return static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

HostLivenessReport reportOf(const HostAckState& state, TimePoint now) {
  HostLivenessReport reported;
  reported.token = state.token;
  reported.answeredAgoMilliseconds =
      state.answeredAt ? millisecondsSince(*state.answeredAt, now) : kNeverAnswered;
  reported.copies = state.copies;
  reported.callers = state.callers;
  reported.callers.resize(std::min(reported.callers.size(), kMaxReportedCallers));
  reported.silentMilliseconds = state.copies == 0 ? 0 : millisecondsSince(state.since, now);
  reported.copyAgoMilliseconds = state.copies == 0 ? 0 : millisecondsSince(state.lastCopyAt, now);
  return reported;
}

}  // namespace

void AckStateCollector::add(const std::vector<HostAckState>& states) {
  for (const HostAckState& state : states) {
    if (pending_.size() < kMaxLivenessReports || pending_.contains(state.token) ||
        state.copies > 0) {
      pending_[state.token] = state;
    }
  }
}

std::vector<HostAckState> AckStateCollector::select() const {
  std::vector<HostAckState> states;
  states.reserve(pending_.size());
  for (const auto& [token, state] : pending_) {
    states.push_back(state);
  }
  std::stable_sort(states.begin(), states.end(),
                   [](const HostAckState& left, const HostAckState& right) {
                     return left.copies > right.copies;
                   });
  states.resize(std::min(states.size(), kMaxLivenessReports));
  return states;
}

std::vector<HostLivenessReport> AckStateCollector::peek(TimePoint now) const {
  std::vector<HostLivenessReport> report;
  for (const HostAckState& state : select()) {
    report.push_back(reportOf(state, now));
  }
  return report;
}

std::vector<HostLivenessReport> AckStateCollector::take(TimePoint now) {
  const std::vector<HostAckState> states = select();
  std::vector<HostLivenessReport> report = peek(now);
  std::erase_if(pending_, [now](const auto& named) {
    return named.second.copies > 0 && now - named.second.lastCopyAt > kWindow;
  });
  lastTaken_.clear();
  for (const HostAckState& state : states) {
    if (state.copies == 0) {
      pending_.erase(state.token);
      lastTaken_.push_back(state);
    }
  }
  return report;
}

void AckStateCollector::restore(const std::vector<HostAckState>& states) {
  for (const HostAckState& state : states) {
    pending_.try_emplace(state.token, state);
  }
}

void ZoneSilence::merge(TimePoint now, uint64_t reporter,
                        const std::vector<HostLivenessReport>& livenessReports) {
  reportedAt_[reporter] = now;
  for (const HostLivenessReport& reported : livenessReports) {
    Host& host = hosts_[reported.token];
    if (reported.answeredAgoMilliseconds != kNeverAnswered) {
      const auto ago = std::chrono::milliseconds(reported.answeredAgoMilliseconds);
      host.answeredAt = std::max(host.answeredAt, now - ago);
    }
    if (reported.copies == 0) {
      host.reports.erase(reporter);
    } else {
      const auto ago = std::chrono::milliseconds(reported.silentMilliseconds);
      const auto copyAgo = std::chrono::milliseconds(reported.copyAgoMilliseconds);
      host.reports[reporter] = {now, reported.copies, reported.callers, now - ago, now - copyAgo};
    }
  }
}

void ZoneSilence::setZoneNodes(uint32_t nodes) {
  minNodes_ = std::min(nodes, kMaxNodesPerReader) / 2 + 1;
}

bool ZoneSilence::haveAllReportedSince(TimePoint time) const {
  return std::all_of(reportedAt_.begin(), reportedAt_.end(),
                     [time](const auto& reporter) { return reporter.second >= time; });
}

std::optional<ZoneSilence::Silence> ZoneSilence::silenceOf(const Host& host) const {
  const auto counts = [&host](const Report& report) {
    return report.since > host.answeredAt + kReportDelay;
  };
  TimePoint since = TimePoint::max();
  TimePoint lastCopyAt{};
  for (const auto& [reporter, report] : host.reports) {
    since = counts(report) ? std::min(since, report.since) : since;
    lastCopyAt = counts(report) ? std::max(lastCopyAt, report.lastCopyAt) : lastCopyAt;
  }
  size_t reporters = 0;
  uint32_t copies = 0;
  std::set<uint32_t> callers;
  for (const auto& [reporter, report] : host.reports) {
    // A report is no evidence about the time after it was sent; the host may have answered since.
    if (counts(report) && report.at - since >= kMinSilence) {
      ++reporters;
      copies += report.copies;
      callers.insert(report.callers.begin(), report.callers.end());
    }
  }
  const bool isSilent =
      reporters >= kMinReporters && callers.size() >= kMinCallers && copies >= kMinCopies;
  return isSilent && reportedAt_.size() >= minNodes_ && haveAllReportedSince(since + kMinSilence)
             ? std::optional(Silence{since, lastCopyAt})
             : std::nullopt;
}

std::vector<SilentHost> ZoneSilence::silentHosts(TimePoint now) {
  std::vector<SilentHost> silent;
  std::erase_if(reportedAt_, [now](const auto& named) { return now - named.second > kWindow; });
  for (auto& [token, host] : hosts_) {
    std::erase_if(host.reports,
                  [now](const auto& named) { return now - named.second.lastCopyAt > kWindow; });
    if (const auto silence = silenceOf(host)) {
      silent.push_back({token, millisecondsSince(silence->since, now),
                        millisecondsSince(silence->lastCopyAt, now)});
    }
  }
  std::erase_if(hosts_, [now](const auto& named) {
    return named.second.reports.empty() && now - named.second.answeredAt > kWindow;
  });
  silent.resize(std::min(silent.size(), kMaxSilentHosts));
  return silent;
}

}  // namespace umberhold
