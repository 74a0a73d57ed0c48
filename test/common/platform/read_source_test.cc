/** @file Whether a node reads the store or follows a peer, and which peer. */
#include "common/platform/read_source.h"

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{seconds(1000)};

RosterNode node(int number, uint32_t capacity) {
  return {"node-" + std::to_string(number), "bole",
          Endpoint{0x0A000000 + static_cast<uint32_t>(number), 7400}, capacity};
}

}  // namespace

TEST_GROUP(ReadSource) {
  RandomSource random{7};
  ReadSourceOptions options;
  RosterOptions rosterOptions;
  TimePoint now = kStart;
  ReadSource source{kStart, options, random};

  /** Sets a roster of seven nodes; a higher number ranks lower. @param self 1 to 7. */
  void setRoster(int self, bool isUpToDate = false) {
    std::vector<RosterNode> all;
    for (int number = 1; number <= 7; ++number) {
      all.push_back(node(number, 1000 - static_cast<uint32_t>(number)));
    }
    ReaderRoster roster(all[static_cast<size_t>(self - 1)], rosterOptions);
    roster.setNodes(all);
    source.setRoster(now, roster, isUpToDate);
  }
  std::string peer() {
    const auto selected = source.selectPeer(now);
    return selected ? selected->name : "none";
  }
  void confirm(Duration age = Duration{0}) {
    peer();
    source.onConfirmed(now, now - age);
  }
  void checkCause(ReadCause expected) {
    STRCMP_EQUAL(std::string(toString(expected)).c_str(),
                 std::string(toString(source.cause(now))).c_str());
  }
};

TEST(ReadSource, WaitsForARosterAndThenReadsTheStore) {
  checkCause(ReadCause::kUndecided);
  CHECK_FALSE(source.readsStore(now));
  now += options.rosterWait;
  checkCause(ReadCause::kNoPeers);
  CHECK_TRUE(source.readsStore(now));
}

TEST(ReadSource, ReaderReadsTheStoreAndPollsNoPeer) {
  setRoster(1);
  checkCause(ReadCause::kReader);
  CHECK_TRUE(source.nextRequestAt(now) == TimePoint::max());
}

TEST(ReadSource, OtherNodesPollTheReader) {
  setRoster(5);
  checkCause(ReadCause::kFollowsPeer);
  CHECK_TRUE(source.nextRequestAt(now) == now);
  STRCMP_EQUAL("node-1", peer().c_str());
  confirm();
  CHECK_TRUE(source.nextRequestAt(now) >= now + options.pollInterval * 9 / 10);
  CHECK_TRUE(source.nextRequestAt(now) <= now + options.pollInterval * 11 / 10);
}

TEST(ReadSource, ReadsTheStoreWithoutARecentConfirmation) {
  setRoster(5);
  confirm();
  now += options.unconfirmedTimeout;
  CHECK_FALSE(source.readsStore(now));
  now += milliseconds(1);
  checkCause(ReadCause::kUnconfirmed);
  CHECK_TRUE(source.readsStore(now));
  confirm();
  checkCause(ReadCause::kFollowsPeer);
}

TEST(ReadSource, LateRosterLeavesTimeToPollBeforeReading) {
  now += seconds(1);
  setRoster(5);
  now += milliseconds(1500);
  CHECK_FALSE(source.readsStore(now));
  now += milliseconds(1000);
  CHECK_TRUE(source.readsStore(now));
}

TEST(ReadSource, VeryLateRosterLeadsToReadingWithinTwiceTheTimeout) {
  now += milliseconds(3500);
  setRoster(5);
  CHECK_FALSE(source.readsStore(now));
  now += milliseconds(600);
  CHECK_TRUE(source.readsStore(now));
}

/** The age of the peer's own confirmation counts, not that of its answer. */
TEST(ReadSource, ConfirmationCountsFromItsOwnTime) {
  setRoster(5);
  now += seconds(10);
  confirm(options.maxConfirmationAge);
  CHECK_FALSE(source.readsStore(now));
  now += options.unconfirmedTimeout - options.maxConfirmationAge + milliseconds(1);
  CHECK_TRUE(source.readsStore(now));
}

