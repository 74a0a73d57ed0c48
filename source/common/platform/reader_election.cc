#include "common/platform/reader_election.h"

#include <algorithm>

namespace umberhold {
namespace {

/** A lease that claims to last longer is believed for this long only. */
constexpr Duration kLongestLease = std::chrono::minutes(2);
/** How long a node without candidacy waits before it is asked again. */
constexpr Duration kIdleWait = std::chrono::seconds(60);

}  // namespace

ReaderElection::ReaderElection(ReaderElectionOptions options, NodeId self, RandomSource& random)
    : options_(options), self_(self), random_(random), renewBackOff_(options.renewRetry, random) {}

void ReaderElection::setRanks(const ReaderRanks& ranks, TimePoint now) {
  for (uint8_t slot = 0; slot < kReaderSlots; ++slot) {
    if (ranks[slot] && !ranks_[slot]) {
      // The first look comes soon, but spread out: at a start all candidates come up together.
      const Duration spread = options_.minPollInterval * (*ranks[slot] + 1);
      watched_[slot] = Watched{};
      watched_[slot].nextRead = now + Duration(static_cast<Duration::rep>(random_.below(
                                          static_cast<uint64_t>(spread.count()) + 1)));
    }
  }
  ranks_ = ranks;
}

void ReaderElection::resign() {
  resigning_ = true;
  if (held_) {
    held_->nextTry = TimePoint{};
  }
}

ElectionAction ReaderElection::next(TimePoint now) {
  if (held_ && now >= held_->validUntil) {
    lose(now);
  }
  if (held_) {
    return nextOfHolder(now);
  }
  if (resigning_) {
    return WaitUntil{now + kIdleWait};
  }
  return nextOfCandidate(now);
}

void ReaderElection::onRead(TimePoint now, uint8_t slot, const std::optional<ObservedLease>& seen) {
  if (held_ && held_->slot == slot) {
    readAsHolder(now, seen);
  } else {
    readAsCandidate(now, slot, seen);
  }
}

void ReaderElection::onReadFailed(TimePoint now, uint8_t slot, const StoreError& error) {
  if (held_ && held_->slot == slot) {
    held_->nextTry = now + renewBackOff_.next(error.retryAfter);
    return;
  }
  if (watched_[slot].heldBefore) {
    watched_[slot].nextRead = now + renewBackOff_.next(error.retryAfter);
    return;
  }
  const TimePoint paced = drawNextRead(now, ranks_[slot].value_or(0));
  watched_[slot].nextRead = std::max(paced, now + error.retryAfter.value_or(Duration{0}));
}

void ReaderElection::onWritten(TimePoint sentAt, const WriteLease& written, uint64_t version) {
  watched_[written.slot].claim = false;
  watched_[written.slot].heldBefore = false;
  if (written.lease.duration == Duration{0}) {
    held_.reset();
    return;
  }
  renewBackOff_.reset();
  Held held;
  held.slot = written.slot;
  held.seen = ObservedLease{version, written.lease};
  held.validUntil = sentAt + options_.leaseTime;
  held.nextTry = sentAt + options_.renewInterval;
  held_ = held;
}

void ReaderElection::onWriteFailed(TimePoint now, uint8_t slot, const StoreError& error) {
  watched_[slot].claim = false;
  if (!held_ || held_->slot != slot) {
    // Whatever became of the claim, the next read tells: it may even be in.
    onReadFailed(now, slot, error);
    return;
  }
  held_->mustRead = error.code != StoreErrorCode::kUnavailable;
  held_->nextTry = held_->mustRead ? now : now + renewBackOff_.next(error.retryAfter);
}

std::optional<uint8_t> ReaderElection::heldSlot(TimePoint now) const {
  if (!held_ || now >= held_->validUntil) {
    return std::nullopt;
  }
  return held_->slot;
}

ElectionAction ReaderElection::nextOfHolder(TimePoint now) {
  if (now < held_->nextTry) {
    return WaitUntil{std::min(held_->nextTry, held_->validUntil)};
  }
  if (held_->mustRead) {
    return ReadLease{held_->slot};
  }
  WriteLease renewal = claimOf(held_->slot, held_->seen);
  if (resigning_) {
    renewal.lease.duration = Duration{0};
  }
  return renewal;
}

ElectionAction ReaderElection::nextOfCandidate(TimePoint now) {
  TimePoint earliest = now + kIdleWait;
  for (uint8_t slot = 0; slot < kReaderSlots; ++slot) {
    const Watched& watched = watched_[slot];
    if (!ranks_[slot]) {
      continue;
    }
    if (watched.claim) {
      return claimOf(slot, watched.seen);
    }
    if (watched.nextRead <= now) {
      return ReadLease{slot};
    }
    earliest = std::min(earliest, watched.nextRead);
  }
  return WaitUntil{earliest};
}

void ReaderElection::readAsHolder(TimePoint now, const std::optional<ObservedLease>& seen) {
  if (!seen || seen->lease.holder != self_ || seen->lease.duration == Duration{0}) {
    const uint8_t slot = held_->slot;
    lose(now);
    readAsCandidate(now, slot, seen);
    return;
  }
  held_->seen = *seen;
  held_->mustRead = false;
  held_->nextTry = now;
}

void ReaderElection::readAsCandidate(TimePoint now, uint8_t slot,
                                     const std::optional<ObservedLease>& seen) {
  Watched& watched = watched_[slot];
  const bool isUnchanged = seen && watched.seen && seen->version == watched.seen->version;
  if (!isUnchanged) {
    watched.unchangedSince = now;
  }
  watched.seen = seen;
  watched.heldBefore = watched.heldBefore && seen && seen->lease.holder == self_;
  watched.nextRead = drawNextRead(now, ranks_[slot].value_or(0));
  watched.claim = ranks_[slot].has_value() && mayClaim(now, watched);
}

bool ReaderElection::mayClaim(TimePoint now, const Watched& watched) const {
  if (!watched.seen || watched.seen->lease.duration == Duration{0}) {
    return true;
  }
  const ReaderLease& lease = watched.seen->lease;
  if (lease.holder == self_) {
    // Left by this node before it lost sight of it, or before it restarted.
    return true;
  }
  const Duration duration = std::min(lease.duration, kLongestLease);
  return now - watched.unchangedSince >= duration + options_.takeoverMargin;
}

void ReaderElection::lose(TimePoint now) {
  Watched& watched = watched_[held_->slot];
  watched = Watched{};
  watched.nextRead = now;
  watched.heldBefore = true;
  held_.reset();
  renewBackOff_.reset();
}

TimePoint ReaderElection::drawNextRead(TimePoint now, uint8_t rank) {
  const auto spread = static_cast<uint64_t>((options_.maxPollInterval - options_.minPollInterval).count());
  const Duration wait =
      options_.minPollInterval + Duration(static_cast<Duration::rep>(random_.below(spread + 1)));
  return now + wait * (rank + 1);
}

WriteLease ReaderElection::claimOf(uint8_t slot, const std::optional<ObservedLease>& seen) const {
  WriteLease write;
  write.slot = slot;
  write.expectedVersion = seen ? seen->version : 0;
  write.lease = ReaderLease{self_, seen ? seen->lease.renewal + 1 : 1, options_.leaseTime};
  return write;
}

}  // namespace umberhold
