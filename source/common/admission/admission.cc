#include "common/admission/admission.h"

#include <algorithm>
#include <cmath>

namespace umberhold {
namespace {

/** A node with fewer requests under way on open flows cannot observe whether the pool is full, so
 * its openings do not yield. */
constexpr double kMinUseToYield = 1.0;
/** A longer target latency replaces the one of a pool only after no request with the shorter target
 * has ended for this time: the service may have been removed, or its target may have changed. */
constexpr Duration kTargetExpiry = std::chrono::seconds(2);

}  // namespace

Admission::Admission(OpeningLimits openings, RoomLimits room)
    : limits_(room), holdsOpenings_(openings.openingsPerSlot > 0.0), queue_(openings) {}

const Admission::Pool* Admission::findPool(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? nullptr : &found->second;
}

bool Admission::isUncontended(TimePoint now, const std::string& pool,
                              const OpeningParameters& parameters) {
  if (!holdsOpenings_) {
    return true;
  }
  const Pool* state = findPool(pool);
  const bool mayYield = limits_.hostTimePart > 0.0 && parameters.targetLatency > Duration{0} &&
                        state != nullptr && state->use.onOpenFlows(now) >= kMinUseToYield &&
                        state->use.yields(now, parameters.priority);
  return !mayYield && queue_.isUncontended(now, pool);
}

OpeningDecision Admission::decideOpening(TimePoint now, const std::string& pool,
                                         const OpeningParameters& parameters, FlowHash flow,
                                         const std::function<PoolSize()>& size) {
  if (isUncontended(now, pool, parameters)) {
    return OpeningDecision::kPlace;
  }
  const PoolSize poolSize = size();
  if (poolSize.slots == 0.0) {
    return OpeningDecision::kPlace;  // The size is not known, or there is no slot to wait for.
  }
  const uint32_t limit = queue_.limitOf(poolSize.slots, poolSize.sendingNodes);
  const OpeningDecision decision =
      queue_.decideOpening(now, pool, limit, flow, claimOf(now, pool, parameters, poolSize));
  return decision == OpeningDecision::kWait ? decision : countDecision(decision, pool, parameters);
}

OpeningUse Admission::openingsAt(TimePoint now, const std::string& pool, const PoolSize& size) {
  return {static_cast<double>(queue_.openingsOf(now, pool)),
          static_cast<double>(queue_.limitOf(size.slots, size.sendingNodes))};
}

void Admission::hold(TimePoint now, const std::string& pool, const OpeningParameters& parameters,
                     FlowHash flow, std::string_view bytes) {
  if (!queue_.isWaiting(flow)) {
    countDecision(OpeningDecision::kWait, pool, parameters);
  }
  queue_.hold(now, {flow, pool, parameters.priority, parameters.requestTimeout, bytes,
                    fifoWait(now, pool, parameters)});
}

OpeningDecision Admission::countDecision(OpeningDecision decision, const std::string& pool,
                                         const OpeningParameters& parameters) {
  if (decision == OpeningDecision::kPlace) {
    return decision;
  }
  AdmissionCounters& counters = countersOf(pool, parameters);
  counters.waited += decision == OpeningDecision::kWait ? 1 : 0;
  counters.refusedAfterWait += decision == OpeningDecision::kRefuse ? 1 : 0;
  return decision;
}

OpeningClaim Admission::claimOf(TimePoint now, const std::string& pool,
                                const OpeningParameters& parameters, const PoolSize& size) {
  OpeningClaim claim;
  claim.priority = parameters.priority;
  const PoolRoom room = roomOf(now, pool, size);
  Pool& state = pools_[pool];
  state.room = room;
  if (limits_.hostTimePart <= 0.0 || parameters.targetLatency == Duration{0}) {
    return claim;
  }
  claim.guaranteed = 1;
  if (room.requests > 0.0 && state.use.yields(now, parameters.priority)) {
    claim.limit = yieldingOpenings({room, state.use.onOpenFlows(now, parameters.priority)});
  }
  return claim;
}

std::optional<Duration> Admission::fifoWait(TimePoint now, const std::string& pool,
                                            const OpeningParameters& parameters) const {
  const Pool* state = findPool(pool);
  if (limits_.hostTimePart <= 0.0 || parameters.targetLatency == Duration{0} || state == nullptr) {
    return std::nullopt;
  }
  const std::optional<Duration> atHosts = state->atHosts.value(now);
  return atHosts ? std::optional(fifoWaitOf(parameters.targetLatency, *atHosts)) : std::nullopt;
}

void Admission::onEnded(TimePoint now, const std::string& pool, const OpeningParameters& parameters,
                        const EndedRequest& request) {
  Pool& state = pools_[pool];
  state.use.onEnded(now, request);
  state.atHosts.add(now, request.took);
  if (parameters.targetLatency > Duration{0}) {
    const bool isOld = now - state.targetAt >= kTargetExpiry;
    if (state.targetLatency == Duration{0} || isOld ||
        parameters.targetLatency <= state.targetLatency) {
      state.targetLatency = parameters.targetLatency;
      state.targetAt = now;
    }
    if (request.took > parameters.targetLatency) {
      ++countersOf(pool, parameters).lateByEstimate;
    }
  }
}

PoolRoom Admission::roomOf(TimePoint now, const std::string& pool, const PoolSize& size) const {
  PoolRoom room;
  room.part = 1.0 / std::max(size.sendingNodes, 1U);
  const Pool* state = findPool(pool);
  if (state != nullptr) {
    room.requests =
        size.slots * requestsPerSlot(limits_, state->targetLatency, state->use.serviceTime(now));
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

AdmissionCounters& Admission::countersOf(const std::string& pool,
                                         const OpeningParameters& parameters) {
  return counters_[{pool, std::string(parameters.service)}];
}

}  // namespace umberhold
