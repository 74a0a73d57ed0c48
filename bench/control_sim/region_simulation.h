/** @file Simulates and measures the control traffic of one region under load, in simulated time. */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bench/control_sim/byte_account.h"
#include "test/support/control_node.h"

namespace umberhold {

/** Parameters of one run. */
struct SimulationOptions {
  uint32_t nodes = 100;
  /** Fraction of datagrams that are lost. */
  double loss = 0;
  uint64_t seed = 1;
  uint32_t records = 200;
  /** Payload of one record. */
  size_t recordBytes = 500;
  SpreadOptions spread;
  /** Simulated seconds with the rates of changes and restarts that the system is designed for. */
  uint32_t steadySeconds = 300;
  /** Number of crashes after the steady time, one every 20 s. */
  uint32_t crashes = 10;
};

/** Durations of one kind of event. */
struct Durations {
  std::vector<double> seconds;
  /** 0 if there are none. */
  double mean() const;
  /** 0 if there are none. */
  double maximum() const;
};

/** Result of a run. Bytes are means per node and second unless stated otherwise; received bytes
 * include lost datagrams. */
struct SimulationReport {
  double membershipBytes = 0;
  double spreadBytes = 0;
  double coverageBytes = 0;
  double sentBytes = 0;
  double sentAndReceivedBytes = 0;
  /** Maximum over all nodes and 10 s windows of the bytes sent per second, and of the bytes sent
   * and received per second. Only windows that begin 30 s after the node's start or later count. */
  double maxSentBytes = 0;
  double maxSentAndReceivedBytes = 0;
  double falseDeathsPerNodeHour = 0;
  /** Incarnations of running nodes that some node considered dead. */
  uint64_t falseDeaths = 0;
  uint64_t restarts = 0;
  /** Time from a crash until the first, and the last, running node considers the node dead. */
  Durations firstDetection;
  Durations lastDetection;
  /** Crashes that not all running nodes detected within the 20 s. */
  uint32_t undetected = 0;
  /** Time from the publication of a record until a node has applied it, one entry per node; and
   * until the last one has. */
  Durations applied;
  Durations appliedEverywhere;
  /** Time from the publication until the version is effective on every node, see
   * ConfigSpread::effectiveVersion(). */
  Durations effectiveEverywhere;
  /** CPU time of ticks and message handlers per node and simulated second, without codec and
   * sockets. */
  double cpuMicroseconds = 0;
};

/** Runs one simulation. */
class RegionSimulation {
 public:
  explicit RegionSimulation(const SimulationOptions& options);
  ~RegionSimulation();
  SimulationReport run();

 private:
  struct Node;
  /** A published record whose distribution is measured. */
  struct PublishedChange {
    uint64_t version = 0;
    TimePoint publishedAt;
    /** Ids of the running nodes that have not applied it yet. */
    std::set<uint32_t> missing;
    bool appliedEverywhere = false;
  };

  void start(uint32_t id, uint64_t incarnation, MemberState state);
  /** @return a new version of the record with this index. */
  ConfigRecord nextVersionOf(uint64_t index);
  void stop(Node& node);
  void startRegion();
  void step();
  void runFor(Duration span);
  void countSent(NodeId from, NodeId to, const Message& message);
  void closeWindows();
  void publish();
  void stopRandomNode();
  void restartDueNodes();
  void checkChanges();
  void resetMeasurement();
  void runSteady();
  void runCrashes();
  void measureBytes(double seconds);
  /** @return a random alive node other than the seeds. */
  Node& randomNonSeedNode();

  SimulationOptions options_;
  SimulationReport report_;
  MessageNetwork network_;
  RandomSource random_;
  std::map<uint32_t, std::unique_ptr<Node>> nodes_;
  /** Ids of nodes by the time of their next step: a node that is still running makes its planned
   * stop, a stopped node starts again. */
  std::multimap<TimePoint, uint32_t> pendingRestarts_;
  std::vector<PublishedChange> changes_;
  /** By node id and incarnation. */
  std::set<std::pair<uint32_t, uint64_t>> falseDeaths_;
  uint64_t lastVersion_ = 0;
  TimePoint windowEnd_;
  double cpuSeconds_ = 0;
  bool measuring_ = false;
};

}  // namespace umberhold
