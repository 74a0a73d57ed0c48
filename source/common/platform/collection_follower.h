/**
 * @file What to ask the store next, to hold a copy of one collection that is never long out of
 * date.
 *
 * A list gives the copy, watches keep it. The list's first page may come from a reader that lags
 * (cheaper for the store): the watch goes on from that page's version, so nothing is missed. A
 * list that follows a lost history must be current, and replaces what it lacks. Decision logic
 * without I/O: the caller makes the calls and says what came back.
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

/** Read a page of the list. */
struct ReadPage {
  /** Name to go on after; empty for the first page. */
  std::string after;
  /** Whether an answer that lags will do. */
  bool allowStale = false;
};

/** Wait for changes. */
struct WatchFrom {
  uint64_t version = 0;
  Duration longPollTimeout{0};
};

/** Nothing to ask before then. */
struct PauseUntil {
  TimePoint at;
};

using FollowerAction = std::variant<ReadPage, WatchFrom, PauseUntil>;

/** Pace of a follower. */
struct FollowerOptions {
  /** Bounds how long a watch that was lost in a silence between two probes goes unnoticed. A watch
   * that is asked while the store forgets its history may be lost, too: more of them are no gain.
   */
  Duration maxWatchDuration = std::chrono::seconds(30);
  /** Wait after changes, so that those that come in a row cost one call. */
  Duration changeBatchDelay = std::chrono::milliseconds(250);
  /** In its place, where it is shorter, for a while after expectChanges(). */
  Duration expectedChangeBatchDelay = std::chrono::milliseconds(100);
  Duration expectedChangesDuration = std::chrono::seconds(3);
  BackOffOptions retry{std::chrono::milliseconds(100), std::chrono::milliseconds(800)};
  RetryBudgetOptions retryBudget{10, std::chrono::milliseconds(800)};
};

/** What a page completes. */
enum class PageOutcome : uint8_t {
  /** More pages follow. */
  kPartial,
  /** The last page of a list that may lag: what it lacks may exist. */
  kStaleListComplete,
  /** The last page of a current list: what it lacks was deleted before listVersion(). */
  kListComplete,
};

/** Follows one collection. Not thread safe. */
class CollectionFollower {
 public:
  /** @param random borrowed; must outlive the follower. */
  CollectionFollower(FollowerOptions options, RandomSource& random);

  FollowerAction next(TimePoint now) const;
  /** In place of FollowerOptions::changeBatchDelay from the next changes on. */
  void setChangeBatchDelay(Duration gathering) { gathering_ = gathering; }

  /**
   * What is followed is not as it will soon be: after a start or an outage, for instance. Changes
   * are gathered for a shorter time for a while.
   */
  void expectChanges(TimePoint now) { expectedUntil_ = now + options_.expectedChangesDuration; }

  /**
   * The page that next() asked for came.
   * @param version the store's, when the page was read.
   * @param lastName of the page; where to go on if there is more.
   */
  PageOutcome onPage(uint64_t version, const std::string& lastName, bool more);
  /** @return version up to which everything is known; 0 before the first list is complete. */
  uint64_t version() const { return watchVersion_; }
  /** @return version of the list's first page. */
  uint64_t listVersion() const { return listVersion_; }
  /** A watch ended. @param version to go on from. */
  void onWatch(TimePoint now, uint64_t version, bool hadEvents);
  /** The call that next() asked for failed; its kind of failure decides what follows. */
  void onFailure(TimePoint now, const StoreError& error);

  /**
   * Something is known from elsewhere: the list to come must be current, so that what it lacks is
   * known to be gone.
   */
  void requireCurrentList();
  /** Calls may succeed again: the next one is made at once. */
  void retryNow() { pausedUntil_ = TimePoint{}; }
  /** A peer gave everything as of the version: there is nothing to list. */
  void beginAt(uint64_t version);
  /** @return whether next() asks for a page; an answer to an earlier question for one is outdated
   * where not. */
  bool needsPage() const { return page_.has_value(); }
  /** @return whether calls fail at present. */
  bool isFailing() const { return failing_; }
  /** @return whether a list is complete, so that a copy exists. */
  bool hasListed() const { return hasListed_; }

 private:
  Duration gatheringAt(TimePoint now) const;
  void succeed();
  void startListAnew();

  const FollowerOptions options_;
  Duration gathering_;
  BackOff backOff_;
  RetryBudget budget_;
  /** Page to read; none while watching. */
  std::optional<ReadPage> page_ = ReadPage{"", true};
  uint64_t listVersion_ = 0;
  uint64_t watchVersion_ = 0;
  TimePoint pausedUntil_;
  TimePoint expectedUntil_{};
  bool failing_ = false;
  bool hasListed_ = false;
};

}  // namespace umberhold
