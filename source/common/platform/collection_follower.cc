#include "common/platform/collection_follower.h"

#include <algorithm>

namespace umberhold {

CollectionFollower::CollectionFollower(FollowerOptions options, RandomSource& random)
    : options_(options),
      changeBatchDelay_(options.changeBatchDelay),
      backOff_(options.retry, random),
      budget_(options.retryBudget) {}

FollowerAction CollectionFollower::next(TimePoint now) const {
  if (now < pausedUntil_) {
    return PauseUntil{pausedUntil_};
  }
  if (page_) {
    return *page_;
  }
  return WatchFrom{watchVersion_, options_.maxWatchDuration};
}

PageOutcome CollectionFollower::onPage(uint64_t version, const std::string& lastName, bool more) {
  recordSuccess();
  const bool allowStale = page_ && page_->allowStale;
  if (!page_ || page_->after.empty()) {
    listVersion_ = version;
  }
  if (more) {
    page_ = ReadPage{lastName, allowStale};
    return PageOutcome::kPartial;
  }
  page_.reset();
  watchVersion_ = listVersion_;
  hasListed_ = true;
  return allowStale ? PageOutcome::kStaleListComplete : PageOutcome::kListComplete;
}

void CollectionFollower::onWatch(TimePoint now, uint64_t version, bool hadEvents) {
  recordSuccess();
  watchVersion_ = std::max(watchVersion_, version);
  if (hadEvents) {
    pausedUntil_ = now + changeBatchDelayAt(now);
  }
}

Duration CollectionFollower::changeBatchDelayAt(TimePoint now) const {
  return now < changesExpectedUntil_
             ? std::min(changeBatchDelay_, options_.expectedChangeBatchDelay)
             : changeBatchDelay_;
}

void CollectionFollower::onFailure(TimePoint now, const StoreError& error) {
  if (error.code == StoreErrorCode::kTooOld) {
    restartList();
    // The store answers, so this is not a failure. The delay keeps a history that is too short
    // from causing lists in a loop.
    pausedUntil_ = now + changeBatchDelay_;
    return;
  }
  failing_ = true;
  if (page_ && !page_->after.empty()) {
    restartList();
  }
  pausedUntil_ = now + backOff_.next(error.retryAfter);
  if (!budget_.tryTake(pausedUntil_)) {
    pausedUntil_ += budget_.waitTime(pausedUntil_);
    budget_.tryTake(pausedUntil_);
  }
}

void CollectionFollower::requireCurrentList() {
  if (page_) {
    page_ = ReadPage{"", false};
  }
}

void CollectionFollower::beginAt(uint64_t version) {
  recordSuccess();
  page_.reset();
  listVersion_ = version;
  watchVersion_ = version;
  hasListed_ = true;
}

void CollectionFollower::recordSuccess() {
  failing_ = false;
  backOff_.reset();
}

void CollectionFollower::restartList() {
  // Only the initial list may be stale: afterwards a copy exists that must not revert to an
  // older state.
  page_ = ReadPage{"", !hasListed_ && page_ && page_->allowStale};
}

}  // namespace umberhold
