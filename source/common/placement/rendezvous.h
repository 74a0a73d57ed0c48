/**
 * @file Weighted rendezvous hashing (Thaler, Ravishankar: "Using name-based mappings to increase
 * hit rates"; weights after Schindelhauer, Schomaker: "Weighted distributed hash tables").
 *
 * A host's key for a flow is -log2(u) / weight, where u in (0, 1] comes from a hash of host and
 * flow; the smallest key wins. All arithmetic is on integers, with a table computed at compile
 * time, so that nodes with different C libraries or processors get identical results.
 */
#pragma once

#include <cstdint>
#include <span>

#include "common/base/strong_id.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

/** Position of a host in a flow's ranking; smaller is better. Hosts of weight 0 are not ranked. */
struct RendezvousKey {
  uint64_t score = 0;
  /** Breaks ties. */
  HostId host;

  bool operator==(const RendezvousKey&) const = default;
  bool operator<(const RendezvousKey& other) const {
    return score != other.score ? score < other.score : host.value < other.host.value;
  }
};

/** @return -log2(hash / 2^64) with 32 fractional bits. */
uint64_t negativeLog2(uint64_t hash);

/** @return the host's key for the flow; the weight must be above 0. */
RendezvousKey rendezvousKey(HostId host, uint8_t weight, FlowHash flow);

/** @return index of the best host of weight above 0, or hosts.size() if there is none. */
size_t bestHost(std::span<const BaseHost> hosts, FlowHash flow);

/** Iterates over the hosts of weight above 0 from best to worst. Each step scans all hosts; nothing
 * is allocated. */
class RendezvousWalk {
 public:
  /** The hosts are borrowed and must not change during the iteration. */
  RendezvousWalk(std::span<const BaseHost> hosts, FlowHash flow) : hosts_(hosts), flow_(flow) {}

  /** @return index of the next host, or hosts.size() at the end. */
  size_t next();

 private:
  std::span<const BaseHost> hosts_;
  FlowHash flow_;
  RendezvousKey last_;
  bool started_ = false;
};

}  // namespace umberhold
