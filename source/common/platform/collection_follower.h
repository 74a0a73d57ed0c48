/**
 * @file State machine that keeps a local copy of one store collection up to date, by list and
 * watch.
 *
 * A list creates the copy, watches keep it current. The first page of the initial list may come
 * from a stale replica, which is cheaper for the store: the watch starts at the lowest version of
 * the list's pages, so no change is missed. A list made after the store lost its history must be
 * current; objects that it lacks are treated as deleted.
 *
 * A store may take a watch and never answer it. Only the watch's own answer shows that it works, so
 * a watch waits no longer than until the age of the follower's knowledge reaches
 * FollowerOptions::maxKnowledgeAge, and is given up FollowerOptions::answerTolerance after that.
 * Pure decision logic without I/O: the caller makes the calls and reports their results.
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
  /** Maximum time until the answer begins; unset for the limit of all calls. */
  std::optional<Duration> answerTolerance = std::nullopt;
};

/** Watch for changes after a version. */
struct WatchFrom {
  uint64_t version = 0;
  Duration longPollTimeout{0};
  /** Maximum time until the answer begins, after longPollTimeout. */
  Duration answerTolerance{0};
};

/** Make no call before this time. */
struct PauseUntil {
  TimePoint at;
};

using FollowerAction = std::variant<ReadPage, WatchFrom, PauseUntil>;

/** Timing of a follower. */
struct FollowerOptions {
  /** Age of the knowledge of the collection at which a watch ends if nothing has changed. */
  Duration maxKnowledgeAge = std::chrono::seconds(30);
  /**
   * Time that the store has to begin an answer. It doubles with each consecutive call that takes
   * longer, so that a slower store is still read.
   */
  Duration answerTolerance = std::chrono::milliseconds(500);
  Duration maxAnswerTolerance = std::chrono::seconds(5);
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
   * @param sentAt when it was requested.
   * @param version of the store when the page was read.
   * @param lastName last name on the page; the next page starts after it.
   * @param more whether more pages follow.
   */
  PageOutcome onPage(TimePoint sentAt, uint64_t version, const std::string& lastName, bool more);
  /** @return the version up to which all changes are known; 0 before the first list is complete. */
  uint64_t version() const { return watchVersion_; }
  /** @return the lowest version of the list's pages. */
  uint64_t listVersion() const { return listVersion_; }
  /**
   * Reports the answer to a watch.
   * @param sentAt when the watch was sent.
   * @param version at which the next watch starts.
   */
  void onWatch(TimePoint sentAt, TimePoint now, const WatchFrom& watch, uint64_t version,
               bool hadEvents);
  /** Reports that a peer supplied all changes up to the version. */
  void onPeerVersion(uint64_t version);
  /**
   * Reports that the call requested by next() failed. The kind of failure decides the next action.
   */
  void onFailure(TimePoint now, const StoreError& error);
  /**
   * Reports that the answer to the call requested by next() did not begin in time. The first such
   * call in a row is repeated at once.
   */
  void onOverdue(TimePoint now, const StoreError& error);
  /** Requires an immediate answer to the next watch: the knowledge may be outdated. */
  void distrustKnowledge() { knownAsOf_.reset(); }
  /**
   * @return the time as of which all changes are known by answers to this follower's own calls
   * that cannot be stale; nothing before the first.
   */
  std::optional<TimePoint> knownAsOf() const { return knownAsOf_; }

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
  Duration watchDurationAt(TimePoint now) const;
  void recordSuccess();
  void restartList();

  const FollowerOptions options_;
  Duration changeBatchDelay_;
  BackOff backOff_;
  RetryBudget budget_;
  /** Page to read; nothing while watching. */
  std::optional<ReadPage> page_ = ReadPage{"", true};
  uint64_t listVersion_ = 0;
  TimePoint listSentAt_{};
  uint64_t watchVersion_ = 0;
  std::optional<TimePoint> knownAsOf_;
  Duration answerTolerance_;
  bool wasOverdue_ = false;
  TimePoint pausedUntil_;
  TimePoint changesExpectedUntil_{};
  bool failing_ = false;
  bool hasListed_ = false;
};

}  // namespace umberhold
