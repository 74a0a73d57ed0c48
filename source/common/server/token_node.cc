#include "common/server/token_node.h"

#include <glog/logging.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <random>
#include <utility>

#include "common/packet/packet_path.h"
#include "common/platform/steady_now.h"
#include "common/server/catalog_reader.h"
#include "common/server/flow_log.h"
#include "common/server/loop_mailbox.h"
#include "common/server/poll_http_port.h"
#include "common/server/poll_loop.h"
#include "common/server/silence_text.h"
#include "common/server/token_node_metrics.h"
#include "common/token/token_director.h"

namespace umberhold {
namespace {

/** Sends packets in the packet format's own encoding, without further encapsulation. */
class DirectOutput : public PacketOutput {
 public:
  /** @param port borrowed. @param callerPort port on which callers receive packets of the service.
   */
  DirectOutput(UdpPort& port, uint16_t callerPort) : port_(port), callerPort_(callerPort) {}

  void sendToHost(const Endpoint& host, std::string_view packet) override {
    port_.send(host, packet);
  }
  void sendToNode(const Endpoint& relay, std::string_view packet) override {
    port_.send(relay, packet);
  }
  void sendToCaller(const Endpoint& caller, std::string_view packet) override {
    port_.send(Endpoint{caller.address, callerPort_}, packet);
  }

 private:
  UdpPort& port_;
  const uint16_t callerPort_;
};

/** Interval at which the settings file is checked for changes. */
constexpr Duration kSettingsInterval = std::chrono::seconds(5);
/** Delay before pending log lines are written again after the output was full. */
constexpr Duration kFlushInterval = std::chrono::milliseconds(100);
/** Delay between two batches of resets; packets that arrive in between are handled first. */
constexpr Duration kResetInterval = std::chrono::milliseconds(5);
/** Minimum interval at which waiting openings are checked when no packets arrive, since each
 * wake-up is costly. */
constexpr Duration kReleaseInterval = std::chrono::milliseconds(5);
/** Content type of Prometheus' text format. */
constexpr const char* kMetricsType = "text/plain; version=0.0.4";

uint64_t unixMilliseconds() {
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count());
}

uint64_t randomSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32U) | device();
}

TokenOptions optionsOf(const TokenNodeSettings& settings) {
  return {settings.zone,      std::chrono::seconds(settings.flowLifeSeconds),
          settings.placement, settings.coldHosts,
          settings.openings,  settings.overflow,
          settings.room};
}

}  // namespace

