/**
 * @file Data of callers that a host does not acknowledge, as far as one node sees.
 *
 * A host that is well acknowledges data at once, also where its answer takes long, so data that is
 * sent again tells of a host, or a path, that is gone. A lost packet looks the same: what counts is
 * several callers in a row without a sign of life in between. Flows of
 * one caller count once, since its own path may be broken.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/base/time.h"

namespace umberhold {

/** A host that is silent for less is not dead, whoever says so: callers send again after 200 ms, so
 * that one pause of a host, or one slow round trip, brings a copy of each that waits. They do so
 * once more after 600 ms. */
constexpr Duration kMinSilence = std::chrono::milliseconds(500);

/** What a node saw of one host's acknowledgements. */
struct HostAckState {
  /** Flow token of the host. */
  uint32_t token = 0;
  /** Its last sign of life; none where there was none. */
  std::optional<TimePoint> answeredAt;
  /** Copies of data that callers sent since then. */
  uint32_t copies = 0;
  /** Addresses of the callers, each once; at most SilenceEvidence::kMaxCallers. */
  std::vector<uint32_t> callers;
  /** When the first of that data was sent for the first time. */
  TimePoint since{};
  /** When the last copy passed. */
  TimePoint lastCopyAt{};
};

/** Not thread safe. */
class SilenceEvidence {
 public:
  /** Callers that are distinguished. */
  static constexpr size_t kMaxCallers = 3;

  /** A caller sent data again. @param sentAt when it sent it for the first time. @param caller its
   * address. */
  void onCopy(TimePoint now, TimePoint sentAt, uint32_t caller) {
    if (answeredAt_ && sentAt <= *answeredAt_) {
      return;  // The host has answered others since: the packet was lost.
    }
    since_ = copies_ == 0 ? sentAt : std::min(since_, sentAt);
    ++copies_;
    lastCopyAt_ = now;
    const bool isKnown = std::find(callers_.begin(), callers_.end(), caller) != callers_.end();
    if (!isKnown && callers_.size() < kMaxCallers) {
      callers_.push_back(caller);
    }
  }
  /** A caller acknowledged something new of the host, or continued its opening. */
  void onAnswered(TimePoint now) {
    answeredAt_ = now;
    copies_ = 0;
    callers_.clear();
  }

  /** @return for how long data has been unacknowledged without a sign of life; 0 where none is. */
  Duration silentFor(TimePoint now) const { return copies_ == 0 ? Duration{0} : now - since_; }
  size_t callers() const { return callers_.size(); }
  uint32_t copies() const { return copies_; }
  const std::optional<TimePoint>& answeredAt() const { return answeredAt_; }
  HostAckState signs(uint32_t token) const {
    return {token, answeredAt_, copies_, callers_, since_, lastCopyAt_};
  }

 private:
  std::optional<TimePoint> answeredAt_;
  uint32_t copies_ = 0;
  TimePoint since_{};
  TimePoint lastCopyAt_{};
  std::vector<uint32_t> callers_;
};

}  // namespace umberhold
