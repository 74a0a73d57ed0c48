/**
 * @file Claim objects, which ensure that an address or a host endpoint belongs to at most one
 * service.
 *
 * A claim is a separate store object named after the claimed address or endpoint, so that two
 * services that want the same one compete in a single conditional update. For acquiring and
 * releasing claims see admin/claim_keeper.h.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "common/config/service.h"

namespace umberhold {

/** Kind of claimed endpoint. */
enum class ClaimKind : uint8_t {
  /** A service's address, port and protocol. */
  kAddress,
  /** A host's endpoint. */
  kHost,
};

/** Identifies one claimed address or host endpoint. Addresses sort before hosts. */
struct ClaimKey {
  ClaimKind kind = ClaimKind::kAddress;
  Endpoint endpoint;
  /** Meaningful for addresses only. */
  TransportProtocol protocol = TransportProtocol::kTcp;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the rewritten comparison.
  auto operator<=>(const ClaimKey&) const = default;
};

/** @return the object name for the key: "address-10.0.0.1-443-tcp" or "host-10.1.0.1-6080". */
std::string claimName(const ClaimKey& key);

/** @return the keys of everything that the service claims, sorted. */
std::vector<ClaimKey> claimKeysOf(const Service& service);

/** Content of a claim: the service that may use the endpoint in its specification. */
struct EndpointClaim {
  std::string service;
  /** Highest service version on which a change that adds the key may be based. */
  uint64_t base = 0;
  /** Request that the claim was written for; informational. */
  std::string requestId;

  bool operator==(const EndpointClaim&) const = default;
};

std::string formatClaim(const EndpointClaim& claim);
/** @return the claim, or nothing if the specification is not a valid claim. */
std::optional<EndpointClaim> parseClaim(const std::string& specification);

}  // namespace umberhold
