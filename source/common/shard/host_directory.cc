#include "common/shard/host_directory.h"

#include "common/base/hash.h"

namespace umberhold {

void HostDirectory::update(ServiceId id, const Service& service) {
  for (const auto& [host, record] : hosts_) {
    removed_.insert(host);
  }
  hosts_.clear();
  for (const HostSpec& host : service.hosts) {
    const HostId hostId = hostIdOf(id, host.name);
    hosts_[hostId] = HostRecord{host.name, host.endpoint, host.state, host.drainDeadline};
    removed_.erase(hostId);
    unknownSince_.erase(hostId);
  }
}

const HostRecord* HostDirectory::find(HostId host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : &found->second;
}

bool HostDirectory::isGone(HostId host, UnixSeconds unixNow) {
  if (const HostRecord* record = find(host)) {
    return record->state == HostState::kDraining && record->drainDeadline != 0 &&
           unixNow >= record->drainDeadline;
  }
  if (removed_.contains(host)) {
    return true;
  }
  const UnixSeconds since = unknownSince_.try_emplace(host, unixNow).first->second;
  return unixNow - since >= kUnknownGraceSeconds;
}

}  // namespace umberhold
