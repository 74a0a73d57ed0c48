/**
 * @file JSON bodies of the platform's object API (docs/PLATFORM_API.md), encoding and decoding.
 *
 * Decoding tolerates unknown keys, because the store is a third-party system; a missing or mistyped
 * key is StoreErrorCode::kMalformedAnswer.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/platform/platform_store.h"

namespace umberhold {

/** Body of a PUT: the new content and the expected version. */
struct PutBody {
  uint64_t expectedVersion = 0;
  std::vector<ChangeEntry> history;
  std::string specification;
};

/** @return the collection for a URL segment, or nothing if it is unknown. */
std::optional<Collection> parseCollection(std::string_view text);

Result<std::string, StoreError> encodePutBody(const PutBody& body);
Result<PutBody, StoreError> decodePutBody(const std::string& text);

std::string encodeStoredObject(const StoredObject& object);
Result<StoredObject, StoreError> decodeStoredObject(const std::string& text);

std::string encodeObjectPage(const ObjectPage& page);
Result<ObjectPage, StoreError> decodeObjectPage(const std::string& text);

std::string encodeWatchBatch(const WatchBatch& batch);
Result<WatchBatch, StoreError> decodeWatchBatch(const std::string& text);

std::string encodeMachine(const Machine& machine);
Result<Machine, StoreError> decodeMachine(const std::string& text);
std::string encodeMachines(const std::vector<Machine>& machines);
Result<std::vector<Machine>, StoreError> decodeMachines(const std::string& text);

std::string encodeVersion(uint64_t version);
Result<uint64_t, StoreError> decodeVersion(const std::string& text);

/** @param code snake_case error code. @param message human-readable text. */
std::string encodeError(const std::string& code, const std::string& message);

}  // namespace umberhold
