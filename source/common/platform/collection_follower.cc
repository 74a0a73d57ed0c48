#include "common/platform/collection_follower.h"

#include <algorithm>

namespace umberhold {

CollectionFollower::CollectionFollower(FollowerOptions options, RandomSource& random)
    : options_(options),
      gathering_(options.changeBatchDelay),
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
  succeed();
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
  succeed();
  watchVersion_ = std::max(watchVersion_, version);
  if (hadEvents) {
    pausedUntil_ = now + gatheringAt(now);
  }
}

Duration CollectionFollower::gatheringAt(TimePoint now) const {
  return now < expectedUntil_ ? std::min(gathering_, options_.expectedChangeBatchDelay) : gathering_;
}

void CollectionFollower::onFailure(TimePoint now, const StoreError& error) {
  if (error.code == StoreErrorCode::kTooOld) {
    startListAnew();
    // The store answers: no failure, but a history this short must not make a loop of lists.
    pausedUntil_ = now + gathering_;
    return;
  }
  failing_ = true;
  if (page_ && !page_->after.empty()) {
    startListAnew();
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
  succeed();
  page_.reset();
  listVersion_ = version;
  watchVersion_ = version;
  hasListed_ = true;
}

void CollectionFollower::succeed() {
  failing_ = false;
  backOff_.reset();
}

void CollectionFollower::startListAnew() {
  // Only the very first list may lag: afterwards a copy exists that must not go back in time.
  page_ = ReadPage{"", !hasListed_ && page_ && page_->allowStale};
}

}  // namespace umberhold
