#include "standins/flows/simulated_region.h"

#include <algorithm>
#include <utility>

#include "standins/flows/simulated_region_node.h"

namespace umberhold {
namespace {

/** Interval at which all nodes run their tick. */
constexpr Duration kTick = std::chrono::milliseconds(10);
/** Time for which a leaving node continues to run after its handover. */
constexpr Duration kLinger = std::chrono::seconds(2);
constexpr UnixSeconds kUnixStart = 1'800'000'000;

}  // namespace

SimulatedRegion::SimulatedRegion(RegionOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      nextTick_(now_),
      configuredEverywhereAt_(now_) {
  scheduleViewExchange();
}

SimulatedRegion::~SimulatedRegion() = default;

UnixSeconds SimulatedRegion::unixNow() const {
  return kUnixStart +
         std::chrono::duration_cast<std::chrono::seconds>(now_.time_since_epoch()).count();
}

ServiceId SimulatedRegion::serviceId() const {
  return serviceIdOf(service_.name);
}

Duration SimulatedRegion::randomDuration(Duration shortest, Duration longest) {
  const auto span = static_cast<uint64_t>((longest - shortest).count()) + 1;
  return shortest + Duration(static_cast<Duration::rep>(random_.below(span)));
}

void SimulatedRegion::after(Duration delay, std::function<void()> action) {
  events_.push(Event{now_ + delay, nextOrder_++, std::move(action)});
}

SimulatedRegion::Node* SimulatedRegion::runningNode(uint32_t id) {
  const auto known = nodes_.find(id);
  const bool runs = known != nodes_.end() && known->second->pausedUntil <= now_;
  return runs ? known->second.get() : nullptr;
}

bool SimulatedRegion::isRunning(uint32_t id) const {
  return nodes_.contains(id);
}
bool SimulatedRegion::hasEnded(uint32_t id) const {
  return !nodes_.contains(id);
}

std::vector<uint32_t> SimulatedRegion::runningNodes() const {
  std::vector<uint32_t> ids;
  for (const auto& [id, node] : nodes_) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<uint32_t> SimulatedRegion::readyNodes() const {
  std::vector<uint32_t> ids;
  for (const auto& [id, node] : nodes_) {
    if (node->hasJoined()) {
      ids.push_back(id);
    }
  }
  return ids;
}

uint32_t SimulatedRegion::randomNode() {
  auto chosen = nodes_.begin();
  std::advance(chosen, static_cast<ptrdiff_t>(random_.below(nodes_.size())));
  return chosen->first;
}

void SimulatedRegion::endNode(uint32_t id) {
  const auto known = nodes_.find(id);
  if (known != nodes_.end()) {
    // Functions of the node may still be on the call stack, so it is destroyed later.
    ended_.push_back(std::move(known->second));
    nodes_.erase(known);
  }
}

void SimulatedRegion::configure(const Service& service) {
  service_ = service;
  const uint64_t version = ++configurationVersion_;
  configuredEverywhereAt_ = now_ + options_.lags.configuration;
  for (const auto& [id, node] : nodes_) {
    after(randomDuration(Duration(0), options_.lags.configuration),
          [this, id = id, version, service] {
            const auto known = nodes_.find(id);
            if (known != nodes_.end()) {
              known->second->onService(version, serviceIdOf(service.name), service);
            }
          });
  }
}

Duration SimulatedRegion::configurationAge() const {
  return now_ - configuredEverywhereAt_;
}

void SimulatedRegion::sendFromCaller(uint32_t flow, PacketPhase phase) {
  const std::vector<uint32_t> ready = readyNodes();
  if (ready.empty()) {
    return;
  }
  const uint32_t id = ready[random_.below(ready.size())];
  const SimulatedPacket packet{flow, phase, SimulatedPacket::kTimeToLive};
  after(randomDuration(options_.faults.shortestDelay, options_.faults.longestDelay),
        [this, id, packet] {
          if (Node* node = runningNode(id)) {
            node->onPacket(now_, packet.encode(), PacketSource::kFabric);
          }
        });
}

void SimulatedRegion::tickNodes() {
  std::vector<uint32_t> endedNodes;
  for (const auto& [id, node] : nodes_) {
    if (node->pausedUntil > now_) {
      continue;
    }
    node->tick();
    if (!node->leaving) {
      continue;
    }
    const bool handedOver = !node->shardDirector || node->shardDirector->handedOver();
    if (!handedOver) {
      node->handedOverSince = TimePoint{};
    } else if (node->handedOverSince == TimePoint{}) {
      node->handedOverSince = now_;
    } else if (now_ - node->handedOverSince >= kLinger) {
      endedNodes.push_back(id);
    }
  }
  for (const uint32_t id : endedNodes) {
    Member member = nodes_.at(id)->self();
    member.state = MemberState::kDead;
    endNode(id);
    for (const auto& [otherId, other] : nodes_) {
      sendMemberUpdate(otherId, member, randomDuration(Duration(0), options_.lags.membership));
    }
  }
}

void SimulatedRegion::runUntil(TimePoint end) {
  while (now_ < end) {
    const bool eventBeforeTick = !events_.empty() && events_.top().when <= nextTick_;
    const TimePoint next = eventBeforeTick ? events_.top().when : nextTick_;
    if (next > end) {
      now_ = end;
      return;
    }
    now_ = std::max(now_, next);
    if (eventBeforeTick) {
      const std::function<void()> action = events_.top().action;
      events_.pop();
      action();
    } else {
      nextTick_ = now_ + kTick;
      tickNodes();
    }
  }
}

const ShardDirector* SimulatedRegion::director(uint32_t id) const {
  const auto known = nodes_.find(id);
  return known == nodes_.end() ? nullptr : known->second->shardDirector.get();
}

uint32_t SimulatedRegion::shardsWithOneOwner() const {
  std::map<ShardId, uint32_t> owners;
  for (const auto& [id, node] : nodes_) {
    for (const ShardStats& stats :
         node->shardDirector ? node->shardDirector->shardStats(now_) : std::vector<ShardStats>{}) {
      owners[stats.shard] += stats.role == ShardRole::kOwner ? 1 : 0;
    }
  }
  return static_cast<uint32_t>(std::count_if(owners.begin(), owners.end(),
                                             [](const auto& entry) { return entry.second == 1; }));
}

}  // namespace umberhold
