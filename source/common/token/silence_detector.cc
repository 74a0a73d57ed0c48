#include "common/token/silence_detector.h"

#include <algorithm>

namespace umberhold {
namespace {

/**
 * Number of this node's callers whose data a host must leave unacknowledged, without any
 * acknowledgement since, before it counts as dead. If nodes share their observations, two nodes and
 * three retransmissions are required instead; see ZoneSilence.
 */
constexpr size_t kMinCallersOfDeadHost = 3;
/**
 * Minimum number of answers by other hosts to data sent during the silence. On a path that loses
 * packets, so many are unlikely to pass while every packet to one host is lost.
 */
constexpr uint64_t kMinDeliveries = 10;
/**
 * How long a host counts as dead after the last retransmission that it left unacknowledged, at any
 * node: less than the time for which a disruption that has ended explains a reset (4 s).
 */
constexpr Duration kDeadDuration = std::chrono::seconds(3);
/**
 * Maximum fraction of a pool's hosts that may count as dead by silence. If more appear dead, this
 * node or its zone is more likely to be partitioned.
 */
constexpr double kMaxDeadFraction = 0.5;
/** Older answers are no evidence about the current state of the path. */
constexpr Duration kAnswerLifetime = std::chrono::seconds(2);
/** Number of suspected hosts above which those are forgotten that have answered. */
constexpr size_t kMaxSuspected = 256;
/** Maximum number of verdicts kept for the log; without a log, nothing consumes them. */
constexpr size_t kMaxVerdicts = 256;

}  // namespace

std::string_view toString(SilenceSource source) {
  return source == SilenceSource::kNode ? "node" : "zone";
}

std::string_view toString(SilenceOutcome outcome) {
  return outcome == SilenceOutcome::kDead ? "dead" : "spared";
}

void SilenceDetector::onAnswered(TimePoint now, uint32_t token, TimePoint sentAt, uint32_t copies) {
  if (copies > 1) {
    path_.onLost(sentAt);
    hasNewLoss_ = true;
  } else {
    path_.onDelivered(token, sentAt);
  }
  const TokenHost* host = hosts_.find(token);
  if (host != nullptr && host->silence.unansweredSince().value_or(sentAt) < sentAt) {
    path_.onLost(*host->silence.unansweredSince());
    hasNewLoss_ = true;
  }
  if (token != latest_.token) {
    previous_ = latest_;
    latest_ = {token, sentAt, now};
  } else {
    latest_.sentAt = std::max(latest_.sentAt, sentAt);
    latest_.at = now;
  }
}

const SilenceDetector::LatestAnswer* SilenceDetector::latestAnswerOfOther(TimePoint now,
                                                                          uint32_t token) const {
  const LatestAnswer& other = latest_.token == token ? previous_ : latest_;
  return other.token != 0 && now - other.at <= kAnswerLifetime ? &other : nullptr;
}

std::vector<uint32_t> SilenceDetector::discardUnreliableEvidence() {
  std::vector<uint32_t> discarded;
  if (!std::exchange(hasNewLoss_, false)) {
    return discarded;
  }
  std::erase_if(suspected_, [&](uint32_t token) {
    TokenHost* host = hosts_.find(token);
    if (host == nullptr || host->silence.copies() == 0) {
      return true;
    }
    if (!path_.isLossySince(host->silence.firstMissedAt())) {
      return false;
    }
    host->silence.discard();
    discarded.push_back(token);
    return true;
  });
  return discarded;
}

void SilenceDetector::recordCopy(TimePoint now, TokenHost& host, const PacketProgress& progress,
                                 uint32_t caller) {
  if (path_.workedAt(host.token, progress.previousAt)) {
    host.silence.onCopy(now, progress.firstAt, progress.previousAt, caller);
    suspect(host.token);
  } else {
    host.silence.onUnprovenCopy(progress.firstAt);
  }
}

void SilenceDetector::suspect(uint32_t token) {
  suspected_.insert(token);
  if (suspected_.size() > kMaxSuspected) {
    std::erase_if(suspected_, [this](uint32_t each) {
      const TokenHost* host = hosts_.find(each);
      return host == nullptr || host->silence.copies() == 0;
    });
  }
}

bool SilenceDetector::isOvertaken(TimePoint now, uint32_t token, TimePoint since) const {
  const LatestAnswer* other = latestAnswerOfOther(now, token);
  const bool isComparable = other == nullptr || other->sentAt >= since + kMinSilence;
  return isComparable && !path_.isLossySince(since);
}

bool SilenceDetector::isSilentOnWorkingPath(TimePoint now, const TokenHost& host) const {
  const TimePoint first = host.silence.firstMissedAt();
  const TimePoint last = host.silence.lastMissedAt();
  return last - first >= kMinSilence && path_.deliveredBetween(first, last) >= kMinDeliveries &&
         isOvertaken(now, host.token, now - host.silence.silentFor(now));
}

std::optional<Duration> SilenceDetector::sinceOvertaking(TimePoint now, uint32_t token) const {
  const LatestAnswer* other = latestAnswerOfOther(now, token);
  return other == nullptr ? std::nullopt : std::optional(now - other->sentAt);
}

std::set<uint32_t> SilenceDetector::onCopy(TimePoint now, const TokenHost& host) {
  if (host.silence.callers() < kMinCallersOfDeadHost || !isSilentOnWorkingPath(now, host)) {
    return {};
  }
  return decide(now, {{host.token, now + kDeadDuration}}, SilenceSource::kNode);
}

std::set<uint32_t> SilenceDetector::onZoneSilent(TimePoint now,
                                                 const std::vector<SilentHost>& silentHosts) {
  std::map<uint32_t, TimePoint> silent;
  for (const SilentHost& reported : silentHosts) {
    const TokenHost* host = hosts_.find(reported.token);
    const TimePoint since = now - std::chrono::milliseconds(reported.silentMilliseconds);
    const TimePoint until =
        now - std::chrono::milliseconds(reported.copyAgoMilliseconds) + kDeadDuration;
    if (host != nullptr && now < until && host->isCurrentGenerationAt(since) &&
        isOvertaken(now, reported.token, since) &&
        host->silence.answeredAt().value_or(TimePoint{}) < since) {
      silent.emplace(reported.token, until);
    }
  }
  return decide(now, silent, SilenceSource::kZone);
}

std::set<uint32_t> SilenceDetector::decide(TimePoint now,
                                           const std::map<uint32_t, TimePoint>& silent,
                                           SilenceSource source) {
  std::set<uint32_t> dead;
  for (const auto& [token, until] : silent) {
    TokenHost* host = hosts_.find(token);
    const TokenPool* pool = host == nullptr ? nullptr : hosts_.findPool(host->pool);
    if (pool == nullptr) {
      continue;
    }
    if (!leavesEnoughHosts(now, *pool, silent)) {
      record(now, *host, *pool, SilenceOutcome::kSpared, source);
      continue;
    }
    record(now, *host, *pool, SilenceOutcome::kDead, source);
    host->estimate.onReportedSilent(now);
    host->deadUntil = std::max(host->deadUntil, until);
    dead.insert(token);
  }
  return dead;
}

bool SilenceDetector::leavesEnoughHosts(TimePoint now, const TokenPool& pool,
                                        const std::map<uint32_t, TimePoint>& silent) const {
  size_t active = 0;
  size_t dead = 0;
  for (const TokenHost* host : pool.hosts) {
    if (host->isActive()) {
      ++active;
      dead += host->isDead(now) || silent.contains(host->token) ? 1 : 0;
    }
  }
  return static_cast<double>(dead) <= kMaxDeadFraction * static_cast<double>(active);
}

void SilenceDetector::record(TimePoint now, const TokenHost& host, const TokenPool& pool,
                             SilenceOutcome outcome, SilenceSource source) {
  std::erase_if(activeVerdicts_, [now](const auto& entry) { return now >= entry.second.until; });
  const auto known = activeVerdicts_.find(host.token);
  const bool isRepeated = known != activeVerdicts_.end() && known->second.outcome == outcome;
  activeVerdicts_[host.token] = {outcome, now + kDeadDuration};
  if (isRepeated) {
    return;
  }
  ++counters_[static_cast<size_t>(outcome)][static_cast<size_t>(source)];
  if (verdicts_.size() >= kMaxVerdicts) {
    return;
  }
  const HostAckState state = host.silence.ackState(host.token);
  SilenceVerdict& verdict = verdicts_.emplace_back();
  verdict = {outcome, source, host.pool, host.spec.name, state.callers.size(), state.copies};
  verdict.sinceOvertaking = sinceOvertaking(now, host.token);
  verdict.silentFor = host.silence.silentFor(now);
  if (state.copies > 0) {
    verdict.sinceCopy = now - state.lastCopyAt;
  }
  if (state.answeredAt) {
    verdict.sinceAnswer = now - *state.answeredAt;
  }
  for (const TokenHost* each : pool.hosts) {
    verdict.active += each->isActive() ? 1 : 0;
    verdict.silent += each->isActive() && each->silence.copies() > 0 ? 1 : 0;
  }
}

}  // namespace umberhold
