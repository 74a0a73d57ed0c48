#include "common/platform/reader_election.h"

#include <algorithm>

namespace umberhold {
namespace {

/** Upper bound on a lease's stored duration; a longer one is treated as this long. */
constexpr Duration kMaxLeaseTime = std::chrono::minutes(2);
/** Wait of a node that is not a candidate. */
constexpr Duration kIdleWait = std::chrono::seconds(60);

}  // namespace

ReaderElection::ReaderElection(ReaderElectionOptions options, NodeId self, RandomSource& random)
    : options_(options), self_(self), random_(random), renewBackOff_(options.renewRetry, random) {}

void ReaderElection::setRanks(const ReaderRanks& ranks, TimePoint now) {
  for (uint8_t slot = 0; slot < kReaderSlots; ++slot) {
    if (ranks[slot] && !ranks_[slot]) {
      // The first read comes soon but at a random time, because all candidates start together
      // when the system starts.
      const Duration spread = options_.minPollInterval * (*ranks[slot] + 1);
      slotStates_[slot] = SlotState{};
      slotStates_[slot].nextReadAt = now + Duration(static_cast<Duration::rep>(random_.below(
                                               static_cast<uint64_t>(spread.count()) + 1)));
    }
  }
  ranks_ = ranks;
}

void ReaderElection::resign() {
  resigning_ = true;
  if (held_) {
    held_->nextAttemptAt = TimePoint{};
  }
}

ElectionAction ReaderElection::next(TimePoint now) {
  if (held_ && now >= held_->validUntil) {
    loseLease(now);
  }
  if (held_) {
    return nextAsHolder(now);
  }
  if (resigning_) {
    return WaitUntil{now + kIdleWait};
  }
  return nextAsCandidate(now);
}

void ReaderElection::onRead(TimePoint now, uint8_t slot,
                            const std::optional<ObservedLease>& observed) {
  if (held_ && held_->slot == slot) {
    readAsHolder(now, observed);
  } else {
    readAsCandidate(now, slot, observed);
  }
}

void ReaderElection::onReadFailed(TimePoint now, uint8_t slot, const StoreError& error) {
  if (held_ && held_->slot == slot) {
    held_->nextAttemptAt = now + renewBackOff_.next(error.retryAfter);
    return;
  }
  if (slotStates_[slot].isFormerHolder) {
    slotStates_[slot].nextReadAt = now + renewBackOff_.next(error.retryAfter);
    return;
  }
  const TimePoint paced = drawNextRead(now, ranks_[slot].value_or(0));
  slotStates_[slot].nextReadAt = std::max(paced, now + error.retryAfter.value_or(Duration{0}));
}

void ReaderElection::onWritten(TimePoint sentAt, const WriteLease& written, uint64_t version) {
  slotStates_[written.slot].mayWrite = false;
  slotStates_[written.slot].isFormerHolder = false;
  if (written.lease.duration == Duration{0}) {
    held_.reset();
    return;
  }
  renewBackOff_.reset();
  Held held;
  held.slot = written.slot;
  held.observed = ObservedLease{version, written.lease};
  held.validUntil = sentAt + options_.leaseTime;
  held.nextAttemptAt = sentAt + options_.renewInterval;
  held_ = held;
}

void ReaderElection::onWriteFailed(TimePoint now, uint8_t slot, const StoreError& error) {
  slotStates_[slot].mayWrite = false;
  if (!held_ || held_->slot != slot) {
    // The next read shows the result of the write, which may have been applied.
    onReadFailed(now, slot, error);
    return;
  }
  held_->mustRead = error.code != StoreErrorCode::kUnavailable;
  held_->nextAttemptAt = held_->mustRead ? now : now + renewBackOff_.next(error.retryAfter);
}

std::optional<uint8_t> ReaderElection::heldSlot(TimePoint now) const {
  if (!held_ || now >= held_->validUntil) {
    return std::nullopt;
  }
  return held_->slot;
}

ElectionAction ReaderElection::nextAsHolder(TimePoint now) {
  if (now < held_->nextAttemptAt) {
    return WaitUntil{std::min(held_->nextAttemptAt, held_->validUntil)};
  }
  if (held_->mustRead) {
    return ReadLease{held_->slot};
  }
  WriteLease renewal = makeLeaseWrite(held_->slot, held_->observed);
  if (resigning_) {
    renewal.lease.duration = Duration{0};
  }
  return renewal;
}

ElectionAction ReaderElection::nextAsCandidate(TimePoint now) {
  TimePoint earliest = now + kIdleWait;
  for (uint8_t slot = 0; slot < kReaderSlots; ++slot) {
    const SlotState& slotState = slotStates_[slot];
    if (!ranks_[slot]) {
      continue;
    }
    if (slotState.mayWrite) {
      return makeLeaseWrite(slot, slotState.observed);
    }
    if (slotState.nextReadAt <= now) {
      return ReadLease{slot};
    }
    earliest = std::min(earliest, slotState.nextReadAt);
  }
  return WaitUntil{earliest};
}

void ReaderElection::readAsHolder(TimePoint now, const std::optional<ObservedLease>& observed) {
  if (!observed || observed->lease.holder != self_ || observed->lease.duration == Duration{0}) {
    const uint8_t slot = held_->slot;
    loseLease(now);
    readAsCandidate(now, slot, observed);
    return;
  }
  held_->observed = *observed;
  held_->mustRead = false;
  held_->nextAttemptAt = now;
}

void ReaderElection::readAsCandidate(TimePoint now, uint8_t slot,
                                     const std::optional<ObservedLease>& observed) {
  SlotState& slotState = slotStates_[slot];
  const bool isUnchanged =
      observed && slotState.observed && observed->version == slotState.observed->version;
  if (!isUnchanged) {
    slotState.unchangedSince = now;
  }
  slotState.observed = observed;
  slotState.isFormerHolder =
      slotState.isFormerHolder && observed && observed->lease.holder == self_;
  slotState.nextReadAt = drawNextRead(now, ranks_[slot].value_or(0));
  slotState.mayWrite = ranks_[slot].has_value() && mayAcquire(now, slotState);
}

bool ReaderElection::mayAcquire(TimePoint now, const SlotState& slotState) const {
  if (!slotState.observed || slotState.observed->lease.duration == Duration{0}) {
    return true;
  }
  const ReaderLease& lease = slotState.observed->lease;
  if (lease.holder == self_) {
    // Left by this node before its lease expired locally or before it restarted.
    return true;
  }
  const Duration duration = std::min(lease.duration, kMaxLeaseTime);
  return now - slotState.unchangedSince >= duration + options_.takeoverMargin;
}

void ReaderElection::loseLease(TimePoint now) {
  SlotState& slotState = slotStates_[held_->slot];
  slotState = SlotState{};
  slotState.nextReadAt = now;
  slotState.isFormerHolder = true;
  held_.reset();
  renewBackOff_.reset();
}

TimePoint ReaderElection::drawNextRead(TimePoint now, uint8_t rank) {
  const auto spread =
      static_cast<uint64_t>((options_.maxPollInterval - options_.minPollInterval).count());
  const Duration wait =
      options_.minPollInterval + Duration(static_cast<Duration::rep>(random_.below(spread + 1)));
  return now + wait * (rank + 1);
}

WriteLease ReaderElection::makeLeaseWrite(uint8_t slot,
                                          const std::optional<ObservedLease>& observed) const {
  WriteLease write;
  write.slot = slot;
  write.expectedVersion = observed ? observed->version : 0;
  write.lease = ReaderLease{self_, observed ? observed->lease.renewal + 1 : 1, options_.leaseTime};
  return write;
}

}  // namespace umberhold
