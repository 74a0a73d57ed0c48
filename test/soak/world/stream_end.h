/** @file One end of a flow's byte stream: segmentation, acknowledgement, retransmission,
 * reordering. No I/O. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "test/soak/world/echo_packet.h"

namespace umberhold::soak {

/** Source and target of the packets that this end sends. */
struct StreamAddresses {
  uint32_t source = 0;
  uint32_t target = 0;
  uint16_t sourcePort = 0;
  uint16_t targetPort = 0;
};

/** See the file comment. Not thread safe. */
class StreamEnd {
 public:
  /**
   * @param nextSequence sequence number of the first byte that this end sends.
   * @param expected sequence number of the first byte of the other end.
   */
  StreamEnd(const StreamAddresses& addresses, uint32_t nextSequence, uint32_t expected)
      : addresses_(addresses), nextSequence_(nextSequence), expected_(expected) {}

  /** Queues bytes for sending. */
  void write(const std::string& bytes);
  /** Ends the stream after the written bytes. */
  void finish();
  /** @return the next bytes in order; appends packets to send to `out`. */
  std::string onPacket(TimePoint now, const EchoPacket& packet, std::vector<std::string>& out);
  /** Sends new data and retransmissions that are due. */
  void tick(TimePoint now, std::vector<std::string>& out);

  /** @return whether all bytes and the end of the other side were received. */
  bool isFinishedByOther() const { return finishedByOther_; }
  /** @return whether all written bytes and the end were acknowledged. */
  bool isDrained() const { return parts_.empty(); }
  /** @return the number of transmissions of the oldest unacknowledged part; 0 without one. */
  uint32_t transmissions() const { return parts_.empty() ? 0 : parts_.front().transmissions; }
  /** @return the acknowledgement number of this end. */
  uint32_t acknowledged() const { return expected_; }
  void setEcho(uint32_t echo) { echo_ = echo; }
  const StreamAddresses& addresses() const { return addresses_; }

 private:
  struct Part {
    uint32_t sequence = 0;
    std::string data;
    bool isLast = false;
    uint32_t transmissions = 0;
    TimePoint retransmitAt{};
    Duration retransmissionTimeout{0};

    uint32_t length() const { return static_cast<uint32_t>(data.size()) + (isLast ? 1 : 0); }
  };

  EchoPacket emptyPacket(uint8_t flags) const;
  void onAcknowledgement(uint32_t acknowledged);

  StreamAddresses addresses_;
  uint32_t nextSequence_;
  uint32_t expected_;
  uint32_t echo_ = 0;
  std::deque<Part> parts_;
  std::map<uint32_t, EchoPacket> outOfOrder_;
  bool finishedByOther_ = false;
};

}  // namespace umberhold::soak
