/** @file Checks flow invariants: each flow stays on the host that its first packet reached. */
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

/** A violated invariant, for the report of a failed run. */
struct Violation {
  enum class Kind : uint8_t {
    /** A packet of an established flow reached a second host. */
    kSecondHost,
    /** An established flow was reset while its host was running. */
    kReset,
    /** A flow was forwarded after it had been refused. */
    kRefusedThenForwarded,
    /** A flow was refused after it had been forwarded. */
    kForwardedThenRefused,
    /** A new flow reached a host after the grace period of its drain. */
    kNewOnDraining,
  };
  Kind kind = Kind::kSecondHost;
  uint32_t flow = 0;
  TimePoint when;
};

/** The externally visible state of a caller's flow. */
struct OracleFlow {
  FlowKey key;
  /** Endpoint that its first packet reached. */
  std::optional<Endpoint> host;
  bool refused = false;
  bool broken = false;
  /** The caller has closed the flow; later packets are ignored. */
  bool ended = false;
};

/** Checks the packets of hosts and callers. Not thread safe. */
class FlowOracle {
 public:
  /** Adds a flow. @return its number. */
  uint32_t open(const FlowKey& key);
  /** Checks a packet that was forwarded to a host. */
  void onHost(TimePoint now, uint32_t flow, const Endpoint& host, PacketPhase phase);
  /** Checks a refusal of a flow. */
  void onRefused(TimePoint now, uint32_t flow, PacketPhase phase);
  void end(uint32_t flow) { flows_[flow].ended = true; }
  /** Records that the host stopped; the loss of its flows is no violation. */
  void removeHost(const Endpoint& host);
  void addHost(const Endpoint& host) { stoppedHosts_.erase(host); }
  /** @param since when the host's drain is in effect on all nodes; nullopt: it is not draining. */
  void setDraining(const Endpoint& host, std::optional<TimePoint> since);

  const OracleFlow& flow(uint32_t flow) const { return flows_[flow]; }
  const std::vector<OracleFlow>& flows() const { return flows_; }
  const std::vector<Violation>& violations() const { return violations_; }
  uint64_t established() const { return established_; }
  uint64_t refused() const { return refused_; }
  /** @return the number of established flows that broke. */
  uint64_t broken() const { return broken_; }
  /** @return the number of live flows of each host. */
  std::map<Endpoint, uint32_t> liveFlows() const;
  /** @return the ratio of the maximum to the mean of live flows per host, without stopped and
   * draining hosts; 0 if there are no flows. */
  double imbalance() const;

 private:
  void recordViolation(TimePoint now, uint32_t flow, Violation::Kind kind);

  std::vector<OracleFlow> flows_;
  std::set<Endpoint> stoppedHosts_;
  std::map<Endpoint, TimePoint> draining_;
  std::vector<Violation> violations_;
  uint64_t established_ = 0;
  uint64_t refused_ = 0;
  uint64_t broken_ = 0;
};

}  // namespace umberhold
