/** @file Measures the cost of fetching all records at a node's start, and of storing them. */
#pragma once

#include <cstddef>
#include <cstdint>

namespace umberhold {

/** Result of the start of one node. */
struct TransferReport {
  /** Heap size of one record store with all records. */
  size_t storeBytes = 0;
  /** Time from the start until the node has caught up, see ConfigSpread::caughtUp(). */
  double caughtUpSeconds = 0;
  /** Bytes on the wire to and from the starting node, including lost datagrams. */
  uint64_t receivedBytes = 0;
  uint64_t sentBytes = 0;
  /** Bytes on the wire sent by the peer that sent most. */
  uint64_t maxPeerSentBytes = 0;
};

/**
 * Starts one node in a region of `peers` running nodes that have all records.
 * @param recordBytes payload of one record.
 * @param loss fraction of datagrams that are lost.
 */
TransferReport measureTransfer(uint32_t peers, uint32_t records, size_t recordBytes, double loss);

/** Result of the simultaneous restart of many nodes. */
struct RestartReport {
  /** Time from the first start until half, and all, of the returning nodes have caught up. */
  double halfSeconds = 0;
  double allSeconds = 0;
  /** Number of nodes that did not catch up within the timeout of 300 s. */
  uint32_t late = 0;
  /** Maximum over all 10 s windows and nodes of bytes sent per second: by nodes that were running
   * before, and by returning nodes outside their first 30 s. */
  double maxRunningRate = 0;
  double maxReturningRate = 0;
  /** Mean and maximum of the same for returning nodes within their first 30 s. */
  double meanStartingRate = 0;
  double maxStartingRate = 0;
};

/**
 * Starts `returning` nodes within 5 s in a region of `running` nodes that have all records.
 * @param recordBytes payload of one record.
 */
RestartReport measureSimultaneousRestart(uint32_t running, uint32_t returning, uint32_t records,
                                         size_t recordBytes);

}  // namespace umberhold
