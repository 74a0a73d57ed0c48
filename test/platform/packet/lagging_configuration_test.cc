/** @file A node whose configuration is older than that of the node that opened a flow. */
#include <string>
#include <vector>

#include "common/packet/packet_path.h"
#include "common/token/token_director.h"
#include "platform/packet/echo_format.h"
#include "test/support/without_leak_detection.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::seconds;

constexpr uint8_t kSyn = 128;
constexpr uint8_t kAck = 2;
constexpr uint32_t kService = 0xC6120001;
constexpr uint16_t kPort = 8000;

class CountingOutput : public PacketOutput {
 public:
  void sendToHost(const Endpoint& /*host*/, std::string_view packet) override {
    forwarded.emplace_back(packet);
  }
  void sendToNode(const Endpoint& /*relay*/, std::string_view /*packet*/) override {}
  void sendToCaller(const Endpoint& /*caller*/, std::string_view /*packet*/) override { ++resets; }

  std::vector<std::string> forwarded;
  size_t resets = 0;
};

/** A node with hosts of one pool. */
struct Node {
  Node() {
    path.setReady(true);
    path.setRefuseUnknownServices(true);
    HostSpec host;
    host.name = "h-1";
    host.endpoint = {0x0A800001, 8080};
    host.zone = "bole";
    host.incarnation = 1;
    director.setPool(now, {"dispatch", {host}});
  }
  void addRoute() {
    Service service;
    service.name = "pickup";
    service.address = kService;
    service.port = kPort;
    service.groups = {{"dispatch", 1}};
    director.setService(service);
  }
  void process(uint8_t flags, uint32_t token, const std::string& data = "") {
    std::string packet(31, '\0');
    put(packet, 4, flags, 1);
    put(packet, 5, token, 4);
    put(packet, 17, 40001, 2);
    put(packet, 19, kPort, 2);
    put(packet, 21, 0x64400007, 4);
    put(packet, 25, kService, 4);
    put(packet, 29, data.size(), 2);
    path.onPacket(now, PacketSource::kFabric, packet + data);
  }
  static void put(std::string& packet, size_t at, uint64_t value, size_t bytes) {
    for (size_t index = 0; index < bytes; ++index) {
      packet[at + index] = static_cast<char>(value >> (8 * (bytes - 1 - index)));
    }
  }

  const TimePoint now{seconds(1000)};
  RandomSource random{7};
  TokenDirector director{{"bole", seconds(60)}, random};
  CountingOutput output;
  platform::EchoFormat format;
  PacketPath path{director, director, output, format};
};

}  // namespace

TEST_GROUP_BASE(LaggingConfiguration, test::WithoutLeakDetection){};

/** The router hands an open flow to another node when a node comes in or drops out. */
TEST(LaggingConfiguration, AnOpenFlowOfARouteThatIsNotKnownYetIsNotReset) {
  Node opener;
  opener.addRoute();
  opener.process(kSyn, 0);
  LONGS_EQUAL(1, opener.output.forwarded.size());
  Node lagging;
  lagging.process(kAck, flowTokenOf(1), "GET / HTTP/1.1\r\n");
  LONGS_EQUAL(0, lagging.output.resets);
  LONGS_EQUAL(1, lagging.output.forwarded.size());
}

TEST(LaggingConfiguration, AFlowOfARemovedRouteIsResetUntilTheRouteIsBack) {
  Node node;
  node.addRoute();
  node.director.removeService("pickup");
  node.process(kAck, flowTokenOf(1), "GET / HTTP/1.1\r\n");
  LONGS_EQUAL(1, node.output.resets);
  LONGS_EQUAL(0, node.output.forwarded.size());
  node.addRoute();
  node.process(kAck, flowTokenOf(1), "GET / HTTP/1.1\r\n");
  LONGS_EQUAL(1, node.output.forwarded.size());
}

TEST(LaggingConfiguration, PacketsOfUnknownRoutesAndHostsAreDroppedAndOpeningsRefused) {
  Node node;
  node.process(kAck, flowTokenOf(2), "GET / HTTP/1.1\r\n");
  LONGS_EQUAL(0, node.output.resets);
  LONGS_EQUAL(1, node.path.counters().dropped[static_cast<size_t>(DropReason::kUnknownService)]);
  node.process(kSyn, 0);
  LONGS_EQUAL(1, node.output.resets);
}

}  // namespace umberhold
