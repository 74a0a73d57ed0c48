/** @file Connects the core to the process. */
#include "common/server/node_process.h"

#include <glog/logging.h>

#include <chrono>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "common/admin/admin_api.h"
#include "common/admin/call_clock.h"
#include "common/admin/change_coordinator.h"
#include "common/base/hash.h"
#include "common/node/node_core.h"
#include "common/platform/http_platform_store.h"
#include "common/platform/steady_now.h"
#include "common/policy/lua_policy_engine.h"
#include "common/server/change_announcer.h"
#include "common/server/control_transport.h"
#include "common/server/event_loop.h"
#include "common/server/host_prober.h"
#include "common/server/http_server.h"
#include "common/server/node_metrics.h"
#include "common/server/node_ports.h"
#include "common/server/node_status_bridge.h"
#include "common/server/packet_transport.h"
#include "common/server/store_worker.h"
#include "common/wire/key_rotation.h"

namespace umberhold {
namespace {

/** Interval at which a leaving node logs some of the shards it still holds and their total number.
 */
constexpr Duration kHeldShardsLogInterval = std::chrono::seconds(2);
constexpr size_t kLoggedShards = 3;

/** @return the current time in Unix milliseconds, which serves as incarnation number of a node. */
uint64_t incarnationNow() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

Member memberOf(const NodeSettings& settings, uint64_t incarnation) {
  Member self;
  self.id = NodeId{settings.nodeId};
  self.incarnation = incarnation;
  self.state = MemberState::kJoining;
  self.region = regionIdOf(settings.region);
  self.zone = zoneIdOf(settings.zone);
  self.address = settings.address.value;
  self.controlPort =
      settings.advertisedControlPort != 0 ? settings.advertisedControlPort : settings.controlPort;
  self.relayPort =
      settings.advertisedRelayPort != 0 ? settings.advertisedRelayPort : settings.relayPort;
  return self;
}

NodeOptions optionsOf(const NodeSettings& settings, uint64_t incarnation) {
  NodeOptions options;
  options.self = memberOf(settings, incarnation);
  options.regionName = settings.region;
  options.zoneName = settings.zone;
  options.seeds = settings.seeds;
  options.strategy = settings.strategy;
  options.ownerRelay = settings.ownerRelay;
  options.flowCapacity = settings.flowCapacity;
  options.linger = std::chrono::seconds(settings.lingerSeconds);
  return options;
}

}  // namespace

/** The components, in order of their dependencies. */
struct NodeProcess::Parts {
  Parts(NodeSettings nodeSettings, NodePorts opened)
      : settings(std::move(nodeSettings)),
        ports(std::move(opened)),
        keys(std::move(valueOf(KeyRing::create(settings.keys, settings.signingKey)))),
        control(*ports.control, keys, NodeId{settings.nodeId}, incarnation),
        packets(*ports.data, settings.returnGateway),
        prober(mailbox,
               [this](const ProbeResult& result) { core.onProbeResult(steadyNow(), result); }),
        core(optionsOf(settings, incarnation), {control, packets, prober}, policies,
             std::random_device{}()),
        status(mailbox, core),
        store(settings.platform),
        changes(store, clock, std::random_device{}()),
        admin(settings.adminToken, store, changes, status, adminPolicies, clock) {
    changes.setObserver(&announcer);
    addPorts();
  }

  void addPorts() {
    loop.addPort(*ports.control, EventLoop::Purpose::kControl,
                 [this](const Endpoint& from, std::string_view bytes) {
                   if (const auto received = control.receive(from, bytes)) {
                     core.onMessage(steadyNow(), from, received->sender, received->message);
                   }
                 });
    loop.addPort(*ports.relay, EventLoop::Purpose::kPackets,
                 [this](const Endpoint& /*from*/, std::string_view bytes) {
                   core.onPacket(steadyNow(), PacketSource::kPeer, bytes);
                 });
    loop.addPort(*ports.data, EventLoop::Purpose::kPackets,
                 [this](const Endpoint& /*from*/, std::string_view bytes) {
                   core.onPacket(steadyNow(), PacketSource::kFabric, bytes);
                 });
  }

  HttpServerHooks hooks() {
    HttpServerHooks result;
    result.readiness = [this]() -> std::optional<NodeReadiness> {
      const auto answer =
          mailbox.call<NodeReadiness>(kLoopCallTimeout, [this] { return core.readiness(); });
      return isOk(answer) ? std::optional(valueOf(answer)) : std::nullopt;
    };
    result.metrics = [this]() -> std::optional<std::string> {
      const auto answer =
          mailbox.call<NodeMetrics>(kLoopCallTimeout, [this] { return takeMetrics(); });
      return isOk(answer) ? std::optional(renderMetrics(valueOf(answer), readProcessUsage()))
                          : std::nullopt;
    };
    result.admin = &admin;
    return result;
  }

  NodeMetrics takeMetrics() {
    NodeMetrics metrics;
    metrics.readiness = core.readiness();
    metrics.core = core.counters();
    metrics.traffic = control.meter();
    metrics.control = control.counters();
    for (size_t index = 0; index < metrics.refusedDatagrams.size(); ++index) {
      metrics.refusedDatagrams[index] = control.refused(static_cast<OpenError>(index));
    }
    metrics.dataPort = ports.data->counters();
    metrics.relayPort = ports.relay->counters();
    metrics.controlPort = ports.control->counters();
    metrics.unsentAnswers = packets.unsentAnswers();
    metrics.loop = loop.times();
    metrics.signingKey = keys.signingId();
    metrics.acceptedKeys = keys.ids();
    metrics.reloads = reloads;
    return metrics;
  }

