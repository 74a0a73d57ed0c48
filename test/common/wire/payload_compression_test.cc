/** @file Tests of payload compression: round trips, uncompressed payloads, corrupted bytes. */
#include "common/wire/payload_compression.h"

#include <rapidcheck.h>

#include <string>

#include "common/config/service.h"
#include "common/wire/codec.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;

namespace {

/** @return a typical service. */
Service serviceOf(uint32_t hosts) {
  Service service;
  service.name = "dispatch";
  service.region = "addis";
  service.address = 0x0A000001;
  service.port = 443;
  for (uint32_t number = 0; number < hosts; ++number) {
    HostSpec host;
    host.name = "dispatch-" + std::to_string(number);
    host.endpoint = {0x0A010000 + number * 77, 9000};
    host.probe = {0x0A010000 + number * 77, 9001};
    host.zone = number % 2 == 0 ? "bole" : "piassa";
    service.hosts.push_back(host);
  }
  return service;
}

DecodeErrorCode failureOf(std::string_view bytes) {
  const auto decompressed = decompressPayload(bytes);
  return isOk(decompressed) ? DecodeErrorCode::kCount : errorOf(decompressed).code;
}

}  // namespace

TEST_GROUP_BASE(PayloadCompression, test::WithoutLeakDetection){};

TEST(PayloadCompression, CompressesServiceToLessThanHalf) {
  const Service service = serviceOf(15);
  const std::string packed = valueOf(encodeService(service));
  CHECK(isCompressedPayload(packed));
  const std::string plain = valueOf(decompressPayload(packed));
  CHECK(packed.size() * 2 < plain.size());
  CHECK(valueOf(decodeService(packed)) == service);
}

TEST(PayloadCompression, FastEffortRoundTrips) {
  const std::string plain(100000, 'x');
  const std::string packed = compressPayload(plain, CompressionEffort::kFast);
  CHECK(packed.size() * 10 < plain.size());
  CHECK(valueOf(decompressPayload(packed)) == plain);
}

TEST(PayloadCompression, DecodesUncompressedPayloads) {
  const Service service = serviceOf(4);
  const std::string plain = valueOf(decompressPayload(valueOf(encodeService(service))));
  CHECK_FALSE(isCompressedPayload(plain));
  CHECK(valueOf(decodeService(plain)) == service);
}

TEST(PayloadCompression, OutputIsDeterministic) {
  CHECK(valueOf(encodeService(serviceOf(9))) == valueOf(encodeService(serviceOf(9))));
}

TEST(PayloadCompression, ShortPayloadsAreNotCompressed) {
  const std::string text(kMinCompressedBytes - 1, 'a');
  CHECK(compressPayload(text) == text);
}

TEST(PayloadCompression, RejectsTruncatedAndInvalidBytes) {
  const std::string packed = valueOf(encodeService(serviceOf(15)));
  CHECK(failureOf(packed.substr(0, 1)) == DecodeErrorCode::kTruncated);
  CHECK(failureOf(packed.substr(0, packed.size() / 2)) == DecodeErrorCode::kTruncated);
  CHECK(failureOf(packed + "x") == DecodeErrorCode::kTrailingBytes);
  std::string unknownDictionary = packed;
  unknownDictionary[1] = '\x02';
  CHECK(failureOf(unknownDictionary) == DecodeErrorCode::kMalformed);
}

TEST(PayloadCompression, RejectsOutputBeyondMaximumSize) {
  const std::string packed = compressPayload(std::string(kMaxEncodedBytes + 1, 'a'));
  CHECK(packed.size() < kMaxEncodedBytes / 100);
  CHECK(failureOf(packed) == DecodeErrorCode::kTooLong);
}

TEST(PayloadCompression, ExpandsUpToTheGivenSize) {
  constexpr size_t kSize = 3 * kMaxEncodedBytes;
  const std::string packed = compressPayload(std::string(kSize, 'a'));
  CHECK(isOk(decompressPayload(packed, kSize)));
  const auto larger = decompressPayload(packed, kSize - 1);
  CHECK_TRUE(!isOk(larger) && errorOf(larger).code == DecodeErrorCode::kTooLong);
}

TEST(PayloadCompression, PayloadsRoundTrip) {
  CHECK(rc::check("decompressPayload(compressPayload(text)) == text", [] {
    const auto piece = *rc::gen::arbitrary<std::string>();
    std::string text = "\x99";
    const size_t repeats = *rc::gen::inRange<size_t>(1, 200);
    for (size_t repeat = 0; repeat < repeats; ++repeat) {
      text += piece;
    }
    const auto decompressed = decompressPayload(compressPayload(text));
    RC_ASSERT(isOk(decompressed));
    RC_ASSERT(valueOf(decompressed) == text);
  }));
}

TEST(PayloadCompression, RejectsOrDecodesChangedBytes) {
  CHECK(rc::check("a changed payload is refused or decodes to something encodable", [] {
    std::string packed = valueOf(encodeService(serviceOf(15)));
    const size_t position = *rc::gen::inRange<size_t>(0, packed.size());
    packed[position] = *rc::gen::arbitrary<char>();
    const auto decoded = decodeService(packed);
    const bool harmless = !isOk(decoded) || isOk(encodeService(valueOf(decoded)));
    RC_ASSERT(harmless);
  }));
}
