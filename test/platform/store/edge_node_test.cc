/** @file Tests the whole path on loopback: store, node, packets to a host, answers to a caller. */
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "common/log/structured_log.h"
#include "common/platform/steady_now.h"
#include "common/server/token_node.h"
#include "common/token/token_director.h"
#include "platform/packet/echo_format.h"
#include "platform/store/object_store_adapter.h"
#include "test/platform/store/standin_store.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;
using namespace umberhold::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Endpoint kAnyPort{0x7F000001, 0};
constexpr uint32_t kCaller = 0x7F000001;
constexpr uint16_t kCallerPort = 40001;
constexpr uint64_t kIncarnation = 0x7F3A91C2;
constexpr uint8_t kSyn = 128;
constexpr uint8_t kAck = 2;
constexpr size_t kIncarnationBytes = 8;
constexpr size_t kFlagsOffset = 4;
constexpr Duration kTimeout = seconds(20);

void put(std::string& packet, size_t offset, uint64_t value, size_t bytes) {
  for (size_t index = 0; index < bytes; ++index) {
    packet[offset + bytes - 1 - index] = static_cast<char>((value >> (8 * index)) & 0xFFU);
  }
}

/** @return a packet from the caller to 198.18.0.1:8000. */
std::string packetOf(uint8_t flags, uint32_t token, uint16_t port = 8000) {
  std::string packet(31, '\0');
  put(packet, 4, flags, 1);
  put(packet, 5, token, 4);
  put(packet, 17, kCallerPort, 2);
  put(packet, 19, port, 2);
  put(packet, 21, kCaller, 4);
  put(packet, 25, 0xC6120001, 4);
  return packet;
}

std::string hostEntry(const Endpoint& address) {
  return R"({"service":"s-one","address":")" + toString(address) +
         R"(","zone":"bole","version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,)"
         R"("sequence":1})";
}

/** @return a configuration with or without the route to 198.18.0.1:8000. */
std::string configuration(uint64_t version, bool hasRoute) {
  const char* const route =
      R"({"name":"r-0","host":"198.18.0.1","path_prefix":"/8000/","service":"s-one"})";
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + (hasRoute ? route : "") +
         R"(],"services":[{"name":"s-one","max_connections":2000}],)" +
         R"("limits":{"idle_timeout_ms":15000}})";
}

}  // namespace

TEST_GROUP_BASE(EdgeNode, test::WithoutLeakDetection) {
  std::unique_ptr<test::StandinStore> store = std::make_unique<test::StandinStore>();
  std::unique_ptr<UdpPort> host = std::move(valueOf(UdpPort::open(kAnyPort)));
  /** Sends packets as the fabric does, and receives the node's answers on its own port. */
  std::unique_ptr<UdpPort> caller = std::move(valueOf(UdpPort::open(kAnyPort)));
  EchoFormat format;
  std::unique_ptr<ObjectStoreAdapter> adapter;
  std::unique_ptr<TokenNode> node;
  std::thread thread;
  Endpoint readiness;
  /** Settings that the node reads on a reload. */
  std::atomic<bool> settingsAreInvalid{false};

  TokenNodeSettings makeSettings() const {
    TokenNodeSettings settings;
    settings.zone = "bole";
    settings.region = "addis";
    settings.data = kAnyPort;
    settings.readiness = kAnyPort;
    settings.readinessPath = "/api/readiness";
    settings.metrics = kAnyPort;
    settings.metrics.address = 0x7F000003;
    settings.lingerMilliseconds = 1500;
    return settings;
  }
  TokenNodeHooks makeHooks() {
    TokenNodeHooks hooks;
    hooks.storeStatus = [this] { return adapter->status(); };
    hooks.readSettings = [this]() -> Result<TokenNodeSettings, SettingsError> {
      if (settingsAreInvalid) {
        return SettingsError{SettingsErrorCode::kMissingKey, "zone", 0, "must be set"};
      }
      TokenNodeSettings changed = makeSettings();
      changed.lingerMilliseconds = 1;
      return changed;
    };
    return hooks;
  }

  void startNode(StructuredLog * log) {
    ObjectStoreOptions options;
    options.address = store->address();
    options.region = "addis";
    adapter = std::make_unique<ObjectStoreAdapter>(options);
    TokenNodeHooks hooks = makeHooks();
    hooks.log = log;
    node = std::move(valueOf(TokenNode::create(makeSettings(), format, *adapter, hooks)));
    readiness = node->readiness();
    thread = std::thread([this] { node->run(); });
  }
  void stopNode() {
    node->stop();
    thread.join();
    adapter->stop();
    node.reset();
    adapter.reset();
  }

  void setup() override {
    startNode(nullptr);
  }
  void teardown() override {
    stopNode();
    store.reset();
  }
  void configure() {
    store->objects().set("servers", "i-7f3a91c2", hostEntry(host->local()));
    store->objects().set("config", "main", configuration(3, true));
  }
  struct Answer {
    int status = 0;
    std::string body;
  };

  static Answer httpGet(const Endpoint& port, const std::string& path) {
    Poco::Net::HTTPClientSession session(addressToString(port.address), port.port);
    Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    Answer answer;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), answer.body);
    answer.status = response.getStatus();
    return answer;
  }
  /** @return the HTTP status of a readiness request. */
  int readinessStatus(const std::string& path = "/api/readiness") const {
    return httpGet(readiness, path).status;
  }
  bool awaitMetric(const std::string& line) const {
    const TimePoint deadline = steadyNow() + kTimeout;
    while (steadyNow() < deadline) {
      if (httpGet(node->metrics(), "/metrics").body.find("\n" + line + "\n") != std::string::npos) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }
  bool awaitReadiness(int status) const {
    const TimePoint deadline = steadyNow() + kTimeout;
    while (readinessStatus() != status && steadyNow() < deadline) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return readinessStatus() == status;
  }
  static std::optional<std::string> receivePacket(UdpPort & port) {
    std::optional<std::string> received;
    const TimePoint deadline = steadyNow() + kTimeout;
    while (!received && steadyNow() < deadline) {
      port.receive([&](const Endpoint&, std::string_view bytes) { received = std::string(bytes); });
      std::this_thread::sleep_for(milliseconds(1));
    }
    return received;
  }
  /**
   * Sends a packet through the node.
   * @return the packet that the host received.
   */
  std::string forward(const std::string& packet) {
    caller->send(node->data(), packet);
    return receivePacket(*host).value_or("");
  }
};

