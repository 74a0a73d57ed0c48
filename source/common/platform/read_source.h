/**
 * @file Decides whether a node reads configuration and hosts from the platform's store or from a
 * peer that reads the store.
 *
 * A node polls the first of its candidate peers that did not fail recently. An answer confirms the
 * node's state as of the time at which the peer's own state was confirmed. A node without a recent
 * confirmation reads the store itself and keeps polling peers, less often. A node that is polled
 * reads the store for as long as it is polled, so no agreement on the set of readers is needed.
 * Pure decision logic without I/O: the caller sends the requests and reports the results.
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

/** Timing of polls, confirmations and penalties. */
struct ReadSourceOptions {
  /** Time after the start at which a node without a roster reads the store. */
  Duration rosterWait = std::chrono::milliseconds(500);
  /** Interval between two requests to a peer. */
  Duration pollInterval = std::chrono::seconds(1);
  /** Fraction by which the poll interval varies. */
  double pollJitter = 0.1;
  /** Maximum age of a peer's confirmation; an older one confirms nothing. */
  Duration maxConfirmationAge = std::chrono::milliseconds(1250);
  /** Time without a confirmation after which the node reads the store. */
  Duration unconfirmedTimeout = std::chrono::seconds(2);
  /** Delay before the next request to a peer that is still starting to read. */
  Duration startingPeerRetry = std::chrono::milliseconds(100);
  /** Number of requests without progress after which a peer that is still starting is skipped. */
  uint32_t maxStartingPeerTries = 8;
  /** How long a node that holds no data yet skips a failed peer: the peer may be starting, too. */
  Duration startingPenalty = std::chrono::milliseconds(500);
  /** How long a failed peer is skipped; doubles with each consecutive failure. */
  Duration initialPenalty = std::chrono::seconds(5);
  Duration maxPenalty = std::chrono::seconds(60);
  /** How long a peer whose own state is not confirmed is skipped. */
  Duration unconfirmedPenalty = std::chrono::seconds(2);
  /** Interval between requests while the node reads the store for lack of a usable peer. */
  Duration retryInterval = std::chrono::seconds(3);
  /** How long a node keeps reading the store after the last request of a peer. */
  Duration serveOthersDuration = std::chrono::seconds(10);
};

/** Why a node reads the store, or why it does not. */
enum class ReadCause : uint8_t {
  /** It follows a peer and does not read the store. */
  kFollowsPeer,
  /** It waits for its roster, for a short time after its start, and does not read the store. */
  kUndecided,
  /** It is a reader of its zone, or its zone is too small to have dedicated readers. */
  kReader,
  /** It has no roster, or no peer to poll. */
  kNoPeers,
  /** Other nodes polled it recently. */
  kServesOthers,
  /** No peer confirmed its state recently. */
  kUnconfirmed,
};

/** @return the snake_case name of a cause. */
std::string_view toString(ReadCause cause);

/** Chooses the source of one node's state. Not thread safe. */
class ReadSource {
 public:
  /** @param random borrowed; must outlive this object. */
  ReadSource(TimePoint now, ReadSourceOptions options, RandomSource& random);

  /**
   * Applies this node's view of the roster.
   * @param isUpToDate whether the node's state is known to match the store, or the node holds no
   * state to rely on. If so, and this is the first roster, peers are given the usual time from now
   * on to confirm the state.
   */
  void setRoster(TimePoint now, const ReaderRoster& roster, bool isUpToDate = false);
  /**
   * Reports that the node holds everything that peers could supply: a reader sends no requests from
   * now on.
   */
  void onSynchronized() { synchronized_ = true; }
  /** Reports that another node polled this one. */
  void onPeerRequest(TimePoint now) { lastPeerRequestAt_ = now; }

  /** @return whether a roster was set. */
  bool hasRoster() const { return hasRoster_; }
  ReadCause cause(TimePoint now) const;
  bool readsStore(TimePoint now) const;
  /** @return from when on the node's state counts as unconfirmed, without another confirmation. */
  TimePoint unconfirmedAt() const {
    return confirmedAt_ + options_.unconfirmedTimeout + Duration{1};
  }
  /** @return whether other nodes polled this one recently and so depend on it. */
  bool servesOthers(TimePoint now) const;

  /** @return when a node without a roster stops waiting for one. */
  TimePoint rosterDeadline() const { return rosterDeadline_; }
  /** @return whether the node lists the store without first waiting for data from a peer. */
  bool listsImmediately(TimePoint now) const;

  /**
   * @return the time of the next request to a peer; TimePoint::max() for never. A node that serves
   * other nodes sends no requests; a reader only polls higher-ranked readers, while it holds no
   * data.
   */
  TimePoint nextRequestAt(TimePoint now) const;
  /**
   * @return the peer to poll; nothing if all are skipped, in which case the next request is
   * postponed.
   */
  std::optional<RosterNode> selectPeer(TimePoint now);

  /**
   * Reports that this node found the store unresponsive itself. Until the next confirmation only
   * the first candidate is polled, so that no further peer starts to read the store.
   */
  void onStoreUnresponsive() { storeUnresponsive_ = true; }
  /**
   * Moves the next request forward to the given time at the latest, because there is something to
   * exchange.
   */
  void requestBy(TimePoint at) { nextRequestAt_ = std::min(nextRequestAt_, at); }

  /**
   * Reports an answer of a peer that reads the store and had confirmed at `confirmedAt` that it had
   * missed nothing.
   */
  void onConfirmed(TimePoint now, TimePoint confirmedAt);
  /**
   * Reports that the peer does not read the store yet.
   * @param progress increases while the peer receives the data it needs; the peer is polled as long
   * as it increases.
   * @return whether it has increased since the last request to this peer.
   */
  bool onPeerStarting(TimePoint now, uint64_t progress);
  /** Reports that the request to the peer failed. */
  void onFailure(TimePoint now);

 private:
  struct Penalty {
    TimePoint until{};
    Duration next{0};
  };

  void skipPeer(TimePoint now, Duration time);
  /** Schedules the request to the next candidate: immediately, unless the store is read anyway. */
  void scheduleNextPeer(TimePoint now);
  bool isUnconfirmed(TimePoint now) const;

  const ReadSourceOptions options_;
  RandomSource& random_;
  const TimePoint startedAt_;
  const TimePoint rosterDeadline_;
  bool hasRoster_ = false;
  bool readsItself_ = false;
  bool synchronized_ = false;
  std::vector<RosterNode> candidates_;
  std::unordered_map<std::string, Penalty> penalties_;
  /** Name of the peer that was polled last. */
  std::string polledPeer_;
  uint32_t startingTries_ = 0;
  /** Last progress reported by that peer. */
  uint64_t progress_ = 0;
  bool storeUnresponsive_ = false;
  std::optional<TimePoint> lastPeerRequestAt_;
  /**
   * Time of the last confirmation of the node's state. The start counts, as a list was read then;
   * for a node that receives its roster late, that time counts as well.
   */
  TimePoint confirmedAt_;
  TimePoint nextRequestAt_ = TimePoint::max();
};

}  // namespace umberhold
