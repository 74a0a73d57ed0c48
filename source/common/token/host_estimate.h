/** @file What one node can tell of a host from the packets that it sends there. */
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "common/base/time.h"
#include "common/token/response_score.h"

namespace umberhold {

/** Load and answers of one host, as far as this node's own packets show them. Not thread safe. */
class HostEstimate {
 public:
  /** A new flow: it counts for the packets that it will bring. */
  void onOpening(TimePoint now) { add(now, kOpeningLoad); }
  /** A later packet of a flow. */
  void onPacket(TimePoint now) { add(now, 1.0); }
  /** A caller repeated a packet: the host has not answered the earlier copy. */
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
  /** Others find the host silent as well. */
  void onReportedSilent(TimePoint now) {
    if (!isSilent(now)) {
      unanswered_ = std::max(unanswered_, kSilentAfter - 1);
      onUnanswered(now);
    }
  }
  /** A caller continued a flow: the host has answered. */
  void onAnswered(TimePoint now) {
    unanswered_ = 0;
    answeredAt_ = now;
    silentUntil_ = TimePoint{};
    silentDuration_ = kInitialSilentDuration;
  }

  /** A request ended, or waits beyond all measure. @param ratio its time as a multiple of the
   * service's usual time. */
  void onResponse(TimePoint now, double ratio) { responses_.add(now, ratio); }

  /** The nodes of a zone together say so. @param score a multiple of the usual time, as of `at`. */
  void onShared(TimePoint at, double score) { shared_.set(at, score); }

  /**
   * @return answers of late, as a multiple of the usual time; 1 where nothing is known. What others
   * say counts the less, the more samples of its own this node has.
   */
  double responseScore(TimePoint now) const {
    const double own = responses_.value(now);
    const double confidence = std::min(1.0, responses_.samples(now) / kFullConfidenceSamples);
    return confidence * own + (1.0 - confidence) * std::max(own, shared_.value(now));
  }
  /** @return packets of late, each weighed by its age. */
  double load(TimePoint now) const { return load_ * decay(now); }
  /**
   * @return whether callers of any flow repeated enough packets since `since` without the host
   * answering any, to take it for dead.
   */
  bool isDeadSince(TimePoint since) const {
    return unanswered_ >= kDeadAfter && answeredAt_ <= since;
  }
  /** @return whether the host left several callers without an answer a short while ago. */
  bool isSilent(TimePoint now) const { return now < silentUntil_; }

 private:
  /** Packets that a flow brings within a half-life, about. */
  static constexpr double kOpeningLoad = 16.0;
  static constexpr Duration kHalfLife = std::chrono::seconds(6);
  /** A single packet may be lost; two in a row without an answer tell of the host. */
  static constexpr uint32_t kSilentAfter = 2;
  static constexpr uint32_t kDeadAfter = 3;
  /** How long a silent host is passed over; doubles with each try in vain. */
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

  /** Weight of a new sample: two of the worst are needed to take a host for slow. */
  static constexpr double kSampleWeight = 0.25;
  /** Own samples of late beyond which others aren't heard. */
  static constexpr double kFullConfidenceSamples = 3.0;

  double load_ = 0.0;
  TimePoint at_{};
  uint32_t unanswered_ = 0;
  TimePoint answeredAt_{};
  TimePoint silentUntil_{};
  Duration silentDuration_ = kInitialSilentDuration;
  ResponseScore responses_{kSampleWeight};
  ResponseScore shared_{1.0};
};

}  // namespace umberhold
