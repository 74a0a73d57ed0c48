/** @file What must hold for every flow, kept as simply as possible: the host that it first reached.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/time.h"
#include "common/flow/flow_key.h"

namespace umberhold {

/** A promise that was broken, for the report of a failed run. */
struct Violation {
  enum class Kind : uint8_t {
    /** A packet of an established flow reached a second host. */
    kSecondHost,
    /** An established flow was answered by a reset while its host ran. */
    kReset,
    /** A flow whose refusal was sent was forwarded. */
    kRefusedThenForwarded,
    /** A refusal was sent for a flow that had been forwarded. */
    kForwardedThenRefused,
    /** A new flow went to a host that has been draining for too long. */
    kNewOnDraining,
  };
  Kind kind = Kind::kSecondHost;
  uint32_t flow = 0;
  TimePoint when;
};

/** One caller's flow as the outside sees it. */
struct OracleFlow {
  FlowKey key;
  /** Endpoint that its first packet reached. */
  std::optional<Endpoint> host;
  bool refused = false;
  bool broken = false;
  /** The caller has ended it: later packets are of no interest. */
  bool ended = false;
};

/** Watches hosts and callers. Not thread safe. */
class FlowOracle {
 public:
  uint32_t open(const FlowKey& key);
  void onHost(TimePoint now, uint32_t flow, const Endpoint& host, PacketPhase phase);
  void onRefused(TimePoint now, uint32_t flow, PacketPhase phase);
  void end(uint32_t flow) { flows_[flow].ended = true; }
  /** The host is gone: its flows are lost without fault. */
  void removeHost(const Endpoint& host);
  void addHost(const Endpoint& host) { gone_.erase(host); }
  /** From now on a new flow on the host is a fault; nothing clears it. */
  void setDraining(const Endpoint& host, std::optional<TimePoint> since);

  const OracleFlow& flow(uint32_t flow) const { return flows_[flow]; }
  const std::vector<OracleFlow>& flows() const { return flows_; }
  const std::vector<Violation>& violations() const { return violations_; }
  uint64_t established() const { return established_; }
  uint64_t refused() const { return refused_; }
  /** @return established flows that broke. */
  uint64_t broken() const { return broken_; }
  /** @return the number of live flows of each host. */
  std::map<Endpoint, uint32_t> liveFlows() const;
  /** @return busiest host's live flows over the mean, of hosts that are neither gone nor draining.
   */
  double imbalance() const;

 private:
  void violate(TimePoint now, uint32_t flow, Violation::Kind kind);

  std::vector<OracleFlow> flows_;
  std::set<Endpoint> gone_;
  std::map<Endpoint, TimePoint> draining_;
  std::vector<Violation> violations_;
  uint64_t established_ = 0;
  uint64_t refused_ = 0;
  uint64_t broken_ = 0;
};

}  // namespace umberhold
