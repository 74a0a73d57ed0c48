/** @file Tests log lines and counters of decisions with a sink that stores the lines. */
#include "common/server/flow_log.h"

#include <string>
#include <vector>

#include "common/packet/packet_path.h"
#include "common/token/token_director.h"
#include "platform/packet/echo_format.h"
#include "test/support/without_leak_detection.h"

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr uint8_t kSyn = 128;
constexpr uint8_t kAck = 2;
constexpr uint8_t kRst = 4;
constexpr uint32_t kService = 0xC6120001;

class RecordingSink : public google::LogSink {
 public:
  using google::LogSink::send;
  void send(google::LogSeverity /*severity*/, const char* /*fullFilename*/,
            const char* /*baseFilename*/, int /*line*/, const google::LogMessageTime& /*time*/,
            const char* message, size_t length) override {
    lines.emplace_back(message, length);
  }

  std::vector<std::string> lines;
};

class DiscardingOutput : public PacketOutput {
 public:
  void sendToHost(const Endpoint& /*host*/, std::string_view /*packet*/) override {}
  void sendToNode(const Endpoint& /*relay*/, std::string_view /*packet*/) override {}
  void sendToCaller(const Endpoint& /*caller*/, std::string_view /*packet*/) override {}
};

void put(std::string& packet, size_t offset, uint64_t value, size_t bytes) {
  for (size_t index = 0; index < bytes; ++index) {
    packet[offset + bytes - 1 - index] = static_cast<char>((value >> (8 * index)) & 0xFFU);
  }
}

std::string packetOf(uint8_t flags, uint32_t token, const std::string& data = "",
                     uint16_t callerPort = 40001, uint16_t port = 8000) {
  std::string packet(31, '\0');
  put(packet, 4, flags, 1);
  put(packet, 5, token, 4);
  put(packet, 17, callerPort, 2);
  put(packet, 19, port, 2);
  put(packet, 21, 0x64400007, 4);
  put(packet, 25, kService, 4);
  put(packet, 29, data.size(), 2);
  return packet + data;
}

HostSpec makeHost(uint64_t number, const std::string& zone) {
  HostSpec host;
  host.name = "h-" + std::to_string(number);
  host.endpoint = {0x0A800000 + static_cast<uint32_t>(number), 8080};
  host.zone = zone;
  host.incarnation = number;
  return host;
}

}  // namespace

TEST_GROUP_BASE(FlowLog, test::WithoutLeakDetection) {
  RandomSource random{7};
  TokenDirector director{{"bole", seconds(60)}, random};
  DiscardingOutput output;
  platform::EchoFormat format;
  PacketPath path{director, director, output, format};
  RecordingSink sink;
  FlowLog log{&sink, format, "X-Request"};
  TimePoint now = kStart;

  void setup() override {
    path.setObserver(&log);
    path.setReady(true);
    path.setRefuseUnknownServices(true);
    Service service;
    service.name = "pickup";
    service.address = kService;
    service.port = 8000;
    service.groups = {{"dispatch", 1}};
    director.setService(service);
    setHosts({makeHost(1, "bole"), makeHost(2, "piassa")});
  }
  void setHosts(const std::vector<HostSpec>& hosts) {
    director.setPool(now, {"dispatch", hosts}, 57);
  }
  void process(const std::string& packet) {
    path.onPacket(now, PacketSource::kFabric, packet);
  }
  /** @return the last line, or an empty string. */
  std::string lastLine() const {
    return sink.lines.empty() ? "" : sink.lines.back();
  }
  void checkLastLine(const std::string& expected) const {
    STRCMP_EQUAL(expected.c_str(), lastLine().c_str());
  }
};

TEST(FlowLog, LogsTheReasonOfAPlacement) {
  now += milliseconds(1200);
  process(packetOf(kSyn, 0));
  checkLastLine(
      "event=flow_placed flow=100.64.0.7:40001>198.18.0.1:8000 service=pickup pool=dispatch "
      "host=h-1 endpoint=10.128.0.1:8080 avoided=- zone=own leaves_zone=0 silent=0 vanished=0 "
      "slow=0 "
      "slowness=1.0 zone_score=1.0 "
      "load=0.0 weight=100 speed=1.0 candidates=2 catalogue=57 age_ms=1200");
  LONGS_EQUAL(1, log.counters().openedByPool.at("dispatch").ownZone);
}

TEST(FlowLog, LogsTheOriginalPoolOfAnOverflowedFlow) {
  const std::string bytes = packetOf(kSyn, 0);
  const ParsedPacket packet = valueOf(format.parse(bytes));
  PlacementEvidence evidence;
  evidence.overflowFrom = "mapstore";
  ForwardToHost decision;
  decision.label = {"h-1", "dispatch"};
  decision.placement = &evidence;
  log.onDecided(now, packet, decision, bytes);
  STRCMP_CONTAINS(" pool=dispatch ", lastLine().c_str());
  STRCMP_CONTAINS(" overflow_from=mapstore", lastLine().c_str());
  LONGS_EQUAL(1, log.counters().overflowed.at({"mapstore", "dispatch"}));
}

TEST(FlowLog, LimitsTheNumberOfCountedPoolPairs) {
  const std::string bytes = packetOf(kSyn, 0);
  const ParsedPacket packet = valueOf(format.parse(bytes));
  for (int number = 0; number < 100; ++number) {
    const std::string overflowedPool = "p-" + std::to_string(number);
    PlacementEvidence evidence;
    evidence.overflowFrom = overflowedPool;
    ForwardToHost decision;
    decision.label = {"h-1", "dispatch"};
    decision.placement = &evidence;
    log.onDecided(now, packet, decision, bytes);
  }
  LONGS_EQUAL(65, log.counters().overflowed.size());
  LONGS_EQUAL(36, log.counters().overflowed.at({"other", "other"}));
}