TEST(EdgeNode, IsReadyOnceConfigurationAndHostsAreEffectiveAndForwardsAFlow) {
  CHECK_EQUAL(503, readinessStatus());
  CHECK_EQUAL(404, readinessStatus("/other"));
  configure();
  CHECK_TRUE(awaitReadiness(200));
  const uint32_t token = flowTokenOf(kIncarnation);
  std::string expected(kIncarnationBytes, '\0');
  put(expected, 0, kIncarnation, kIncarnationBytes);
  CHECK_TRUE(expected + packetOf(kSyn, token) == forward(packetOf(kSyn, 0)));
  CHECK_TRUE(expected + packetOf(kAck, token) == forward(packetOf(kAck, token)));
}

/** Guards against resets of open flows on a route that returned before this node heard of it. */
TEST(EdgeNode, ForwardsAnOpenFlowOfARouteThatWasAddedAgainUnnoticed) {
  configure();
  CHECK_TRUE(awaitReadiness(200));
  store->objects().set("config", "main", configuration(4, false));
  CHECK_TRUE(awaitMetric("umberhold_config_version 4"));
  store->objects().muteWatches("config");
  store->objects().set("config", "main", configuration(5, true));
  // Another node, which has the new configuration, opened the flow.
  const std::string packet = packetOf(kAck, flowTokenOf(kIncarnation));
  const std::string received = forward(packet);
  CHECK_TRUE(!received.empty() && received.substr(kIncarnationBytes) == packet);
  CHECK_TRUE(awaitMetric("umberhold_config_version 4"));
}

TEST(EdgeNode, KeepsForwardingWhileStopping) {
  configure();
  CHECK_TRUE(awaitReadiness(200));
  node->stop();
  CHECK_TRUE(awaitReadiness(503));
  CHECK_FALSE(forward(packetOf(kSyn, 0)).empty());
}

TEST(EdgeNode, SendsTheRefusalOfAFlowWithoutAServiceToTheCaller) {
  configure();
  CHECK_TRUE(awaitReadiness(200));
  const Endpoint callerAddress{0x7F000002, node->data().port};
  const auto listener = UdpPort::open(callerAddress);
  CHECK_TRUE(isOk(listener));
  std::string packet = packetOf(kSyn, 0, 9);
  put(packet, 21, callerAddress.address, 4);
  caller->send(node->data(), packet);
  const std::string reset = receivePacket(*valueOf(listener)).value_or("");
  LONGS_EQUAL(31, reset.size());
  LONGS_EQUAL(4, reset[kFlagsOffset]);
}

