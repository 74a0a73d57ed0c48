/** @file What one node can infer about a host from the packets that it sends there. */
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "common/base/time.h"
#include "common/token/response_score.h"

namespace umberhold {

/** Load and responsiveness of one host, based on this node's own packets. Not thread safe. */
class HostEstimate {
 public:
  /** Records a new flow, which counts for the packets that it is expected to carry. */
  void onOpening(TimePoint now) { add(now, kOpeningLoad); }
  /** Records a packet of an established flow. */
  void onPacket(TimePoint now) { add(now, 1.0); }
  /** Records a retransmission by a caller: the host has not answered the earlier copy. */
  void onUnanswered(TimePoint now) {
    ++unanswered_;
    if (unanswered_ < kSilentAfter) {
      return;
    }
    const bool retryFailed = silentUntil_ != TimePoint{} && now >= silentUntil_;
    if (retryFailed) {
      silentDuration_ = std::min(silentDuration_ * 2, kMaxSilentDuration);
    }
    silentUntil_ = now + silentDuration_;
  }
  /** Records that other nodes find the host silent as well. */
  void onReportedSilent(TimePoint now) {
    if (!isSilent(now)) {
      unanswered_ = std::max(unanswered_, kSilentAfter - 1);
      onUnanswered(now);
    }
  }
  /** Records that a caller continued a flow, which shows that the host has answered. */
  void onAnswered() {
    unanswered_ = 0;
    silentUntil_ = TimePoint{};
    silentDuration_ = kInitialSilentDuration;
  }

  /**
   * Records the end of a request, or a request that is far overdue.
   * @param ratio its response time as a multiple of the service's usual one.
   */
  void onResponse(TimePoint now, double ratio) { responses_.add(now, ratio); }

  /**
   * Sets the score that the nodes of the zone have computed together.
   * @param score a multiple of the usual response time as of `at`.
   */
  void onShared(TimePoint at, double score) { shared_.set(at, score); }

  /**
   * @return recent response times as a multiple of the usual one; 1 if nothing is known. The weight
   * of the score from other nodes decreases with the number of this node's own samples.
   */
  double responseScore(TimePoint now) const {
    const double own = responses_.value(now);
    const double confidence = std::min(1.0, responses_.samples(now) / kFullConfidenceSamples);
    return confidence * own + (1.0 - confidence) * std::max(own, shared_.value(now));
  }
  /** @return the number of recent packets with exponential decay by age. */
  double load(TimePoint now) const { return load_ * decay(now); }
  /** @return whether the host recently left several callers without an answer. */
  bool isSilent(TimePoint now) const { return now < silentUntil_; }

 private:
  /** Approximate number of packets that a flow carries within a half-life. */
  static constexpr double kOpeningLoad = 16.0;
  static constexpr Duration kHalfLife = std::chrono::seconds(6);
  /** A single packet may be lost; two in a row without an answer indicate a silent host. */
  static constexpr uint32_t kSilentAfter = 2;
  /** How long a silent host is skipped; doubles with each failed retry. */
  static constexpr Duration kInitialSilentDuration = std::chrono::seconds(3);
  static constexpr Duration kMaxSilentDuration = std::chrono::seconds(12);

  double decay(TimePoint now) const {
    const auto age = std::max(now - at_, Duration{0});
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(kHalfLife.count()));
  }
  void add(TimePoint now, double amount) {
    load_ = load(now) + amount;
    at_ = std::max(now, at_);
  }

  /** Weight of a new sample. Two samples of the maximum are needed for a host to count as slow. */
  static constexpr double kSampleWeight = 0.25;
  /** Number of recent own samples from which on the scores of other nodes are ignored. */
  static constexpr double kFullConfidenceSamples = 3.0;

  double load_ = 0.0;
  TimePoint at_{};
  uint32_t unanswered_ = 0;
  TimePoint silentUntil_{};
  Duration silentDuration_ = kInitialSilentDuration;
  ResponseScore responses_{kSampleWeight};
  ResponseScore shared_{1.0};
};

}  // namespace umberhold
