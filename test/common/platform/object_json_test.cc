/** @file Strict parsing of specifications, and round trips. */
#include "common/platform/object_json.h"

#include <rapidcheck.h>

#include "test/support/without_leak_detection.h"

using namespace umberhold;

namespace {

const char* const kComplete =
    R"({"region":"addis","address":"10.9.0.1","port":7000,"protocol":"udp","policy":"least-load",)"
    R"("idle_timeout_seconds":600,"shards":5,"hosts":[{"name":"d-1","address":"10.0.0.1:9000",)"
    R"("probe":"10.0.0.1:9001","zone":"bole","state":"draining","drain_deadline":1700000000,)"
    R"("connection_limit":1500,"weight":50}]})";

/** @return the complete specification with one substring replaced. */
std::string withReplaced(const std::string& from, const std::string& to) {
  std::string text = kComplete;
  const size_t at = text.find(from);
  return at == std::string::npos ? "" : text.replace(at, from.size(), to);
}

void checkRejected(ObjectErrorCode code, const std::string& path,
                   const std::string& specification) {
  const auto service = parseService("dispatch", specification);
  CHECK_FALSE(isOk(service));
  STRCMP_EQUAL(std::string(toString(code)).c_str(),
               std::string(toString(errorOf(service).code)).c_str());
  STRCMP_EQUAL(path.c_str(), errorOf(service).path.c_str());
}

}  // namespace

TEST_GROUP(ObjectJson){};

TEST(ObjectJson, ReportsThePathOfEveryError) {
  checkRejected(ObjectErrorCode::kSyntax, "", "{\"region\":");
  checkRejected(ObjectErrorCode::kSyntax, "", "[]");
  checkRejected(ObjectErrorCode::kUnknownKey, "sharts", withReplaced("shards", "sharts"));
  checkRejected(ObjectErrorCode::kUnknownKey, "hosts[0].wait", withReplaced("weight", "wait"));
  checkRejected(ObjectErrorCode::kMissingKey, "port", withReplaced("\"port\":7000,", ""));
  checkRejected(ObjectErrorCode::kMissingKey, "hosts[0].zone",
                withReplaced("\"zone\":\"bole\",", ""));
  checkRejected(ObjectErrorCode::kWrongType, "port", withReplaced("7000", "\"7000\""));
  checkRejected(ObjectErrorCode::kWrongType, "port", withReplaced("7000", "true"));
  checkRejected(ObjectErrorCode::kWrongType, "port", withReplaced("7000", "7000.5"));
  checkRejected(ObjectErrorCode::kWrongType, "region", withReplaced("\"addis\"", "5"));
  checkRejected(ObjectErrorCode::kWrongType, "hosts[0]", withReplaced("[{", "[7,{"));
  checkRejected(ObjectErrorCode::kOutOfRange, "port", withReplaced("7000", "65536"));
  checkRejected(ObjectErrorCode::kOutOfRange, "port", withReplaced("7000", "0"));
  checkRejected(ObjectErrorCode::kOutOfRange, "shards",
                withReplaced("\"shards\":5", "\"shards\":65"));
  checkRejected(ObjectErrorCode::kOutOfRange, "hosts[0].weight",
                withReplaced("\"weight\":50", "\"weight\":-1"));
  checkRejected(ObjectErrorCode::kOutOfRange, "hosts[0].connection_limit",
                withReplaced("1500", "18446744073709551615"));
  checkRejected(ObjectErrorCode::kInvalidValue, "protocol", withReplaced("udp", "sctp"));
  checkRejected(ObjectErrorCode::kInvalidValue, "address", withReplaced("10.9.0.1", "10.9.0"));
  checkRejected(ObjectErrorCode::kInvalidValue, "hosts[0].address",
                withReplaced("10.0.0.1:9000", "h:1"));
  checkRejected(ObjectErrorCode::kInvalidValue, "hosts[0].state", withReplaced("draining", "gone"));
  checkRejected(ObjectErrorCode::kInvalidValue, "hosts[0].incarnation",
                withReplaced("\"weight\":50", "\"incarnation\":\"xyz\""));
  checkRejected(ObjectErrorCode::kMissingKey, "groups[0].pool",
                withReplaced("\"shards\":5", "\"shards\":5,\"groups\":[{}]"));
  checkRejected(ObjectErrorCode::kInvalidValue, "requests",
                withReplaced("\"shards\":5", "\"shards\":5,\"requests\":\"often\""));
}

