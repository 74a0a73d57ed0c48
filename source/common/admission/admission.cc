#include "common/admission/admission.h"

#include <algorithm>
#include <cmath>

namespace umberhold {
namespace {

/** A node whose open flows have fewer requests under way sees nothing of a full pool. */
constexpr double kCalmUse = 1.0;
/** A service without an answer for so long no longer says how soon the pool must answer: it may
 * have been removed, or have another target now. */
constexpr Duration kTargetMemory = std::chrono::seconds(2);

}  // namespace

Admission::Admission(OpeningLimits openings, RoomLimits room)
    : limits_(room), holdsOpenings_(openings.openingsPerSlot > 0.0), queue_(openings) {}

const Admission::Pool* Admission::known(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? nullptr : &found->second;
}

bool Admission::isCalm(TimePoint now, const std::string& pool, const OpeningParameters& needs) {
  if (!holdsOpenings_) {
    return true;
  }
  const Pool* state = known(pool);
  const bool mayYield = limits_.hostTimePart > 0.0 && needs.targetLatency > Duration{0} &&
                        state != nullptr && state->use.onOpenFlows(now) >= kCalmUse &&
                        state->use.yields(now, needs.priority);
  return !mayYield && queue_.isCalm(now, pool);
}

OpeningDecision Admission::decideOpening(TimePoint now, const std::string& pool, const OpeningParameters& needs,
                              FlowHash flow, const std::function<PoolSize()>& size) {
  if (isCalm(now, pool, needs)) {
    return OpeningDecision::kPlace;
  }
  const PoolSize known = size();
  if (known.slots == 0.0) {
    return OpeningDecision::kPlace;  // Nothing is known, or there is nothing to wait for.
  }
  const uint32_t limit = queue_.limitOf(known.slots, known.sendingNodes);
  const OpeningDecision turn = queue_.decideOpening(now, pool, limit, flow, claimOf(now, pool, needs, known));
  return turn == OpeningDecision::kWait ? turn : noted(turn, pool, needs);
}

OpeningUse Admission::openingsAt(TimePoint now, const std::string& pool, const PoolSize& size) {
  return {static_cast<double>(queue_.openingsOf(now, pool)),
          static_cast<double>(queue_.limitOf(size.slots, size.sendingNodes))};
}

void Admission::hold(TimePoint now, const std::string& pool, const OpeningParameters& needs,
                     FlowHash flow, std::string_view bytes) {
  if (!queue_.isWaiting(flow)) {
    noted(OpeningDecision::kWait, pool, needs);
  }
  queue_.hold(now, {flow, pool, needs.priority, needs.requestTimeout, bytes,
                    orderlyWait(now, pool, needs)});
}

OpeningDecision Admission::noted(OpeningDecision turn, const std::string& pool, const OpeningParameters& needs) {
  if (turn == OpeningDecision::kPlace) {
    return turn;
  }
  AdmissionCounters& counters = countersOf(pool, needs);
  counters.waited += turn == OpeningDecision::kWait ? 1 : 0;
  counters.refusedAfterWait += turn == OpeningDecision::kRefuse ? 1 : 0;
  return turn;
}

OpeningClaim Admission::claimOf(TimePoint now, const std::string& pool, const OpeningParameters& needs,
                                const PoolSize& size) {
  OpeningClaim claim;
  claim.priority = needs.priority;
  const PoolRoom room = roomOf(now, pool, size);
  Pool& state = pools_[pool];
  state.room = room;
  if (limits_.hostTimePart <= 0.0 || needs.targetLatency == Duration{0}) {
    return claim;
  }
  claim.least = 1;
  if (room.requests > 0.0 && state.use.yields(now, needs.priority)) {
    claim.limit = yieldingOpenings({room, state.use.onOpenFlows(now, needs.priority)});
  }
  return claim;
}

std::optional<Duration> Admission::orderlyWait(TimePoint now, const std::string& pool,
                                               const OpeningParameters& needs) const {
  const Pool* state = known(pool);
  if (limits_.hostTimePart <= 0.0 || needs.targetLatency == Duration{0} || state == nullptr) {
    return std::nullopt;
  }
  const std::optional<Duration> atHosts = state->atHosts.value(now);
  return atHosts ? std::optional(orderlyWaitOf(needs.targetLatency, *atHosts)) : std::nullopt;
}

void Admission::onEnded(TimePoint now, const std::string& pool, const OpeningParameters& needs,
                        const EndedRequest& request) {
  Pool& state = pools_[pool];
  state.use.onEnded(now, request);
  state.atHosts.add(now, request.took);
  if (needs.targetLatency > Duration{0}) {
    const bool isOld = now - state.targetAt >= kTargetMemory;
    if (state.targetLatency == Duration{0} || isOld || needs.targetLatency <= state.targetLatency) {
      state.targetLatency = needs.targetLatency;
      state.targetAt = now;
    }
    if (request.took > needs.targetLatency) {
      ++countersOf(pool, needs).lateByEstimate;
    }
  }
}

PoolRoom Admission::roomOf(TimePoint now, const std::string& pool, const PoolSize& size) const {
  PoolRoom room;
  room.part = 1.0 / std::max(size.sendingNodes, 1U);
  const Pool* state = known(pool);
  if (state != nullptr) {
    room.requests =
        size.slots * requestsPerSlot(limits_, state->targetLatency, state->use.work(now));
  }
  return room;
}

std::vector<PoolFigures> Admission::figures(TimePoint now) const {
  std::vector<PoolFigures> figures;
  for (const auto& [name, pool] : pools_) {
    figures.push_back({name, pool.room, pool.use.underWay(now), pool.use.onOpenFlows(now),
                       queue_.waitingCount(name)});
  }
  return figures;
}

void Admission::removePool(const std::string& pool) {
  pools_.erase(pool);
  std::erase_if(counters_, [&](const auto& entry) { return entry.first.first == pool; });
}

AdmissionCounters& Admission::countersOf(const std::string& pool, const OpeningParameters& needs) {
  return counters_[{pool, std::string(needs.service)}];
}

}  // namespace umberhold
