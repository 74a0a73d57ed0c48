/** @file The base table of a shard: maps each flow to a default host without per-flow state. */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/base/strong_id.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

/** Hosts with their weight bytes; immutable. The order of hosts does not affect defaultHost(). */
class BaseTable {
 public:
  BaseTable() = default;
  explicit BaseTable(std::vector<BaseHost> hosts);

  /** @return the flow's default host, or nullopt if every weight is 0. */
  std::optional<HostId> defaultHost(FlowHash flow) const;

  /** @return the hosts in the order given; FlowException::host indexes it. */
  const std::vector<BaseHost>& hosts() const { return hosts_; }

  /** @return index of the host in hosts(), or nullopt. */
  std::optional<uint16_t> indexOf(HostId host) const;

  /** @return a fingerprint of hosts and weights that does not depend on their order; 0 for no
   * hosts. */
  uint64_t version() const { return version_; }

  bool empty() const { return hosts_.empty(); }

  bool operator==(const BaseTable&) const = default;

 private:
  std::vector<BaseHost> hosts_;
  uint64_t version_ = 0;
};

}  // namespace umberhold
