/**
 * @file The unit in which configuration is distributed: one object at one version.
 *
 * The version is the store's resource version, which increases with every change of the whole
 * store: of two records with the same key the one with the higher version is newer, regardless of
 * which node sent it.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace umberhold {

/** The kind of the object in a record. */
enum class ObjectKind : uint8_t { kService = 1, kPolicy = 2, kRegionContacts = 3, kHostPool = 4 };

/** Identifies one object. */
struct RecordKey {
  ObjectKind kind = ObjectKind::kService;
  std::string name;

  // clang-tidy 14 takes the 0 of the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RecordKey&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(kind, name);
  }
};

/** One object at one version. A deletion is a record without a payload (a tombstone). */
struct ConfigRecord {
  RecordKey key;
  /** Resource version of the store; 0 is older than any object. */
  uint64_t version = 0;
  bool deleted = false;
  /** The object, encoded by wire/codec.h from the structs of config/service.h. */
  std::string payload;

  bool operator==(const ConfigRecord&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(key, version, deleted, payload);
  }
};

}  // namespace umberhold
