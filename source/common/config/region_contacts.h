/** @file The few nodes of a region that exchange configuration with other regions. */
#pragma once

#include <vector>

#include "common/base/endpoint.h"
#include "common/base/strong_id.h"

namespace umberhold {

/** A node that other regions exchange configuration with. */
struct RegionContact {
  NodeId id;
  /** Its control endpoint. */
  Endpoint control;

  bool operator==(const RegionContact&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(id, control);
  }
};

/** Payload of a record of kind kRegionContacts; the record's key is the region's name. */
struct RegionContacts {
  std::vector<RegionContact> contacts;

  bool operator==(const RegionContacts&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(contacts);
  }
};

}  // namespace umberhold