  void startReader() {
    if (settings.platform.port != 0) {
      reader = std::make_unique<StoreWorker>(NodeId{settings.nodeId}, store, mailbox, core);
    }
  }

  void beginStop(TimePoint now) {
    LOG(INFO) << "event=stop_asked limit_seconds=" << settings.stopLimitSeconds;
    stopDeadline = now + std::chrono::seconds(settings.stopLimitSeconds);
    if (reader) {
      reader->stop();
    }
    core.leave(now);
  }

  /** Applies the keys of reloaded settings; on any error the previous keys stay in use. */
  void reload(const Result<NodeSettings, SettingsError>& loaded) {
    if (!isOk(loaded)) {
      ++reloads.refused;
      LOG(ERROR) << "event=reload_refused " << describe(errorOf(loaded));
      return;
    }
    const KeySettings next{valueOf(loaded).keys, valueOf(loaded).signingKey};
    const auto step = checkRotation({settings.keys, settings.signingKey}, next);
    if (!isOk(step)) {
      ++reloads.refused;
      LOG(ERROR) << "event=reload_refused error=" << toString(errorOf(step));
      return;
    }
    keys = std::move(valueOf(KeyRing::create(next.keys, next.signingKey)));
    settings.keys = next.keys;
    settings.signingKey = next.signingKey;
    ++reloads.taken;
    LOG(INFO) << "event=keys_taken accepted=" << next.keys.size()
              << " signing_key=" << next.signingKey;
  }

  /** @return whether the loop continues. */
  bool tick(NodeSignals& signals) {
    const TimePoint now = steadyNow();
    if (!stopDeadline && signals.stopRequested()) {
      beginStop(now);
    }
    if (const auto loaded = signals.reloadedSettings()) {
      reload(*loaded);
    }
    core.onTick(now, unixNow());
    logReadinessChange();
    logHeldShards(now);
    return !stopDeadline || (core.readiness() != NodeReadiness::kLeft && now < *stopDeadline);
  }

  /** Periodically logs the shards that a leaving node still has to hand over. */
  void logHeldShards(TimePoint now) {
    if (core.readiness() != NodeReadiness::kLeaving || now < nextHeldShardsLog) {
      return;
    }
    nextHeldShardsLog = now + kHeldShardsLogInterval;
    const std::vector<PendingHandover> held = core.pendingHandovers();
    const size_t logged = std::min(held.size(), kLoggedShards);
    for (size_t index = 0; index < logged; ++index) {
      const PendingHandover& shard = held[index];
      LOG(INFO) << "event=leave_waits shards=" << held.size()
                << " service=" << shard.shard.service.value << " shard=" << shard.shard.index
                << " role=" << toString(shard.role) << " epoch=" << shard.epoch
                << " flows=" << shard.flows << " gave_way=" << shard.fenced
                << " successor=" << shard.successor.value;
    }
  }

  void logReadinessChange() {
    if (core.readiness() == lastReadiness) {
      return;
    }
    lastReadiness = core.readiness();
    LOG(INFO) << "event=readiness state=" << toString(*lastReadiness);
  }

  NodeSettings settings;
  const uint64_t incarnation = incarnationNow();
  NodePorts ports;
  KeyRing keys;
  LoopMailbox mailbox;
  EventLoop loop{mailbox};
  ControlTransport control;
  PacketTransport packets;
  HostProber prober;
  LuaPolicyEngine policies;
  NodeCore core;
  NodeStatusBridge status;
  HttpPlatformStore store;
  SystemCallClock clock;
  ChangeCoordinator changes;
  ChangeAnnouncer announcer{mailbox, core};
  /** A separate engine, since the admin API compiles policies on its own threads. */
  LuaPolicyEngine adminPolicies;
  AdminApi admin;
  std::unique_ptr<StoreWorker> reader;
  std::unique_ptr<HttpServer> http;
  std::optional<TimePoint> stopDeadline;
  std::optional<NodeReadiness> lastReadiness;
  /** When a leaving node next logs the shards it still holds. */
  TimePoint nextHeldShardsLog{};
  ReloadCounters reloads;
};

NodeProcess::NodeProcess(std::unique_ptr<Parts> parts) : parts_(std::move(parts)) {}

NodeProcess::~NodeProcess() {
  // Closing the mailbox unblocks threads that wait for the loop before they are joined.
  parts_->mailbox.close();
}

Result<std::unique_ptr<NodeProcess>, PortError> NodeProcess::create(const NodeSettings& settings) {
  auto ports = openPorts(settings);
  if (!isOk(ports)) {
    return errorOf(ports);
  }
  auto parts = std::make_unique<Parts>(settings, std::move(valueOf(ports)));
  auto http = HttpServer::start({settings.address.value, settings.adminPort}, parts->hooks());
  if (!isOk(http)) {
    return errorOf(http);
  }
  parts->http = std::move(valueOf(http));
  return std::unique_ptr<NodeProcess>(new NodeProcess(std::move(parts)));
}

NodeEnd NodeProcess::run(NodeSignals& signals) {
  parts_->core.start(steadyNow(), unixNow());
  parts_->startReader();
  parts_->loop.run([&] { return parts_->tick(signals); });
  return parts_->core.readiness() == NodeReadiness::kLeft ? NodeEnd::kLeft : NodeEnd::kStopLimit;
}

}  // namespace umberhold