TEST(ReadSource, SkipsAPeerWithoutARecentConfirmation) {
  setRoster(5);
  now += seconds(10);
  confirm(options.maxConfirmationAge + milliseconds(1));
  CHECK_TRUE(source.readsStore(now));
  STRCMP_EQUAL("node-2", peer().c_str());
  now += options.unconfirmedPenalty;
  STRCMP_EQUAL("node-1", peer().c_str());
}

TEST(ReadSource, PollsTheNextCandidateImmediatelyAfterAFailure) {
  setRoster(5);
  confirm();
  now += options.pollInterval;
  peer();
  source.onFailure(now);
  CHECK_TRUE(source.nextRequestAt(now) == now);
  STRCMP_EQUAL("node-2", peer().c_str());
  source.onFailure(now);
  STRCMP_EQUAL("node-3", peer().c_str());
}

TEST(ReadSource, FailingPeerIsSkippedForIncreasingTimes) {
  source.onSynchronized();
  setRoster(5);
  Duration penalty = options.initialPenalty;
  for (int failures = 0; failures < 6; ++failures) {
    STRCMP_EQUAL("node-1", peer().c_str());
    source.onFailure(now);
    now += penalty - milliseconds(1);
    STRCMP_EQUAL("node-2", peer().c_str());
    now += milliseconds(1);
    penalty = std::min(penalty * 2, options.maxPenalty);
  }
  STRCMP_EQUAL("node-1", peer().c_str());
  confirm();
  source.onFailure(now);
  now += options.initialPenalty;
  STRCMP_EQUAL("node-1", peer().c_str());
}

TEST(ReadSource, WaitsBetweenRequestsWhenAllPeersAreSkipped) {
  source.onSynchronized();
  setRoster(5);
  for (int failures = 0; failures < 6; ++failures) {
    peer();
    source.onFailure(now);
  }
  STRCMP_EQUAL("none", peer().c_str());
  CHECK_TRUE(source.nextRequestAt(now) == now + options.retryInterval);
}

/**
 * If all peers are unreachable, each request costs a timeout; the bound on the node's staleness
 * must not depend on that.
 */
TEST(ReadSource, PollsRarelyWhileReadingTheStoreAnyway) {
  setRoster(5);
  source.onSynchronized();
  now += options.unconfirmedTimeout + milliseconds(1);
  peer();
  source.onFailure(now);
  CHECK_TRUE(source.nextRequestAt(now) == now + options.retryInterval);
}

/** A peer that rejects the request may be starting, too: all machines may start at once. */
TEST(ReadSource, NodeWithoutDataPollsPeersAgainSoon) {
  setRoster(5);
  for (int number = 1; number <= 6; ++number) {
    CHECK_FALSE(peer() == "none");
    source.onFailure(now);
    CHECK_TRUE(source.nextRequestAt(now) == now);
  }
  STRCMP_EQUAL("none", peer().c_str());
  CHECK_TRUE(source.nextRequestAt(now) == now + options.startingPenalty);
  now += options.startingPenalty;
  STRCMP_EQUAL("node-1", peer().c_str());
}

TEST(ReadSource, ReaderWithoutDataPollsHigherRankedReaders) {
  rosterOptions.nodesPerReader = 2;
  setRoster(3);
  checkCause(ReadCause::kReader);
  CHECK_FALSE(source.listsImmediately(now));
  CHECK_TRUE(source.nextRequestAt(now) == now);
  STRCMP_EQUAL("node-1", peer().c_str());
  source.onFailure(now);
  STRCMP_EQUAL("node-2", peer().c_str());
  source.onFailure(now);
  STRCMP_EQUAL("none", peer().c_str());
  // Requests from other nodes do not keep it from polling.
  source.onPeerRequest(now);
  CHECK_TRUE(source.nextRequestAt(now) <= now + options.startingPenalty);
  CHECK_FALSE(source.listsImmediately(now));
  source.onSynchronized();
  CHECK_TRUE(source.nextRequestAt(now) == TimePoint::max());
}

TEST(ReadSource, OnlyTheFirstReaderAndPolledNodesListImmediately) {
  CHECK_FALSE(source.listsImmediately(now));
  setRoster(1);
  CHECK_TRUE(source.listsImmediately(now));
  setRoster(5);
  CHECK_FALSE(source.listsImmediately(now));
  now += options.unconfirmedTimeout + milliseconds(1);
  CHECK_FALSE(source.listsImmediately(now));
  source.onPeerRequest(now);
  CHECK_TRUE(source.listsImmediately(now));
}

