/** @file Fault rules for datagrams between nodes, zones and the platform. No I/O. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/random.h"

namespace umberhold::standins {

/** One end of a path through the proxy. */
struct ProxyParty {
  std::string name;
  std::string zone;
};

/** Faults of the paths from one party to another; each end is a name, a zone, or "*". */
struct FaultRule {
  std::string from = "*";
  std::string to = "*";
  /** Drops everything. */
  bool cut = false;
  /** Share of datagrams that are dropped. */
  double dropShare = 0;
  /** Share of datagrams that are duplicated. */
  double repeatShare = 0;
  /** Share of datagrams that are reordered by a delay of up to reorderMillis. */
  double reorderShare = 0;
  uint32_t reorderMillis = 20;
  uint32_t delayMicros = 0;
};

/** The active rules; all matching rules apply together. */
class FaultRules {
 public:
  /** Replaces the rule with the same two ends. */
  void set(const FaultRule& rule);
  void clear() { rules_.clear(); }

  /** @return the delay in microseconds of each delivered copy; empty if the datagram is lost. */
  std::vector<uint32_t> deliveryDelays(const ProxyParty& from, const ProxyParty& to,
                                       RandomSource& random) const;
  /** @return whether a rule drops all traffic between the parties. */
  bool isCut(const ProxyParty& from, const ProxyParty& to) const;

 private:
  std::vector<FaultRule> rules_;
};

}  // namespace umberhold::standins
