/**
 * @file The election under pauses, different clock rates, and lost, slow and delayed calls: a slot
 * never has two holders, and once the faults end every slot is held.
 */
#include <rapidcheck.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "common/platform/reader_election.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;
using namespace std::chrono_literals;

namespace {

constexpr Duration kStep = 50ms;
constexpr Duration kCallLimit = 5s;

/** Lease slots of the store, with conditional writes. */
class SimulatedStore {
 public:
  std::optional<ObservedLease> read(uint8_t slot) const { return slots_[slot]; }
  /** @return the new version, or nothing on a conflict. */
  std::optional<uint64_t> write(const WriteLease& write) {
    const uint64_t current = slots_[write.slot] ? slots_[write.slot]->version : 0;
    if (current != write.expectedVersion) {
      return std::nullopt;
    }
    slots_[write.slot] = ObservedLease{++version_, write.lease};
    return version_;
  }

 private:
  std::array<std::optional<ObservedLease>, kReaderSlots> slots_;
  uint64_t version_ = 0;
};

/** Fault rates of a run. */
struct Faults {
  double loss = 0;
  double pause = 0;
  Duration maxDelay{0};
};

/** A call in progress. */
struct Call {
  ElectionAction action;
  TimePoint sentAt;
  Duration arrives;
  Duration answered;
  bool requestLost = false;
  bool answerLost = false;
  bool hasArrived = false;
  std::optional<ObservedLease> observed;
  std::optional<uint64_t> written;
};

/** A node whose clock has its own rate and offset. */
class SimulatedNode {
 public:
  SimulatedNode(uint32_t id, uint64_t seed)
      : random_(seed), election_(ReaderElectionOptions{}, NodeId{id}, random_) {
    rate_ = 0.97 + 0.06 * random_.unit();
    offset_ = Duration(static_cast<Duration::rep>(random_.below(1'000'000'000)));
    const auto rank = static_cast<uint8_t>((id - 1) % kCandidatesPerRegion);
    election_.setRanks({rank, rank, rank}, localTime(Duration{0}));
  }

  void step(Duration at, SimulatedStore& store, const Faults& faults) {
    deliverRequests(at, store);
    if (at < pausedUntil_) {
      return;
    }
    if (random_.unit() < faults.pause) {
      pausedUntil_ = at + Duration(static_cast<Duration::rep>(random_.below(40'000'000)));
      return;
    }
    if (call_) {
      finishCall(at);
    } else {
      startCall(at, faults);
    }
  }

  std::optional<uint8_t> heldSlot(Duration at) const {
    return at < pausedUntil_ ? std::nullopt : election_.heldSlot(localTime(at));
  }

 private:
  TimePoint localTime(Duration at) const {
    return TimePoint(offset_ +
                     Duration(static_cast<Duration::rep>(static_cast<double>(at.count()) * rate_)));
  }

  void startCall(Duration at, const Faults& faults) {
    const ElectionAction action = election_.next(localTime(at));
    if (std::holds_alternative<WaitUntil>(action)) {
      return;
    }
    Call call;
    call.action = action;
    call.sentAt = localTime(at);
    const auto delay = static_cast<uint64_t>(faults.maxDelay.count()) + 1;
    call.arrives = at + Duration(static_cast<Duration::rep>(random_.below(delay)));
    call.answered = call.arrives + Duration(static_cast<Duration::rep>(random_.below(delay)));
    call.requestLost = random_.unit() < faults.loss;
    call.answerLost = random_.unit() < faults.loss;
    inFlight_.push_back(std::make_shared<Call>(call));
    call_ = inFlight_.back();
    callEnds_ = at + kCallLimit;
  }

  /** Delivers due requests, even if their sender has given up waiting or is paused. */
  void deliverRequests(Duration at, SimulatedStore& store) {
    std::erase_if(inFlight_, [&](const std::shared_ptr<Call>& call) {
      if (at < call->arrives) {
        return false;
      }
      if (!call->requestLost) {
        execute(*call, store);
      }
      return true;
    });
  }

  static void execute(Call& call, SimulatedStore& store) {
    call.hasArrived = true;
    if (const auto* readAction = std::get_if<ReadLease>(&call.action)) {
      call.observed = store.read(readAction->slot);
    } else {
      call.written = store.write(std::get<WriteLease>(call.action));
    }
  }

  void finishCall(Duration at) {
    const bool isAnswered = call_->hasArrived && !call_->answerLost && at >= call_->answered;
    if (!isAnswered && at < callEnds_) {
      return;
    }
    const std::shared_ptr<Call> call = std::exchange(call_, nullptr);
    const StoreError lost{StoreErrorCode::kAnswerLost, "", {}};
    if (const auto* readAction = std::get_if<ReadLease>(&call->action)) {
      isAnswered ? election_.onRead(localTime(at), readAction->slot, call->observed)
                 : election_.onReadFailed(localTime(at), readAction->slot, lost);
      return;
    }
    const auto& write = std::get<WriteLease>(call->action);
    if (!isAnswered) {
      election_.onWriteFailed(localTime(at), write.slot, lost);
    } else if (call->written) {
      election_.onWritten(call->sentAt, write, *call->written);
    } else {
      election_.onWriteFailed(localTime(at), write.slot, {StoreErrorCode::kConflict, "", {}});
    }
  }

  RandomSource random_;
  ReaderElection election_;
  double rate_ = 1;
  Duration offset_{0};
  Duration pausedUntil_{0};
  std::shared_ptr<Call> call_;
  Duration callEnds_{0};
  std::vector<std::shared_ptr<Call>> inFlight_;
};

/** @return the number of nodes that consider themselves the holder of each slot. */
std::map<uint8_t, int> holderCounts(const std::vector<std::unique_ptr<SimulatedNode>>& nodes,
                                    Duration at) {
  std::map<uint8_t, int> counts;
  for (const auto& node : nodes) {
    if (const auto slot = node->heldSlot(at)) {
      ++counts[*slot];
    }
  }
  return counts;
}

}  // namespace

TEST_GROUP_BASE(ReaderElectionProperty, test::WithoutLeakDetection){};

TEST(ReaderElectionProperty, SlotHasAtMostOneHolderAndAllAreHeldAfterTheFaults) {
  const bool held = rc::check("at most one holder per slot", [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto nodeCount = *rc::gen::inRange<uint32_t>(3, 13);
    Faults faults;
    faults.loss = *rc::gen::inRange(0, 50) / 100.0;
    faults.pause = *rc::gen::inRange(0, 10) / 1000.0;
    faults.maxDelay = std::chrono::milliseconds(*rc::gen::inRange(1, 6000));
    SimulatedStore store;
    std::vector<std::unique_ptr<SimulatedNode>> nodes;
    for (uint32_t id = 1; id <= nodeCount; ++id) {
      nodes.push_back(std::make_unique<SimulatedNode>(id, seed + id));
    }
    constexpr Duration kFaultsEnd = 5min;
    constexpr Duration kEnd = 9min;
    Duration at{0};
    for (; at < kEnd; at += kStep) {
      const Faults current = at < kFaultsEnd ? faults : Faults{0, 0, 10ms};
      for (const auto& node : nodes) {
        node->step(at, store, current);
      }
      for (const auto& [slot, count] : holderCounts(nodes, at)) {
        RC_ASSERT(count <= 1);
      }
    }
    RC_ASSERT(holderCounts(nodes, at - kStep).size() == size_t{kReaderSlots});
  });
  CHECK_TRUE(held);
}