TEST(ObjectJson, ReadsEveryField) {
  const auto service = parseService("dispatch", kComplete);
  CHECK_TRUE(isOk(service));
  Service expected;
  expected.name = "dispatch";
  expected.region = "addis";
  expected.address = 0x0A090001;
  expected.port = 7000;
  expected.protocol = TransportProtocol::kUdp;
  expected.policy = "least-load";
  expected.idleTimeoutSeconds = 600;
  expected.shardCount = 5;
  expected.hosts = {{"d-1",
                     {0x0A000001, 9000},
                     {0x0A000001, 9001},
                     "bole",
                     HostState::kDraining,
                     1700000000,
                     1500,
                     50}};
  CHECK_TRUE(expected == valueOf(service));
}

TEST(ObjectJson, AppliesDefaultsToAbsentFields) {
  const auto service =
      parseService("docs", R"({"region":"hobart","address":"10.9.0.2","port":443,"protocol":"tcp",)"
                           R"("hosts":[{"name":"a","address":"10.0.0.2:1","zone":"north"}]})");
  CHECK_TRUE(isOk(service));
  const HostSpec& host = valueOf(service).hosts.front();
  CHECK_EQUAL(2000U, host.connectionLimit);
  CHECK_EQUAL(100U, host.weight);
  CHECK_EQUAL(0, host.probe.port);
  CHECK_TRUE(host.state == HostState::kActive);
  CHECK_EQUAL(3, valueOf(service).shardCount);
}

TEST(ObjectJson, PolicySourceWithQuotesAndNewlinesRoundTrips) {
  const Policy policy{"p", "function weigh(host)\n  return \"\\\"\xC3\xA9\" and 1\nend\t"};
  const auto read = parsePolicy("p", formatPolicy(policy));
  CHECK_TRUE(isOk(read));
  CHECK_TRUE(policy == valueOf(read));
  CHECK_FALSE(isOk(parsePolicy("p", R"({"source":"x","extra":1})")));
  CHECK_FALSE(isOk(parsePolicy("p", "{}")));
}

/** rapidcheck keeps its configuration in static variables. */
TEST_GROUP_BASE(ObjectJsonProperty, test::WithoutLeakDetection){};

TEST(ObjectJsonProperty, ServicesRoundTrip) {
  const bool held = rc::check("service round trip", [] {
    Service service;
    service.name = "round-trip";
    service.region = "region " + std::to_string(*rc::gen::inRange(0, 9));
    service.address = *rc::gen::arbitrary<uint32_t>();
    service.port = *rc::gen::inRange<uint16_t>(1, 65535);
    service.idleTimeoutSeconds = *rc::gen::inRange<uint32_t>(1, 4000000000U);
    service.shardCount = *rc::gen::inRange<uint16_t>(1, 65);
    service.protocol = *rc::gen::element(TransportProtocol::kTcp, TransportProtocol::kUdp);
    const auto hostCount = *rc::gen::inRange(0, 20);
    for (int index = 0; index < hostCount; ++index) {
      HostSpec host;
      host.name = "h" + std::to_string(index);
      host.endpoint = {*rc::gen::arbitrary<uint32_t>(), *rc::gen::inRange<uint16_t>(1, 65535)};
      host.zone = "zone \"" + std::to_string(index) + "\"";
      host.state = *rc::gen::element(HostState::kActive, HostState::kDraining);
      host.drainDeadline = *rc::gen::inRange<int64_t>(0, 1LL << 40);
      host.weight = *rc::gen::arbitrary<uint32_t>();
      service.hosts.push_back(host);
    }
    const auto read = parseService(service.name, formatService(service));
    RC_ASSERT(isOk(read));
    RC_ASSERT(valueOf(read) == service);
  });
  CHECK_TRUE(held);
}

TEST(ObjectJson, GroupsAndIncarnationsRoundTrip) {
  Service service;
  service.name = "pickup";
  service.region = "addis";
  service.address = 0xC6120001;
  service.port = 443;
  service.groups = {{"dispatch", 90}, {"mapstore", 10}};
  service.repeatable = true;
  service.priority = 0;
  service.requestTimeoutMilliseconds = 2500;
  service.targetLatencyMilliseconds = 120;
  const auto readService = parseService("pickup", formatService(service));
  CHECK_TRUE(isOk(readService));
  CHECK_TRUE(valueOf(readService) == service);

  HostSpec host;
  host.name = "i-7f3a91c2";
  host.endpoint = {0x0A800009, 8080};
  host.zone = "bole";
  host.incarnation = 0xFFFFFFFF7F3A91C2;
  const HostPool pool{"dispatch", {host}};
  const auto readPool = parseHostPool("dispatch", formatHostPool(pool));
  CHECK_TRUE(isOk(readPool));
  CHECK_TRUE(valueOf(readPool) == pool);
}
