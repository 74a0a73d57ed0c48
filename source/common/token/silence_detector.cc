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
/** How long a host counts as dead after one detection. */
constexpr Duration kDeadDuration = std::chrono::seconds(3);
/**
 * Maximum fraction of a pool's hosts that may count as dead by silence. If more appear dead, this
 * node or its zone is more likely to be partitioned.
 */
constexpr double kMaxDeadFraction = 0.5;
/** Older answers are no evidence about the current state of the path. */
constexpr Duration kAnswerLifetime = std::chrono::seconds(2);
/** Maximum number of verdicts kept for the log; without a log, nothing consumes them. */
constexpr size_t kMaxVerdicts = 256;

}  // namespace

std::string_view toString(SilenceSource source) {
  return source == SilenceSource::kNode ? "node" : "zone";
}

std::string_view toString(SilenceOutcome outcome) {
  return outcome == SilenceOutcome::kDead ? "dead" : "spared";
}

void SilenceDetector::onAnswered(TimePoint now, uint32_t token, TimePoint sentAt) {
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

bool SilenceDetector::isOvertaken(TimePoint now, uint32_t token, TimePoint since) const {
  const LatestAnswer* other = latestAnswerOfOther(now, token);
  return other == nullptr || other->sentAt >= since + kMinSilence;
}

std::optional<Duration> SilenceDetector::sinceOvertaking(TimePoint now, uint32_t token) const {
  const LatestAnswer* other = latestAnswerOfOther(now, token);
  return other == nullptr ? std::nullopt : std::optional(now - other->sentAt);
}

std::set<uint32_t> SilenceDetector::onCopy(TimePoint now, const TokenHost& host) {
  const Duration silence = host.silence.silentFor(now);
  if (host.silence.callers() < kMinCallersOfDeadHost || silence < kMinSilence ||
      !isOvertaken(now, host.token, now - silence)) {
    return {};
  }
  return decide(now, {host.token}, SilenceSource::kNode);
}

std::set<uint32_t> SilenceDetector::onZoneSilent(TimePoint now,
                                                 const std::vector<SilentHost>& silentHosts) {
  std::set<uint32_t> silent;
  for (const SilentHost& reported : silentHosts) {
    const TokenHost* host = hosts_.find(reported.token);
    const TimePoint since = now - std::chrono::milliseconds(reported.silentMilliseconds);
    if (host != nullptr && host->isCurrentGenerationAt(since) &&
        isOvertaken(now, reported.token, since) &&
        host->silence.answeredAt().value_or(TimePoint{}) < since) {
      silent.insert(reported.token);
    }
  }
  return decide(now, silent, SilenceSource::kZone);
}

std::set<uint32_t> SilenceDetector::decide(TimePoint now, const std::set<uint32_t>& tokens,
                                           SilenceSource source) {
  std::set<uint32_t> dead;
  for (const uint32_t token : tokens) {
    TokenHost* host = hosts_.find(token);
    const TokenPool* pool = host == nullptr ? nullptr : hosts_.findPool(host->pool);
    if (pool == nullptr) {
      continue;
    }
    if (!leavesEnoughHosts(now, *pool, tokens)) {
      record(now, *host, *pool, SilenceOutcome::kSpared, source);
      continue;
    }
    record(now, *host, *pool, SilenceOutcome::kDead, source);
    host->estimate.onReportedSilent(now);
    host->deadUntil = now + kDeadDuration;
    dead.insert(token);
  }
  return dead;
}

bool SilenceDetector::leavesEnoughHosts(TimePoint now, const TokenPool& pool,
                                        const std::set<uint32_t>& tokens) const {
  size_t active = 0;
  size_t dead = 0;
  for (const TokenHost* host : pool.hosts) {
    if (host->isActive()) {
      ++active;
      dead += host->isDead(now) || tokens.contains(host->token) ? 1 : 0;
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
