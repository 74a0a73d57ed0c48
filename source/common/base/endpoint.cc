#include "common/base/endpoint.h"

#include <charconv>

namespace umberhold {
namespace {

constexpr int kOctets = 4;
constexpr uint32_t kOctetBits = 8;

/** Parses a decimal number of at most `limit` that spans the whole text. */
std::optional<uint32_t> parseNumber(std::string_view text, uint32_t limit) {
  uint32_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size() || number > limit) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::string addressToString(uint32_t address) {
  std::string text;
  for (int octet = kOctets - 1; octet >= 0; --octet) {
    text += std::to_string((address >> (kOctetBits * static_cast<uint32_t>(octet))) & 0xFFU);
    if (octet > 0) {
      text += '.';
    }
  }
  return text;
}

std::optional<uint32_t> parseAddress(std::string_view text) {
  uint32_t address = 0;
  for (int octet = 0; octet < kOctets; ++octet) {
    const bool last = octet == kOctets - 1;
    const size_t dot = text.find('.');
    if (last != (dot == std::string_view::npos)) {
      return std::nullopt;
    }
    const auto number = parseNumber(text.substr(0, dot), 0xFFU);
    if (!number) {
      return std::nullopt;
    }
    address = (address << kOctetBits) | *number;
    if (!last) {
      text.remove_prefix(dot + 1);
    }
  }
  return address;
}

std::string toString(const Endpoint& endpoint) {
  return addressToString(endpoint.address) + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text) {
  constexpr uint32_t kMaxPort = 65535;
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto address = parseAddress(text.substr(0, colon));
  const auto port = parseNumber(text.substr(colon + 1), kMaxPort);
  if (!address || !port || *port == 0) {
    return std::nullopt;
  }
  return Endpoint{*address, static_cast<uint16_t>(*port)};
}

}  // namespace umberhold
