#include "bench/limit_sim/limit_simulation.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "common/base/hash.h"
#include "common/base/random.h"
#include "common/placement/service_placement.h"
#include "common/wire/codec.h"
#include "common/wire/envelope.h"

namespace umberhold::limit_sim {
namespace {

/** One-way delay between two owners in seconds. */
constexpr double kMessageDelay = 0.0015;
/** Seconds between two ticks, each of which sends the due load reports and permit requests and
 * samples the overshoot. */
constexpr double kTickInterval = 0.1;
/** Seconds between two changes of owner, each of a random shard. */
constexpr double kOwnerChangeInterval = 45.0;
/** IP and UDP headers of a datagram. */
constexpr double kHeaderBytes = 28.0;

struct Event {
  double time = 0.0;
  uint64_t sequence = 0;
  std::function<void()> callback;

  bool operator>(const Event& other) const {
    return time != other.time ? time > other.time : sequence > other.sequence;
  }
};

struct Flow {
  uint16_t shard = 0;
  HostId host;
  /** Number of changes of the shard's owner before the flow was placed. */
  uint32_t ownerGeneration = 0;
};

TimePoint timeOf(double seconds) {
  return TimePoint{Duration{static_cast<int64_t>((seconds + 1.0) * 1e6)}};
}

Service makeService(const LimitOptions& options) {
  Service service;
  service.name = "dispatch";
  service.shardCount = options.shards;
  for (size_t index = 0; index < options.hosts; ++index) {
    HostSpec host;
    host.name = "host" + std::to_string(index);
    host.connectionLimit = options.connectionLimit;
    service.hosts.push_back(host);
  }
  return service;
}

class LimitSimulation {
 public:
  explicit LimitSimulation(const LimitOptions& options)
      : options_(options), random_(options.seed), service_(makeService(options)) {
    for (size_t index = 0; index < options.hosts; ++index) {
      hosts_.push_back(hostIdOf(serviceIdOf(service_.name), service_.hosts[index].name));
    }
    flowsByHost_.resize(options.hosts);
    ownerGenerations_.resize(options.shards);
    for (uint16_t shard = 0; shard < options.shards; ++shard) {
      budgets_.push_back(std::make_unique<ExceptionBudget>());
      owners_.push_back(newPlacement(shard));
      standbys_.push_back(newPlacement(shard));
      owners_[shard]->shardOwned(timeOf(0.0), shardIdOf(shard),
                                 {HostPermits{hosts_[0], 0, {}, {}}});
    }
  }

  LimitResult run() {
    schedule(0.0, [this] { arrive(); });
    schedule(kTickInterval, [this] { tick(); });
    schedule(kOwnerChangeInterval, [this] { changeOwner(); });
    while (events_.top().time < options_.duration) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.callback();
    }
    result_.overshootFraction = overshootTicks_ / ticks_;
    result_.permitBytes /= options_.duration * options_.shards;
    result_.loadShareBytes /= options_.duration * options_.shards;
    return result_;
  }

 private:
  std::unique_ptr<ServicePlacement> newPlacement(uint16_t shard) {
    ServicePlacementOptions options;
    options.connectionLimit = options_.mode;
    return std::make_unique<ServicePlacement>(timeOf(now_), service_, options, *budgets_[shard],
                                              random_.engine()());
  }
  ShardId shardIdOf(uint16_t shard) const { return {serviceIdOf(service_.name), shard}; }
  TimePoint now() const { return timeOf(now_); }
  void schedule(double delay, std::function<void()> callback) {
    events_.push({now_ + delay, ++lastSequence_, std::move(callback)});
  }
  double exponential(double mean) {
    return std::exponential_distribution<double>(1.0 / mean)(random_.engine());
  }
  size_t indexOf(HostId host) const {
    return static_cast<size_t>(std::find(hosts_.begin(), hosts_.end(), host) - hosts_.begin());
  }

  uint16_t randomShard() {
    if (options_.shards == 1 || random_.unit() < options_.firstShardFraction) {
      return 0;
    }
    return static_cast<uint16_t>(1 + random_.below(options_.shards - 1U));
  }

  void arrive() {
    const double capacity =
        static_cast<double>(options_.connectionLimit) * static_cast<double>(options_.hosts);
    schedule(exponential(options_.meanLife / (capacity * options_.load)), [this] { arrive(); });
    const uint16_t shard = randomShard();
    ServicePlacement& owner = *owners_[shard];
    const BaseTable base(owner.currentBase());
    const FlowHash hash{random_.engine()()};
    const auto choice = owner.choose(now(), shardIdOf(shard), hash, base, PlacementMode::kNormal);
    ++result_.arrivals;
    if (const auto* chosen = std::get_if<ChosenHost>(&choice)) {
      owner.flowAdded(shardIdOf(shard), chosen->host);
      ++flowsByHost_[indexOf(chosen->host)];
      const Flow flow{shard, chosen->host, ownerGenerations_[shard]};
      schedule(exponential(options_.meanLife), [this, flow] { depart(flow); });
      return;
    }
    ++result_.refused;
    const bool hasCapacity =
        std::any_of(flowsByHost_.begin(), flowsByHost_.end(),
                    [this](uint32_t flows) { return flows < options_.connectionLimit; });
    result_.refusedBelowLimit += hasCapacity ? 1 : 0;
  }

