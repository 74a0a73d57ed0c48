/**
 * @file State machine that keeps a local copy of one store collection up to date, by list and
 * watch.
 *
 * A list creates the copy, watches keep it current. The first page of the initial list may come
 * from a stale replica, which is cheaper for the store: the watch starts at that page's version, so
 * no change is missed. A list made after the store lost its history must be current; objects that
 * it lacks are treated as deleted. Pure decision logic without I/O: the caller makes the calls and
 * reports their results.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "common/base/random.h"
#include "common/base/time.h"
#include "common/platform/platform_store.h"
#include "common/platform/retry.h"

namespace umberhold {

/** Read one page of the list. */
struct ReadPage {
  /** Name after which the page starts; empty for the first page. */
  std::string after;
  /** Whether a stale answer is acceptable. */
  bool allowStale = false;
};

/** Watch for changes after a version. */
struct WatchFrom {
  uint64_t version = 0;
  Duration longPollTimeout{0};
};

/** Make no call before this time. */
struct PauseUntil {
  TimePoint at;
};

using FollowerAction = std::variant<ReadPage, WatchFrom, PauseUntil>;

/** Timing of a follower. */
struct FollowerOptions {
  /**
   * Maximum duration of one watch; shorter than the store's history, since a watch that begins
   * before the history is not answered with changes any more.
   */
  Duration maxWatchDuration = std::chrono::seconds(30);
  /**
   * Delay after a watch that returned changes, so that consecutive changes are fetched by one call.
   */
  Duration changeBatchDelay = std::chrono::milliseconds(250);
  /** Replaces changeBatchDelay, if shorter, for expectedChangesDuration after expectChanges(). */
  Duration expectedChangeBatchDelay = std::chrono::milliseconds(100);
  Duration expectedChangesDuration = std::chrono::seconds(3);
  BackOffOptions retry{std::chrono::milliseconds(100), std::chrono::milliseconds(800)};
  RetryBudgetOptions retryBudget{10, std::chrono::milliseconds(800)};
};

/** State of a list after one of its pages. */
enum class PageOutcome : uint8_t {
  /** More pages follow. */
  kPartial,
  /** The last page of a list that may be stale: objects missing from it may exist. */
  kStaleListComplete,
  /** The last page of a current list: objects missing from it were deleted before listVersion(). */
  kListComplete,
};

/** Follows one collection. Not thread safe. */
class CollectionFollower {
 public:
  /** @param random borrowed; must outlive the follower. */
  CollectionFollower(FollowerOptions options, RandomSource& random);

  FollowerAction next(TimePoint now) const;
  /** Overrides FollowerOptions::changeBatchDelay, starting with the next changes. */
  void setChangeBatchDelay(Duration delay) { changeBatchDelay_ = delay; }

  /**
   * Shortens the batch delay for a while, because changes are expected soon, for instance after a
   * start or an outage.
   */
  void expectChanges(TimePoint now) {
    changesExpectedUntil_ = now + options_.expectedChangesDuration;
  }

  /**
   * Reports the page that next() requested.
   * @param version of the store when the page was read.
   * @param lastName last name on the page; the next page starts after it.
   * @param more whether more pages follow.
   */
  PageOutcome onPage(uint64_t version, const std::string& lastName, bool more);
  /** @return the version up to which all changes are known; 0 before the first list is complete. */
  uint64_t version() const { return watchVersion_; }
  /** @return the version of the list's first page. */
  uint64_t listVersion() const { return listVersion_; }
  /** Reports the end of a watch. @param version at which the next watch starts. */
  void onWatch(TimePoint now, uint64_t version, bool hadEvents);
  /**
   * Reports that the call requested by next() failed. The kind of failure decides the next action.
   */
  void onFailure(TimePoint now, const StoreError& error);

  /**
   * Requires the pending list to be current, because the caller already holds objects from another
   * source: those missing from a current list are known to be deleted.
   */
  void requireCurrentList();
  /** Ends the backoff: the next call is made immediately. */
  void retryNow() { pausedUntil_ = TimePoint{}; }
  /**
   * Starts watching at the version, because a peer supplied the complete state: no list is needed.
   */
  void beginAt(uint64_t version);
  /**
   * @return whether next() requests a page; if not, the answer to an earlier page request is
   * outdated.
   */
  bool needsPage() const { return page_.has_value(); }
  /** @return whether calls are currently failing. */
  bool isFailing() const { return failing_; }
  /** @return whether a list is complete, so that a local copy exists. */
  bool hasListed() const { return hasListed_; }

 private:
  Duration changeBatchDelayAt(TimePoint now) const;
  void recordSuccess();
  void restartList();

  const FollowerOptions options_;
  Duration changeBatchDelay_;
  BackOff backOff_;
  RetryBudget budget_;
  /** Page to read; nothing while watching. */
  std::optional<ReadPage> page_ = ReadPage{"", true};
  uint64_t listVersion_ = 0;
  uint64_t watchVersion_ = 0;
  TimePoint pausedUntil_;
  TimePoint changesExpectedUntil_{};
  bool failing_ = false;
  bool hasListed_ = false;
};

}  // namespace umberhold
