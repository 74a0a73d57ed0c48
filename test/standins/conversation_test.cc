/** @file End-to-end tests on loopback: caller, fabric, node double and hosts. */
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "forwarding_double.h"
#include "standins/backend/backend_pool.h"
#include "standins/caller/caller_pool.h"
#include "standins/fabric/spray_fabric.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using namespace umberhold::standins;

namespace {

constexpr std::chrono::seconds kTimeout(20);

Endpoint loopback() {
  return Endpoint{*parseAddress("127.0.0.1"), 0};
}

bool eventually(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

HostProfile hostProfile(const std::string& name, TransportProtocol protocol) {
  HostProfile profile;
  profile.service = "dispatch";
  profile.name = name;
  profile.virtualAddress = *parseEndpoint("10.1.0.1:443");
  profile.protocol = protocol;
  profile.pushMillis = 300;
  return profile;
}

/** Caller -> fabric -> two node doubles -> two hosts -> caller. */
struct Chain {
  explicit Chain(TransportProtocol protocol) : fabric(fabricOptions()) {
    CallerPoolOptions options;
    options.listen = loopback();
    options.control = loopback();
    options.fabric = fabric.listenEndpoint();
    TargetPlan plan;
    plan.profile.service = "dispatch";
    plan.profile.target = *parseEndpoint("10.1.0.1:443");
    plan.profile.protocol = protocol;
    plan.profile.requestPauseMillis = 200;
    plan.flows = 40;
    callers = std::make_unique<CallerPool>(options, std::vector<TargetPlan>{plan});

    BackendPoolOptions backend;
    backend.address = loopback().address;
    backend.control = loopback();
    backend.gateway = callers->listenEndpoint();
    hosts = std::make_unique<BackendPool>(
        backend, std::vector<HostProfile>{hostProfile("dispatch-0", protocol),
                                          hostProfile("dispatch-1", protocol)});
    setHosts({0, 1});
    fabric.setNodes({nodes[0].endpoint(), nodes[1].endpoint()});
  }

  static SprayFabricOptions fabricOptions() {
    SprayFabricOptions options;
    options.listen = loopback();
    options.control = loopback();
    options.lagMillis = 0;
    return options;
  }

  void setHosts(const std::vector<size_t>& order) {
    std::vector<Endpoint> endpoints;
    for (const size_t index : order) {
      endpoints.push_back(hosts->hostEndpoint(index));
    }
    nodes[0].setHosts(endpoints);
    nodes[1].setHosts(endpoints);
  }

  SprayFabric fabric;
  ForwardingDouble nodes[2];
  std::unique_ptr<CallerPool> callers;
  std::unique_ptr<BackendPool> hosts;
};

/** Runs all parts of a chain until it goes out of scope. */
struct RunningChain {
  explicit RunningChain(Chain& chain)
      : fabric(chain.fabric),
        firstNode(chain.nodes[0]),
        secondNode(chain.nodes[1]),
        hosts(*chain.hosts),
        callers(*chain.callers) {}
  BackgroundRun<SprayFabric> fabric;
  BackgroundRun<ForwardingDouble> firstNode;
  BackgroundRun<ForwardingDouble> secondNode;
  BackgroundRun<BackendPool> hosts;
  BackgroundRun<CallerPool> callers;
};

}  // namespace

// POCO keeps thread and event objects after a test, which the leak detection would report.
TEST_GROUP(Conversation){void setup() override{MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
}
void teardown() override {
  MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
}
}
;

TEST(Conversation, TcpFlowsGetAllAnswersThroughSprayedPackets) {
  Chain chain(TransportProtocol::kTcp);
  const RunningChain running(chain);
  CHECK(eventually([&] { return chain.callers->report().answers > 400; }));
  chain.callers->finish();
  CHECK(eventually([&] { return chain.callers->report().outstandingRequests == 0; }));
  const CallerReport report = chain.callers->report();
  LONGS_EQUAL(40, report.establishedFlows);
  LONGS_EQUAL(0, report.broken.size());
  LONGS_EQUAL(report.requests, report.answers + report.cancelledRequests);
  CHECK(report.pushes > 40);
}

TEST(Conversation, TcpFlowsBreakWhenPacketsReachAnotherHost) {
  Chain chain(TransportProtocol::kTcp);
  const RunningChain running(chain);
  CHECK(eventually([&] { return chain.callers->report().openFlows == 40; }));
  chain.setHosts({1, 0});
  CHECK(eventually([&] { return chain.callers->report().broken.size() >= 40; }));
  CHECK(chain.callers->report().broken[0].reason == BreakReason::kReset);
}

TEST(Conversation, UdpFlowsBreakWhenPacketsReachAnotherHost) {
  Chain chain(TransportProtocol::kUdp);
  const RunningChain running(chain);
  CHECK(eventually([&] { return chain.callers->report().establishedFlows == 40; }));
  chain.setHosts({1, 0});
  CHECK(eventually([&] { return chain.callers->report().broken.size() >= 40; }));
}
