#include "common/base/hash.h"

#include <xxhash.h>

namespace umberhold {
namespace {

constexpr uint64_t kSeed = 0x756D626572686F6CULL;

uint32_t hashName(std::string_view name) {
  return XXH32(name.data(), name.size(), kSeed & 0xFFFFFFFFU);
}

}  // namespace

uint64_t hashBytes(std::string_view bytes) {
  return XXH64(bytes.data(), bytes.size(), kSeed);
}

ZoneId zoneIdOf(std::string_view name) {
  return ZoneId{hashName(name)};
}

RegionId regionIdOf(std::string_view name) {
  return RegionId{hashName(name)};
}

ServiceId serviceIdOf(std::string_view name) {
  return ServiceId{hashBytes(name)};
}

HostId hostIdOf(ServiceId service, std::string_view hostName) {
  return HostId{mixHash(service.value, hashBytes(hostName))};
}

}  // namespace umberhold