/**
 * The peer's list may take long: going on to the next reader would only make that one list as well.
 */
TEST(ReadSource, KeepsPollingAStartingPeerThatMakesProgress) {
  setRoster(5);
  for (uint64_t progress = 1; progress <= 3 * options.maxStartingPeerTries; ++progress) {
    STRCMP_EQUAL("node-1", peer().c_str());
    CHECK_TRUE(source.onPeerStarting(now, progress));
    now += options.startingPeerRetry;
  }
  for (uint32_t tries = 1; tries <= options.maxStartingPeerTries; ++tries) {
    STRCMP_EQUAL("node-1", peer().c_str());
    CHECK_FALSE(source.onPeerStarting(now, 3 * options.maxStartingPeerTries));
  }
  STRCMP_EQUAL("node-2", peer().c_str());
}

TEST(ReadSource, SkipsAStartingPeerWithoutProgressAfterSeveralTries) {
  setRoster(5);
  for (uint32_t tries = 1; tries < options.maxStartingPeerTries; ++tries) {
    STRCMP_EQUAL("node-1", peer().c_str());
    CHECK_FALSE(source.onPeerStarting(now, 0));
    CHECK_TRUE(source.nextRequestAt(now) == now + options.startingPeerRetry);
    now += options.startingPeerRetry;
  }
  peer();
  source.onPeerStarting(now, 0);
  STRCMP_EQUAL("node-2", peer().c_str());
}

/** In an outage every further candidate would call the store in vain. */
TEST(ReadSource, PollsOnlyTheReaderWhileTheStoreIsUnresponsive) {
  setRoster(5);
  source.onSynchronized();
  now += options.unconfirmedTimeout + milliseconds(1);
  source.onStoreUnresponsive();
  for (int failures = 0; failures < 3; ++failures) {
    STRCMP_EQUAL("node-1", peer().c_str());
    source.onFailure(now);
    now += options.retryInterval;
  }
  source.requestBy(now);
  CHECK_TRUE(source.nextRequestAt(now) == now);
  confirm();
  peer();
  source.onFailure(now);
  STRCMP_EQUAL("node-2", peer().c_str());
}

TEST(ReadSource, PolledNodeReadsTheStoreWhileItIsPolled) {
  setRoster(5);
  confirm();
  source.onPeerRequest(now);
  checkCause(ReadCause::kServesOthers);
  CHECK_TRUE(source.readsStore(now));
  CHECK_TRUE(source.servesOthers(now));
  CHECK_TRUE(source.nextRequestAt(now) >= now + options.serveOthersDuration);
  now += options.serveOthersDuration;
  checkCause(ReadCause::kUnconfirmed);
  confirm();
  checkCause(ReadCause::kFollowsPeer);
  CHECK_FALSE(source.readsStore(now));
}

/**
 * The bound of decision 0018: from the last confirmation by a reader that then fails until the node
 * reads the store, whatever the other candidates do.
 */
TEST(ReadSource, ReplacesAFailedReaderWithinItsBound) {
  setRoster(5);
  confirm();
  const TimePoint lost = now;
  while (!source.readsStore(now)) {
    now = std::max(now + milliseconds(1), std::min(source.nextRequestAt(now), now + seconds(1)));
    if (now >= source.nextRequestAt(now) && source.selectPeer(now)) {
      now += milliseconds(750);  // The timeout of an unreachable peer.
      source.onFailure(now);
    }
    CHECK_TRUE(now < lost + options.unconfirmedTimeout + seconds(1));
  }
}

/** The node started during an outage and has no roster until the store answers again. */
TEST(ReadSource, FirstRosterOfAnUpToDateNodeLeavesPeersTimeToConfirm) {
  now = kStart + seconds(20);
  setRoster(5, true);
  checkCause(ReadCause::kFollowsPeer);
  now += options.unconfirmedTimeout + milliseconds(1);
  checkCause(ReadCause::kUnconfirmed);
}

TEST(ReadSource, NodeWithAnOldListReadsTheStoreWithoutAConfirmation) {
  now = kStart + seconds(20);
  setRoster(5, false);
  checkCause(ReadCause::kUnconfirmed);
}
