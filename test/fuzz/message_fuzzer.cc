/**
 * @file Fuzzes the message codec and the envelope.
 *
 * Checked properties: no input causes a crash; a value that was decoded has one stable encoding; a
 * datagram that was not sealed, or was changed after sealing, is refused; a sealed datagram is
 * accepted exactly once.
 */
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "common/wire/codec.h"
#include "common/wire/envelope.h"
#include "common/wire/key_ring.h"
#include "test/fuzz/fuzz_check.h"

using namespace umberhold;

namespace {

KeyRing makeKeyRing() {
  auto keyRing = KeyRing::create({AuthenticationKey{1, std::string(kMinSecretBytes, 'k')}}, 1);
  FUZZ_CHECK(isOk(keyRing));
  return std::move(valueOf(keyRing));
}

/** Checks that a decoded value can be encoded, and that decoding and encoding the result again
 * yields the same bytes. */
template <class Decoder, class Encoder>
void checkStable(std::string_view bytes, Decoder decoder, Encoder encoder) {
  const auto value = decoder(bytes);
  if (!isOk(value)) {
    return;
  }
  const auto encoded = encoder(valueOf(value));
  FUZZ_CHECK(isOk(encoded));
  const auto decodedAgain = decoder(valueOf(encoded));
  FUZZ_CHECK(isOk(decodedAgain));
  const auto encodedAgain = encoder(valueOf(decodedAgain));
  FUZZ_CHECK(isOk(encodedAgain) && valueOf(encodedAgain) == valueOf(encoded));
}

void checkCodec(std::string_view bytes) {
  checkStable(bytes, decode, encode);
  checkStable(bytes, decodeService, encodeService);
  checkStable(bytes, decodePolicy, encodePolicy);
  checkStable(bytes, decodeRegionContacts, encodeRegionContacts);
  checkStable(bytes, decodePeerChanges, encodePeerChanges);
  checkStable(bytes, decodeHostCopyPart, encodeHostCopyPart);
  checkStable(bytes, decodeHostReport, encodeHostReport);
}

void checkEnvelope(std::string_view body) {
  static KeyRing sealingKeys = makeKeyRing();
  static KeyRing openingKeys = makeKeyRing();
  static EnvelopeSealer sealer(sealingKeys, NodeId{7}, 1);
  static EnvelopeOpener opener(openingKeys);
  FUZZ_CHECK(!isOk(opener.open(body)));
  const std::string datagram = sealer.seal(body);
  std::string tampered = datagram;
  tampered[body.size() % tampered.size()] ^= 1;
  FUZZ_CHECK(!isOk(opener.open(tampered)));
  const auto opened = opener.open(datagram);
  FUZZ_CHECK(isOk(opened) && valueOf(opened).body == body && valueOf(opened).sender == NodeId{7});
  const auto replayed = opener.open(datagram);
  FUZZ_CHECK(!isOk(replayed) && errorOf(replayed) == OpenError::kReplayed);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  checkCodec(bytes);
  checkEnvelope(bytes);
  return 0;
}
