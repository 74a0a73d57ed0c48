/**
 * @file Speeds of hosts that the nodes of the zone have estimated together, as applied by this
 * node.
 */
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "common/base/time.h"
#include "common/messages/peer_messages.h"
#include "common/token/token_hosts.h"

namespace umberhold {

/** Speeds of listed hosts as received by this node; see HostSpeed. */
struct SpeedSummary {
  size_t known = 0;
  /** Number of hosts slower than kSlowSpeed. */
  size_t slow = 0;
  /** 1 if no speed is known. */
  double lowest = 1.0;
  double highest = 1.0;
};

/** The estimated speed of a host became low or is no longer low; for logs. */
struct SpeedChange {
  std::string pool;
  std::string host;
  bool low = false;
  /** See HostSpeed. */
  double speed = 1.0;
};

/** Hosts below this speed count as slow in metrics and logs. */
constexpr double kSlowSpeed = 0.5;

/** Not thread safe. */
class HostSpeeds {
 public:
  /** @param hosts borrowed; must outlive the object. */
  explicit HostSpeeds(TokenHosts& hosts) : hosts_(hosts) {}

  /** Applies estimated speeds, except those of a previous generation of a host. */
  void apply(TimePoint now, const std::vector<LearnedSpeed>& speeds);
  /** @return the speeds of all listed hosts, in summary. */
  SpeedSummary summary(TimePoint now) const;
  /** @return the hosts whose speed became low or is no longer low since the last call. */
  std::vector<SpeedChange> takeChanges() { return std::exchange(changes_, {}); }

 private:
  void updateLow(TokenHost& host, double speed);

  TokenHosts& hosts_;
  std::vector<SpeedChange> changes_;
};

}  // namespace umberhold
