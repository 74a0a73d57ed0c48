#include "common/admission/opening_queue.h"

#include <algorithm>
#include <cmath>

#include "common/flow/sequence_number.h"

namespace umberhold {
namespace {

/** An opening that its caller does not follow counts no longer: its host is silent or refused it.
 * Several round trips, as in OpeningWatch. */
constexpr Duration kUnfollowedTime = std::chrono::milliseconds(150);
/** A request counts no longer, where it is not known how long they usually take: a host that hangs
 * must not hold up the openings of others. */
constexpr Duration kLongestUnknown = std::chrono::milliseconds(400);

}  // namespace

uint32_t OpeningQueue::limitOf(double slots, uint32_t nodes) const {
  const double share = limits_.openingsPerSlot * slots / std::max(nodes, 1U);
  return std::max(kLeastLimit, static_cast<uint32_t>(std::ceil(share)));
}

bool OpeningQueue::isCalm(TimePoint now, const std::string& pool) {
  endOverdue(now);
  const auto known = pools_.find(pool);
  if (known == pools_.end()) {
    return true;
  }
  return known->second.underWay < kLeastLimit && known->second.waiting() == 0;
}

size_t OpeningQueue::Pool::waiting() const {
  size_t sum = 0;
  for (const auto& [priority, level] : levels) {
    sum += level.queue.size();
  }
  return sum;
}

size_t OpeningQueue::waitingCount(const std::string& pool) const {
  const auto known = pools_.find(pool);
  return known == pools_.end() ? 0 : known->second.waiting();
}

uint32_t OpeningQueue::underWayCount(const std::string& pool) const {
  const auto known = pools_.find(pool);
  return known == pools_.end() ? 0 : known->second.underWay;
}

OpeningDecision OpeningQueue::decideOpening(TimePoint now, const std::string& pool, uint32_t limit,
                                 FlowHash flow, const OpeningClaim& claim) {
  const auto turn = turns_.find(flow);
  if (turn != turns_.end()) {
    // A pool that the opening has not waited for decides on it as on any other.
    const bool isOfPool = turn->second.pool == pool;
    const OpeningDecision given = isOfPool ? turn->second.turn : OpeningDecision::kPlace;
    turns_.erase(turn);
    return given;
  }
  endOverdue(now);
  Pool& state = pools_[pool];
  state.limit = limit;
  Level& level = state.levels[claim.priority];
  level.claim = claim;
  if (waiting_.contains(flow)) {
    return OpeningDecision::kWait;
  }
  const bool isFull = !state.isFor(level) && waiting_.size() < kCapacity;
  return isFull ? OpeningDecision::kWait : OpeningDecision::kPlace;
}

const std::string* OpeningQueue::poolOf(FlowHash flow) const {
  const auto waiting = waiting_.find(flow);
  if (waiting != waiting_.end()) {
    return &waiting->second.pool;
  }
  const auto released = turns_.find(flow);
  return released == turns_.end() ? nullptr : &released->second.pool;
}

size_t OpeningQueue::openingsOf(TimePoint now, const std::string& pool) {
  endOverdue(now);
  const auto known = pools_.find(pool);
  return known == pools_.end() ? 0 : known->second.underWay + known->second.waiting();
}

Duration OpeningQueue::longestWait(Duration requestTimeout) const {
  if (requestTimeout == Duration{0}) {
    return kLongestWait;
  }
  const double part = limits_.maxWaitPart * static_cast<double>(requestTimeout.count());
  return std::min(kLongestWait, Duration{static_cast<Duration::rep>(part)});
}

void OpeningQueue::hold(TimePoint now, const WaitingOpening& opening) {
  const auto copy = waiting_.find(opening.flow);
  if (copy != waiting_.end()) {
    copy->second.bytes = opening.bytes;
    return;
  }
  const TimePoint until = now + longestWait(opening.requestTimeout);
  Waiting& waiting = waiting_[opening.flow];
  waiting = {opening.pool, opening.priority, ++arrivals_, std::string(opening.bytes), until, {}};
  if (opening.orderlyWait) {
    waiting.orderlyUntil = now + *opening.orderlyWait;
  }
  pools_[opening.pool].levels[opening.priority].queue.emplace(waiting.arrival, opening.flow);
  refusedAt_.emplace(until, opening.flow);
}

void OpeningQueue::onPlaced(TimePoint now, const std::string& pool, FlowHash flow,
                            uint32_t priority) {
  if (limits_.openingsPerSlot <= 0.0) {
    return;
  }
  const TimePoint until = now + kUnfollowedTime;
  if (underWay_.try_emplace(flow, UnderWay{pool, priority, std::nullopt, until}).second) {
    Pool& state = pools_[pool];
    ++state.underWay;
    ++state.levels[priority].underWay;
    overdueAt_.emplace(until, flow);
  }
}

bool OpeningQueue::onLaterPacket(TimePoint now, const FlowPacket& packet,
                              std::optional<Duration> patience) {
  const auto entry = underWay_.find(packet.hash);
  if (entry == underWay_.end()) {
    return false;
  }
  UnderWay& opening = entry->second;
  const bool hasEnded =
      packet.phase == PacketPhase::kClosing || packet.phase == PacketPhase::kReset;
  const bool isAnswered =
      opening.acknowledged && isAfter(packet.acknowledged, *opening.acknowledged);
  if (hasEnded || isAnswered) {
    end(entry);
  } else if (!opening.acknowledged) {
    opening.acknowledged = packet.acknowledged;
    opening.until = now + patience.value_or(kLongestUnknown);
    overdueAt_.emplace(opening.until, packet.hash);
  }
  return true;
}

std::vector<std::string> OpeningQueue::take(TimePoint now) {
  turns_.clear();
  std::vector<std::string> taken;
  if (waiting_.empty()) {
    return taken;
  }
  endOverdue(now);
  for (auto& [name, pool] : pools_) {
    takeFrom(now, pool, taken);
  }
  while (!refusedAt_.empty() && refusedAt_.begin()->first <= now) {
    const auto entry = waiting_.find(refusedAt_.begin()->second);
    refusedAt_.erase(refusedAt_.begin());
    if (entry != waiting_.end() && entry->second.until <= now) {
      taken.push_back(release(entry, OpeningDecision::kRefuse));
    }
  }
  return taken;
}

void OpeningQueue::takeFrom(TimePoint now, Pool& pool, std::vector<std::string>& taken) {
  // What goes now counts as under way at once: onPlaced() comes after the last of them.
  const uint32_t before = pool.underWay;
  for (auto& [priority, level] : pool.levels) {
    const uint32_t ownBefore = level.underWay;
    while (!level.queue.empty() && pool.isFor(level)) {
      taken.push_back(release(waiting_.find(nextOf(now, level)), OpeningDecision::kPlace));
      ++pool.underWay;
      ++level.underWay;
    }
    level.underWay = ownBefore;
  }
  pool.underWay = before;
}

FlowHash OpeningQueue::nextOf(TimePoint now, const Level& level) const {
  const FlowHash earliest = level.queue.begin()->second;
  const std::optional<TimePoint> orderlyUntil = waiting_.find(earliest)->second.orderlyUntil;
  const bool isOrderly = !orderlyUntil || now < *orderlyUntil;
  return isOrderly ? earliest : level.queue.rbegin()->second;
}

std::string OpeningQueue::release(WaitingFlows::iterator entry, OpeningDecision turn) {
  turns_[entry->first] = {turn, entry->second.pool};
  pools_[entry->second.pool].levels[entry->second.priority].queue.erase(entry->second.arrival);
  std::string bytes = std::move(entry->second.bytes);
  waiting_.erase(entry);
  return bytes;
}

std::optional<TimePoint> OpeningQueue::nextDue() const {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  const TimePoint refused = refusedAt_.begin()->first;
  return overdueAt_.empty() ? refused : std::min(refused, overdueAt_.begin()->first);
}

void OpeningQueue::endOverdue(TimePoint now) {
  while (!overdueAt_.empty() && overdueAt_.begin()->first <= now) {
    const auto entry = underWay_.find(overdueAt_.begin()->second);
    overdueAt_.erase(overdueAt_.begin());
    if (entry != underWay_.end() && entry->second.until <= now) {
      end(entry);
    }
  }
}

void OpeningQueue::end(UnderWayFlows::iterator entry) {
  const auto pool = pools_.find(entry->second.pool);
  --pool->second.levels[entry->second.priority].underWay;
  if (--pool->second.underWay == 0 && pool->second.waiting() == 0) {
    pools_.erase(pool);
  }
  underWay_.erase(entry);
}

}  // namespace umberhold
