// Stand-ins for one zone of a deployment: the platform's store, hosts and callers, in one process,
// around real umberhold_edge processes.
//
// usage: world-2 EDGE_PROGRAM TEMPORARY_FOLDER RECORD_FILE
// TROUBLE=0 in the environment: the same without the disruption.
// exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
#include "../world/parts.h"

namespace {

// ---- the deployment -----------------------------------------------------------------------------
constexpr int kNodes = 3;    // of one zone: each reads the store itself
constexpr int kHosts = 10;   // of one service
constexpr int kCallers = 20;  // caller addresses
constexpr int kRestingFlows = 60;
constexpr int kUsualFlowsPerNode = 20;
constexpr int kWork = 30;    // of a host on a request
constexpr int kStands = 3600;  // how long the entry stands: three heartbeats of 1,200 ms
constexpr int kWatch = 12000;  // from the entry to the end

// ---- callers ------------------------------------------------------------------------------------
enum class Stage { kOpening, kIdle, kWaiting, kClosed };
struct Flow {
  int caller = 0, node = 0;
  uint16_t port = 0;
  bool early = false, usual = false;
  Stage stage = Stage::kOpening;
  uint32_t seq = 0, ack = 0, echo = 0;
  int64_t openedAt = 0, lastAt = 0, nextAt = 0, firstSentAt = 0;
  int64_t rested = 0;  // before the request under way
  int copies = 0;
  int wait = 200;
  uint32_t requests = 0;
  std::string request;
  int host = -1;
};
class Callers {
 public:
  explicit Callers(Hosts& hosts) : hosts_(hosts) {}
  bool open() {
    for (int caller = 0; caller < kCallers; ++caller) {
      sockets_[caller] = openUdp(callerIp(caller), dataPort);
      ports_[caller] = 20000;
      if (sockets_[caller] < 0) {
        return false;
      }
    }
    return true;
  }
  Flow& start(int node, bool early, bool usual) {
    const int caller = next_++ % kCallers;
    const uint16_t port = ports_[caller]++;
    Flow& flow = flows_[static_cast<uint64_t>(caller) << 16 | port];
    flow.caller = caller;
    flow.node = node;
    flow.port = port;
    flow.early = early;
    flow.usual = usual;
    flow.seq = random_();
    flow.openedAt = flow.lastAt = nowMs();
    transmitSyn(flow);
    return flow;
  }
  void request(Flow& flow) {
    flow.request = "request " + std::to_string(++ids_);
    flow.stage = Stage::kWaiting;
    flow.copies = 0;
    flow.wait = 200;
    flow.firstSentAt = nowMs();
    flow.rested = flow.firstSentAt - flow.lastAt;
    transmit(flow);
  }
  /** Handles what has arrived and what is due. */
  void turn() {
    pollfd waits[kCallers];
    for (int caller = 0; caller < kCallers; ++caller) {
      waits[caller] = {sockets_[caller], POLLIN, 0};
    }
    poll(waits, kCallers, 1);
    char buffer[2048];
    for (int caller = 0; caller < kCallers; ++caller) {
      ssize_t count;
      while ((count = recv(sockets_[caller], buffer, sizeof buffer, 0)) > 0) {
        Packet packet;
        if (decode(buffer, static_cast<size_t>(count), packet)) {
          take(caller, packet);
        }
      }
    }
    const int64_t now = nowMs();
    if (now - scannedAt_ >= 5) {
      scannedAt_ = now;
      for (auto& [id, flow] : flows_) {
        due(now, flow);
      }
    }
  }
  std::map<uint64_t, Flow>& flows() { return flows_; }
  uint64_t broken = 0, excused = 0, answered = 0, gaveUp = 0, refusedOpenings = 0, lost = 0,
           copiesOfOpenings = 0;