struct TokenNode::Parts {
  Parts(const TokenNodeSettings& given, const PacketFormat& format, const CatalogSource& catalog,
        TokenNodeHooks givenHooks, std::unique_ptr<UdpPort> udpPort)
      : settings(given),
        catalogSource(catalog),
        hooks(std::move(givenHooks)),
        port(std::move(udpPort)),
        director(optionsOf(given), random),
        output(*port, port->local().port),
        path(director, director, output, format),
        flowLog(hooks.log == nullptr ? nullptr : hooks.log->buffered(), format,
                given.requestHeader),
        signalDescriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    path.setRefuseUnknownServices(true);
    path.holdUntilReady();
    path.setObserver(&flowLog);
    loop.watch(port->descriptor(), [this] { receive(); });
    loop.watch(mailbox.wakeDescriptor(), [this] { mailbox.drain(); });
    loop.watch(signalDescriptor, [this] { takeSignals(); });
    if (hooks.settingsChanged && hooks.readSettings) {
      watchSettings();
    }
  }
  ~Parts() { ::close(signalDescriptor); }

  void receive() {
    updateFreshness();
    size_t count = kReceiveBatch;
    while (count == kReceiveBatch) {
      TimePoint now = steadyNow();
      count = port->receive([this, &now](const Endpoint&, std::string_view bytes) {
        path.onPacket(now, PacketSource::kFabric, bytes);
        const TimePoint done = steadyNow();
        packetTimes.Observe(secondsOf(done - now));
        now = done;
      });
    }
    director.onCaughtUp(steadyNow());
    releaseWaiting();
    exchangeObservations();
    sendResets();
    logSlownessChanges();
    logSilence();
    flushLog();
  }

  /** Informs the director how recent the catalog is that it was given. */
  void updateFreshness() {
    const auto freshness = catalogSource.freshness();
    if (freshness && freshness->version <= appliedVersion) {
      director.setKnownAsOf(freshness->knownAsOf);
    }
  }

  /** Releases waiting packets that are due or whose host has become available, and schedules the
   * next check for the remaining ones. */
  void releaseWaiting() {
    const TimePoint now = steadyNow();
    for (std::string& bytes : director.takeReleased(now)) {
      path.release(now, std::move(bytes), PacketSource::kFabric);
    }
    const auto next = director.nextRelease();
    if (next && !releasePlanned) {
      releasePlanned = true;
      loop.at(std::max(*next, now + kReleaseInterval), [this] {
        releasePlanned = false;
        releaseWaiting();
        flushLog();
      });
    }
  }

  void sendResets() {
    const TimePoint now = steadyNow();
    for (const ResetFlow& reset : director.takeResets()) {
      path.onReset(now, reset);
    }
    if (director.hasResets() && !resetsPlanned) {
      resetsPlanned = true;
      loop.at(now + kResetInterval, [this] {
        resetsPlanned = false;
        sendResets();
      });
    }
  }

  void exchangeObservations() {
    if (hooks.observations == nullptr) {
      return;
    }
    const TimePoint now = steadyNow();
    hooks.observations->add(now, director.takeSamples(), director.takeAckStates());
    if (const auto update = hooks.observations->takeUpdate()) {
      director.applySlowHosts(now, update->slowHosts);
      director.applySilentHosts(now, update->silentHosts);
      director.applySpeeds(now, update->speeds);
    }
  }

  void logSlownessChanges() {
    for (const HostSlownessChange& slownessChange : director.takeSlownessChanges()) {
      if (flowLog.admit(steadyNow(), LineKind::kStateChange)) {
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(flowLog.sink(), INFO)
            << "event=host_" << (slownessChange.slow ? "slow" : "usual")
            << " pool=" << slownessChange.pool << " host=" << slownessChange.host
            << " slowness=" << slownessChange.slowness;
      }
    }
    for (const SpeedChange& change : director.takeSpeedChanges()) {
      if (flowLog.admit(steadyNow(), LineKind::kStateChange)) {
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(flowLog.sink(), INFO)
            << "event=host_speed_" << (change.low ? "low" : "usual") << " pool=" << change.pool
            << " host=" << change.host << " speed=" << change.speed;
      }
    }
  }

  void logSilence() {
    for (const SilenceVerdict& verdict : director.takeSilenceVerdicts()) {
      if (flowLog.admit(steadyNow(), LineKind::kStateChange)) {
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(flowLog.sink(), INFO) << SilenceText{verdict};
      }
    }
  }

  void flushLog() {
    if (hooks.log == nullptr) {
      return;
    }
    hooks.log->flush();
    if (hooks.log->output().hasPending() && !flushPlanned) {
      flushPlanned = true;
      loop.at(steadyNow() + kFlushInterval, [this] {
        flushPlanned = false;
        flushLog();
      });
    }
  }

  void applyUpdate(const CatalogChanges& update) {
    const TimePoint now = steadyNow();
    if (hooks.storeStatus) {
      const uint32_t zoneNodes = hooks.storeStatus().zoneNodes;
      director.setZoneNodes(zoneNodes);
      if (hooks.observations != nullptr) {
        hooks.observations->setZoneNodes(zoneNodes);
      }
    }
    director.setWallClock({now, unixMilliseconds()});
    for (const CatalogChange& change : update.changes) {
      std::visit([&](const auto& object) { apply(now, update.version, object); }, change);
    }
    appliedVersion = update.version;
    changeTimes.Observe(secondsOf(steadyNow() - update.receivedAt));
    LOG(INFO) << "event=catalogue_in_force catalogue=" << update.version
              << " changes=" << update.changes.size() << " services=" << director.serviceCount()
              << " hosts=" << director.listedHostCount()
              << " took_us=" << (steadyNow() - update.receivedAt).count();
    flushLog();
    sendResets();
    configured = true;
    path.setReady(true);
    if (ready()) {
      path.releaseHeld(now);
    }
    releaseWaiting();
    logReadiness();
  }
  void apply(TimePoint /*now*/, uint64_t /*version*/, const Service& service) {
    director.setService(service);
  }
  void apply(TimePoint now, uint64_t version, const HostPool& pool) {
    logHosts(now, director.setPool(now, pool, version));
  }
  void apply(TimePoint now, uint64_t version, const DeletedObject& gone) {
    if (gone.collection == Collection::kHostPools) {
      logHosts(now, director.removePool(now, gone.name, version));
    } else {
      director.removeService(gone.name);
    }
  }

  void apply(TimePoint now, uint64_t version, const EvacuatedZones& evacuated) {
    logEvacuations(version, evacuated);
    evacuatedZones = evacuated;
    director.setEvacuatedZones(now, evacuated);
  }

  void logEvacuations(uint64_t version, const EvacuatedZones& fresh) const {
    const auto logMissing = [version](const EvacuatedZones& all, const EvacuatedZones& known,
                                      const char* event) {
      for (const std::string& zone : all.zones) {
        if (!known.zones.contains(zone)) {
          LOG(INFO) << "event=" << event << " zone=" << zone << " catalogue=" << version;
        }
      }
    };
    logMissing(fresh, evacuatedZones, "zone_evacuated");
    logMissing(evacuatedZones, fresh, "zone_returned");
  }

  /** Hosts of the first catalog are not logged individually; its totals are logged instead. */
  void logHosts(TimePoint now, const std::vector<HostChange>& changes) {
    for (const HostChange& change : changes) {
      if (configured && flowLog.admit(now, LineKind::kStateChange)) {
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(flowLog.sink(), INFO)
            << "event=host_" << toString(change.kind) << " pool=" << change.pool
            << " host=" << change.host.name << " endpoint=" << toString(change.host.endpoint)
            << " zone=" << change.host.zone << (change.successor.empty() ? "" : " successor=")
            << change.successor;
      }
    }
  }

  /** Logs changes of readiness. */
  void logReadiness() {
    if (ready() == wasReady) {
      return;
    }
    wasReady = ready();
    LOG(INFO) << "event=" << (wasReady ? "ready" : "not_ready") << " stopping=" << stopping
              << " services=" << director.serviceCount() << " hosts=" << director.listedHostCount();
  }

  bool ready() const { return configured && !stopping && director.listedHostCount() > 0; }

  void takeSignals() {
    uint64_t count = 0;
    [[maybe_unused]] const ssize_t taken = ::read(signalDescriptor, &count, sizeof count);
    if (reloadRequested.exchange(false)) {
      reload("signal");
    }
    if (stopRequested && !stopping) {
      beginStop();
    }
  }

  void watchSettings() {
    loop.at(steadyNow() + kSettingsInterval, [this] {
      if (hooks.settingsChanged()) {
        reload("file");
      }
      watchSettings();
    });
  }

  void reload(const char* cause) {
    if (!hooks.readSettings) {
      return;
    }
    const auto read = hooks.readSettings();
    if (!isOk(read)) {
      ++reloads.refused;
      LOG(WARNING) << "event=reload_refused cause=" << cause << " detail=\""
                   << describe(errorOf(read)) << "\"";
      return;
    }
    ++reloads.taken;
    const TokenNodeSettings& fresh = valueOf(read);
    std::string applied;
    std::string later;
    for (const SettingChange& change : settingChanges(settings, fresh)) {
      std::string& keys = change.whileRunning ? applied : later;
      keys += (keys.empty() ? "" : ",") + change.key;
    }
    settings.flowLifeSeconds = fresh.flowLifeSeconds;
    settings.lingerMilliseconds = fresh.lingerMilliseconds;
    settings.requestHeader = fresh.requestHeader;
    director.setFlowLife(std::chrono::seconds(settings.flowLifeSeconds));
    flowLog.setRequestHeader(settings.requestHeader);
    LOG(INFO) << "event=reloaded cause=" << cause
              << " applied=" << (applied.empty() ? "none" : applied)
              << " at_next_start=" << (later.empty() ? "none" : later);
  }

  void beginStop() {
    stopping = true;
    LOG(INFO) << "event=stopping linger_ms=" << settings.lingerMilliseconds;
    logReadiness();
    loop.at(steadyNow() + std::chrono::milliseconds(settings.lingerMilliseconds),
            [this] { loop.stop(); });
  }

  std::optional<TextAnswer> answerMetrics(const std::string& requestedPath) const {
    if (requestedPath != settings.metricsPath) {
      return std::nullopt;
    }
    const TokenNodeMetrics metrics{
        steadyNow(),
        ready(),
        director.serviceCount(),
        director.listedHostCount(),
        evacuatedZones.zones.size(),
        director.coldHostCount(steadyNow()),
        director.admission(),
        director.speeds(steadyNow()),
        director.silenceCounters(),
        path.counters(),
        port->counters(),
        flowLog.counters(),
        flowLog.budget(),
        hooks.log == nullptr ? LineCounters{} : hooks.log->output().counters(),
        packetTimes,
        changeTimes,
        hooks.storeStatus ? std::optional(hooks.storeStatus()) : std::nullopt,
        reloads,
        hooks.observations == nullptr ? std::nullopt
                                      : std::optional(hooks.observations->counters())};
    return TextAnswer{true, kMetricsType, renderMetrics(metrics, readProcessUsage())};
  }

  void logEnd() const {
    const PacketCounters& counters = path.counters();
    uint64_t dropped = 0;
    for (const uint64_t count : counters.dropped) {
      dropped += count;
    }
    LOG(INFO) << "event=ended forwarded=" << counters.forwarded << " refused=" << counters.refused
              << " dropped=" << dropped;
  }

  TokenNodeSettings settings;
  const CatalogSource& catalogSource;
  const TokenNodeHooks hooks;
  RandomSource random{randomSeed()};
  PollLoop loop;
  LoopMailbox mailbox;
  std::unique_ptr<UdpPort> port;
  TokenDirector director;
  DirectOutput output;
  PacketPath path;
  FlowLog flowLog;
  prometheus::Histogram packetTimes = makePacketTimes();
  prometheus::Histogram changeTimes = makeChangeTimes();
  ReloadCounters reloads;
  std::unique_ptr<PollHttpPort> readiness;
  /** Null if the settings give no address. */
  std::unique_ptr<PollHttpPort> metricsPort;
  /** Null if the settings give no address. */
  std::unique_ptr<PollHttpPort> peerPort;
  std::unique_ptr<CatalogReader> reader;
  /** Wakes the loop for stopRequested and reloadRequested. */
  const int signalDescriptor;
  std::atomic<bool> stopRequested{false};
  std::atomic<bool> reloadRequested{false};
  EvacuatedZones evacuatedZones;
  /** Version of the catalog that the director holds. */
  uint64_t appliedVersion = 0;
  bool flushPlanned = false;
  bool resetsPlanned = false;
  bool releasePlanned = false;
  bool configured = false;
  bool stopping = false;
  /** Readiness at the last call of logReadiness(). */
  bool wasReady = false;
};

