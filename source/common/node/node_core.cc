#include "common/node/node_core.h"

#include <algorithm>
#include <utility>

#include "common/base/hash.h"
#include "common/catalog/service_catalog.h"
#include "common/membership/failure_detector.h"
#include "common/node/flow_plane.h"
#include "common/packet/packet_path.h"
#include "common/spread/config_spread.h"
#include "common/spread/coverage.h"

namespace umberhold {
namespace {

/** Records in one page of NodeCore::records. */
constexpr size_t kRecordsPerPage = 256;

/** Whether a part of the core handles messages of this type. */
template <class Part, class Body>
concept Handles = requires(Part& part, TimePoint now, const Endpoint& from, NodeId sender,
                           const Body& body) {
  part.handle(now, from, sender, body);
};

ConfigRecord copyOf(const RecordView& view) {
  return ConfigRecord{RecordKey{view.kind, std::string(view.name)}, view.version, view.deleted,
                      std::string(view.payload)};
}

}  // namespace

/** The parts of a core, in the order of their dependencies. */
struct NodeCore::Parts : public RecordObserver {
  Parts(NodeOptions nodeOptions, NodeOutputs nodeOutputs, PolicyEngine& policies, uint64_t seed)
      : options(std::move(nodeOptions)),
        random(seed),
        detector(MembershipOptions{}, options.self, random, nodeOutputs.messages),
        spread(SpreadOptions{}, detector, store, random, nodeOutputs.messages),
        coverage(CoverageOptions{}, detector, spread.contacts(), random, nodeOutputs.messages),
        catalog(options.regionName),
        flows(options, nodeOutputs, detector, catalog, policies, random),
        path(catalog, flows.director(), nodeOutputs.packets) {
    store.addObserver(this);
    catalog.addObserver(&flows);
    detector.addObserver(&flows);
    flows.setHeldPacketSink(path);
  }

  void onRecordApplied(const ConfigRecord& record) override {
    if (!isOk(catalog.apply(record))) {
      ++recordsRejected;
    }
  }

