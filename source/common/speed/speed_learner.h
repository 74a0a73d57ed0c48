/**
 * @file Estimates the speeds of hosts from the measurements of all nodes of a zone.
 *
 * A node of a large fleet sends a request to a given host only once in several seconds, but all
 * nodes of a zone together send enough. Each node reports how long hosts processed the requests of
 * its callers while the pool had free slots, and the node that reads the store for the zone
 * estimates the speeds. Decision logic without I/O.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "common/base/time.h"
#include "common/messages/peer_messages.h"

namespace umberhold {

/** Not thread safe. Memory: at most kMaxHosts x kMaxReporters x 32 bytes, 6 MB. */
class SpeedLearner {
 public:
  /**
   * @param reporter the node that measured.
   * @param workPercent mean processing time of the host as a percentage of the usual one.
   * @param requests number of requests behind the mean.
   */
  void add(TimePoint now, uint64_t reporter, uint32_t token, double workPercent, uint32_t requests);
  /**
   * @return the known speeds of at most `maxCount` hosts. If there are more, each call returns a
   * different subset, so that frequent callers receive all of them.
   */
  std::vector<LearnedSpeed> speeds(TimePoint now, size_t maxCount);

  size_t knownHosts() const { return hosts_.size(); }

  /**
   * Maximum number of nodes whose measurements of a host are kept; a further node replaces the one
   * with the fewest samples.
   */
  static constexpr size_t kMaxReporters = 24;
  static constexpr size_t kMaxHosts = 8192;

 private:
  /** Measurement of one host by one node. */
  struct Measurement {
    uint64_t reporter = 0;
    TimePoint at{};
    /** Number of requests with decay by age. */
    double samples = 0.0;
    /** Mean of the natural logarithms of their times as multiples of the usual one. */
    double mean = 0.0;
  };
  using Measurements = std::vector<Measurement>;

  static double samplesAt(TimePoint now, const Measurement& measurement);
  static Measurement& measurementFor(TimePoint now, Measurements& measurements, uint64_t reporter);
  /** @return the estimated speed of the host; samples is 0 if there are too few measurements. */
  static LearnedSpeed speedOf(TimePoint now, uint32_t token, const Measurements& measurements);
  void removeExpired(TimePoint now);

  /** By token; tokens are uniformly distributed. */
  std::map<uint32_t, Measurements> hosts_;
  TimePoint lastExpiryAt_{};
  uint64_t responseCount_ = 0;
};

}  // namespace umberhold
