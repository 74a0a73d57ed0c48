/** @file Operators on two nodes change a store concurrently, over connections with lost answers. */
#include <algorithm>
#include <map>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "common/admin/change_coordinator.h"
#include "common/platform/http_platform_store.h"
#include "common/platform/object_json.h"
#include "standins/platform/fault_switches.h"
#include "standins/platform/platform_server.h"
#include "test/support/service_builder.h"

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

namespace umberhold {
namespace {

constexpr int kChangesEach = 25;
constexpr uint8_t kRounds = 20;

struct ReportedOutcome {
  std::string requestId;
  uint64_t base = 0;
  ChangeOutcome outcome;
};

CallLimits shortCallLimits() {
  CallLimits limits;
  limits.connect = std::chrono::milliseconds(500);
  limits.answer = std::chrono::seconds(2);
  return limits;
}

ChangeLimits fastRetryLimits() {
  ChangeLimits limits;
  limits.backOff.initialDelay = std::chrono::milliseconds(1);
  limits.backOff.maxDelay = std::chrono::milliseconds(20);
  limits.retries = {1000, std::chrono::milliseconds(1)};
  return limits;
}

/** Changes one object repeatedly, each time based on the version last read. */
std::vector<ReportedOutcome> operate(const std::string& name, const Endpoint& api) {
  HttpPlatformStore store(api, shortCallLimits());
  SystemCallClock clock;
  ChangeCoordinator coordinator(store, clock, std::hash<std::string>{}(name), fastRetryLimits());
  std::vector<ReportedOutcome> reported;
  for (int change = 0; change < kChangesEach; ++change) {
    const auto current = coordinator.read(Collection::kServices, "dispatch");
    ChangeRequest request;
    request.name = "dispatch";
    request.expectedVersion = isOk(current) ? valueOf(current).version : 0;
    request.requestId = name + "-" + std::to_string(change);
    request.specification = "{\"by\":\"" + request.requestId + "\"}";
    request.author = name;
    request.summary = "apply";
    reported.push_back({request.requestId, request.expectedVersion, coordinator.submit(request)});
  }
  return reported;
}

/** Creates a service with the round's address, for which a second operator competes. */
ChangeOutcome createService(const std::string& name, uint8_t round, const Endpoint& api) {
  HttpPlatformStore store(api, shortCallLimits());
  SystemCallClock clock;
  ChangeCoordinator coordinator(store, clock, std::hash<std::string>{}(name), fastRetryLimits());
  ChangeRequest request;
  request.name = name + "-" + std::to_string(round);
  request.requestId = request.name;
  request.specification = formatService(makeService(request.name, round, 2));
  request.summary = "apply";
  return coordinator.submit(request);
}

/** @return how often each request was applied, from all states that the object had. */
std::map<std::string, int> effectsIn(const Endpoint& api) {
  HttpPlatformStore store(api, shortCallLimits());
  std::map<std::string, int> effects;
  const auto batch = store.watch(0, Duration::zero());
  CHECK_TRUE(isOk(batch));
  for (const StoredObject& state : valueOf(batch).events) {
    ++effects[state.history.front().requestId];
  }
  return effects;
}

}  // namespace

TEST_GROUP_BASE(ConcurrentOperators, test::WithoutLeakDetection) {
  standins::PlatformServer server{standins::PlatformServerOptions{}};

  void check(const std::vector<ReportedOutcome>& reported) {
    const auto effects = effectsIn(server.api());
    std::map<uint64_t, int> acceptedPerBase;
    for (const ReportedOutcome& each : reported) {
      const auto found = effects.find(each.requestId);
      const int times = found == effects.end() ? 0 : found->second;
      if (std::holds_alternative<ChangeAccepted>(each.outcome)) {
        CHECK_EQUAL(1, times);
        CHECK_EQUAL(1, ++acceptedPerBase[each.base]);
      } else {
        CHECK_TRUE(std::holds_alternative<ChangeConflict>(each.outcome));
        CHECK_EQUAL(0, times);
      }
    }
    CHECK_TRUE(acceptedPerBase.size() > kChangesEach / 2);
  }
};

TEST(ConcurrentOperators, ReportedOutcomesMatchStoreDespiteLostAnswers) {
  standins::FaultSettings faults;
  faults.loseAnswersProbability = 0.3;
  server.setFaults(faults);
  std::vector<ReportedOutcome> first;
  std::vector<ReportedOutcome> second;
  std::thread other([&] { second = operate("bekele", server.api()); });
  first = operate("amina", server.api());
  other.join();
  first.insert(first.end(), second.begin(), second.end());
  check(first);
}

TEST(ConcurrentOperators, OneOfTwoServicesGetsAddressAndOtherIsBlocked) {
  standins::FaultSettings faults;
  faults.loseAnswersProbability = 0.3;
  server.setFaults(faults);
  for (uint8_t round = 0; round < kRounds; ++round) {
    ChangeOutcome first = ChangeConflict{};
    std::thread other([&] { first = createService("first", round, server.api()); });
    const ChangeOutcome second = createService("second", round, server.api());
    other.join();
    const bool firstWon = std::holds_alternative<ChangeAccepted>(first);
    const ChangeOutcome& loser = firstWon ? second : first;
    CHECK_TRUE(firstWon != std::holds_alternative<ChangeAccepted>(second));
    CHECK_TRUE(std::holds_alternative<ChangeBlocked>(loser));
    STRCMP_CONTAINS(firstWon ? "first" : "second", std::get<ChangeBlocked>(loser).holder.c_str());
  }
}

TEST(ConcurrentOperators, DelayedChangeIsAppliedOnce) {
  standins::FaultSettings faults;
  faults.lateChangesNext = 5;
  faults.lateBy = std::chrono::milliseconds(30);
  server.setFaults(faults);
  check(operate("amina", server.api()));
}

}  // namespace umberhold