  NodeOptions options;
  RandomSource random;
  FailureDetector detector;
  RecordStore store;
  ConfigSpread spread;
  Coverage coverage;
  ServiceCatalog catalog;
  FlowPlane flows;
  PacketPath path;
  NodeReadiness readiness = NodeReadiness::kJoining;
  uint64_t recordsRejected = 0;
  /** When a leaving node completed its handover; the linger time counts from it. */
  std::optional<TimePoint> handedOverAt;
};

NodeCore::NodeCore(NodeOptions options, NodeOutputs outputs, PolicyEngine& policies, uint64_t seed)
    : parts_(std::make_unique<Parts>(std::move(options), outputs, policies, seed)) {}

NodeCore::~NodeCore() = default;

void NodeCore::start(TimePoint now, UnixSeconds unixNow) {
  parts_->flows.start(now, unixNow);
  parts_->detector.start(now, parts_->options.seeds);
}

void NodeCore::onTick(TimePoint now, UnixSeconds unixNow) {
  if (parts_->readiness == NodeReadiness::kLeft) {
    return;
  }
  parts_->detector.tick(now);
  parts_->spread.tick(now);
  parts_->coverage.tick(now, parts_->spread.effectiveVersion());
  parts_->flows.tick(now, unixNow);
  advanceReadiness(now);
}

void NodeCore::advanceReadiness(TimePoint now) {
  switch (parts_->readiness) {
    case NodeReadiness::kJoining:
      if (parts_->detector.joined()) {
        parts_->readiness = NodeReadiness::kCatchingUp;
      }
      break;
    case NodeReadiness::kCatchingUp:
      if (parts_->spread.caughtUp()) {
        becomeReady(now);
      }
      break;
    case NodeReadiness::kLeaving:
      finishLeaving(now);
      break;
    case NodeReadiness::kReady:
    case NodeReadiness::kLeft:
      break;
  }
}

void NodeCore::becomeReady(TimePoint now) {
  parts_->readiness = NodeReadiness::kReady;
  parts_->flows.setCaughtUp();
  parts_->path.setReady(true);
  parts_->detector.announceReady(now);
}

std::vector<PendingHandover> NodeCore::pendingHandovers() const {
  return parts_->flows.pendingHandovers();
}

void NodeCore::finishLeaving(TimePoint now) {
  if (!parts_->flows.handedOver()) {
    parts_->handedOverAt.reset();
    return;
  }
  if (!parts_->handedOverAt) {
    parts_->handedOverAt = now;
  }
  if (now - *parts_->handedOverAt < parts_->options.linger) {
    return;
  }
  parts_->detector.announceLeft(now);
  parts_->path.setReady(false);
  parts_->readiness = NodeReadiness::kLeft;
}

void NodeCore::leave(TimePoint now) {
  const bool wasReady = parts_->readiness == NodeReadiness::kReady;
  if (parts_->readiness == NodeReadiness::kLeaving || parts_->readiness == NodeReadiness::kLeft) {
    return;
  }
  parts_->readiness = NodeReadiness::kLeaving;
  parts_->detector.announceLeaving(now);
  if (wasReady) {
    parts_->flows.leave(now);
  }
}

void NodeCore::onMessage(TimePoint now, const Endpoint& from, NodeId sender,
                         const Message& message) {
  std::visit(
      [&](const auto& body) {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (Handles<FailureDetector, Body>) {
          parts_->detector.handle(now, from, sender, body);
        } else if constexpr (Handles<ConfigSpread, Body>) {
          parts_->spread.handle(now, from, sender, body);
        } else if constexpr (Handles<Coverage, Body>) {
          parts_->coverage.handle(now, from, sender, body);
        } else {
          parts_->flows.onMessage(now, from, sender, message);
        }
      },
      message.body);
}

void NodeCore::onPacket(TimePoint now, PacketSource source, std::string_view packet) {
  parts_->path.onPacket(now, source, packet);
}

void NodeCore::onStoreRecords(TimePoint now, const std::vector<ConfigRecord>& records) {
  parts_->spread.publish(now, records);
}

void NodeCore::onAcceptedChange(const ConfigRecord& record) {
  parts_->spread.publishUnconfirmed(record);
}

void NodeCore::onStoreListed(TimePoint) {
  parts_->spread.setStoreListed();
}

void NodeCore::onMachineList(TimePoint now, const std::vector<Machine>& machines) {
  std::vector<Endpoint> ownRegion;
  std::vector<ContactCandidate> candidates;
  for (const Machine& machine : machines) {
    if (machine.region == parts_->options.regionName) {
      ownRegion.push_back(machine.control);
    }
    if (!machine.leaving) {
      candidates.push_back(
          ContactCandidate{machine.region, RegionContact{NodeId{machine.nodeId}, machine.control}});
    }
  }
  parts_->detector.setMachineList(ownRegion);
  parts_->spread.setMachineList(now, candidates);
}

void NodeCore::onProbeResult(TimePoint now, const ProbeResult& result) {
  parts_->flows.onProbeResult(now, result);
}

NodeReadiness NodeCore::readiness() const {
  return parts_->readiness;
}

const Member& NodeCore::self() const {
  return parts_->detector.selfMember();
}

uint64_t NodeCore::effectiveVersion() const {
  return parts_->spread.effectiveVersion();
}

void NodeCore::addMembershipObserver(MembershipObserver& observer) {
  parts_->detector.addObserver(&observer);
}

namespace {

MemberCounts countMembers(const MembershipView& view) {
  MemberCounts counts;
  view.forEach([&counts](const Member& member) {
    switch (member.state) {
      case MemberState::kJoining:
        ++counts.joining;
        break;
      case MemberState::kAlive:
        ++counts.alive;
        break;
      case MemberState::kSuspect:
        ++counts.suspect;
        break;
      case MemberState::kLeaving:
        ++counts.leaving;
        break;
      case MemberState::kDead:
        ++counts.dead;
        break;
    }
  });
  return counts;
}

}  // namespace

NodeCounters NodeCore::counters() const {
  NodeCounters counters;
  counters.packets = parts_->path.counters();
  counters.members = countMembers(parts_->detector);
  counters.records = parts_->store.size();
  counters.effectiveVersion = parts_->spread.effectiveVersion();
  counters.recordsRejected = parts_->recordsRejected;
  counters.flows = parts_->flows.flowCount();
  counters.ownedShards = parts_->flows.ownedShards();
  counters.shards = parts_->flows.shards().counters();
  counters.policies = parts_->flows.policyHealth();
  return counters;
}

NodeSummary NodeCore::summary(TimePoint now) {
  NodeSummary summary;
  summary.node = self().id;
  summary.region = parts_->options.regionName;
  summary.zone = parts_->options.zoneName;
  summary.readiness = parts_->readiness;
  summary.members = countMembers(parts_->detector);
  summary.configVersion = parts_->spread.effectiveVersion();
  summary.services = static_cast<uint32_t>(parts_->catalog.serviceCount());
  summary.policies = static_cast<uint32_t>(parts_->catalog.policyCount());
  summary.flows = parts_->flows.flowCount();
  summary.ownedShards = parts_->flows.ownedShards();
  summary.coverage = coverage(now, summary.configVersion);
  summary.policyHealth = parts_->flows.policyHealth();
  return summary;
}

std::vector<Member> NodeCore::members() const {
  std::vector<Member> members;
  parts_->detector.forEach([&members](const Member& member) { members.push_back(member); });
  std::sort(members.begin(), members.end(),
            [](const Member& left, const Member& right) { return left.id < right.id; });
  return members;
}

CoverageStatus NodeCore::coverage(TimePoint now, uint64_t version) {
  parts_->coverage.refresh(now);
  CoverageStatus status;
  status.version = version;
  bool first = true;
  for (const CoverageReport& report : parts_->coverage.summary()) {
    status.nodes += report.nodes;
    // A region's nodesAtVersion refers to its own newest version, report.version. These nodes also
    // have `version`, unless report.version is older.
    status.nodesAtVersion += report.version >= version ? report.nodesAtVersion : 0;
    if (report.slowestVersion >= version && report.version < version) {
      status.nodesAtVersion += report.nodes;
    }
    if (first || report.slowestVersion < status.slowestVersion) {
      status.slowest = report.slowest;
      status.slowestVersion = report.slowestVersion;
      first = false;
    }
  }
  if (!first && status.slowestVersion >= version) {
    status.nodesAtVersion = status.nodes;
  }
  return status;
}

NodeStatusResult<FlowExplanation> NodeCore::explain(TimePoint now, const ExplainQuery& query) {
  return parts_->flows.explain(now, query);
}

RecordPage NodeCore::records(uint64_t cursor) const {
  RecordPage page;
  uint64_t position = 0;
  parts_->store.forEach([&](const RecordView& view) {
    const bool wanted = position >= cursor && page.records.size() < kRecordsPerPage;
    if (position >= cursor && !wanted && !page.next) {
      page.next = position;
    }
    ++position;
    if (wanted && !view.deleted) {
      page.records.push_back(copyOf(view));
    }
  });
  return page;
}

NodeStatusResult<ConfigRecord> NodeCore::record(const RecordKey& key) const {
  auto record = parts_->store.find(key);
  if (!record || record->deleted) {
    return NodeStatusError{NodeStatusErrorCode::kUnknown, key.name};
  }
  return std::move(*record);
}

}  // namespace umberhold
