/** @file Strict reading of specifications, and their round trip. */
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

/** The complete specification with one text replaced. */
std::string with(const std::string& from, const std::string& to) {
  std::string text = kComplete;
  const size_t at = text.find(from);
  return at == std::string::npos ? "" : text.replace(at, from.size(), to);
}

void checkRefused(ObjectErrorCode code, const std::string& path, const std::string& specification) {
  const auto service = parseService("dispatch", specification);
  CHECK_FALSE(isOk(service));
  STRCMP_EQUAL(std::string(toString(code)).c_str(),
               std::string(toString(errorOf(service).code)).c_str());
  STRCMP_EQUAL(path.c_str(), errorOf(service).path.c_str());
}

}  // namespace

TEST_GROUP(ObjectJson){};

TEST(ObjectJson, NamesThePlaceOfEveryFault) {
  checkRefused(ObjectErrorCode::kSyntax, "", "{\"region\":");
  checkRefused(ObjectErrorCode::kSyntax, "", "[]");
  checkRefused(ObjectErrorCode::kUnknownKey, "sharts", with("shards", "sharts"));
  checkRefused(ObjectErrorCode::kUnknownKey, "hosts[0].wait", with("weight", "wait"));
  checkRefused(ObjectErrorCode::kMissingKey, "port", with("\"port\":7000,", ""));
  checkRefused(ObjectErrorCode::kMissingKey, "hosts[0].zone", with("\"zone\":\"bole\",", ""));
  checkRefused(ObjectErrorCode::kWrongType, "port", with("7000", "\"7000\""));
  checkRefused(ObjectErrorCode::kWrongType, "port", with("7000", "true"));
  checkRefused(ObjectErrorCode::kWrongType, "port", with("7000", "7000.5"));
  checkRefused(ObjectErrorCode::kWrongType, "region", with("\"addis\"", "5"));
  checkRefused(ObjectErrorCode::kWrongType, "hosts[0]", with("[{", "[7,{"));
  checkRefused(ObjectErrorCode::kOutOfRange, "port", with("7000", "65536"));
  checkRefused(ObjectErrorCode::kOutOfRange, "port", with("7000", "0"));
  checkRefused(ObjectErrorCode::kOutOfRange, "shards", with("\"shards\":5", "\"shards\":65"));
  checkRefused(ObjectErrorCode::kOutOfRange, "hosts[0].weight",
               with("\"weight\":50", "\"weight\":-1"));
  checkRefused(ObjectErrorCode::kOutOfRange, "hosts[0].connection_limit",
               with("1500", "18446744073709551615"));
  checkRefused(ObjectErrorCode::kInvalidValue, "protocol", with("udp", "sctp"));
  checkRefused(ObjectErrorCode::kInvalidValue, "address", with("10.9.0.1", "10.9.0"));
  checkRefused(ObjectErrorCode::kInvalidValue, "hosts[0].address", with("10.0.0.1:9000", "h:1"));
  checkRefused(ObjectErrorCode::kInvalidValue, "hosts[0].state", with("draining", "gone"));
  checkRefused(ObjectErrorCode::kInvalidValue, "hosts[0].incarnation",
               with("\"weight\":50", "\"incarnation\":\"xyz\""));
  checkRefused(ObjectErrorCode::kMissingKey, "groups[0].pool",
               with("\"shards\":5", "\"shards\":5,\"groups\":[{}]"));
  checkRefused(ObjectErrorCode::kInvalidValue, "requests",
               with("\"shards\":5", "\"shards\":5,\"requests\":\"often\""));
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

TEST(ObjectJson, LeavesOutWhatHasADefault) {
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

TEST(ObjectJson, PolicySourceSurvivesQuotesAndLines) {
  const Policy policy{"p", "function weigh(host)\n  return \"\\\"\xC3\xA9\" and 1\nend\t"};
  const auto read = parsePolicy("p", formatPolicy(policy));
  CHECK_TRUE(isOk(read));
  CHECK_TRUE(policy == valueOf(read));
  CHECK_FALSE(isOk(parsePolicy("p", R"({"source":"x","extra":1})")));
  CHECK_FALSE(isOk(parsePolicy("p", "{}")));
}

/** rapidcheck keeps its configuration in statics. */
TEST_GROUP_BASE(ObjectJsonProperty, test::WithoutLeakDetection){};

TEST(ObjectJsonProperty, WhatIsWrittenReadsTheSame) {
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

TEST(ObjectJson, GroupsAndIncarnationsSurviveTheRoundTrip) {
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
