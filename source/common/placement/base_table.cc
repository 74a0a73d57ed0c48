#include "common/placement/base_table.h"

#include <algorithm>
#include <utility>

#include "common/base/hash.h"
#include "common/placement/rendezvous.h"

namespace umberhold {
namespace {

uint64_t fingerprint(const std::vector<BaseHost>& hosts) {
  uint64_t sum = 0;
  for (const BaseHost& host : hosts) {
    sum += mixHash(host.host.value, host.weight);
  }
  return sum;
}

}  // namespace

BaseTable::BaseTable(std::vector<BaseHost> hosts)
    : hosts_(std::move(hosts)), version_(fingerprint(hosts_)) {}

std::optional<HostId> BaseTable::defaultHost(FlowHash flow) const {
  const size_t index = bestHost(hosts_, flow);
  if (index == hosts_.size()) {
    return std::nullopt;
  }
  return hosts_[index].host;
}

std::optional<uint16_t> BaseTable::indexOf(HostId host) const {
  const auto found = std::find_if(hosts_.begin(), hosts_.end(),
                                  [host](const BaseHost& entry) { return entry.host == host; });
  if (found == hosts_.end()) {
    return std::nullopt;
  }
  return static_cast<uint16_t>(found - hosts_.begin());
}

}  // namespace umberhold
