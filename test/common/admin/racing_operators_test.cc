/** @file Operators on two nodes race over a real connection to a store that loses answers. */
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

struct Told {
  std::string requestId;
  uint64_t base = 0;
  ChangeOutcome outcome;
};

CallLimits quickCalls() {
  CallLimits limits;
  limits.connect = std::chrono::milliseconds(500);
  limits.answer = std::chrono::seconds(2);
  return limits;
}

ChangeLimits patientChanges() {
  ChangeLimits limits;
  limits.backOff.initialDelay = std::chrono::milliseconds(1);
  limits.backOff.maxDelay = std::chrono::milliseconds(20);
  limits.retries = {1000, std::chrono::milliseconds(1)};
  return limits;
}

/** Changes one object again and again, each time from the version that it last saw. */
std::vector<Told> operate(const std::string& name, const Endpoint& api) {
  HttpPlatformStore store(api, quickCalls());
  SystemCallClock clock;
  ChangeCoordinator coordinator(store, clock, std::hash<std::string>{}(name), patientChanges());
  std::vector<Told> told;
  for (int change = 0; change < kChangesEach; ++change) {
    const auto current = coordinator.read(Collection::kServices, "dispatch");
    ChangeRequest request;
    request.name = "dispatch";
    request.expectedVersion = isOk(current) ? valueOf(current).version : 0;
    request.requestId = name + "-" + std::to_string(change);
    request.specification = "{\"by\":\"" + request.requestId + "\"}";
    request.author = name;
    request.summary = "apply";
    told.push_back({request.requestId, request.expectedVersion, coordinator.submit(request)});
  }
  return told;
}

/** Creates a service with the round's address, which a rival wants as well. */
ChangeOutcome createService(const std::string& name, uint8_t round, const Endpoint& api) {
  HttpPlatformStore store(api, quickCalls());
  SystemCallClock clock;
  ChangeCoordinator coordinator(store, clock, std::hash<std::string>{}(name), patientChanges());
  ChangeRequest request;
  request.name = name + "-" + std::to_string(round);
  request.requestId = request.name;
  request.specification = formatService(makeService(request.name, round, 2));
  request.summary = "apply";
  return coordinator.submit(request);
}

/** @return how often each request took effect, from every state that the object had. */
std::map<std::string, int> effectsIn(const Endpoint& api) {
  HttpPlatformStore store(api, quickCalls());
  std::map<std::string, int> effects;
  const auto batch = store.watch(0, Duration::zero());
  CHECK_TRUE(isOk(batch));
  for (const StoredObject& state : valueOf(batch).events) {
    ++effects[state.history.front().requestId];
  }
  return effects;
}

}  // namespace

TEST_GROUP_BASE(RacingOperators, test::WithoutLeakDetection) {
  standins::PlatformServer server{standins::PlatformServerOptions{}};

  void check(const std::vector<Told>& told) {
    const auto effects = effectsIn(server.api());
    std::map<uint64_t, int> acceptedPerBase;
    for (const Told& each : told) {
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

TEST(RacingOperators, AreToldTheTruthThoughAnswersAreLost) {
  standins::FaultSettings faults;
  faults.loseAnswersProbability = 0.3;
  server.setFaults(faults);
  std::vector<Told> first;
  std::vector<Told> second;
  std::thread other([&] { second = operate("bekele", server.api()); });
  first = operate("amina", server.api());
  other.join();
  first.insert(first.end(), second.begin(), second.end());
  check(first);
}

TEST(RacingOperators, OneOfTwoServicesGetsAnAddressAndTheOtherIsToldWhoHasIt) {
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

TEST(RacingOperators, AChangeThatArrivesLateIsInOnce) {
  standins::FaultSettings faults;
  faults.lateChangesNext = 5;
  faults.lateBy = std::chrono::milliseconds(30);
  server.setFaults(faults);
  check(operate("amina", server.api()));
}

}  // namespace umberhold