TEST(FlowLog, LogsARepeatedOpeningAndTheAvoidedHost) {
  process(packetOf(kSyn, 0));
  now += milliseconds(200);
  process(packetOf(kSyn, 0));
  STRCMP_CONTAINS("event=opening_repeated", lastLine().c_str());
  STRCMP_CONTAINS("host=h-2 endpoint=10.128.0.2:8080 avoided=h-1 zone=other", lastLine().c_str());
  LONGS_EQUAL(1, log.counters().repeatedOpenings);
}

TEST(FlowLog, LogsARequestWithItsFlowAndHost) {
  const std::string request = "GET / HTTP/1.1\r\nX-Request: q-77\r\n\r\n";
  process(packetOf(kAck, flowTokenOf(2), request));
  checkLastLine(
      "event=request request=q-77 flow=100.64.0.7:40001>198.18.0.1:8000 pool=dispatch host=h-2 "
      "endpoint=10.128.0.2:8080");
  process(packetOf(kAck, flowTokenOf(2)));
  LONGS_EQUAL(1, sink.lines.size());
  LONGS_EQUAL(1, log.counters().requests);
}

TEST(FlowLog, LogsDropsAndHoldsWithReasonAndRequest) {
  const std::string request = "GET / HTTP/1.1\r\nX-Request: q-1\r\n\r\n";
  process(packetOf(kAck, 0, request));
  checkLastLine(
      "event=packet_dropped reason=host_gone flow=100.64.0.7:40001>198.18.0.1:8000 "
      "phase=continuing token=0 request=q-1");
  process(packetOf(kAck, 12345, request));
  checkLastLine(
      "event=packet_held reason=host_unknown flow=100.64.0.7:40001>198.18.0.1:8000 "
      "phase=continuing token=12345 request=q-1");
  process("short");
  checkLastLine("event=packet_dropped reason=truncated bytes=5");
  path.setReady(false);
  process(packetOf(kSyn, 0));
  checkLastLine(
      "event=packet_dropped reason=not_ready flow=100.64.0.7:40001>198.18.0.1:8000 phase=opening "
      "token=0 request=-");
}

TEST(FlowLog, LogsRefusalsWithTheirReason) {
  process(packetOf(kSyn, 0, "", 40001, 9));
  checkLastLine(
      "event=flow_refused reason=unknown_service flow=100.64.0.7:40001>198.18.0.1:9 phase=opening "
      "request=-");
  setHosts({});
  now += seconds(2);
  process(packetOf(kSyn, 0));
  STRCMP_CONTAINS("event=flow_refused reason=no_host", lastLine().c_str());
  HostSpec successor = makeHost(3, "bole");
  successor.endpoint = makeHost(1, "bole").endpoint;
  setHosts({successor});
  process(packetOf(kAck, flowTokenOf(1)));
  STRCMP_CONTAINS("event=flow_refused reason=host_ended", lastLine().c_str());
  LONGS_EQUAL(1, log.counters().refused[static_cast<size_t>(RefusalReason::kHostEnded)]);
}

TEST(FlowLog, LogsTheEvidenceAgainstASilentHost) {
  SilentHostEvidence evidence;
  evidence.label = {"h-1", "dispatch"};
  evidence.copies = 4;
  evidence.sinceFirstCopy = milliseconds(1400);
  evidence.sinceAnswer = milliseconds(1500);
  const std::string bytes = packetOf(kAck, flowTokenOf(1));
  const auto parsed = format.parse(bytes);
  log.onDecided(now, valueOf(parsed), RefuseFlow{RefusalReason::kHostSilent, &evidence}, bytes);
  checkLastLine(
      "event=flow_refused reason=host_silent flow=100.64.0.7:40001>198.18.0.1:8000 "
      "phase=continuing request=- pool=dispatch host=h-1 by=copies copies=4 since_first_ms=1400 "
      "answered_ms=1500 overtaken_ms=-");
}

TEST(FlowLog, LogsCallerResets) {
  process(packetOf(kRst, flowTokenOf(1)));
  STRCMP_CONTAINS("event=caller_reset", lastLine().c_str());
  LONGS_EQUAL(1, log.counters().callerResets);
}

TEST(FlowLog, CountsAndLogsSuppressedLines) {
  for (uint16_t port = 1; port <= 5000; ++port) {
    process(packetOf(kSyn, 0, "", port));
  }
  CHECK_TRUE(sink.lines.size() < 1000);
  const uint64_t suppressed = log.budget().suppressed(LineKind::kPlacement);
  CHECK_TRUE(suppressed > 4000);
  // Failures have a separate budget.
  process(packetOf(kSyn, 0, "", 40001, 9));
  STRCMP_CONTAINS("event=flow_refused", lastLine().c_str());
  now += seconds(1);
  process(packetOf(kSyn, 0, "", 6000));
  const std::string previousLine = sink.lines[sink.lines.size() - 2];
  STRCMP_EQUAL(
      ("event=lines_suppressed kind=placement count=" + std::to_string(suppressed)).c_str(),
      previousLine.c_str());
  STRCMP_CONTAINS("event=flow_placed", lastLine().c_str());
}

TEST(FlowLog, CountsWithoutASink) {
  FlowLog logWithoutSink(nullptr, format, "X-Request");
  path.setObserver(&logWithoutSink);
  process(packetOf(kSyn, 0));
  LONGS_EQUAL(0, sink.lines.size());
  LONGS_EQUAL(1, logWithoutSink.counters().openedByPool.at("dispatch").ownZone);
}

}  // namespace umberhold

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>