TokenNode::TokenNode(std::unique_ptr<Parts> parts) : parts_(std::move(parts)) {}

TokenNode::~TokenNode() {
  parts_->mailbox.close();
}

Result<std::unique_ptr<TokenNode>, PortError> TokenNode::create(const TokenNodeSettings& settings,
                                                                const PacketFormat& format,
                                                                CatalogSource& source,
                                                                TokenNodeHooks hooks) {
  auto port = UdpPort::open(settings.data);
  if (!isOk(port)) {
    return errorOf(port);
  }
  auto parts =
      std::make_unique<Parts>(settings, format, source, std::move(hooks), std::move(valueOf(port)));
  Parts* const shared = parts.get();
  auto readiness = PollHttpPort::open(
      settings.readiness, parts->loop,
      readinessResponder(settings.readinessPath, [shared] { return shared->ready(); }));
  if (!isOk(readiness)) {
    return errorOf(readiness);
  }
  parts->readiness = std::move(valueOf(readiness));
  if (settings.metrics != Endpoint{}) {
    auto metrics = PollHttpPort::open(
        settings.metrics, parts->loop,
        [shared](const std::string& path) { return shared->answerMetrics(path); });
    if (!isOk(metrics)) {
      return errorOf(metrics);
    }
    parts->metricsPort = std::move(valueOf(metrics));
  }
  if (settings.peerAddress != Endpoint{} && parts->hooks.answerPeer) {
    auto peerPort = PollHttpPort::open(settings.peerAddress, parts->loop, parts->hooks.answerPeer);
    if (!isOk(peerPort)) {
      return errorOf(peerPort);
    }
    parts->peerPort = std::move(valueOf(peerPort));
  }
  parts->reader = std::make_unique<CatalogReader>(source, [shared](CatalogChanges changes) {
    shared->mailbox.post([shared, update = std::move(changes)] { shared->applyUpdate(update); });
  });
  return std::unique_ptr<TokenNode>(new TokenNode(std::move(parts)));
}

void TokenNode::run() {
  parts_->loop.run();
  parts_->logEnd();
}

void TokenNode::stop() {
  parts_->stopRequested = true;
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = ::write(parts_->signalDescriptor, &one, sizeof one);
}

void TokenNode::reload() {
  parts_->reloadRequested = true;
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = ::write(parts_->signalDescriptor, &one, sizeof one);
}

Endpoint TokenNode::readiness() const {
  return parts_->readiness->local();
}

Endpoint TokenNode::metrics() const {
  return parts_->metricsPort ? parts_->metricsPort->local() : Endpoint{};
}

Endpoint TokenNode::data() const {
  return parts_->port->local();
}

}  // namespace umberhold
