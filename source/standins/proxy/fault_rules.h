/** @file What happens to datagrams between nodes, zones or the platform. No I/O. */
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
  /** Nothing passes. */
  bool cut = false;
  double dropShare = 0;
  double repeatShare = 0;
  /** Share of datagrams that are held back by up to reorderMillis and so overtaken. */
  double reorderShare = 0;
  uint32_t reorderMillis = 20;
  uint32_t delayMicros = 0;
};

/** The effective rules; all that match apply together. */
class FaultRules {
 public:
  /** Replaces the rule with the same two ends. */
  void set(const FaultRule& rule);
  void clear() { rules_.clear(); }

  /** @return the delay in microseconds of each copy that arrives; empty where it is lost. */
  std::vector<uint32_t> fate(const ProxyParty& from, const ProxyParty& to,
                             RandomSource& random) const;
  /** @return whether nothing passes. */
  bool isCut(const ProxyParty& from, const ProxyParty& to) const;

 private:
  std::vector<FaultRule> rules_;
};

}  // namespace umberhold::standins
