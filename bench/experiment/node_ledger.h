/** @file Calculates resource usage and configuration reverts of nodes from samples of their
 * metrics. No I/O. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bench/support/metrics_reader.h"

namespace umberhold::experiment {

/** Results; nullopt for values that no node reported. */
struct NodeFigures {
  /** Control bytes sent per second, mean over the nodes. */
  std::optional<double> controlBytesPerNodeSecond;
  /** The same by the class of message; classes that no node reported are absent. */
  std::map<std::string, double> controlBytesByClass;
  /** CPU usage of control work in percent of one core, mean over the nodes. */
  std::optional<double> controlCpuPercent;
  /** Maximum over the nodes. */
  std::optional<double> peakMemoryMegabytes;
  /** Number of times that the configuration version of a node decreased. */
  std::optional<uint64_t> configReverts;
  /** Number of refused messages between nodes since the start of each node, by reason, sum over the
   * nodes. */
  std::map<std::string, uint64_t> refusedDatagrams;
};

/** Not thread safe. */
class NodeLedger {
 public:
  /** Adds a sample of a node's metrics. @param seconds time of the sample, counted from an
   * arbitrary fixed time. */
  void addSample(uint32_t node, double seconds, const std::vector<MetricSample>& samples);
  void addPeakMemory(double megabytes);
  /** Discards the samples of a node that restarts: its counters begin at 0 and its configuration
   * may be older. */
  void resetNode(uint32_t node);

  NodeFigures figures() const;
  /** @return the configuration version in a node's metrics; nullopt if they contain none. */
  static std::optional<uint64_t> configVersion(const std::vector<MetricSample>& samples);

 private:
  /** Counters of one node in one sample; time and CPU time in seconds. */
  struct Reading {
    double seconds = 0;
    double bytes = 0;
    double cpuSeconds = 0;
    std::map<std::string, double> bytesByClass;
  };
  struct NodeCounters {
    uint64_t version = 0;
    std::optional<Reading> first;
    Reading last;
    bool hasCpu = false;
    std::map<std::string, double> refusedByReason;
  };

  void updateVersion(NodeCounters& counters, const std::vector<MetricSample>& samples);

  std::map<uint32_t, NodeCounters> nodes_;
  double peakMemoryMegabytes_ = 0;
  uint64_t reverts_ = 0;
  bool hasVersion_ = false;
};

}  // namespace umberhold::experiment