 private:
  Packet base(const Flow& flow) const {
    Packet packet;
    packet.seq = flow.seq;
    packet.ack = flow.ack;
    packet.echo = flow.echo;
    packet.sport = flow.port;
    packet.dport = kRoutePort;
    packet.src = number(callerIp(flow.caller));
    packet.dst = number(routeIp());
    return packet;
  }
  void transmitSyn(Flow& flow) {
    Packet packet = base(flow);
    packet.flags = kSyn;
    packet.echo = 0;
    packet.ack = static_cast<uint32_t>(flow.copies);  // copies are counted in `ack`
    sendTo(sockets_[flow.caller], nodeIp(flow.node), dataPort, encode(packet));
    copiesOfOpenings += flow.copies > 0 ? 1 : 0;
    static constexpr int kWaits[] = {200, 400, 800};
    flow.nextAt = nowMs() + kWaits[flow.copies++];
  }
  void transmit(Flow& flow) {
    Packet packet = base(flow);
    packet.flags = kAck;
    packet.data = flow.request;
    sendTo(sockets_[flow.caller], nodeIp(flow.node), dataPort, encode(packet));
    flow.lastAt = nowMs();
    flow.nextAt = flow.lastAt + flow.wait;
    flow.wait = std::min(flow.wait * 2, 1600);
    ++flow.copies;
  }
  void due(int64_t now, Flow& flow) {
    if (flow.stage == Stage::kClosed) {
      return;
    }
    if (flow.stage == Stage::kOpening && now >= flow.nextAt) {
      if (flow.copies >= 3) {
        ++gaveUp;
        close(flow);
      } else {
        transmitSyn(flow);
      }
    } else if (flow.stage == Stage::kWaiting && now - flow.firstSentAt >= kDeadline) {
      ++gaveUp;
      close(flow);
    } else if (flow.stage == Stage::kWaiting && now >= flow.nextAt) {
      transmit(flow);
    } else if (flow.stage == Stage::kIdle && flow.usual && now >= flow.nextAt) {
      request(flow);
    }
  }
  /** The attempt is over; a usual caller goes on with a new flow from a new port. */
  void close(Flow& flow) {
    flow.stage = Stage::kClosed;
    if (flow.usual) {
      const int node = flow.node;
      start(node, false, true);
    }
  }
  void take(int caller, const Packet& packet) {
    const auto found = flows_.find(static_cast<uint64_t>(caller) << 16 | packet.dport);
    if (found == flows_.end() || found->second.stage == Stage::kClosed) {
      return;
    }
    Flow& flow = found->second;
    const int64_t now = nowMs();
    if ((packet.flags & kRst) != 0) {
      reset(now, flow, packet);
      return;
    }
    if (packet.sum != sumOf(packet)) {
      record("caller %d: a packet that no host wrote in this form", caller);
      return;
    }
    if ((packet.flags & kSyn) != 0) {
      if (flow.stage != Stage::kOpening) {
        return;
      }
      flow.echo = packet.echo;
      flow.ack = packet.seq + 1;
      ++flow.seq;
      flow.openedAt = now;
      request(flow);  // its first packet also ends the handshake
      return;
    }
    if (packet.data.empty() || flow.stage != Stage::kWaiting || packet.seq != flow.ack) {
      return;
    }
    flow.echo = packet.echo;
    flow.ack += static_cast<uint32_t>(packet.data.size());
    flow.seq += static_cast<uint32_t>(flow.request.size());
    flow.stage = Stage::kIdle;
    flow.lastAt = now;
    flow.nextAt = now + 200;
    ++flow.requests;
    ++answered;
    if (flow.host < 0) {
      flow.host = hosts_.hostOf(number(callerIp(flow.caller)), flow.port);
    }
    if (packet.data != "ok " + flow.request) {
      record("caller %d port %u: an answer to another request", caller, flow.port);
    }
    Packet acknowledgement = base(flow);
    acknowledgement.flags = kAck;
    sendTo(sockets_[flow.caller], nodeIp(flow.node), dataPort, encode(acknowledgement));
    if (flow.early && flow.requests > 1) {
      record("early flow: caller %s port %u at host %d is answered", callerIp(caller).c_str(),
             flow.port, flow.host);
    }
  }
  /** FLOW (a), as written, with its excuses. */
  void reset(int64_t now, Flow& flow, const Packet& packet) {
    const bool fromSystem = packet.sum == 0;
    const int host = hosts_.hostOf(number(callerIp(flow.caller)), flow.port);
    if (!fromSystem || host < 0) {
      refusedOpenings += fromSystem ? 1 : 0;
      close(flow);
      return;
    }
    const auto distance = static_cast<uint32_t>(packet.seq - flow.ack + 76800);
    const bool accepted = distance <= 2 * 76800;
    const bool tooOld = now - flow.openedAt > kMaxFlow;
    const int64_t rested = flow.stage == Stage::kWaiting ? flow.rested : now - flow.lastAt;
    const bool restedTooLong = rested > kIdleTimeout;
    if (tooOld || restedTooLong || !accepted) {
      ++excused;
    } else {
      ++broken;
      const bool waiting = flow.stage == Stage::kWaiting;
      lost += waiting ? 1 : 0;
      if (broken <= 60) {
        record("FLOW broken: caller %s port %u gets a reset of the system's own; its flow is open at "
               "host %d (%s), which is alive; flow %lld ms old, %s%s", callerIp(flow.caller).c_str(),
               flow.port, host, hostId(host).c_str(), static_cast<long long>(now - flow.openedAt),
               waiting ? "waiting for the answer to " : "at rest",
               waiting ? flow.request.c_str() : "");
      }
    }
    close(flow);
  }

