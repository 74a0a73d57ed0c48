#include "common/platform/collection_follower.h"

#include <algorithm>
#include <utility>

namespace umberhold {

CollectionFollower::CollectionFollower(FollowerOptions options, RandomSource& random)
    : options_(options),
      changeBatchDelay_(options.changeBatchDelay),
      backOff_(options.retry, random),
      budget_(options.retryBudget),
      answerTolerance_(options.answerTolerance) {}

FollowerAction CollectionFollower::next(TimePoint now) const {
  if (now < pausedUntil_) {
    return PauseUntil{pausedUntil_};
  }
  if (page_) {
    ReadPage page = *page_;
    if (hasListed_) {
      page.answerTolerance = answerTolerance_;
    }
    return page;
  }
  return WatchFrom{watchVersion_, watchDurationAt(now), answerTolerance_};
}

Duration CollectionFollower::watchDurationAt(TimePoint now) const {
  if (!knownAsOf_) {
    return Duration{0};
  }
  return std::clamp(*knownAsOf_ + options_.maxKnowledgeAge - now, Duration{0},
                    options_.maxKnowledgeAge);
}

PageOutcome CollectionFollower::onPage(TimePoint sentAt, uint64_t version,
                                       const std::string& lastName, bool more) {
  recordSuccess();
  const bool allowStale = page_ && page_->allowStale;
  if (!page_ || page_->after.empty()) {
    listVersion_ = version;
    listSentAt_ = sentAt;
  }
  // Pages of a stale list may come from replicas that lag by different times.
  listVersion_ = std::min(listVersion_, version);
  if (more) {
    page_ = ReadPage{lastName, allowStale};
    return PageOutcome::kPartial;
  }
  page_.reset();
  watchVersion_ = listVersion_;
  hasListed_ = true;
  if (!allowStale) {
    knownAsOf_ = listSentAt_;
  }
  return allowStale ? PageOutcome::kStaleListComplete : PageOutcome::kListComplete;
}

void CollectionFollower::onWatch(TimePoint sentAt, TimePoint now, const WatchFrom& watch,
                                 uint64_t version, bool hadEvents) {
  onPeerVersion(version);
  // A watch that waited for its whole duration shows that nothing changed in it. How long an
  // earlier answer was on its way is unknown.
  const bool waited = !hadEvents && now - sentAt >= watch.longPollTimeout;
  knownAsOf_ = waited ? sentAt + watch.longPollTimeout : sentAt;
  if (hadEvents) {
    pausedUntil_ = now + changeBatchDelayAt(now);
  }
}

void CollectionFollower::onPeerVersion(uint64_t version) {
  recordSuccess();
  watchVersion_ = std::max(watchVersion_, version);
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

void CollectionFollower::onOverdue(TimePoint now, const StoreError& error) {
  answerTolerance_ = std::min(answerTolerance_ * 2, options_.maxAnswerTolerance);
  if (std::exchange(wasOverdue_, true)) {
    onFailure(now, error);
  } else if (page_) {
    restartList();
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
  wasOverdue_ = false;
  answerTolerance_ = options_.answerTolerance;
  backOff_.reset();
}

void CollectionFollower::restartList() {
  // Only the initial list may be stale: afterwards a copy exists that must not revert to an
  // older state.
  page_ = ReadPage{"", !hasListed_ && page_ && page_->allowStale};
}

}  // namespace umberhold
