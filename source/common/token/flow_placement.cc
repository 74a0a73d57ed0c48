#include "common/token/flow_placement.h"

#include <algorithm>
#include <map>
#include <utility>

namespace umberhold {
namespace {

/**
 * A host that disappears without draining may have lost its registry entry only temporarily. For
 * this long it still receives flows if no other host can take them.
 */
constexpr Duration kVanishedGrace = std::chrono::milliseconds(1500);
/**
 * A zone with less than this fraction of an equal share of the hosts sends some of its flows to
 * other zones.
 */
constexpr double kMinShareOfHosts = 0.9;
/**
 * Multiple of the median above which a host counts as slow. Healthy hosts stay below 2
 * (processing times with a spread of 0.5, samples weighted by a quarter).
 */
constexpr double kSlowHost = 2.2;
/** Rank distance between tiers; larger than any load. */
constexpr double kTier = 1e9;

bool mayTakeFlows(TimePoint now, const TokenHost& host) {
  const bool isGone = !host.listed && now - host.leftAt > kVanishedGrace;
  return !host.ended && !isGone && host.spec.state == HostState::kActive && host.spec.weight > 0;
}

}  // namespace

FlowPlacement::FlowPlacement(std::string zone, PlacementOptions options, RandomSource& random)
    : zone_(std::move(zone)), options_(options), random_(random) {}

TokenHost* FlowPlacement::place(TimePoint now, const TokenPool& pool, uint32_t avoided) {
  collect(now, pool, avoided);
  applyResponseTimes(now);
  evidence_.candidates = static_cast<uint32_t>(candidates_.size());
  evidence_.leavesZone = random_.unit() > ownZoneFraction(now, pool);
  const Candidate* chosen = best();
  if (chosen == nullptr) {
    return nullptr;
  }
  recordEvidence(now, pool, *chosen);
  return chosen->host;
}

double FlowPlacement::usableSlots(TimePoint now, const TokenPool& pool) {
  collect(now, pool, 0);
  double slots = 0.0;
  for (const Candidate& candidate : candidates_) {
    slots += candidate.isImpaired() ? 0 : candidate.host->spec.slots;
  }
  return slots;
}

void FlowPlacement::collect(TimePoint now, const TokenPool& pool, uint32_t avoided) {
  candidates_.clear();
  for (TokenHost* host : pool.hosts) {
    if (!mayTakeFlows(now, *host) || isEvacuated(*host) || !host->cold.canTakeFlow(now)) {
      continue;
    }
    Candidate& candidate = candidates_.emplace_back();
    candidate.host = host;
    candidate.otherZone = options_.prefersOwnZone && host->spec.zone != zone_;
    candidate.silent =
        host->isDead(now) || host->estimate.isSilent(now) ||
        (!silentZones_.isEmpty() && silentZones_.isSilent(now, host->pool, host->spec.zone));
    candidate.avoided = host->token == avoided;
    candidate.vanished = !host->listed;
    candidate.speed = speedOf(now, *host);
    candidate.load = (host->estimate.load(now) + 1.0) / candidate.weight();
  }
}

void FlowPlacement::applyResponseTimes(TimePoint now) {
  times_.clear();
  for (Candidate& candidate : candidates_) {
    candidate.slowness = candidate.host->estimate.responseScore(now);
    times_.push_back(candidate.slowness);
  }
  const double median = medianTime();
  for (Candidate& candidate : candidates_) {
    candidate.slowness /= median;
    recordSlownessChange(candidate);
    if (candidate.slowness > options_.weighedRatio) {
      const double excess = candidate.slowness / options_.weighedRatio;
      candidate.load *= excess * excess;
    }
  }
}

void FlowPlacement::recordSlownessChange(const Candidate& candidate) {
  TokenHost& host = *candidate.host;
  const bool slow = candidate.slowness > kSlowHost;
  if (slow != host.slow) {
    host.slow = slow;
    slownessChanges_.push_back({host.pool, host.spec.name, slow, candidate.slowness});
  }
}

double FlowPlacement::medianTime() {
  if (times_.empty()) {
    return 1.0;
  }
  const auto middle = times_.begin() + static_cast<std::ptrdiff_t>((times_.size() - 1) / 2);
  std::nth_element(times_.begin(), middle, times_.end());
  return *middle;
}

const FlowPlacement::Candidate* FlowPlacement::best() {
  const Candidate* best = nullptr;
  double bestRank = 0.0;
  uint64_t equals = 0;
  for (const Candidate& candidate : candidates_) {
    const double rank = candidate.rank(evidence_.leavesZone);
    if (best != nullptr && rank > bestRank) {
      continue;
    }
    equals = best != nullptr && rank == bestRank ? equals + 1 : 1;
    if (equals == 1 || random_.below(equals) == 0) {
      best = &candidate;
      bestRank = rank;
    }
  }
  return best;
}

double FlowPlacement::ownZoneFraction(TimePoint now, const TokenPool& pool) const {
  std::map<std::string_view, double> weights;
  double total = 0.0;
  for (const Candidate& candidate : candidates_) {
    if (!candidate.isImpaired()) {
      weights[candidate.host->spec.zone] += candidate.weight();
      total += candidate.weight();
    }
  }
  const auto own = weights.find(zone_);
  if (own == weights.end()) {
    return 1.0;  // No host of the own zone is available anyway.
  }
  const double shareRatio = own->second * static_cast<double>(weights.size()) / total;
  std::vector<std::string_view> others;
  for (const auto& [zone, weight] : weights) {
    if (zone != zone_) {
      others.push_back(zone);
    }
  }
  return (shareRatio < kMinShareOfHosts ? shareRatio : 1.0) *
         fractionByResponseTime(now, pool, others) * fractionByLoad(now, pool);
}

double FlowPlacement::fractionByLoad(TimePoint now, const TokenPool& pool) const {
  double slots = 0.0;
  double capacity = 0.0;
  double ownCapacity = 0.0;
  for (const Candidate& candidate : candidates_) {
    if (!candidate.isImpaired()) {
      slots += candidate.host->spec.slots;
      capacity += candidate.capacity();
      ownCapacity += candidate.host->spec.zone == zone_ ? candidate.capacity() : 0;
    }
  }
  const double ownFraction = capacity == 0.0 ? 0.0 : ownCapacity / capacity;
  const double ownSlots = slots * ownFraction;
  const double load = pool.requestsInFlight.value(now) * zoneNodes_;
  const double limit = options_.fullZoneLoad * ownSlots;
  if (ownSlots == 0.0 || load <= limit) {
    return 1.0;
  }
  const double preferred = limit / load;
  return preferred + (1.0 - preferred) * ownFraction;
}

double FlowPlacement::fractionByResponseTime(
    TimePoint now, const TokenPool& pool, const std::vector<std::string_view>& otherZones) const {
  if (otherZones.empty()) {
    return 1.0;
  }
  double others = 0.0;
  for (const std::string_view zone : otherZones) {
    others += pool.zoneScore(now, zone);
  }
  others /= static_cast<double>(otherZones.size());
  const double limit = options_.zoneLeavesRatio * others;
  const double fraction = limit / std::max(limit, pool.zoneScore(now, zone_));
  return fraction * fraction;
}

void FlowPlacement::recordEvidence(TimePoint now, const TokenPool& pool, const Candidate& chosen) {
  const TokenHost& host = *chosen.host;
  evidence_.ownZone = host.spec.zone == zone_;
  evidence_.silent = chosen.silent;
  evidence_.vanished = chosen.vanished;
  evidence_.slow = host.slow;
  evidence_.slowness = chosen.slowness;
  evidence_.zoneScore = pool.zoneScore(now, zone_);
  evidence_.load = host.estimate.load(now);
  evidence_.weight = host.spec.weight;
  evidence_.speed = chosen.speed;
  evidence_.poolVersion = pool.version;
  evidence_.poolAppliedAt = pool.appliedAt;
}

double FlowPlacement::Candidate::rank(bool leavesZone) const {
  double tier = otherZone ? kTier : 0.0;
  if (leavesZone && !otherZone) {
    tier += 2 * kTier;
  }
  if (silent || avoided) {
    tier += 2 * kTier;
  }
  if (vanished) {
    tier += 4 * kTier;
  }
  return tier + load;
}

}  // namespace umberhold
