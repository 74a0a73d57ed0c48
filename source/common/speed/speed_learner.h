/**
 * @file How fast hosts work, by what the nodes of a zone together measure.
 *
 * A node of a large fleet sees a host once in seconds; all nodes of a zone together see it often
 * enough. Each reports how long hosts worked on its callers' requests while the pool had free
 * slots, and the node that reads the store for the zone learns from that. Decision logic without
 * I/O.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "common/base/time.h"
#include "common/messages/peer_messages.h"

namespace umberhold {

/** Not thread safe. Memory: kMaxHosts x kMaxReporters x 32 bytes at most, 6 MB. */
class SpeedLearner {
 public:
  /**
   * @param reporter the node that measured.
   * @param workPercent mean of the host's times of work, as a percentage of the usual one.
   * @param requests that the mean rests on.
   */
  void add(TimePoint now, uint64_t reporter, uint32_t token, double workPercent, uint32_t requests);
  /** @return what is known of hosts, `most` at most: of more, another part at each call, so that
   * those who ask often hear of all of them. */
  std::vector<LearnedSpeed> speeds(TimePoint now, size_t maxCount);

  size_t knownHosts() const { return hosts_.size(); }

  /** Nodes whose reports of a host are kept; of more, those that know least give way. */
  static constexpr size_t kMaxReporters = 24;
  static constexpr size_t kMaxHosts = 8192;

 private:
  /** What one node measured of one host. */
  struct Measurement {
    uint64_t reporter = 0;
    TimePoint at{};
    /** Requests, each weighed by its age. */
    double samples = 0.0;
    /** Mean of the natural logarithms of their times, as multiples of the usual one. */
    double mean = 0.0;
  };
  using Measurements = std::vector<Measurement>;

  static double samplesAt(TimePoint now, const Measurement& measurement);
  static Measurement& measurementFor(TimePoint now, Measurements& measurements, uint64_t reporter);
  /** @return what is said of the host; samples 0 where too little is known. */
  static LearnedSpeed speedOf(TimePoint now, uint32_t token, const Measurements& measurements);
  void removeExpired(TimePoint now);

  /** By token; these are spread evenly over all numbers. */
  std::map<uint32_t, Measurements> hosts_;
  TimePoint lastExpiryAt_{};
  uint64_t responseCount_ = 0;
};

}  // namespace umberhold
