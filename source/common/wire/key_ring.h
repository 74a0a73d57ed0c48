/**
 * @file Authentication keys of messages between nodes.
 *
 * Rotation without interruption: add the new key to all nodes, then switch signing to it, then
 * remove the old key.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/result.h"

namespace umberhold {

/** One shared secret. */
struct AuthenticationKey {
  uint32_t id = 0;
  /** Raw bytes, at least kMinSecretBytes. */
  std::string secret;
};

/** Minimum length of a secret, bytes. */
constexpr size_t kMinSecretBytes = 16;
/** Length of a message's authentication tag, bytes: HMAC-SHA256 truncated to 128 bits (RFC 2104,
 * section 5). */
constexpr size_t kTagBytes = 16;

/** Reason for which keys are not a valid ring. */
enum class KeyRingError : uint8_t { kNoKeys, kDuplicateId, kSecretTooShort, kSigningKeyMissing };

/** @return the snake_case label of an error. */
std::string_view toString(KeyRingError error);

/** Keys by id, one of which is used for signing. Not thread safe, because the HMAC engines are
 * stateful. */
class KeyRing {
 public:
  /** @param keys the accepted keys. @param signingId id of the signing key, which must be one of
   * them. */
  static Result<KeyRing, KeyRingError> create(const std::vector<AuthenticationKey>& keys,
                                              uint32_t signingId);
  KeyRing(KeyRing&&) noexcept;
  KeyRing& operator=(KeyRing&&) noexcept;
  ~KeyRing();

  uint32_t signingId() const;
  /** @return the ids of the accepted keys, in ascending order. */
  std::vector<uint32_t> ids() const;
  /** @return whether the ring contains the key. */
  bool contains(uint32_t keyId) const;
  /** @return the tag (kTagBytes) of the bytes with a key that the ring contains. */
  std::string tagOf(uint32_t keyId, std::string_view bytes);

 private:
  struct Engines;
  explicit KeyRing(std::unique_ptr<Engines> engines);
  std::unique_ptr<Engines> engines_;
};

}  // namespace umberhold
