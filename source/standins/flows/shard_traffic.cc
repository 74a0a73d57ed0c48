#include "standins/flows/shard_traffic.h"

#include <algorithm>
#include <variant>

#include "common/wire/codec.h"

namespace umberhold {
namespace {

/** UDP and IP headers, and the envelope of wire/envelope.h; see docs/CAPACITY.md. */
constexpr uint64_t kDatagramOverhead = 28 + 45;

bool isLoadMessage(const Message& message) {
  return std::holds_alternative<LoadShare>(message.body) ||
         std::holds_alternative<PermitRequest>(message.body) ||
         std::holds_alternative<PermitGrant>(message.body);
}

}  // namespace

void ShardTraffic::count(TimePoint now, uint32_t from, const Message& message) {
  const auto encoded = encode(message);
  const uint64_t bytes = valueOf(encoded).size() + kDatagramOverhead;
  if (isLoadMessage(message)) {
    load_ += bytes;
  } else if (std::holds_alternative<ReplicaAck>(message.body)) {
    acknowledgements_ += bytes;
  } else if (std::holds_alternative<ReplicaAppend>(message.body)) {
    countReplication(now, senders_[from], bytes);
  } else {
    snapshots_ += bytes;
  }
}

void ShardTraffic::countReplication(TimePoint now, Sender& sender, uint64_t bytes) {
  const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  sender.replicationInSecond = sender.second == second ? sender.replicationInSecond + bytes : bytes;
  sender.second = second;
  sender.replicationTotal += bytes;
  replication_ += bytes;
  busiestReplication_ = std::max(busiestReplication_, sender.replicationTotal);
  peakReplication_ = std::max(peakReplication_, sender.replicationInSecond);
}

}  // namespace umberhold
