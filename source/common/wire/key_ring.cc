/** @file HMAC-SHA256 with POCO. */
#include "common/wire/key_ring.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <map>
#include <utility>

namespace umberhold {
namespace {

/** Adds the two constants that POCO's HMACEngine requires and its SHA2Engine lacks. */
class Sha256Engine : public Poco::SHA2Engine {
 public:
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };
  Sha256Engine() : SHA2Engine(SHA_256) {}
};

using HmacEngine = Poco::HMACEngine<Sha256Engine>;

}  // namespace

struct KeyRing::Engines {
  uint32_t signingId = 0;
  std::map<uint32_t, std::unique_ptr<HmacEngine>> byId;
};

std::string_view toString(KeyRingError error) {
  switch (error) {
    case KeyRingError::kNoKeys:
      return "no_keys";
    case KeyRingError::kDuplicateId:
      return "duplicate_id";
    case KeyRingError::kSecretTooShort:
      return "secret_too_short";
    case KeyRingError::kSigningKeyMissing:
      return "signing_key_missing";
  }
  return "unknown";
}

Result<KeyRing, KeyRingError> KeyRing::create(const std::vector<AuthenticationKey>& keys,
                                              uint32_t signingId) {
  if (keys.empty()) {
    return KeyRingError::kNoKeys;
  }
  auto engines = std::make_unique<Engines>();
  engines->signingId = signingId;
  for (const AuthenticationKey& key : keys) {
    if (key.secret.size() < kMinSecretBytes) {
      return KeyRingError::kSecretTooShort;
    }
    auto engine = std::make_unique<HmacEngine>(key.secret);
    if (!engines->byId.emplace(key.id, std::move(engine)).second) {
      return KeyRingError::kDuplicateId;
    }
  }
  if (!engines->byId.contains(signingId)) {
    return KeyRingError::kSigningKeyMissing;
  }
  return KeyRing(std::move(engines));
}

KeyRing::KeyRing(std::unique_ptr<Engines> engines) : engines_(std::move(engines)) {}
KeyRing::KeyRing(KeyRing&&) noexcept = default;
KeyRing& KeyRing::operator=(KeyRing&&) noexcept = default;
KeyRing::~KeyRing() = default;

uint32_t KeyRing::signingId() const {
  return engines_->signingId;
}

std::vector<uint32_t> KeyRing::ids() const {
  std::vector<uint32_t> ids;
  for (const auto& [id, engine] : engines_->byId) {
    ids.push_back(id);
  }
  return ids;
}

bool KeyRing::contains(uint32_t keyId) const {
  return engines_->byId.contains(keyId);
}

std::string KeyRing::tagOf(uint32_t keyId, std::string_view bytes) {
  HmacEngine& engine = *engines_->byId.at(keyId);
  engine.update(bytes.data(), bytes.size());
  const Poco::DigestEngine::Digest& digest = engine.digest();
  return {digest.begin(), digest.begin() + kTagBytes};
}

}  // namespace umberhold
