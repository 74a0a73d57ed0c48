/**
 * @file Data from callers that a host does not acknowledge, as seen by one node.
 *
 * A healthy host acknowledges data at once, even if its answer takes long, so retransmitted data
 * indicates that the host or the path to it has failed. A lost packet looks the same; therefore
 * only several callers in a row, without any acknowledgement in between, count as evidence. All
 * flows of one caller count once, because the caller's own path may be broken.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/base/time.h"

namespace umberhold {

/**
 * Minimum duration of silence for a host to count as dead, whatever the source. Callers retransmit
 * after 200 ms, so a single pause of a host or one slow round trip causes a retransmission by every
 * waiting caller. The second retransmission follows after 600 ms.
 */
constexpr Duration kMinSilence = std::chrono::milliseconds(500);

/** What a node observed of one host's acknowledgements. */
struct HostAckState {
  /** Flow token of the host. */
  uint32_t token = 0;
  /** Last acknowledgement by the host; unset if there was none. */
  std::optional<TimePoint> answeredAt;
  /** Retransmissions by callers since then. */
  uint32_t copies = 0;
  /** Distinct addresses of these callers, at most SilenceEvidence::kMaxCallers. */
  std::vector<uint32_t> callers;
  /** First transmission of the earliest unacknowledged data. */
  TimePoint since{};
  /** When the last retransmission passed. */
  TimePoint lastCopyAt{};
};

/** Not thread safe. */
class SilenceEvidence {
 public:
  /** Maximum number of distinct callers that are recorded. */
  static constexpr size_t kMaxCallers = 3;

  /**
   * Records a retransmission that shows nothing about the host, because this node's own path may
   * have failed.
   * @param sentAt time of the first transmission.
   */
  void onUnprovenCopy(TimePoint sentAt) {
    unansweredSince_ = std::min(unansweredSince_.value_or(sentAt), sentAt);
  }
  /**
   * Records a retransmission although this node's path worked (PathRecord).
   * @param sentAt time of the first transmission.
   * @param missedAt time of the previous transmission, which the host left unacknowledged.
   * @param caller address of the caller.
   */
  void onCopy(TimePoint now, TimePoint sentAt, TimePoint missedAt, uint32_t caller) {
    if (answeredAt_ && sentAt < *answeredAt_) {
      return;  // The host has acknowledged other data since, so the packet was lost.
    }
    onUnprovenCopy(sentAt);
    since_ = copies_ == 0 ? sentAt : std::min(since_, sentAt);
    firstMissedAt_ = copies_ == 0 ? missedAt : std::min(firstMissedAt_, missedAt);
    lastMissedAt_ = copies_ == 0 ? missedAt : std::max(lastMissedAt_, missedAt);
    ++copies_;
    lastCopyAt_ = now;
    const bool isKnown = std::find(callers_.begin(), callers_.end(), caller) != callers_.end();
    if (!isKnown && callers_.size() < kMaxCallers) {
      callers_.push_back(caller);
    }
  }
  /** Records that a caller acknowledged new data of the host or continued its opening. */
  void onAnswered(TimePoint now) {
    answeredAt_ = now;
    unansweredSince_.reset();
    discard();
  }
  /** Discards the evidence against the host, because the path turned out to have failed. */
  void discard() {
    copies_ = 0;
    firstMissedAt_ = lastMissedAt_ = TimePoint{};
    callers_.clear();
  }

  /**
   * @return how long data has been unacknowledged without any other acknowledgement; 0 if no data
   * is.
   */
  Duration silentFor(TimePoint now) const { return copies_ == 0 ? Duration{0} : now - since_; }
  /** Times of the first and last transmission that were missed although the path worked; equal if
   * there is none. */
  TimePoint firstMissedAt() const { return firstMissedAt_; }
  TimePoint lastMissedAt() const { return lastMissedAt_; }
  size_t callers() const { return callers_.size(); }
  uint32_t copies() const { return copies_; }
  const std::optional<TimePoint>& answeredAt() const { return answeredAt_; }
  /**
   * @return first transmission of the earliest data that was retransmitted since the last answer,
   * whether or not it is evidence; nothing if none was.
   */
  const std::optional<TimePoint>& unansweredSince() const { return unansweredSince_; }
  HostAckState ackState(uint32_t token) const {
    return {token, answeredAt_, copies_, callers_, since_, lastCopyAt_};
  }

 private:
  std::optional<TimePoint> answeredAt_;
  std::optional<TimePoint> unansweredSince_;
  uint32_t copies_ = 0;
  TimePoint since_{};
  TimePoint firstMissedAt_{};
  TimePoint lastMissedAt_{};
  TimePoint lastCopyAt_{};
  std::vector<uint32_t> callers_;
};

}  // namespace umberhold
