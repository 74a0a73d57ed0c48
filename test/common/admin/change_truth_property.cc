/** @file The reported outcome of a change matches the store for all faults of the store. */
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <rapidcheck.h>

#include "common/admin/change_coordinator.h"
#include "common/platform/deletion_marker.h"
#include "test/support/fake_platform_store.h"
#include "test/support/manual_clock.h"

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

namespace umberhold {
namespace {

/** One operator's change, with the faults during it. */
struct Step {
  bool deletes = false;
  /** How many versions the operator's base is behind the latest; 0 is current. */
  int staleness = 0;
  std::vector<StoreFault> changeFaults;
  std::vector<StoreFault> readFaults;
  /** Store call before which another operator changes the object from the same base; 0 for none. */
  int competitorBeforeCall = 0;
  bool deliverAfter = false;
};

/** A request of an operator and its reported outcome. */
struct ReportedOutcome {
  ChangeRequest request;
  ChangeOutcome outcome;
};

Step arbitraryStep() {
  const auto fault =
      rc::gen::element(StoreFault::kNone, StoreFault::kUnavailable, StoreFault::kRequestLost,
                       StoreFault::kAnswerLost, StoreFault::kDelayed);
  Step step;
  step.deletes = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
  step.staleness = *rc::gen::weightedElement<int>({{4, 0}, {1, 1}, {1, 2}});
  step.changeFaults = *rc::gen::container<std::vector<StoreFault>>(fault);
  step.readFaults = *rc::gen::container<std::vector<StoreFault>>(
      rc::gen::element(StoreFault::kNone, StoreFault::kUnavailable));
  step.competitorBeforeCall = *rc::gen::inRange(0, 8);
  step.deliverAfter = *rc::gen::arbitrary<bool>();
  return step;
}

/** Runs steps against one object and records all reported outcomes. */
class OperatorSimulation {
 public:
  void run(const Step& step) {
    store_.changeFaults.assign(step.changeFaults.begin(), step.changeFaults.end());
    store_.readFaults.assign(step.readFaults.begin(), step.readFaults.end());
    const uint64_t base = baseVersion(step.staleness);
    if (step.competitorBeforeCall > 0) {
      submitBeforeCall(step.competitorBeforeCall, base);
    }
    submit(base, step.deletes);
    store_.beforeCall = nullptr;
    if (step.deliverAfter) {
      store_.deliverDelayed();
    }
  }

  void checkReportedOutcomes() {
    store_.deliverDelayed();
    std::map<std::string, int> applied;
    for (const StoredObject& state : store_.events()) {
      ++applied[state.history.front().requestId];
    }
    std::map<uint64_t, int> acceptedPerBase;
    for (const ReportedOutcome& reported : reported_) {
      const int times = applied[reported.request.requestId];
      RC_ASSERT(times <= 1);
      if (std::holds_alternative<ChangeAccepted>(reported.outcome)) {
        RC_ASSERT(times == 1);
        ++acceptedPerBase[reported.request.expectedVersion];
      } else if (!std::holds_alternative<ChangeUnknown>(reported.outcome)) {
        RC_ASSERT(times == 0);
      }
    }
    for (const auto& [base, accepted] : acceptedPerBase) {
      RC_ASSERT(base == 0 || accepted == 1);
    }
  }

 private:
  uint64_t baseVersion(int staleness) const {
    const auto& events = store_.events();
    const auto back = static_cast<size_t>(staleness);
    if (events.size() <= back) {
      return 0;
    }
    const StoredObject& state = events[events.size() - 1 - back];
    return isDeleted(state) ? 0 : state.version;
  }

  void submitBeforeCall(int call, uint64_t base) {
    store_.beforeCall = [this, call, base] {
      if (call > 1) {
        submitBeforeCall(call - 1, base);
      } else {
        submit(base, false);
      }
    };
  }

  void submit(uint64_t base, bool deletes) {
    ChangeRequest request;
    request.name = "dispatch";
    request.expectedVersion = base;
    request.requestId = "request-" + std::to_string(reported_.size() + submitted_++);
    request.specification = deletes ? kDeletionMarker : "{\"by\":\"" + request.requestId + "\"}";
    request.summary = deletes ? "delete" : "apply";
    const ChangeOutcome outcome = coordinator_.submit(request);
    reported_.push_back({request, outcome});
  }

  FakePlatformStore store_;
  ManualClock clock_;
  ChangeCoordinator coordinator_{store_, clock_, 1};
  std::vector<ReportedOutcome> reported_;
  size_t submitted_ = 0;
};

}  // namespace

TEST_GROUP_BASE(ChangeOutcomeProperty, test::WithoutLeakDetection){};

TEST(ChangeOutcomeProperty, ReportedOutcomesMatchStore) {
  const bool holds = rc::check("reported outcomes match the store", [] {
    OperatorSimulation operators;
    const int steps = *rc::gen::inRange(1, 12);
    for (int index = 0; index < steps; ++index) {
      operators.run(arbitraryStep());
    }
    operators.checkReportedOutcomes();
  });
  CHECK_TRUE(holds);
}

}  // namespace umberhold
