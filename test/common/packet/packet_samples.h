/** @file Test packets, built with libtins. */
#pragma once

#include <cstdint>
#include <string>

namespace umberhold {

inline constexpr uint32_t kSampleCaller = 0x0A010203;   // 10.1.2.3
inline constexpr uint32_t kSampleService = 0xC6336401;  // 198.51.100.1
inline constexpr uint16_t kSampleCallerPort = 40000;
inline constexpr uint16_t kSampleServicePort = 443;

/** TCP flags, as in byte 13 of the header. */
inline constexpr uint8_t kFin = 0x01;
inline constexpr uint8_t kSyn = 0x02;
inline constexpr uint8_t kRst = 0x04;
inline constexpr uint8_t kAck = 0x10;

/** @return a TCP packet with sequence number 1000 and acknowledgement number 2000. */
std::string tcpSample(uint8_t flags, const std::string& data = "", uint8_t timeToLive = 64);
/** @return a UDP packet. */
std::string udpSample(const std::string& data);
/** @return whether the IPv4 header's checksum is valid. */
bool hasValidChecksum(const std::string& packet);

}  // namespace umberhold
