#include "owner_group.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "common/base/hash.h"

namespace umberhold::test {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(20);

}  // namespace

OwnerGroup::OwnerGroup(const OwnerGroupOptions& options)
    : options_(options),
      random_(options.seed),
      nextArrival_(now_),
      flows_(options.hosts),
      openings_(options.hosts) {
  service_.name = "dispatch";
  service_.shardCount = options.owners;
  for (size_t index = 0; index < options.hosts; ++index) {
    HostSpec host;
    host.name = "host" + std::to_string(index);
    host.probe = Endpoint{0x7F000001, static_cast<uint16_t>(9000 + index)};
    host.connectionLimit = 2000;
    service_.hosts.push_back(host);
    hosts_.push_back(hostIdOf(serviceIdOf(service_.name), host.name));
  }
  owners_.resize(options.owners);
  for (uint16_t index = 0; index < options.owners; ++index) {
    Owner& owner = owners_[index];
    owner.shard = ShardId{serviceIdOf(service_.name), index};
    owner.placement = std::make_unique<ServicePlacement>(
        now_, service_, ServicePlacementOptions{}, owner.budget, mixHash(options.seed, index));
    owner.placement->shardOwned(now_, owner.shard, {});
    owner.base = BaseTable(owner.placement->currentBase());
  }
  for (double opened = 0.0; opened < options.flows; ++opened) {
    openFlow();
  }
}

void OwnerGroup::run(Duration time) {
  const TimePoint end = now_ + time;
  while (now_ < end) {
    step();
  }
}

void OwnerGroup::setHealthy(size_t host, bool healthy) {
  if (healthy) {
    unhealthy_.erase(host);
  } else {
    unhealthy_.insert(host);
  }
}

void OwnerGroup::stopHost(size_t host) {
  stopped_.insert(host);
  std::vector<Departure> kept;
  for (; !departures_.empty(); departures_.pop()) {
    const Departure& flow = departures_.top();
    if (flow.host != host) {
      kept.push_back(flow);
      continue;
    }
    owners_[flow.owner].placement->flowRemoved(owners_[flow.owner].shard, hosts_[host]);
    --flows_[host];
  }
  departures_ = decltype(departures_)({}, std::move(kept));
}

void OwnerGroup::startHost(size_t host) {
  stopped_.erase(host);
}

double OwnerGroup::meanFlows() const {
  double sum = 0.0;
  for (const uint32_t flows : flows_) {
    sum += flows;
  }
  return sum / static_cast<double>(flows_.size());
}

double OwnerGroup::imbalance() const {
  return *std::max_element(flows_.begin(), flows_.end()) / meanFlows();
}

void OwnerGroup::step() {
  now_ += kStep;
  for (Owner& owner : owners_) {
    probe(owner);
    share(owner);
  }
  while (!departures_.empty() && departures_.top().at <= now_) {
    endFlow();
  }
  while (nextArrival_ <= now_) {
    openFlow();
    nextArrival_ += exponential(options_.meanLifeSeconds / options_.flows);
  }
}

void OwnerGroup::openFlow() {
  const FlowHash hash{random_.engine()()};
  const size_t index = hash.value % owners_.size();
  Owner& owner = owners_[index];
  const auto choice =
      owner.placement->choose(now_, owner.shard, hash, owner.base, PlacementMode::kNormal);
  const auto* chosen = std::get_if<ChosenHost>(&choice);
  if (chosen == nullptr) {
    ++refused_;
    return;
  }
  const size_t host = indexOf(chosen->host);
  ++openings_[host];
  if (stopped_.contains(host)) {
    return;  // The host answers the SYN with a RST.
  }
  owner.placement->flowAdded(owner.shard, chosen->host);
  ++flows_[host];
  departures_.push(Departure{now_ + exponential(options_.meanLifeSeconds), index, host});
}

void OwnerGroup::endFlow() {
  const Departure flow = departures_.top();
  departures_.pop();
  owners_[flow.owner].placement->flowRemoved(owners_[flow.owner].shard, hosts_[flow.host]);
  --flows_[flow.host];
}

void OwnerGroup::probe(Owner& owner) {
  for (const DueProbe& due : owner.placement->dueProbes(now_)) {
    const size_t host = indexOf(due.host);
    const bool healthy = !unhealthy_.contains(host) && !stopped_.contains(host);
    owner.placement->onProbe(now_, {owner.shard.service, due.host, healthy, false, 0});
  }
}

void OwnerGroup::share(Owner& owner) {
  if (!owner.placement->loadShareDue(now_, owner.shard)) {
    return;
  }
  for (const LoadShare& message : owner.placement->makeLoadShare(now_, owner.shard, 1)) {
    for (Owner& other : owners_) {
      other.placement->onLoadShare(now_, message);
    }
  }
}

size_t OwnerGroup::indexOf(HostId host) const {
  return static_cast<size_t>(std::find(hosts_.begin(), hosts_.end(), host) - hosts_.begin());
}

Duration OwnerGroup::exponential(double meanSeconds) {
  const double seconds = std::exponential_distribution<double>(1.0 / meanSeconds)(random_.engine());
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace umberhold::test
