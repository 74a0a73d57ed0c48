/**
 * @file Aggregates what the nodes of a zone observe of hosts.
 *
 * A node of a large fleet sends too few requests to each host to evaluate it alone. Therefore each
 * node reports its observations to the node that reads the store for its zone, and receives the
 * list of hosts with high response times according to all reports (docs/decisions/0021). Decision
 * logic without I/O.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/base/time.h"
#include "common/messages/peer_messages.h"
#include "common/speed/speed_learner.h"
#include "common/token/token_director.h"

namespace umberhold {

/**
 * Maximum number of hosts in one report, 13 bytes each; hosts seen later are omitted. Together with
 * kMaxSlowHosts, this limit keeps polls every 0.6 s below 2.7 KB/s.
 */
constexpr size_t kMaxReportedHosts = 48;
/** Maximum number of hosts in one response, 12 bytes each, highest response times first. */
constexpr size_t kMaxSlowHosts = 80;
/** Maximum number of speeds in one response, 10 bytes each. */
constexpr size_t kMaxLearnedSpeeds = 60;
/**
 * @return the number of speeds that fit into a response with this many slow hosts: both together
 * take no more bytes than kMaxSlowHosts slow hosts.
 */
size_t maxSpeedsBeside(size_t slowHostCount);

/** Collects the samples of this node until its next report. Not thread safe. */
class SampleCollector {
 public:
  explicit SampleCollector(uint64_t reporter) : reporter_(reporter) {}

  void add(const std::vector<HostSample>& samples);
  /**
   * @param now determines the sequence number.
   * @return the samples collected since the last report.
   */
  HostReport takeReport(TimePoint now);

 private:
  struct Sum {
    uint32_t requests = 0;
    double ratios = 0.0;
    uint32_t works = 0;
    /** Sum of natural logarithms. */
    double workRatios = 0.0;
  };

  const uint64_t reporter_;
  std::unordered_map<uint32_t, Sum> sums_;
};

/** Result of processing a report. */
enum class ReportOutcome : uint8_t {
  kAccepted,
  /** The sequence number does not exceed that of the reporter's last report. */
  kRepeated,
  /** More hosts than a report may contain, or values out of range. */
  kInvalid,
  /** The bytes cannot be decoded as a report. */
  kMalformed,
  kCount,
};

/** @return the snake_case label of an outcome. */
std::string_view toString(ReportOutcome outcome);

/** Merges the reports of a zone's nodes. Not thread safe. */
class ZoneObservations {
 public:
  ReportOutcome merge(TimePoint now, const HostReport& report);
  /**
   * @return the hosts with high response times according to at least two nodes, highest first. Each
   * node counts once per host, whatever its number of samples, and the highest value is discarded,
   * so that a single faulty node cannot eject a host.
   */
  std::vector<SlowHost> slowHosts(TimePoint now);
  /** @return the estimated speeds of at most `maxCount` hosts; see SpeedLearner. */
  std::vector<LearnedSpeed> speeds(TimePoint now, size_t maxCount) {
    return speeds_.speeds(now, maxCount);
  }

 private:
  struct Observation {
    uint64_t reporter = 0;
    TimePoint at{};
    /** Multiple of the usual response time. */
    double ratio = 1.0;
  };
  struct Reporter {
    uint64_t sequence = 0;
    TimePoint at{};
  };
  using Observations = std::vector<Observation>;

  static void record(Observations& observations, const Observation& observation);
  void removeExpired(TimePoint now);
  /** @return the mean without the highest value, including the prior samples. */
  static double scoreOf(const Observations& observations);

  std::unordered_map<uint32_t, Observations> hosts_;
  std::unordered_map<uint64_t, Reporter> reporters_;
  SpeedLearner speeds_;
};

}  // namespace umberhold
