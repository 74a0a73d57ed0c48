/** @file State of a flow, derived from the caller's packets only (direct server return: answers
 * bypass the node).
 */
#pragma once

#include <cstddef>
#include <cstdint>

#include "common/flow/flow_key.h"

namespace umberhold {

/** State of a flow; see nextState for the transitions. */
enum class FlowState : uint8_t {
  /** Only TCP SYNs were seen. */
  kOpening = 0,
  /** Only one UDP datagram was seen, recently. */
  kFirstDatagram = 1,
  /** Only one UDP datagram was seen, some time ago; no longer counts against the limit of its
   * source. */
  kLoneDatagram = 2,
  kEstablished = 3,
  /** The caller has sent FIN; the answer may still be in transit. */
  kClosing = 4,
  /** The caller has sent RST. */
  kReset = 5,
};

/** Number of values of FlowState. */
inline constexpr size_t kFlowStates = 6;

/** @return whether the flow is not yet established and counts against the limit of its source. */
bool isUnestablished(FlowState state);
/** @return whether the flow is neither closing nor reset. */
bool isOpen(FlowState state);
/**
 * @return eviction rank of a flow in a full table: the highest is evicted first, and 0 never. A
 * closing flow that is still active (a long answer to a caller that has closed its side) ranks the
 * same as an unestablished one. Among equal ranks, the flow that has been idle for longest is
 * evicted first.
 */
int evictionRank(FlowState state, uint32_t idleSeconds);
/** @return the state of a flow after its first packet. */
FlowState firstState(PacketPhase phase);
/** @return the state after another packet. @param idleSeconds time since the previous packet. */
FlowState nextState(FlowState state, PacketPhase phase, uint32_t idleSeconds);

}  // namespace umberhold
