/**
 * @file Fuzzes the message codec and the envelope.
 *
 * Promises: nothing crashes, what decodes has one stable encoding, no unsealed datagram is taken, a
 * sealed one is taken once, and not at all where a byte was changed.
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

KeyRing makeRing() {
  auto ring = KeyRing::create({AuthenticationKey{1, std::string(kMinSecretBytes, 'k')}}, 1);
  FUZZ_CHECK(isOk(ring));
  return std::move(valueOf(ring));
}

/** Decodes; a value that decodes is encoded, and the encoding has to decode to itself. */
template <class Decode, class Encode>
void checkStable(std::string_view bytes, Decode decodeValue, Encode encodeValue) {
  const auto value = decodeValue(bytes);
  if (!isOk(value)) {
    return;
  }
  const auto encoded = encodeValue(valueOf(value));
  FUZZ_CHECK(isOk(encoded));
  const auto again = decodeValue(valueOf(encoded));
  FUZZ_CHECK(isOk(again));
  const auto encodedAgain = encodeValue(valueOf(again));
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
  static KeyRing sealingKeys = makeRing();
  static KeyRing openingKeys = makeRing();
  static EnvelopeSealer sealer(sealingKeys, NodeId{7}, 1);
  static EnvelopeOpener opener(openingKeys);
  FUZZ_CHECK(!isOk(opener.open(body)));
  const std::string datagram = sealer.seal(body);
  std::string changed = datagram;
  changed[body.size() % changed.size()] ^= 1;
  FUZZ_CHECK(!isOk(opener.open(changed)));
  const auto opened = opener.open(datagram);
  FUZZ_CHECK(isOk(opened) && valueOf(opened).body == body && valueOf(opened).sender == NodeId{7});
  const auto repeated = opener.open(datagram);
  FUZZ_CHECK(!isOk(repeated) && errorOf(repeated) == OpenError::kReplayed);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  checkCodec(bytes);
  checkEnvelope(bytes);
  return 0;
}
