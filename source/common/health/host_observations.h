/**
 * @file What the nodes of a zone see of hosts, put together.
 *
 * A node of a large fleet sees each host too rarely to judge it. So each tells the node that reads
 * the store for its zone what it saw, and hears which hosts answer late by the sum of all
 * (docs/decisions/0021). Decision logic without I/O.
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

/** Hosts in one report, 13 bytes each; of more, those that were seen last are left out. Both bounds
 * together keep polls of 0.6 s below 2.7 KB/s. */
constexpr size_t kMaxReportedHosts = 48;
/** Hosts in one answer, 12 bytes each, the latest first. */
constexpr size_t kMaxStandings = 80;
/** Speeds in one answer, 10 bytes each. */
constexpr size_t kMaxLearnedSpeeds = 60;
/** @return speeds in an answer beside so many standings: both together take no more bytes than
 * kMaxStandings do. */
size_t maxSpeedsBeside(size_t standings);

/** Gathers a node's own samples until its next report. Not thread safe. */
class SampleCollector {
 public:
  explicit SampleCollector(uint64_t reporter) : reporter_(reporter) {}

  void add(const std::vector<HostSample>& samples);
  /** @param now gives the sequence number. @return what was gathered since the last report. */
  HostReport takeReport(TimePoint now);

 private:
  struct Sum {
    uint32_t requests = 0;
    double ratios = 0.0;
    uint32_t works = 0;
    /** Natural logarithms. */
    double workRatios = 0.0;
  };

  const uint64_t reporter_;
  std::unordered_map<uint32_t, Sum> sums_;
};

/** What became of a report. */
enum class ReportOutcome : uint8_t {
  kAccepted,
  /** Its sequence number is not above that of the reporter's last one. */
  kRepeated,
  /** More hosts than a report may hold, or figures that no node can have measured. */
  kInvalid,
  /** The bytes are no report. */
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
   * @return the hosts that answer late by the reports of two nodes or more, latest first. Each node
   * counts once for a host, whatever its number of samples, and the highest is left out: a faulty
   * node ejects no host alone.
   */
  std::vector<HostStanding> standings(TimePoint now);
  /** @return how fast hosts are, `most` of them at most; see SpeedLearner. */
  std::vector<LearnedSpeed> speeds(TimePoint now, size_t maxCount) { return speeds_.speeds(now, maxCount); }

 private:
  struct Observation {
    uint64_t reporter = 0;
    TimePoint at{};
    /** A multiple of the usual time. */
    double ratio = 1.0;
  };
  struct Reporter {
    uint64_t sequence = 0;
    TimePoint at{};
  };
  using Observations = std::vector<Observation>;

  static void record(Observations& observations, const Observation& observation);
  void removeExpired(TimePoint now);
  /** @return the mean without the highest, with some usual answers added. */
  static double scoreOf(const Observations& observations);

  std::unordered_map<uint32_t, Observations> hosts_;
  std::unordered_map<uint64_t, Reporter> reporters_;
  SpeedLearner speeds_;
};

}  // namespace umberhold
