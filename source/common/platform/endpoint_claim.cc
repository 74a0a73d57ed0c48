#include "common/platform/endpoint_claim.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <sstream>

namespace umberhold {
namespace {

constexpr const char* kService = "service";
constexpr const char* kBase = "base_version";
constexpr const char* kRequestId = "request_id";

}  // namespace

std::string claimName(const ClaimKey& key) {
  const std::string endpointText =
      addressToString(key.endpoint.address) + "-" + std::to_string(key.endpoint.port);
  if (key.kind == ClaimKind::kHost) {
    return "host-" + endpointText;
  }
  return "address-" + endpointText + (key.protocol == TransportProtocol::kUdp ? "-udp" : "-tcp");
}

std::vector<ClaimKey> claimKeysOf(const Service& service) {
  std::vector<ClaimKey> keys;
  keys.push_back({ClaimKind::kAddress, {service.address, service.port}, service.protocol});
  for (const HostSpec& host : service.hosts) {
    keys.push_back({ClaimKind::kHost, host.endpoint, TransportProtocol::kTcp});
  }
  std::sort(keys.begin(), keys.end());
  return keys;
}

std::string formatClaim(const EndpointClaim& claim) {
  Poco::JSON::Object object;
  object.set(kService, claim.service);
  object.set(kBase, static_cast<Poco::UInt64>(claim.base));
  object.set(kRequestId, claim.requestId);
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

std::optional<EndpointClaim> parseClaim(const std::string& specification) {
  try {
    const auto object =
        Poco::JSON::Parser().parse(specification).extract<Poco::JSON::Object::Ptr>();
    EndpointClaim claim;
    claim.service = object->getValue<std::string>(kService);
    claim.base = object->getValue<Poco::UInt64>(kBase);
    claim.requestId = object->getValue<std::string>(kRequestId);
    return claim;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

}  // namespace umberhold
