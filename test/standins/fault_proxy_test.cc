/** @file Tests of the proxy: drops, duplicates, cuts and delays by rule, in both directions. */
#include "standins/proxy/fault_proxy.h"

#include <CppUTest/TestHarness.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <chrono>
#include <functional>
#include <thread>

#include "forwarding_double.h"

using namespace umberhold;
using namespace umberhold::standins;

namespace {

const ProxyParty kBole{"node-1", "bole"};
const ProxyParty kPiassa{"node-2", "piassa"};

/** A node that counts datagrams and replies to their source address. */
class EchoNode {
 public:
  explicit EchoNode(const char* address) {
    socket_ =
        loop_.open(Endpoint{*parseAddress(address), 0}, [this](const Endpoint& from, auto bytes) {
          ++received_;
          if (bytes == "ping") {
            loop_.send(socket_, from, "pong");
          }
        });
  }
  void run(const std::atomic<bool>& stop) { loop_.run(stop); }
  void send(const Endpoint& to) { loop_.send(socket_, to, "ping"); }
  Endpoint endpoint() const { return loop_.localEndpoint(socket_); }
  int received() const { return received_; }

 private:
  DatagramLoop loop_;
  SocketIndex socket_ = 0;
  std::atomic<int> received_{0};
};

/** @return a front port for a port that the kernel chose: an adjacent one. */
uint16_t frontPortOf(uint16_t port) {
  return static_cast<uint16_t>(port ^ 1U);
}

bool eventually(const std::function<bool()>& condition) {
  constexpr int kTries = 300;
  for (int tries = 0; tries < kTries && !condition(); ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return condition();
}

}  // namespace

TEST_GROUP(FaultRules) {
  FaultRules rules;
  RandomSource random{7};
};

TEST(FaultRules, DeliversEachDatagramOnceWithoutRules) {
  LONGS_EQUAL(1, rules.deliveryDelays(kBole, kPiassa, random).size());
}

TEST(FaultRules, CutsOnlyTheConfiguredDirection) {
  FaultRule rule;
  rule.from = "bole";
  rule.to = "piassa";
  rule.cut = true;
  rules.set(rule);
  CHECK(rules.deliveryDelays(kBole, kPiassa, random).empty());
  LONGS_EQUAL(1, rules.deliveryDelays(kPiassa, kBole, random).size());
  rules.clear();
  LONGS_EQUAL(1, rules.deliveryDelays(kBole, kPiassa, random).size());
}

TEST(FaultRules, DropsDuplicatesAndDelaysConfiguredShares) {
  FaultRule rule;
  rule.from = "node-1";
  rule.dropShare = 0.25;
  rule.repeatShare = 0.5;
  rule.delayMicros = 9000;
  rules.set(rule);
  int dropped = 0;
  int duplicated = 0;
  constexpr int kDatagrams = 4000;
  for (int count = 0; count < kDatagrams; ++count) {
    const auto delays = rules.deliveryDelays(kBole, kPiassa, random);
    dropped += delays.empty() ? 1 : 0;
    duplicated += delays.size() == 2 ? 1 : 0;
    CHECK(delays.empty() || delays[0] == 9000);
  }
  DOUBLES_EQUAL(0.25, static_cast<double>(dropped) / kDatagrams, 0.03);
  DOUBLES_EQUAL(0.375, static_cast<double>(duplicated) / kDatagrams, 0.03);
}

// POCO keeps thread and event objects after a test, which the leak detection would report.
TEST_GROUP(DelayLine){void setup() override{MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
}
void teardown() override {
  MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
}
}
;

TEST(DelayLine, SendsDatagramsInDueOrder) {
  DatagramLoop loop;
  DelayLine delayLine(loop);
  std::string received;
  const Endpoint anyPort{*parseAddress("127.0.0.1"), 0};
  const SocketIndex receiver =
      loop.open(anyPort, [&received](const Endpoint&, auto bytes) { received.append(bytes); });
  const SocketIndex sender = loop.open(anyPort, [](const Endpoint&, auto) {});
  std::atomic<bool> stop{false};
  delayLine.send(30'000, sender, loop.localEndpoint(receiver), "c");
  delayLine.send(10'000, sender, loop.localEndpoint(receiver), "b");
  delayLine.send(0, sender, loop.localEndpoint(receiver), "a");
  loop.onTick(
      [&] {
        delayLine.deliverDue();
        stop = received.size() == 3;
      },
      DelayLine::kTickPeriod);
  loop.run(stop);
  CHECK_EQUAL(std::string("abc"), received);
}

// POCO keeps thread and event objects after a test, which the leak detection would report.
TEST_GROUP(FaultProxy){void setup() override{MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
}
void teardown() override {
  MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
}
}
;

TEST(FaultProxy, ForwardsBothDirectionsUntilOneIsCut) {
  EchoNode first("127.1.0.1");
  EchoNode second("127.1.0.2");
  const uint16_t frontPort = frontPortOf(second.endpoint().port);
  const ProxiedNode bole{kBole,
                         first.endpoint().address,
                         {{frontPortOf(first.endpoint().port), first.endpoint().port}}};
  const ProxiedNode piassa{
      kPiassa, second.endpoint().address, {{frontPort, second.endpoint().port}}};
  const Endpoint front{piassa.address, frontPort};
  FaultProxy proxy(Endpoint{*parseAddress("127.0.0.1"), 0}, {bole, piassa}, 1);
  const BackgroundRun<FaultProxy> proxyRun(proxy);
  const BackgroundRun<EchoNode> firstRun(first);
  const BackgroundRun<EchoNode> secondRun(second);

  first.send(front);
  CHECK(eventually([&] { return first.received() == 1; }));
  LONGS_EQUAL(1, second.received());
  FaultRule cut;
  cut.from = "piassa";
  cut.to = "bole";
  cut.cut = true;
  proxy.setRule(cut);
  first.send(front);
  CHECK(eventually([&] { return proxy.droppedCount() == 1; }));
  LONGS_EQUAL(2, second.received());
  LONGS_EQUAL(1, first.received());
  proxy.clearRules();
  first.send(front);
  CHECK(eventually([&] { return first.received() == 2; }));
  LONGS_EQUAL(3, second.received());
  LONGS_EQUAL(1, proxy.droppedCount());
}

TEST(FaultProxy, CutsTheConnectionToThePlatform) {
  const Endpoint anyPort{*parseAddress("127.0.0.1"), 0};
  ControlServer platform(anyPort, [](const ControlRequest&) { return ControlResponse{200, "up"}; });
  std::atomic<bool> cut{false};
  const TcpFront front(anyPort, platform.endpoint(), [&cut] { return cut.load(); });
  // On a loaded machine an answer may take long; while the path is cut, it never arrives.
  const Poco::Timespan longTimeout(20, 0);
  const Poco::Timespan shortTimeout(0, 300000);
  const auto requestStatus = [&front](const Poco::Timespan& timeout) {
    Poco::Net::HTTPClientSession session("127.0.0.1", front.endpoint().port);
    session.setTimeout(timeout);
    Poco::Net::HTTPRequest request("GET", "/", "HTTP/1.1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
    return static_cast<int>(response.getStatus());
  };
  LONGS_EQUAL(200, requestStatus(longTimeout));
  cut = true;
  CHECK_THROWS(Poco::TimeoutException, requestStatus(shortTimeout));
  cut = false;
  LONGS_EQUAL(200, requestStatus(longTimeout));
}