TEST(EdgeNode, ExposesMetricsAtTheMetricsPath) {
  configure();
  CHECK_TRUE(awaitReadiness(200));
  forward(packetOf(kSyn, 0));
  CHECK_TRUE(awaitMetric(R"(umberhold_opened_flows_total{pool="s-one",zone="own"} 1)"));
  const Answer answer = httpGet(node->metrics(), "/metrics?at=now");
  CHECK_EQUAL(200, answer.status);
  for (const char* line :
       {"umberhold_ready 1", "umberhold_config_version 3", "umberhold_hosts 1",
        R"(umberhold_packets_total{decision="forwarded"} 1)", "umberhold_packet_seconds_count 1",
        R"(umberhold_store_calls_total{outcome="failed"} 0)", "umberhold_store_failing 0"}) {
    STRCMP_CONTAINS(line, answer.body.c_str());
  }
  CHECK_EQUAL(404, httpGet(node->metrics(), "/other").status);
  CHECK_EQUAL(404, httpGet(node->metrics(), "/").status);
}

TEST(EdgeNode, AppliesReloadableSettingsAndRejectsInvalidOnes) {
  configure();
  CHECK_TRUE(awaitReadiness(200));
  settingsAreInvalid = true;
  node->reload();
  CHECK_TRUE(awaitMetric(R"(umberhold_settings_reloads_total{result="refused"} 1)"));
  settingsAreInvalid = false;
  node->reload();
  CHECK_TRUE(awaitMetric(R"(umberhold_settings_reloads_total{result="taken"} 1)"));
  CHECK_EQUAL(200, readinessStatus());
}

/** After an outage of the store, a running host may be without an entry for a while. */
TEST(EdgeNode, ForwardsAFlowWhoseHostRegistersAfterItsPacketArrived) {
  configure();
  CHECK_TRUE(awaitReadiness(200));
  const auto laterHost = UdpPort::open(kAnyPort);
  CHECK_TRUE(isOk(laterHost));
  const uint32_t token = flowTokenOf(0xABCD);
  caller->send(node->data(), packetOf(kAck, token));
  CHECK_TRUE(awaitMetric(R"(umberhold_packets_total{decision="held"} 1)"));
  store->objects().set("servers", "i-abcd", hostEntry(valueOf(laterHost)->local()));
  const std::string received = receivePacket(*valueOf(laterHost)).value_or("");
  CHECK_TRUE(!received.empty() && received.substr(kIncarnationBytes) == packetOf(kAck, token));
}

/**
 * A host with two slots may have eight openings in progress. The node holds the ninth until one of
 * the eight, whose callers send nothing further, is no longer counted.
 */
TEST(EdgeNode, HoldsAnOpeningUntilTheHostHasCapacity) {
  configure();
  CHECK_TRUE(awaitReadiness(200));
  const TimePoint startedAt = steadyNow();
  for (uint16_t flow = 0; flow < 9; ++flow) {
    std::string packet = packetOf(kSyn, 0);
    put(packet, 17, kCallerPort + flow, 2);
    CHECK_FALSE(flow < 8 && forward(packet).empty());
    if (flow == 8) {
      caller->send(node->data(), packet);
    }
  }
  CHECK_TRUE(receivePacket(*host).has_value());
  CHECK_TRUE(steadyNow() - startedAt >= milliseconds(150));
}

/** The log's pipe is full and not being read; packets and requests must still be answered. */
TEST(EdgeNode, KeepsForwardingWhileItsLogIsNotRead) {
  std::array<int, 2> pipeEnds{-1, -1};
  LONGS_EQUAL(0, ::pipe(pipeEnds.data()));
  StructuredLog log("edge_node_test", pipeEnds[1]);
  stopNode();
  startNode(&log);
  configure();
  CHECK_TRUE(awaitReadiness(200));
  const std::string filler(1000, 'x');
  while (log.output().counters().dropped == 0) {
    LOG(INFO) << "event=filler text=" << filler;
  }
  const uint64_t droppedBefore = log.output().counters().dropped;
  for (int packet = 0; packet < 50; ++packet) {
    CHECK_FALSE(forward(packetOf(kSyn, 0)).empty());
  }
  CHECK_EQUAL(200, readinessStatus());
  CHECK_TRUE(log.output().counters().dropped > droppedBefore);
  stopNode();
  startNode(nullptr);
  ::close(pipeEnds[0]);
  ::close(pipeEnds[1]);
}
