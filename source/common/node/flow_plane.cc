#include "common/node/flow_plane.h"

#include <algorithm>
#include <utility>

#include "common/base/hash.h"
#include "common/flow/flow_key.h"
#include "common/placement/rendezvous.h"

namespace umberhold {
namespace {

/** Interval at which due probes are looked up. */
constexpr Duration kProbeCheckInterval = std::chrono::milliseconds(100);

FlowTableOptions tableOptions(const NodeOptions& options, RandomSource& random) {
  FlowTableOptions table;
  table.capacity = options.flowCapacity;
  table.seed = random.engine()();
  return table;
}

ShardDirectorOptions directorOptions(const NodeOptions& options) {
  ShardDirectorOptions director;
  director.zoneName = options.zoneName;
  director.ownerRelay = options.ownerRelay;
  return director;
}

FlowKnowledge knowledgeOf(const PlacementExplanation& placement) {
  switch (placement.reason) {
    case ExplainReason::kEstablished:
      return FlowKnowledge::kEstablished;
    case ExplainReason::kBaseTable:
      return FlowKnowledge::kWouldPlace;
    case ExplainReason::kRefusedBefore:
    case ExplainReason::kNoHost:
      return FlowKnowledge::kWouldRefuse;
    case ExplainReason::kNotOwner:
      break;
  }
  return FlowKnowledge::kOwnedElsewhere;
}

/**
 * @return the host's position in the flow's rendezvous order; the number of hosts if it has none.
 */
uint32_t rankOf(const std::vector<BaseHost>& base, HostId host, FlowHash flow) {
  RendezvousWalk walk(base, flow);
  uint32_t rank = 0;
  for (size_t index = walk.next(); index < base.size(); index = walk.next()) {
    if (base[index].host == host) {
      return rank;
    }
    ++rank;
  }
  return static_cast<uint32_t>(base.size());
}

}  // namespace

FlowPlane::FlowPlane(const NodeOptions& options, const NodeOutputs& outputs,
                     const MembershipView& view, ServiceCatalog& catalog, PolicyEngine& policies,
                     RandomSource& random)
    : strategy_(options.strategy),
      probes_(outputs.probes),
      catalog_(catalog),
      flows_(tableOptions(options, random)),
      shards_(directorOptions(options),
              ShardDirectorParts{view, catalog, flows_, outputs.messages, *this},
              random.engine()()),
      plainHash_(catalog),
      localTable_(catalog, flows_),
      policies_(policies, catalog, shards_) {}

FlowDirector& FlowPlane::director() {
  switch (strategy_) {
    case FlowStrategy::kPlainHash:
      return plainHash_;
    case FlowStrategy::kLocalTable:
      return localTable_;
    case FlowStrategy::kOwned:
      break;
  }
  return shards_;
}

void FlowPlane::start(TimePoint now, UnixSeconds unixNow) {
  tick(now, unixNow);
}

void FlowPlane::tick(TimePoint now, UnixSeconds unixNow) {
  now_ = now;
  shards_.tick(now, unixNow);
  policies_.tick(now);
  if (now >= nextProbes_) {
    nextProbes_ = now + kProbeCheckInterval;
    sendProbes(now);
  }
}

void FlowPlane::setCaughtUp() {
  shards_.setCaughtUp();
}

void FlowPlane::leave(TimePoint now) {
  shards_.leave(now);
}

std::vector<PendingHandover> FlowPlane::pendingHandovers() const {
  return shards_.pendingHandovers();
}

bool FlowPlane::handedOver() const {
  return shards_.handedOver();
}

void FlowPlane::sendProbes(TimePoint now) {
  shards_.forEachPlacement([this, now](ServiceId id, ServicePlacement& placement) {
    for (const DueProbe& due : placement.dueProbes(now)) {
      probes_.probe(id, due.host, due.endpoint);
    }
  });
}

void FlowPlane::onProbeResult(TimePoint now, const ProbeResult& result) {
  if (ServicePlacement* placement = shards_.placementOf(result.service)) {
    placement->onProbe(now, result);
  }
}

void FlowPlane::onMessage(TimePoint now, const Endpoint& from, NodeId sender,
                          const Message& message) {
  shards_.onMessage(now, from, sender, message);
}

void FlowPlane::release(TimePoint now, std::string bytes, PacketSource source) {
  if (heldPackets_ != nullptr) {
    heldPackets_->release(now, std::move(bytes), source);
  }
}

void FlowPlane::onServiceChanged(ServiceId id, const Service&) {
  shards_.onServiceChanged(now_, id);
  localTable_.onServiceChanged(id);
}

void FlowPlane::onServiceDeleted(ServiceId id) {
  policies_.onServiceDeleted(id);
  shards_.onServiceDeleted(now_, id);
  localTable_.onServiceChanged(id);
}

void FlowPlane::onPolicyChanged(const Policy& policy) {
  policies_.onPolicyChanged(policy);
}

void FlowPlane::onPolicyDeleted(const std::string& name) {
  policies_.onPolicyDeleted(name);
}

void FlowPlane::onMemberChanged(const Member& member) {
  shards_.onMemberChanged(member);
}

NodeStatusResult<FlowExplanation> FlowPlane::explain(TimePoint now, const ExplainQuery& query) {
  const ServiceId id = serviceIdOf(query.service);
  const Service* service = catalog_.find(id);
  if (service == nullptr) {
    return NodeStatusError{NodeStatusErrorCode::kUnknown,
                           "no service of this region is called " + query.service};
  }
  const FlowKey key{query.caller, Endpoint{service->address, service->port}, service->protocol};
  FlowExplanation explanation;
  explanation.flow = hashOf(key);
  const PlacementExplanation placement = shards_.explain(now, id, explanation.flow);
  explanation.knowledge = knowledgeOf(placement);
  explanation.shard = placement.shard.index;
  explanation.owner = placement.owner;
  explanation.exception = placement.exception;
  explanation.policy = service->policy;
  if (ServicePlacement* state = shards_.placementOf(id)) {
    explainHosts(now, *service, placement, *state, explanation);
  }
  return explanation;
}

void FlowPlane::explainHosts(TimePoint now, const Service& service,
                             const PlacementExplanation& placement, ServicePlacement& state,
                             FlowExplanation& explanation) {
  const ServiceId id = serviceIdOf(service.name);
  const ServiceView serviceView = state.serviceView(now);
  explanation.policyAdmits = policies_.admits(service.policy, serviceView);
  const std::vector<BaseHost> base = state.currentBase();
  for (const HostView& view : state.hostViews(now)) {
    const HostId host = hostIdOf(id, view.name);
    HostExplanation row;
    row.name = view.name;
    row.zone = view.zone;
    row.staticWeight = view.weight;
    row.policyWeight = policies_.weigh(service.policy, view, serviceView);
    row.load = view.load;
    row.flows = view.flows;
    row.connectionLimit = view.connectionLimit;
    row.healthy = view.healthy;
    row.draining = view.draining;
    row.admissible = state.isAdmissible(now, placement.shard, host);
    const auto inBase = std::find_if(base.begin(), base.end(), [host](const BaseHost& candidate) {
      return candidate.host == host;
    });
    row.baseWeight = inBase == base.end() ? 0 : inBase->weight;
    row.rank = rankOf(base, host, explanation.flow);
    if (placement.host == host) {
      explanation.host = view.name;
    }
    explanation.hosts.push_back(std::move(row));
  }
}

}  // namespace umberhold
