/** @file What TokenDirector learns from packets: response times, work times and silent hosts. */
#include <set>

#include "common/token/token_director.h"

namespace umberhold {
namespace {

/**
 * Minimum number of copies of a packet, and of retransmissions to its host that are evidence
 * against the host, before a flow is refused.
 */
constexpr uint32_t kMinCopiesOfSilentHost = 3;
constexpr double kPercent = 100.0;
/** Without updates of the zone for this time, this node decides alone which hosts are silent. */
constexpr Duration kZoneUpdateLifetime = std::chrono::seconds(3);
/**
 * Maximum number of samples kept for other nodes; nothing consumes them on a node that does not
 * report.
 */
constexpr size_t kMaxSamples = 1024;
/** A request that waits this many times longer than usual counts as a sample of the maximum. */
constexpr double kOverdueRatio = ResponseScore::kMaxSample;
/**
 * Maximum requests in flight per slot of a pool for response times to be used for speed estimation;
 * in a fuller pool most requests wait for a slot (M/M/2).
 */
constexpr double kFreeSlotsLoad = 0.7;

}  // namespace

bool TokenDirector::recordOpened(TimePoint now, const FlowPacket& packet) {
  const auto service = services_.find(packet.service);
  return admission_.onLaterPacket(
      now, packet,
      service == services_.end() ? std::nullopt : service->second.usualTime.timeOf(kOverdueRatio));
}

void TokenDirector::recordRoundTrip(TimePoint now, const FlowPacket& packet) {
  const auto roundTrip = openings_.sinceOpening(now, packet.hash, packet.token);
  if (roundTrip) {
    silenceDetector_.onAnswered(now, packet.token, now - *roundTrip);
  }
  const auto service = roundTrip ? services_.find(packet.service) : services_.end();
  if (service != services_.end()) {
    service->second.workTimes.onOpened(now, *roundTrip);
  }
}

void TokenDirector::recordResponse(TimePoint now, const FlowPacket& packet, TokenHost& host,
                                   bool opened) {
  const auto service = services_.find(packet.service);
  if (service == services_.end()) {
    return;
  }
  UsualResponseTime& usualTime = service->second.usualTime;
  const auto response = timer_.record(now, packet, usualTime.timeOf(kOverdueRatio));
  if (!response) {
    return;
  }
  recordRequestEnd(now, service->second, host, *response, opened);
  WorkTimes& workTimes = service->second.workTimes;
  const auto ratio = usualTime.ratioOf(*response);
  const auto workRatio = workTimes.ratioOf(*response);
  usualTime.add(now, *response);
  workTimes.add(now, *response);
  if (ratio) {
    const double speed = placement_.speedOf(now, host);
    recordSample(now, host, {host.token, *ratio / workTimes.expectedRatio(speed), workRatio});
  }
}

void TokenDirector::recordRequestEnd(TimePoint now, const ServiceEntry& service,
                                     const TokenHost& host, Duration took, bool opened) {
  if (TokenPool* pool = hosts_.findPool(host.pool)) {
    pool->requestsInFlight.onEnded(now, took);
    const Duration usual = service.usualTime.timeOf(1.0).value_or(Duration{0});
    admission_.onEnded(now, host.pool, service.needs(), {service.priority, took, usual, opened});
  }
}

void TokenDirector::onCaughtUp(TimePoint now) {
  progress_.onCaughtUp();
  for (const uint32_t token : openings_.onCaughtUp(now)) {
    if (TokenHost* host = hosts_.find(token)) {
      recordUnanswered(now, *host);
    }
  }
  for (const OverdueRequest& request : timer_.onCaughtUp(now)) {
    const auto service = services_.find(request.service);
    TokenHost* host = hosts_.find(request.token);
    if (service != services_.end() && host != nullptr) {
      service->second.usualTime.add(now, request.waited);
      recordRequestEnd(now, service->second, *host, request.waited, false);
      recordSample(now, *host, {host->token, kOverdueRatio, kOverdueWorkRatio});
    }
  }
}

void TokenDirector::recordSample(TimePoint now, TokenHost& host, const HostSample& sample) {
  TokenPool* pool = hosts_.findPool(host.pool);
  if (pool == nullptr) {
    return;
  }
  host.estimate.onResponse(now, sample.ratio);
  if (samples_.size() < kMaxSamples) {
    HostSample& kept = samples_.emplace_back(sample);
    if (!placement_.learnsSpeeds() || !hasFreeSlots(now, *pool)) {
      kept.workRatio.reset();
    }
  }
  if (!host.slow) {
    pool->zones.try_emplace(host.spec.zone, kZoneSampleWeight).first->second.add(now, sample.ratio);
  }
}

bool TokenDirector::hasFreeSlots(TimePoint now, const TokenPool& pool) const {
  const double load = pool.requestsInFlight.value(now) * zoneNodes_ * pool.zoneCount;
  return load < kFreeSlotsLoad * pool.slots;
}

void TokenDirector::applySlowHosts(TimePoint now, const std::vector<SlowHost>& slowHosts) {
  for (const SlowHost& slowHost : slowHosts) {
    TokenHost* host = hosts_.find(slowHost.token);
    const TimePoint at = now - std::chrono::milliseconds(slowHost.ageMilliseconds);
    if (host != nullptr && host->isCurrentGenerationAt(at)) {
      host->estimate.onShared(at, slowHost.percentOfUsual / kPercent);
    }
  }
}

RefuseFlow TokenDirector::refuseSilent(TimePoint now, const PacketProgress& progress,
                                       const TokenHost& host, bool byVerdict) {
  SilentHostEvidence& evidence = silentHostEvidence_;
  evidence = {};
  evidence.label = {host.spec.name, host.pool};
  evidence.byVerdict = byVerdict;
  evidence.copies = progress.copies;
  evidence.sinceFirstCopy = now - progress.firstAt;
  if (host.silence.answeredAt()) {
    evidence.sinceAnswer = now - *host.silence.answeredAt();
  }
  evidence.sinceOvertaking = silenceDetector_.sinceOvertaking(now, host.token);
  return {RefusalReason::kHostSilent, &evidence};
}

bool TokenDirector::recordProgress(TimePoint now, const FlowPacket& packet,
                                   const PacketProgress& progress, TokenHost& host) {
  if (progress.answeredSentAt) {
    silenceDetector_.onAnswered(now, host.token, *progress.answeredSentAt, progress.answeredCopies);
  }
  if (progress.answered) {
    recordAnswered(now, host);
  }
  for (const uint32_t token : silenceDetector_.discardUnreliableEvidence()) {
    queueAckState(*hosts_.find(token));
  }
  if (progress.copies < 2) {
    return false;
  }
  recordUnanswered(now, host);
  silenceDetector_.recordCopy(now, host, progress, packet.key.caller.address);
  queueAckState(host);
  if (hasZoneUpdates(now)) {
    return false;  // The zone knows which hosts other nodes hear from.
  }
  resetFlowsOf(now, silenceDetector_.onCopy(now, host));
  return progress.copies >= kMinCopiesOfSilentHost &&
         host.silence.copies() >= kMinCopiesOfSilentHost &&
         silenceDetector_.isSilentOnWorkingPath(now, host) && isRepeatable(packet.service);
}

bool TokenDirector::isRepeatable(ServiceId service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.repeatable;
}

void TokenDirector::queueAckState(TokenHost& host) {
  if (!host.isAckStatePending && pendingAckStates_.size() < kMaxSamples) {
    host.isAckStatePending = true;
    pendingAckStates_.push_back(host.token);
  }
}

std::vector<HostAckState> TokenDirector::takeAckStates() {
  std::vector<HostAckState> states;
  for (const uint32_t token : std::exchange(pendingAckStates_, {})) {
    if (TokenHost* host = hosts_.find(token)) {
      host->isAckStatePending = false;
      states.push_back(host->silence.ackState(token));
    }
  }
  return states;
}

bool TokenDirector::hasZoneUpdates(TimePoint now) const {
  return lastZoneUpdateAt_ && now - *lastZoneUpdateAt_ <= kZoneUpdateLifetime;
}

void TokenDirector::applySilentHosts(TimePoint now, const std::vector<SilentHost>& silentHosts) {
  lastZoneUpdateAt_ = now;
  resetFlowsOf(now, silenceDetector_.onZoneSilent(now, silentHosts));
}

void TokenDirector::resetFlowsOf(TimePoint now, const std::set<uint32_t>& tokens) {
  deadHostFlows_.onSilent(now, tokens, [this](ServiceId service) { return isRepeatable(service); });
}

void TokenDirector::recordUnanswered(TimePoint now, TokenHost& host) {
  host.estimate.onUnanswered(now);
  placement_.silentZones().onUnanswered(now, host.pool, host.spec.zone, host.token);
}

void TokenDirector::recordAnswered(TimePoint now, TokenHost& host) {
  host.estimate.onAnswered();
  host.silence.onAnswered(now);
  host.deadUntil = TimePoint{};
  queueAckState(host);
  SilentZones& silent = placement_.silentZones();
  if (!silent.isEmpty()) {
    silent.onAnswered(host.pool, host.spec.zone);
  }
}

}  // namespace umberhold
