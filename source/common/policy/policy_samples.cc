#include "common/policy/policy_samples.h"

namespace umberhold {
namespace {

constexpr uint32_t kLimit = 2000;
constexpr double kLoads[] = {0.0, 0.5, 0.95, 1.5};
constexpr uint32_t kFlows[] = {0, kLimit / 2, kLimit};
constexpr double kAges[] = {0.0, 10.0, 86400.0};

HostView hostWithFlags(unsigned flags) {
  HostView host;
  host.name = "host-1";
  host.zone = "zone-1";
  host.connectionLimit = kLimit;
  host.healthy = (flags & 1U) != 0;
  host.draining = (flags & 2U) != 0;
  host.sameZone = (flags & 4U) != 0;
  host.weight = (flags & 8U) != 0 ? 100 : 0;
  return host;
}

ServiceView service(uint32_t hosts, uint32_t healthyHosts, uint32_t flows, double load) {
  return ServiceView{"service-1", hosts, healthyHosts, flows, healthyHosts * kLimit, load};
}

}  // namespace

std::vector<HostView> sampleHosts() {
  constexpr unsigned kFlagCombinations = 16;
  std::vector<HostView> hosts;
  for (unsigned flags = 0; flags < kFlagCombinations; ++flags) {
    HostView host = hostWithFlags(flags);
    for (const double load : kLoads) {
      host.load = load;
      // Flows and age vary with the load, so that every value occurs with every flag combination.
      const size_t index = hosts.size() % std::size(kFlows);
      host.flows = kFlows[index];
      host.ageSeconds = kAges[index];
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::vector<ServiceView> sampleServices() {
  return {service(15, 15, 0, 0.0), service(15, 14, 14000, 0.6), service(15, 15, 30000, 1.2),
          service(0, 0, 0, 0.0)};
}

}  // namespace umberhold
