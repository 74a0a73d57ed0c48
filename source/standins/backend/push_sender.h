/** @file Schedule and retransmission of the unsolicited messages of a host on its open flows. No
 * I/O.
 */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/base/random.h"
#include "standins/common/exchange_message.h"

namespace umberhold::standins {

/** Outcomes of a host's pushes. */
struct PushCounters {
  uint64_t sent = 0;
  /** Pushes that were acknowledged by a receipt. */
  uint64_t received = 0;
  /** Pushes abandoned after the last retransmission while their flow was open. */
  uint64_t lost = 0;
};

/** The pushes of one flow. Not thread safe. */
class PushSender {
 public:
  /** @param meanPauseMillis mean interval between two pushes; 0 disables pushes. */
  PushSender(UnixMillis now, uint32_t meanPauseMillis, RandomSource& random);

  /**
   * @param nextId next push id of the host; incremented for each new push.
   * @return the ids to send now, new ones and retransmissions.
   */
  std::vector<uint64_t> due(UnixMillis now, uint64_t& nextId, RandomSource& random,
                            PushCounters& counters);
  void onReceipt(uint64_t id, PushCounters& counters);

 private:
  struct Pending {
    UnixMillis nextSend = 0;
    uint32_t sends = 0;
  };

  UnixMillis randomPause(RandomSource& random) const;

  uint32_t meanPauseMillis_;
  UnixMillis nextPush_;
  std::map<uint64_t, Pending> pending_;
};

}  // namespace umberhold::standins
