#include "common/flow/flow_key.h"

#include "common/base/hash.h"

namespace umberhold {

FlowHash hashOf(const FlowKey& key) {
  const uint64_t caller = (uint64_t{key.caller.address} << 16U) | key.caller.port;
  const uint64_t service = (uint64_t{key.service.address} << 24U) |
                           (uint64_t{key.service.port} << 8U) | static_cast<uint64_t>(key.protocol);
  return FlowHash{mixHash(mixHash(caller, service), service)};
}

}  // namespace umberhold
