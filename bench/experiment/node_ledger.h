/** @file What nodes spent and which configuration they held, from samples of their metrics. No I/O.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bench/support/metrics_reader.h"

namespace umberhold::experiment {

/** What the samples say; nothing where a node does not tell. */
struct NodeFigures {
  /** Sent control bytes a second, mean over the nodes. */
  std::optional<double> controlBytesPerNodeSecond;
  /** The same by what the bytes were for; purposes without bytes are left out. */
  std::map<std::string, double> controlBytesByPurpose;
  /** CPU time of control work, percent of one core, mean over the nodes. */
  std::optional<double> controlCpuPercent;
  std::optional<double> peakMemoryMegabytes;
  /** Times that a node's configuration version went back. */
  std::optional<uint64_t> configReverts;
  /** Datagrams of node messages that were refused, by reason, sum over the nodes since their start.
   */
  std::map<std::string, uint64_t> refusedDatagrams;
};

/** Not thread safe. */
class NodeLedger {
 public:
  /** Takes a node's metrics. @param seconds time of the sample, from any fixed point. */
  void take(uint32_t node, double seconds, const std::vector<MetricSample>& samples);
  void takeMemory(double megabytes);
  /** Forgets a node that was started again: its counters begin at 0, its version may be older. */
  void forget(uint32_t node);

  NodeFigures figures() const;
  /** @return the version of the configuration that the node's metrics tell. */
  static std::optional<uint64_t> configVersion(const std::vector<MetricSample>& samples);

 private:
  /** Counters of one node at one time. */
  struct Reading {
    double at = 0;
    double bytes = 0;
    double cpu = 0;
    std::map<std::string, double> byPurpose;
  };
  struct Track {
    uint64_t version = 0;
    std::optional<Reading> first;
    Reading last;
    bool hasCpu = false;
    std::map<std::string, double> refused;
  };

  void takeVersion(Track& track, const std::vector<MetricSample>& samples);

  std::map<uint32_t, Track> tracks_;
  double peakMemory_ = 0;
  uint64_t reverts_ = 0;
  bool sawVersion_ = false;
};

}  // namespace umberhold::experiment
