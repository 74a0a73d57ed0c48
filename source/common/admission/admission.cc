#include "common/admission/admission.h"

#include <algorithm>
#include <cmath>

namespace umberhold {
namespace {

/** A node whose open flows have fewer requests under way sees nothing of a full pool. */
constexpr double kCalmUse = 1.0;

}  // namespace

Admission::Admission(OpeningLimits openings, RoomLimits room) : limits_(room), queue_(openings) {}

const Admission::Pool* Admission::known(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? nullptr : &found->second;
}

bool Admission::isCalm(TimePoint now, const std::string& pool, const OpeningNeeds& needs) {
  const Pool* state = known(pool);
  const bool mayYield = limits_.hostTimePart > 0.0 && needs.targetLatency > Duration{0} &&
                        state != nullptr && state->use.onOpenFlows(now) >= kCalmUse &&
                        state->use.yields(now, needs.priority);
  return !mayYield && queue_.isCalm(now, pool);
}

OpeningTurn Admission::turnOf(TimePoint now, const std::string& pool, const OpeningNeeds& needs,
                              FlowHash flow, std::string_view bytes,
                              const std::function<PoolSize()>& size) {
  if (isCalm(now, pool, needs)) {
    return OpeningTurn::kPlace;
  }
  const PoolSize known = size();
  if (known.slots == 0.0) {
    return OpeningTurn::kPlace;  // Nothing is known, or there is nothing to wait for.
  }
  const uint32_t limit = queue_.limitOf(known.slots, known.sendingNodes);
  const OpeningTurn turn = queue_.turnOf(now, pool, limit, flow, claimOf(now, pool, needs, known));
  return turn == OpeningTurn::kWait ? hold(now, pool, needs, flow, bytes)
                                    : noted(turn, pool, needs);
}

OpeningTurn Admission::hold(TimePoint now, const std::string& pool, const OpeningNeeds& needs,
                            FlowHash flow, std::string_view bytes) {
  const bool isCopy = queue_.isWaiting(flow);
  const std::optional<Duration> useful = usefulWait(now, pool, needs);
  if (!isCopy && useful == Duration{0}) {
    return noted(OpeningTurn::kRefuseTooLate, pool, needs);
  }
  queue_.hold(now, {flow, pool, needs.priority, needs.requestTimeout, bytes, useful});
  return isCopy ? OpeningTurn::kWait : noted(OpeningTurn::kWait, pool, needs);
}

OpeningTurn Admission::noted(OpeningTurn turn, const std::string& pool, const OpeningNeeds& needs) {
  if (turn == OpeningTurn::kPlace) {
    return turn;
  }
  AdmissionCounters& counters = countersOf(pool, needs);
  counters.waited += turn == OpeningTurn::kWait ? 1 : 0;
  counters.refusedAfterWait += turn == OpeningTurn::kRefuse ? 1 : 0;
  counters.refusedAtOnce += turn == OpeningTurn::kRefuseTooLate ? 1 : 0;
  pools_[pool].refused += turn == OpeningTurn::kWait ? 0 : 1;
  return turn;
}

OpeningClaim Admission::claimOf(TimePoint now, const std::string& pool, const OpeningNeeds& needs,
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

std::optional<Duration> Admission::usefulWait(TimePoint now, const std::string& pool,
                                              const OpeningNeeds& needs) const {
  const Pool* state = known(pool);
  if (limits_.hostTimePart <= 0.0 || needs.targetLatency == Duration{0} || state == nullptr) {
    return std::nullopt;
  }
  const std::optional<Duration> atHosts = state->atHosts.value(now);
  return atHosts ? std::optional(usefulWaitOf(needs.targetLatency, *atHosts)) : std::nullopt;
}

void Admission::onEnded(TimePoint now, const std::string& pool, const OpeningNeeds& needs,
                        const EndedRequest& request) {
  Pool& state = pools_[pool];
  state.use.onEnded(now, request);
  state.atHosts.add(now, request.took);
  if (needs.targetLatency > Duration{0}) {
    state.targetLatency = state.targetLatency == Duration{0}
                              ? needs.targetLatency
                              : std::min(state.targetLatency, needs.targetLatency);
    if (request.took > needs.targetLatency) {
      ++countersOf(pool, needs).lateByEstimate;
    }
  }
}

PoolRoom Admission::roomOf(TimePoint now, const std::string& pool, const PoolSize& size) const {
  PoolRoom room;
  room.part = parts_->partOf(now, pool, size.sendingNodes);
  const Pool* state = known(pool);
  if (state != nullptr) {
    room.requests =
        size.slots * requestsPerSlot(limits_, state->targetLatency, state->use.work(now));
  }
  return room;
}

bool Admission::hasRoom(TimePoint now, const std::string& pool, const PoolSize& size) const {
  const PoolRoom room = roomOf(now, pool, size);
  if (queue_.waitingCount(pool) > 0) {
    return false;
  }
  const Pool* state = known(pool);
  if (room.requests == 0.0 || state == nullptr) {
    return queue_.underWayCount(pool) < queue_.limitOf(size.slots, size.sendingNodes);
  }
  const RoomUse use{room, state->use.onOpenFlows(now)};
  return queue_.underWayCount(pool) < yieldingOpenings(use);
}

std::vector<PoolDemand> Admission::takeDemands(TimePoint now) {
  std::vector<PoolDemand> demands;
  for (auto& [name, pool] : pools_) {
    const auto waiting = static_cast<uint32_t>(queue_.waitingCount(name));
    const uint32_t refused = std::exchange(pool.refused, 0);
    if (waiting > 0 || refused > 0) {
      const double underWay = std::round(pool.use.underWay(now));
      demands.push_back({name, static_cast<uint32_t>(underWay), waiting, refused});
    }
  }
  return demands;
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

AdmissionCounters& Admission::countersOf(const std::string& pool, const OpeningNeeds& needs) {
  return counters_[{pool, std::string(needs.service)}];
}

}  // namespace umberhold
