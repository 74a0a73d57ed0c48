/** @file An IPv4 address and port. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace umberhold {

/** An IPv4 transport endpoint; both fields are in host byte order. */
struct Endpoint {
  uint32_t address = 0;
  uint16_t port = 0;

  // clang-tidy 14 takes the 0 of the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Endpoint&) const = default;

  /** Lists the fields for the message codec. */
  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(address, port);
  }
};

/** @return dotted-quad text of an address in host byte order. */
std::string addressToString(uint32_t address);
/** @return the address in host byte order, or std::nullopt if the text is not a dotted quad. */
std::optional<uint32_t> parseAddress(std::string_view text);
/** @return "a.b.c.d:port". */
std::string toString(const Endpoint& endpoint);
/** @return the endpoint, or std::nullopt if the text is not "a.b.c.d:port" with a port from 1 to
 * 65535. */
std::optional<Endpoint> parseEndpoint(std::string_view text);

}  // namespace umberhold

template <>
struct std::hash<umberhold::Endpoint> {
  size_t operator()(const umberhold::Endpoint& endpoint) const noexcept {
    return std::hash<uint64_t>{}((uint64_t{endpoint.address} << 16) | endpoint.port);
  }
};