  Hosts& hosts_;
  int sockets_[kCallers];
  uint16_t ports_[kCallers];
  std::map<uint64_t, Flow> flows_;
  std::mt19937 random_{11};
  uint64_t ids_ = 0;
  int next_ = 0;
  int64_t scannedAt_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  zero = Clock::now();
  const std::string program = argv[1];
  folder = argv[2];
  recordFile = fopen(argv[3], "w");
  const char* variable = getenv("TROUBLE");
  const bool trouble = variable == nullptr || strcmp(variable, "0") != 0;
  signal(SIGPIPE, SIG_IGN);
  Store store;
  Hosts hosts(kHosts);
  hosts.workMs = kWork;
  Callers callers(hosts);
  if (!findAddresses(kNodes, store, hosts, callers)) {
    cannotRun("no free addresses");
  }
  store.create("config", "main",
               "{\"version\":7,\"routes\":[{\"name\":\"r-live\",\"host\":\"" +
                   routeIp() + "\",\"path_prefix\":\"/" + std::to_string(kRoutePort) +
                   "/\",\"kind\":\"unsafe\",\"timeout_ms\":" + std::to_string(kDeadline) +
                   ",\"target_latency_ms\":120,\"priority\":2,\"service\":\"fleet\","
                   "\"max_attempts\":2}],\"services\":[{\"name\":\"fleet\",\"health_path\":"
                   "\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false}],"
                   "\"limits\":{\"idle_timeout_ms\":" + std::to_string(kIdleTimeout) + "}}");
  for (int host = 0; host < kHosts; ++host) {
    store.create("servers", hostId(host),
                 "{\"service\":\"fleet\",\"address\":\"" + hostIp(host) + ":" +
                     std::to_string(hostPort) +
                     "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
                     "\"cold_remaining_ms\":0,\"sequence\":1}");
  }
  std::thread hostThread([&] { hosts.run(); });
  for (int node = 0; node < kNodes; ++node) {
    startNode(program, node);
  }
  const auto play = [&](int64_t until) {
    while (nowMs() < until) {
      callers.turn();
    }
    if (!nodesAlive()) {
      cannotRun("a node ended");
    }
  };
  int ready = 0;
  while (ready < kNodes && nowMs() < 15000) {
    ready = 0;
    for (int node = 0; node < kNodes; ++node) {
      ready += isReady(node) ? 1 : 0;
    }
    usleep(100000);
  }
  if (ready < kNodes) {
    cannotRun("nodes are not ready");
  }
  record("%d nodes of one zone are ready; trouble=%d", ready, trouble ? 1 : 0);
  play(nowMs() + 3000);
  // Callers with long flows and a request each 200 ms, and callers whose flows rest.
  for (int count = 0; count < kUsualFlowsPerNode * kNodes; ++count) {
    callers.start(count % kNodes, false, true);
    play(nowMs() + 10);
  }
  for (int count = 0; count < kRestingFlows; ++count) {
    callers.start(count % kNodes, true, false);
    play(nowMs() + 10);
  }
  play(nowMs() + 1000);
  std::map<int, int> before;
  for (auto& [id, flow] : callers.flows()) {
    if (flow.stage == Stage::kIdle || flow.stage == Stage::kWaiting) {
      ++before[flow.host];
    }
  }
  record("%d flows are open at host 0 (%s), %llu requests answered, %llu attempts given up", before[0],
         hostId(0).c_str(), static_cast<unsigned long long>(callers.answered),
         static_cast<unsigned long long>(callers.gaveUp));
  if (before[0] < 3) {
    cannotRun("too few flows at host 0");
  }
  const uint64_t copiesBefore = callers.copiesOfOpenings;
  if (trouble) {
    const std::string entry = "{\"service\":\"fleet\",\"address\":\"" + hostIp(0) + ":" +
                              std::to_string(hostPort) +
                              "\",\"zone\":\"z-a\",\"state\":\"ready\"}";
    store.create("servers", "i-0000beef", entry);
    record("another writer adds the entry i-0000beef: %s", entry.c_str());
  }
  const int64_t from = nowMs();
  bool stands = trouble;
  while (nowMs() < from + kWatch) {
    if (stands && nowMs() >= from + kStands) {
      stands = false;
      store.remove("servers", "i-0000beef");
      record("the entry i-0000beef is removed");
    }
    callers.start(static_cast<int>(nowMs() / 50) % kNodes, false, false);  // 20 more flows a second
    play(nowMs() + 50);
  }
  int fresh = 0, freshAtHost = 0, late = 0, lateAtHost = 0;
  for (auto& [id, flow] : callers.flows()) {
    const bool isFresh = flow.openedAt > from && flow.host >= 0;
    fresh += isFresh ? 1 : 0;
    freshAtHost += isFresh && flow.host == 0 ? 1 : 0;
    const bool isLate = isFresh && flow.openedAt > from + kStands + kDrain;
    late += isLate ? 1 : 0;
    lateAtHost += isLate && flow.host == 0 ? 1 : 0;
  }
  record("%llu requests were answered, %llu run by hosts, %llu attempts given up, %llu openings refused "
         "by the system", static_cast<unsigned long long>(callers.answered),
         static_cast<unsigned long long>(hosts.requests.load()),
         static_cast<unsigned long long>(callers.gaveUp),
         static_cast<unsigned long long>(callers.refusedOpenings));
  record("%d flows opened since, %d of them at host 0; %d in the last seconds, %d of them at host 0; "
         "%llu opening packets had to be sent again", fresh, freshAtHost, late, lateAtHost,
         static_cast<unsigned long long>(callers.copiesOfOpenings - copiesBefore));
  record("result: %llu open flows of a living host were reset, %llu of them with a request under way "
         "that may run at most once", static_cast<unsigned long long>(callers.broken),
         static_cast<unsigned long long>(callers.lost));
  endNodes();
  hosts.stop = true;
  hostThread.join();
  fclose(recordFile);
  _exit(callers.broken > 0 ? 1 : 0);
}
