#include "common/token/silent_zones.h"

#include <algorithm>

namespace umberhold {

void SilentZones::onUnanswered(TimePoint now, const std::string& pool, const std::string& zone,
                               uint32_t host) {
  Zone& silent = pools_[pool][zone];
  if (silent.hosts.size() < kMinSilentHosts && now - silent.firstSilentAt > kWindow) {
    silent.hosts.clear();
    silent.firstSilentAt = now;
  }
  silent.hosts.insert(host);
  if (silent.hosts.size() >= kMinSilentHosts && now >= silent.silentUntil) {
    silent.silentUntil = now + silent.nextDuration;
    silent.nextDuration = std::min(silent.nextDuration * 2, kMaxDuration);
  }
}

void SilentZones::onAnswered(const std::string& pool, const std::string& zone) {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) {
    return;
  }
  found->second.erase(zone);
  if (found->second.empty()) {
    pools_.erase(found);
  }
}

bool SilentZones::isSilent(TimePoint now, std::string_view pool, std::string_view zone) const {
  const auto zones = pools_.find(pool);
  if (zones == pools_.end()) {
    return false;
  }
  const auto found = zones->second.find(zone);
  return found != zones->second.end() && now < found->second.silentUntil;
}

}  // namespace umberhold
