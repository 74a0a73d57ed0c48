/** @file Counts the shard traffic of simulated nodes by purpose. */
#pragma once

#include <cstdint>
#include <map>

#include "common/base/time.h"
#include "common/wire/message.h"

namespace umberhold {

/** Counts messages as datagrams: payload, envelope, UDP and IP headers. Not thread safe. */
class ShardTraffic {
 public:
  /** Resets the node's own counters at the start of its process. */
  void onStart(uint32_t node) { senders_[node] = Sender{}; }
  void count(TimePoint now, uint32_t from, const Message& message);

  /** @return replication log bytes that all nodes sent. */
  uint64_t replicationBytes() const { return replication_; }
  uint64_t acknowledgementBytes() const { return acknowledgements_; }
  /** @return the maximum of the replication bytes that a node sent since its start. */
  uint64_t busiestReplicationBytes() const { return busiestReplication_; }
  /** @return bytes of takeovers and snapshots. */
  uint64_t snapshotBytes() const { return snapshots_; }
  uint64_t loadBytes() const { return load_; }
  /** @return the maximum of the replication bytes that one node sent in any second. */
  uint64_t peakReplicationBytes() const { return peakReplication_; }

 private:
  struct Sender {
    uint64_t replicationInSecond = 0;
    uint64_t replicationTotal = 0;
    int64_t second = 0;
  };

  void countReplication(TimePoint now, Sender& sender, uint64_t bytes);

  std::map<uint32_t, Sender> senders_;
  uint64_t replication_ = 0;
  uint64_t acknowledgements_ = 0;
  uint64_t busiestReplication_ = 0;
  uint64_t snapshots_ = 0;
  uint64_t load_ = 0;
  uint64_t peakReplication_ = 0;
};

}  // namespace umberhold
