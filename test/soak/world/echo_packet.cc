#include "test/soak/world/echo_packet.h"

#include "common/base/hash.h"

namespace umberhold::soak {
namespace {

constexpr size_t kHeaderBytes = 31;
constexpr unsigned kByteBits = 8;
constexpr const char* kChecksumKey = "key of callers and hosts";

template <class Integer>
void put(std::string& bytes, Integer value) {
  for (size_t shift = sizeof(Integer) * kByteBits; shift > 0; shift -= kByteBits) {
    bytes.push_back(static_cast<char>((uint64_t{value} >> (shift - kByteBits)) & 0xFFU));
  }
}

/** Reads numbers from the front of a text. */
class NumberReader {
 public:
  explicit NumberReader(std::string_view bytes) : rest_(bytes) {}

  template <class Integer>
  Integer readNumber() {
    uint64_t value = 0;
    for (size_t index = 0; index < sizeof(Integer); ++index) {
      value = (value << kByteBits) | static_cast<uint8_t>(rest_[index]);
    }
    rest_.remove_prefix(sizeof(Integer));
    return static_cast<Integer>(value);
  }
  std::string_view rest() const { return rest_; }

 private:
  std::string_view rest_;
};

uint32_t sumOf(EchoPacket packet) {
  packet.sum = 0;
  packet.echo = 0;
  const auto sum = static_cast<uint32_t>(hashBytes(kChecksumKey + encode(packet)));
  return sum == 0 ? 1 : sum;
}

}  // namespace

std::string encode(const EchoPacket& packet) {
  std::string bytes;
  put(bytes, packet.sum);
  put(bytes, packet.flags);
  put(bytes, packet.echo);
  put(bytes, packet.sequence);
  put(bytes, packet.acknowledged);
  put(bytes, packet.sourcePort);
  put(bytes, packet.targetPort);
  put(bytes, packet.source);
  put(bytes, packet.target);
  put(bytes, static_cast<uint16_t>(packet.data.size()));
  return bytes + packet.data;
}

std::string encodeSealed(EchoPacket packet) {
  packet.sum = sumOf(packet);
  return encode(packet);
}

std::optional<EchoPacket> decode(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  NumberReader reader(bytes);
  EchoPacket packet;
  packet.sum = reader.readNumber<uint32_t>();
  packet.flags = reader.readNumber<uint8_t>();
  packet.echo = reader.readNumber<uint32_t>();
  packet.sequence = reader.readNumber<uint32_t>();
  packet.acknowledged = reader.readNumber<uint32_t>();
  packet.sourcePort = reader.readNumber<uint16_t>();
  packet.targetPort = reader.readNumber<uint16_t>();
  packet.source = reader.readNumber<uint32_t>();
  packet.target = reader.readNumber<uint32_t>();
  const auto length = reader.readNumber<uint16_t>();
  if (reader.rest().size() != length || length > kMaxDataBytes) {
    return std::nullopt;
  }
  packet.data = std::string(reader.rest());
  return packet;
}

bool isSealed(const EchoPacket& packet) {
  return packet.sum == sumOf(packet);
}

}  // namespace umberhold::soak
