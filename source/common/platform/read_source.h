/**
 * @file From whom a node takes configuration and hosts: from the platform's store, or from a peer
 * that reads it.
 *
 * A node asks the first of its candidates that did not fail of late. An answer confirms what the
 * node holds as of the moment at which the peer's own reading was confirmed. A node without a
 * young confirmation reads the store itself and goes on asking, less often. A node that is asked
 * reads the store for as long as it is asked, so that nobody has to agree on who reads.
 * Decision logic without I/O: the caller asks and says what came back.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/base/random.h"
#include "common/base/time.h"
#include "common/platform/reader_roster.h"

namespace umberhold {

/** Periods of the rules. */
struct ReadSourceOptions {
  /** From the start until the store is read for want of a roster. */
  Duration rosterWait = std::chrono::milliseconds(500);
  /** Between two questions to a peer. */
  Duration pollInterval = std::chrono::seconds(1);
  /** Questions vary by up to this part. */
  double pollJitter = 0.1;
  /** An answer whose confirmation is older confirms nothing. */
  Duration maxConfirmationAge = std::chrono::milliseconds(1250);
  /** Without a confirmation for so long the store is read. */
  Duration unconfirmedTimeout = std::chrono::seconds(2);
  /** Until a peer is asked again that has only begun to read. */
  Duration startingPeerRetry = std::chrono::milliseconds(100);
  /** A peer that has not begun after so many questions is passed over. */
  uint32_t maxStartingPeerTries = 8;
  /** How long a node that has nothing yet passes a peer over: it may be starting, too. */
  Duration startingPenalty = std::chrono::milliseconds(500);
  /** How long a peer is passed over; doubles with each failure in a row. */
  Duration initialPenalty = std::chrono::seconds(5);
  Duration maxPenalty = std::chrono::seconds(60);
  /** How long a peer is passed over whose own reading is not confirmed. */
  Duration unconfirmedPenalty = std::chrono::seconds(2);
  /** Between questions while the store is read for want of a peer. */
  Duration retryInterval = std::chrono::seconds(3);
  /** How long a node reads for others after they last asked. */
  Duration servePeersDuration = std::chrono::seconds(10);
};

/** Why a node reads the store, or that it doesn't. */
enum class ReadCause : uint8_t {
  /** It follows a peer. */
  kFollowsPeer,
  /** It waits, for a short while after its start, to know whom to ask. */
  kUndecided,
  /** It is a reader of its zone, or its zone has none. */
  kReader,
  /** It has no roster, or nobody to ask. */
  kNoPeers,
  /** Others asked it of late. */
  kServesPeers,
  /** No peer confirmed of late what it holds. */
  kUnconfirmed,
};

/** @return the snake_case name of a cause. */
std::string_view toString(ReadCause cause);

/** Not thread safe. */
class ReadSource {
 public:
  /** @param random borrowed; must outlive it. */
  ReadSource(TimePoint now, ReadSourceOptions options, RandomSource& random);

  /**
   * What the roster says of this node.
   * @param isUpToDate what the node holds is as the store has it, or it holds nothing that it could
   * rely on: if this is the first roster, peers are given the usual time to confirm from now on.
   */
  void setRoster(TimePoint now, const ReaderRoster& roster, bool isUpToDate = false);
  /** The node has everything that its peers could tell: a reader asks nobody from now on. */
  void onSynchronized() { holding_ = true; }
  /** Another node asked this one. */
  void onPeerRequest(TimePoint now) { askedAt_ = now; }

  /** @return whether it is known which nodes there are. */
  bool hasRoster() const { return hasRoster_; }
  ReadCause cause(TimePoint now) const;
  bool readsStore(TimePoint now) const;
  /** @return whether others asked of late, so that they depend on this node's reading. */
  bool servesOthers(TimePoint now) const;

  /** @return when a node without a roster stops waiting for one. */
  TimePoint rosterDeadline() const { return decideBy_; }
  /** @return whether the node lists the store without waiting for what a peer may tell. */
  bool listsImmediately(TimePoint now) const;

  /** @return when to ask a peer next; the end of time for never. A node that reads for others asks
   * nobody, a reader only readers before it while it has nothing. */
  TimePoint nextRequestAt(TimePoint now) const;
  /** @return the peer to ask; nothing where all are passed over, which also puts the question off.
   */
  std::optional<RosterNode> selectPeer(TimePoint now);

  /** This node found the store silent itself: no further peer is made to read, only the first
   * asked. Ends with the next confirmation. */
  void onStoreUnresponsive() { storeSilent_ = true; }
  /** There is something to tell or to hear: the next question is asked by then. */
  void requestBy(TimePoint at) { nextQuestion_ = std::min(nextQuestion_, at); }

  /** The peer reads, and was sure at `confirmedAt` that it had missed nothing. */
  void onConfirmed(TimePoint now, TimePoint confirmedAt);
  /**
   * The peer does not read yet.
   * @param progress rises while it gets what it needs: it is asked for as long as that goes on.
   * @return whether it has risen since this peer was last asked.
   */
  bool onPeerStarting(TimePoint now, uint64_t progress);
  /** The peer can't be asked. */
  void onFailure(TimePoint now);

 private:
  struct Penalty {
    TimePoint until{};
    Duration next{0};
  };

  void passOver(TimePoint now, Duration time);
  /** Goes on with the next candidate, at once unless the store is read anyway. */
  void askNext(TimePoint now);
  bool isUnconfirmed(TimePoint now) const;

  const ReadSourceOptions options_;
  RandomSource& random_;
  const TimePoint startedAt_;
  const TimePoint decideBy_;
  bool hasRoster_ = false;
  bool readsItself_ = false;
  bool holding_ = false;
  std::vector<RosterNode> candidates_;
  std::unordered_map<std::string, Penalty> penalties_;
  /** The peer asked last. */
  std::string asked_;
  uint32_t beginnings_ = 0;
  /** What the peer asked last said of its progress. */
  uint64_t progress_ = 0;
  bool storeSilent_ = false;
  std::optional<TimePoint> askedAt_;
  /** What the node holds was confirmed then; the start counts, as a list was read, and for a node
   * that learns late whom to ask so does that moment. */
  TimePoint confirmedAt_;
  TimePoint nextQuestion_ = TimePoint::max();
};

}  // namespace umberhold
