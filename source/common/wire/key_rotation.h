/**
 * @file Validation of key changes of a running node.
 *
 * Keys are rotated in three steps, each completed on all nodes before the next begins: add the new
 * key, use it for signing, remove the old one. A node rejects a change that would skip a step,
 * because other nodes would reject its messages, or it theirs.
 */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "common/base/result.h"
#include "common/wire/key_ring.h"

namespace umberhold {

/** The keys of a node from its settings. */
struct KeySettings {
  /** Accepted keys. */
  std::vector<AuthenticationKey> keys;
  /** Id of the signing key, one of the accepted keys. */
  uint32_t signingKey = 0;
};

/** Reason for which a change of keys is rejected. */
enum class KeyRotationError : uint8_t {
  /** The secret of an id in use differs; the secret of an id must never change. */
  kSecretChanged,
  /** The new signing key is not yet known on this node, so other nodes may not accept it either. */
  kSigningKeyNotAdded,
  /** The current signing key would be removed, although other nodes may still sign with it. */
  kSigningKeyRemoved,
};

/** @return the snake_case label of an error. */
std::string_view toString(KeyRotationError error);

/** Checks a change of keys. Both settings must form valid rings (KeyRing::create). @return Ok if
 * the change is valid. */
Result<Ok, KeyRotationError> checkRotation(const KeySettings& current, const KeySettings& next);

}  // namespace umberhold
