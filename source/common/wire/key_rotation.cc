#include "common/wire/key_rotation.h"

#include <algorithm>

namespace umberhold {
namespace {

const AuthenticationKey* findKey(const KeySettings& settings, uint32_t id) {
  const auto found = std::find_if(settings.keys.begin(), settings.keys.end(),
                                  [id](const AuthenticationKey& key) { return key.id == id; });
  return found == settings.keys.end() ? nullptr : &*found;
}

bool hasChangedSecret(const KeySettings& current, const AuthenticationKey& key) {
  const AuthenticationKey* before = findKey(current, key.id);
  return before != nullptr && before->secret != key.secret;
}

}  // namespace

std::string_view toString(KeyRotationError error) {
  switch (error) {
    case KeyRotationError::kSecretChanged:
      return "secret_changed";
    case KeyRotationError::kSigningKeyNotAdded:
      return "signing_key_not_added";
    case KeyRotationError::kSigningKeyRemoved:
      return "signing_key_removed";
  }
  return "unknown";
}

Result<Ok, KeyRotationError> checkRotation(const KeySettings& current, const KeySettings& next) {
  const bool secretChanged =
      std::any_of(next.keys.begin(), next.keys.end(),
                  [&](const AuthenticationKey& key) { return hasChangedSecret(current, key); });
  if (secretChanged) {
    return KeyRotationError::kSecretChanged;
  }
  if (findKey(current, next.signingKey) == nullptr) {
    return KeyRotationError::kSigningKeyNotAdded;
  }
  if (findKey(next, current.signingKey) == nullptr) {
    return KeyRotationError::kSigningKeyRemoved;
  }
  return Ok{};
}

}  // namespace umberhold
