#include "common/admission/opening_queue.h"

#include <algorithm>
#include <cmath>

#include "common/flow/sequence_number.h"

namespace umberhold {
namespace {

/** An opening without a further packet of its caller within this time no longer counts: its host is
 * unresponsive or refused it. Several round trips, as in OpeningWatch. */
constexpr Duration kHandshakeTimeout = std::chrono::milliseconds(150);
/** Maximum time for which a request counts as under way if the usual request time is not known: a
 * hanging host must not block the openings of others. */
constexpr Duration kDefaultRequestTime = std::chrono::milliseconds(400);

}  // namespace

uint32_t OpeningQueue::limitOf(double slots, uint32_t nodes) const {
  const double share = limits_.openingsPerSlot * slots / std::max(nodes, 1U);
  return std::max(kMinLimit, static_cast<uint32_t>(std::ceil(share)));
}

bool OpeningQueue::isUncontended(TimePoint now, const std::string& pool) {
  endExpired(now);
  const auto found = pools_.find(pool);
  if (found == pools_.end()) {
    return true;
  }
  return found->second.underWay < kMinLimit && found->second.waiting() == 0;
}

size_t OpeningQueue::Pool::waiting() const {
  size_t sum = 0;
  for (const auto& [priority, level] : levels) {
    sum += level.queue.size();
  }
  return sum;
}

size_t OpeningQueue::waitingCount(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.waiting();
}

uint32_t OpeningQueue::underWayCount(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.underWay;
}

OpeningDecision OpeningQueue::decideOpening(TimePoint now, const std::string& pool, uint32_t limit,
                                            FlowHash flow, const OpeningClaim& claim) {
  const auto decision = decisions_.find(flow);
  if (decision != decisions_.end()) {
    // A pool for which the opening was not queued always places it.
    const bool isSamePool = decision->second.pool == pool;
    const OpeningDecision storedDecision =
        isSamePool ? decision->second.decision : OpeningDecision::kPlace;
    decisions_.erase(decision);
    return storedDecision;
  }
  endExpired(now);
  Pool& state = pools_[pool];
  state.limit = limit;
  Level& level = state.levels[claim.priority];
  level.claim = claim;
  if (waiting_.contains(flow)) {
    return OpeningDecision::kWait;
  }
  const bool isFull = !state.hasRoomFor(level) && waiting_.size() < kCapacity;
  return isFull ? OpeningDecision::kWait : OpeningDecision::kPlace;
}

const std::string* OpeningQueue::poolOf(FlowHash flow) const {
  const auto waiting = waiting_.find(flow);
  if (waiting != waiting_.end()) {
    return &waiting->second.pool;
  }
  const auto released = decisions_.find(flow);
  return released == decisions_.end() ? nullptr : &released->second.pool;
}

size_t OpeningQueue::openingsOf(TimePoint now, const std::string& pool) {
  endExpired(now);
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.underWay + found->second.waiting();
}

Duration OpeningQueue::maxWait(Duration requestTimeout) const {
  if (requestTimeout == Duration{0}) {
    return kMaxWait;
  }
  const double part = limits_.maxWaitPart * static_cast<double>(requestTimeout.count());
  return std::min(kMaxWait, Duration{static_cast<Duration::rep>(part)});
}

void OpeningQueue::hold(TimePoint now, const WaitingOpening& opening) {
  const auto copy = waiting_.find(opening.flow);
  if (copy != waiting_.end()) {
    copy->second.bytes = opening.bytes;
    return;
  }
  const TimePoint until = now + maxWait(opening.requestTimeout);
  Waiting& waiting = waiting_[opening.flow];
  waiting = {opening.pool, opening.priority, ++arrivals_, std::string(opening.bytes), until, {}};
  if (opening.fifoWait) {
    waiting.fifoUntil = now + *opening.fifoWait;
  }
  pools_[opening.pool].levels[opening.priority].queue.emplace(waiting.arrival, opening.flow);
  waitDeadlines_.emplace(until, opening.flow);
}

void OpeningQueue::onPlaced(TimePoint now, const std::string& pool, FlowHash flow,
                            uint32_t priority) {
  if (limits_.openingsPerSlot <= 0.0) {
    return;
  }
  const TimePoint until = now + kHandshakeTimeout;
  if (underWay_.try_emplace(flow, UnderWay{pool, priority, std::nullopt, until}).second) {
    Pool& state = pools_[pool];
    ++state.underWay;
    ++state.levels[priority].underWay;
    expiries_.emplace(until, flow);
  }
}

bool OpeningQueue::onLaterPacket(TimePoint now, const FlowPacket& packet,
                                 std::optional<Duration> requestTime) {
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
    opening.until = now + requestTime.value_or(kDefaultRequestTime);
    expiries_.emplace(opening.until, packet.hash);
  }
  return true;
}

std::vector<std::string> OpeningQueue::take(TimePoint now) {
  decisions_.clear();
  std::vector<std::string> taken;
  if (waiting_.empty()) {
    return taken;
  }
  endExpired(now);
  for (auto& [name, pool] : pools_) {
    releaseFrom(now, pool, taken);
  }
  while (!waitDeadlines_.empty() && waitDeadlines_.begin()->first <= now) {
    const auto entry = waiting_.find(waitDeadlines_.begin()->second);
    waitDeadlines_.erase(waitDeadlines_.begin());
    if (entry != waiting_.end() && entry->second.until <= now) {
      taken.push_back(release(entry, OpeningDecision::kRefuse));
    }
  }
  return taken;
}

void OpeningQueue::releaseFrom(TimePoint now, Pool& pool, std::vector<std::string>& taken) {
  // Released openings are counted as under way during this loop, because onPlaced() is called only
  // after the last of them.
  const uint32_t previous = pool.underWay;
  for (auto& [priority, level] : pool.levels) {
    const uint32_t ownBefore = level.underWay;
    while (!level.queue.empty() && pool.hasRoomFor(level)) {
      taken.push_back(release(waiting_.find(nextInQueue(now, level)), OpeningDecision::kPlace));
      ++pool.underWay;
      ++level.underWay;
    }
    level.underWay = ownBefore;
  }
  pool.underWay = previous;
}

FlowHash OpeningQueue::nextInQueue(TimePoint now, const Level& level) const {
  const FlowHash earliest = level.queue.begin()->second;
  const std::optional<TimePoint> fifoUntil = waiting_.find(earliest)->second.fifoUntil;
  const bool isFifo = !fifoUntil || now < *fifoUntil;
  return isFifo ? earliest : level.queue.rbegin()->second;
}

std::string OpeningQueue::release(WaitingFlows::iterator entry, OpeningDecision decision) {
  decisions_[entry->first] = {decision, entry->second.pool};
  pools_[entry->second.pool].levels[entry->second.priority].queue.erase(entry->second.arrival);
  std::string bytes = std::move(entry->second.bytes);
  waiting_.erase(entry);
  return bytes;
}

std::optional<TimePoint> OpeningQueue::nextDue() const {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  const TimePoint refused = waitDeadlines_.begin()->first;
  return expiries_.empty() ? refused : std::min(refused, expiries_.begin()->first);
}

void OpeningQueue::endExpired(TimePoint now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const auto entry = underWay_.find(expiries_.begin()->second);
    expiries_.erase(expiries_.begin());
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
