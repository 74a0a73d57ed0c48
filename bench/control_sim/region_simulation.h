/** @file A region of control nodes under load in simulated time, with what is measured of it. */
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

/** One run. */
struct SimulationOptions {
  uint32_t nodes = 100;
  double loss = 0;
  uint64_t seed = 1;
  uint32_t records = 200;
  size_t recordBytes = 500;
  SpreadOptions spread;
  /** Simulated seconds at the design rates of changes and restarts. */
  uint32_t steadySeconds = 300;
  /** Crashes, one every 20 s, after the steady time. */
  uint32_t crashes = 10;
};

/** Times of one kind of event. */
struct Times {
  std::vector<double> seconds;
  double mean() const;
  double worst() const;
};

/** What a run has shown; bytes are per node and second. */
struct SimulationReport {
  double membershipBytes = 0;
  double spreadBytes = 0;
  double coverageBytes = 0;
  double sentBytes = 0;
  double sentAndReceivedBytes = 0;
  /** Highest of any node in any 10 s, from its 30th second on. */
  double highestSentBytes = 0;
  double highestBytes = 0;
  double falseDeathsPerNodeHour = 0;
  uint64_t falseDeaths = 0;
  uint64_t restarts = 0;
  /** From a crash until the first, and the last, living node holds the node for dead. */
  Times firstDetection;
  Times lastDetection;
  uint32_t undetected = 0;
  /** From the publication until a node holds the record, over all nodes; and until the last one
   * does. */
  Times applied;
  Times appliedEverywhere;
  /** Until every node can state that the version is effective. */
  Times provenEverywhere;
  /** Processor time of ticks and handlers per node and second, codec and sockets left out. */
  double cpuMicroseconds = 0;
};

/** Runs one region. */
class RegionSimulation {
 public:
  explicit RegionSimulation(const SimulationOptions& options);
  ~RegionSimulation();
  SimulationReport run();

 private:
  struct Node;
  struct Change {
    uint64_t version = 0;
    TimePoint publishedAt;
    std::set<uint32_t> missing;
    bool applied = false;
  };

  void start(uint32_t id, uint64_t incarnation, MemberState state);
  ConfigRecord recordOf(uint64_t index);
  void stop(Node& node);
  void startAll();
  void step();
  void runFor(Duration span);
  void countSent(NodeId from, NodeId to, const Message& message);
  void closeWindows();
  void publish();
  void restartSomeNode();
  void bringBack();
  void checkChanges();
  void resetMeasurement();
  void runSteady();
  void runCrashes();
  void measureBytes(double seconds);
  Node& randomOther();

  SimulationOptions options_;
  SimulationReport report_;
  MessageNetwork network_;
  RandomSource random_;
  std::map<uint32_t, std::unique_ptr<Node>> nodes_;
  /** Nodes that come back, by time. */
  std::multimap<TimePoint, uint32_t> returning_;
  std::vector<Change> changes_;
  std::set<std::pair<uint32_t, uint64_t>> falseDeaths_;
  uint64_t lastVersion_ = 0;
  TimePoint nextWindow_;
  double cpuSeconds_ = 0;
  bool measuring_ = false;
};

}  // namespace umberhold
