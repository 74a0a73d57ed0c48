/** @file The currently configured hosts of one service, by identifier. */
#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/config/service.h"

namespace umberhold {

/** Host attributes that flow decisions need. */
struct HostRecord {
  std::string name;
  Endpoint endpoint;
  HostState state = HostState::kActive;
  /** Unix seconds; 0 for none. */
  UnixSeconds drainDeadline = 0;
};

/**
 * Finds hosts by identifier. Not thread safe.
 *
 * Configuration reaches nodes at different times: state that is taken over may refer to hosts that
 * this node has not received yet. A host counts as gone only if it was removed here or has stayed
 * unknown for kUnknownGraceSeconds.
 */
class HostDirectory {
 public:
  /** Longer than the propagation of a configuration change to all nodes. */
  static constexpr UnixSeconds kUnknownGraceSeconds = 30;

  void update(ServiceId id, const Service& service);
  /** @return the host, or nullptr; valid until the next update. */
  const HostRecord* find(HostId host) const;
  /**
   * @return whether flows of the host are lost: it was removed, is past its drain deadline, or has
   * been unknown for kUnknownGraceSeconds.
   */
  bool isGone(HostId host, UnixSeconds unixNow);

 private:
  std::unordered_map<HostId, HostRecord> hosts_;
  std::unordered_set<HostId> removed_;
  /** Time of the first lookup of a host that has never been configured here. */
  std::unordered_map<HostId, UnixSeconds> unknownSince_;
};

}  // namespace umberhold
