/** @file Strongly typed identifiers. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace umberhold {

/** An integer identifier; Tag makes identifiers of different kinds distinct types. */
template <class Tag, class Rep>
struct StrongId {
  using Representation = Rep;
  Rep value{};

  // clang-tidy 14 takes the 0 of the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StrongId&) const = default;

  /** Lists the fields for the message codec. */
  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(value);
  }
};

/** A node, numbered by its settings; unique across all regions. */
using NodeId = StrongId<struct NodeIdTag, uint32_t>;
/** A zone: xxHash32 of its name (see base/hash.h, zoneIdOf). */
using ZoneId = StrongId<struct ZoneIdTag, uint32_t>;
/** A region: xxHash32 of its name (see base/hash.h, regionIdOf). */
using RegionId = StrongId<struct RegionIdTag, uint32_t>;
/** A service: xxHash64 of its name (see base/hash.h, serviceIdOf). */
using ServiceId = StrongId<struct ServiceIdTag, uint64_t>;
/** A backend host of a service: xxHash64 of service and host name (see base/hash.h, hostIdOf). */
using HostId = StrongId<struct HostIdTag, uint64_t>;
/** A flow: xxHash64 of its 5-tuple (see flow/flow_key.h). */
using FlowHash = StrongId<struct FlowHashTag, uint64_t>;

}  // namespace umberhold

template <class Tag, class Rep>
struct std::hash<umberhold::StrongId<Tag, Rep>> {
  size_t operator()(const umberhold::StrongId<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>{}(id.value);
  }
};