  void depart(const Flow& flow) {
    ServicePlacement& owner = *owners_[flow.shard];
    if (flow.ownerGeneration != ownerGenerations_[flow.shard]) {
      // The last packet of the flow is the first one that the current owner receives.
      owner.flowAdded(shardIdOf(flow.shard), flow.host, FlowOrigin::kAdopted);
    }
    owner.flowRemoved(shardIdOf(flow.shard), flow.host);
    --flowsByHost_[indexOf(flow.host)];
  }

  void sendMessage(std::function<void()> callback) {
    if (random_.unit() >= options_.loss) {
      schedule(kMessageDelay, std::move(callback));
    }
  }

  static double wireBytes(MessageBody body) {
    const auto encoded = encode(Message{std::move(body)});
    return static_cast<double>(valueOf(encoded).size()) + kHeaderBytes + kMaxEnvelopeOverhead;
  }

  void tick() {
    schedule(kTickInterval, [this] { tick(); });
    for (uint16_t shard = 0; shard < options_.shards; ++shard) {
      shareLoads(shard);
      sendPermitRequests(shard);
    }
    uint32_t overshoot = 0;
    for (const uint32_t flows : flowsByHost_) {
      overshoot = std::max(overshoot, flows - std::min(flows, options_.connectionLimit));
    }
    result_.maxOvershoot = std::max(result_.maxOvershoot, overshoot);
    overshootTicks_ += overshoot > 0 ? 1.0 : 0.0;
    ticks_ += 1.0;
  }

  void shareLoads(uint16_t shard) {
    if (!owners_[shard]->loadShareDue(now(), shardIdOf(shard))) {
      return;
    }
    for (const LoadShare& share : owners_[shard]->makeLoadShare(now(), shardIdOf(shard), 1)) {
      // Sent to the owners of the other shards and to this shard's replica.
      result_.loadShareBytes += wireBytes(share) * options_.shards;
      for (uint16_t other = 0; other < options_.shards; ++other) {
        sendMessage([this, other, share] {
          owners_[other]->onLoadShare(now(), share);
          standbys_[other]->onLoadShare(now(), share);
        });
      }
    }
  }

  void sendPermitRequests(uint16_t shard) {
    for (const auto& outgoing : owners_[shard]->duePermitRequests(now())) {
      result_.permitBytes += wireBytes(outgoing.request);
      sendMessage([this, request = outgoing.request] { handlePermitRequest(request); });
    }
  }

  void handlePermitRequest(const PermitRequest& request) {
    const auto grant = owners_[request.lender]->onPermitRequest(now(), request);
    if (!grant.has_value()) {
      return;
    }
    result_.permitBytes += wireBytes(*grant);
    sendMessage([this, grant] { owners_[grant->to.index]->onPermitGrant(now(), *grant); });
  }

  void changeOwner() {
    schedule(kOwnerChangeInterval, [this] { changeOwner(); });
    if (options_.ownerChanges == OwnerChanges::kNone) {
      return;
    }
    const auto shard = static_cast<uint16_t>(random_.below(options_.shards));
    std::vector<HostPermits> permits;
    if (options_.ownerChanges == OwnerChanges::kPlannedHandovers) {
      permits = owners_[shard]->handOverPermits(shardIdOf(shard));
    }
    owners_[shard] = std::move(standbys_[shard]);
    owners_[shard]->shardOwned(now(), shardIdOf(shard), permits);
    standbys_[shard] = newPlacement(shard);
    ++ownerGenerations_[shard];
  }

  const LimitOptions options_;
  RandomSource random_;
  Service service_;
  std::vector<HostId> hosts_;
  std::vector<uint32_t> flowsByHost_;
  std::vector<uint32_t> ownerGenerations_;
  std::vector<std::unique_ptr<ExceptionBudget>> budgets_;
  std::vector<std::unique_ptr<ServicePlacement>> owners_;
  std::vector<std::unique_ptr<ServicePlacement>> standbys_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  uint64_t lastSequence_ = 0;
  double now_ = 0.0;
  double ticks_ = 0.0;
  double overshootTicks_ = 0.0;
  LimitResult result_;
};

}  // namespace

LimitResult simulate(const LimitOptions& options) {
  return LimitSimulation(options).run();
}

}  // namespace umberhold::limit_sim
