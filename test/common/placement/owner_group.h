/**
 * @file Several owners of one service in simulated time: each places the flows of its own shard,
 * probes its own hosts, and receives the others' state by LoadShare.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include "common/base/random.h"
#include "common/placement/service_placement.h"

namespace umberhold::test {

/** The workload of an OwnerGroup. */
struct OwnerGroupOptions {
  uint16_t owners = 3;
  size_t hosts = 15;
  /** Flows held open on average. */
  double flows = 3000.0;
  /** Mean lifetime of a flow in seconds; lifetimes are exponentially distributed. */
  double meanLifeSeconds = 60.0;
  uint64_t seed = 1;
};

/** See the file comment. Every running host answers its probes; some report that they are
 * unhealthy. */
class OwnerGroup {
 public:
  /** Opens the average number of flows at once. */
  explicit OwnerGroup(const OwnerGroupOptions& options);

  /** Advances the simulation of all owners by `time`. */
  void run(Duration time);
  /** Sets the result of the host's health endpoint; its flows are not affected. */
  void setHealthy(size_t host, bool healthy);
  /** Stops the host's process: it no longer answers probes, and its flows end. */
  void stopHost(size_t host);
  void startHost(size_t host);

  /** @return the ratio of the busiest host's flows to the mean over all hosts. */
  double imbalance() const;
  /** @return open flows of the host. */
  uint32_t flowsOn(size_t host) const { return flows_[host]; }
  /** @return the mean number of flows per host. */
  double meanFlows() const;
  /** @return the number of new flows that were refused. */
  uint64_t refused() const { return refused_; }
  /** @return the number of new flows given to the host so far. */
  uint64_t openingsOn(size_t host) const { return openings_[host]; }
  TimePoint now() const { return now_; }

 private:
  struct Owner {
    ShardId shard;
    ExceptionBudget budget;
    std::unique_ptr<ServicePlacement> placement;
    BaseTable base;
  };
  struct Departure {
    TimePoint at;
    size_t owner = 0;
    size_t host = 0;

    bool operator>(const Departure& other) const { return at > other.at; }
  };

  void step();
  void openFlow();
  void endFlow();
  void probe(Owner& owner);
  void share(Owner& owner);
  size_t indexOf(HostId host) const;
  Duration exponential(double meanSeconds);

  OwnerGroupOptions options_;
  RandomSource random_;
  TimePoint now_{std::chrono::seconds(1000)};
  TimePoint nextArrival_;
  Service service_;
  std::vector<HostId> hosts_;
  std::vector<Owner> owners_;
  std::vector<uint32_t> flows_;
  std::priority_queue<Departure, std::vector<Departure>, std::greater<>> departures_;
  /** Hosts whose health endpoint returns "unhealthy". */
  std::set<size_t> unhealthy_;
  std::set<size_t> stopped_;
  uint64_t refused_ = 0;
  std::vector<uint64_t> openings_;
};

}  // namespace umberhold::test
