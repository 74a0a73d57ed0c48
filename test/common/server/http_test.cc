/** @file Tests of the HTTP server, the metrics format and the prober over loopback. */
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "common/server/event_loop.h"
#include "common/server/host_prober.h"
#include "common/server/http_server.h"
#include "common/server/node_metrics.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;

namespace {

constexpr Endpoint kAnyPort{0x7F000001, 0};

struct Answer {
  int status = 0;
  std::string body;
  std::string retryAfter;
};

Answer request(const Endpoint& server, const std::string& method, const std::string& target,
               const std::string& body = "") {
  Poco::Net::HTTPClientSession session(addressToString(server.address), server.port);
  Poco::Net::HTTPRequest head(method, target, Poco::Net::HTTPRequest::HTTP_1_1);
  head.set("Authorization", "Bearer token");
  head.setContentLength(static_cast<std::streamsize>(body.size()));
  session.sendRequest(head) << body;
  Poco::Net::HTTPResponse response;
  Answer answer;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), answer.body);
  answer.status = response.getStatus();
  answer.retryAfter = response.get("Retry-After", "");
  return answer;
}

/** Responds as a host's probe endpoint and records the requests. */
class RecordingHandler : public AdminHandler {
 public:
  AdminResponse handle(const AdminRequest& incoming) override {
    const std::lock_guard lock(mutex);
    requests.push_back(incoming);
    if (incoming.path == "/health") {
      return {healthy ? 200 : 503, "application/json", "{}", std::nullopt};
    }
    if (incoming.path == "/load") {
      return {200, "application/json", load, std::nullopt};
    }
    return {202, "application/json", "{\"seen\":true}", 7};
  }

  std::mutex mutex;
  std::vector<AdminRequest> requests;
  bool healthy = true;
  std::string load = R"({"load_percent": 35})";
};

}  // namespace

/** Without leak detection: POCO's threads allocate outside the test's thread. */
TEST_GROUP_BASE(Http, test::WithoutLeakDetection) {
  std::optional<NodeReadiness> readiness = NodeReadiness::kReady;
  RecordingHandler admin;
  std::unique_ptr<HttpServer> server = std::move(valueOf(HttpServer::start(
      kAnyPort, {[this] { return readiness; }, [] { return "metric 1\n"; }, &admin})));

  /** Probes the server once and returns the result that the loop received. */
  ProbeResult probeOnce() {
    LoopMailbox mailbox;
    EventLoop loop(mailbox);
    std::optional<ProbeResult> result;
    HostProber prober(mailbox, [&result](const ProbeResult& found) { result = found; });
    prober.probe(ServiceId{1}, HostId{2}, server->local());
    loop.run([&result] { return !result; });
    return *result;
  }
};

TEST(Http, ReadinessFollowsTheNodeAndSetsRetryAfter) {
  CHECK_EQUAL(200, request(server->local(), "GET", "/readyz").status);
  readiness = NodeReadiness::kCatchingUp;
  const Answer waiting = request(server->local(), "GET", "/readyz");
  CHECK_EQUAL(503, waiting.status);
  CHECK(waiting.body == "catching_up\n");
  CHECK(waiting.retryAfter == "1");
  CHECK_EQUAL(200, request(server->local(), "GET", "/healthz").status);
}

TEST(Http, UnresponsiveLoopIsUnhealthy) {
  readiness = std::nullopt;
  CHECK_EQUAL(503, request(server->local(), "GET", "/healthz").status);
  CHECK_EQUAL(503, request(server->local(), "GET", "/readyz").status);
}

TEST(Http, PassesOtherPathsToTheAdminApiUnchanged) {
  const Answer answer =
      request(server->local(), "PUT", "/v1/services/a%20b?dry_run=true&x=1", "{\"a\":1}");
  CHECK_EQUAL(202, answer.status);
  CHECK(answer.body == "{\"seen\":true}");
  CHECK(answer.retryAfter == "7");
  const AdminRequest& received = admin.requests.at(0);
  CHECK(received.method == "PUT");
  CHECK(received.path == "/v1/services/a b");
  CHECK(received.findQuery("dry_run") == "true");
  CHECK_FALSE(received.findQuery("y").has_value());
  CHECK(received.authorization == "Bearer token");
  CHECK(received.body == "{\"a\":1}");
}

TEST(Http, RejectsBodiesBeyondTheLimit) {
  const Answer answer =
      request(server->local(), "PUT", "/v1/services/a", std::string(kAdminBodyLimit + 1, 'x'));
  CHECK_EQUAL(413, answer.status);
  CHECK(admin.requests.empty());
}

TEST(Http, PortInUseReturnsATypedError) {
  const auto again = HttpServer::start(server->local(), {});
  CHECK(errorOf(again).endpoint == server->local());
}

TEST(Http, ProbesReportHealthAndLoad) {
  const ProbeResult result = probeOnce();
  CHECK(result.service == ServiceId{1});
  CHECK(result.host == HostId{2});
  CHECK(result.healthy);
  CHECK(result.hasLoad);
  CHECK_EQUAL(35U, result.loadPercent);
}

TEST(Http, ProbesOfFaultyHostsReportUnhealthyOrNoLoad) {
  for (const char* load : {"", "[]", "{}", R"({"load_percent": "x"})", R"({"load_percent": -1})"}) {
    admin.load = load;
    const ProbeResult odd = probeOnce();
    CHECK(odd.healthy);
    CHECK_FALSE(odd.hasLoad);
  }
  admin.healthy = false;
  CHECK_FALSE(probeOnce().healthy);
}

TEST(Http, MetricsIncludeEveryReasonAndClass) {
  NodeMetrics metrics;
  metrics.core.packets.forwarded = 12;
  metrics.core.packets.dropped[static_cast<size_t>(DropReason::kNoOwner)] = 3;
  metrics.traffic.countSent(TrafficClass::kSpread, 72);
  metrics.core.members.alive = 6;
  const std::string text = renderMetrics(metrics, readProcessUsage());
  for (const char* line :
       {"umberhold_packets_total{decision=\"forwarded\"} 12",
        "umberhold_packets_dropped_total{reason=\"no_owner\"} 3",
        "umberhold_packets_dropped_total{reason=\"refused_before\"} 0",
        "umberhold_control_bytes_total{class=\"spread\",direction=\"sent\"} 100",
        "umberhold_members{state=\"alive\"} 6", "# TYPE umberhold_resident_bytes gauge"}) {
    CHECK(text.find(line) != std::string::npos);
  }
  CHECK(readProcessUsage().residentBytes > 0);
}
