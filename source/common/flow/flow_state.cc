#include "common/flow/flow_state.h"

namespace umberhold {
namespace {

/** Packets reordered behind a RST arrive within this time; a later packet shows that the RST was
 * forged. */
constexpr uint32_t kReorderSeconds = 2;
/** A closing flow without a packet for this long has most likely ended. */
constexpr uint32_t kIdleClosingSeconds = 10;

}  // namespace

bool isUnestablished(FlowState state) {
  return state == FlowState::kOpening || state == FlowState::kFirstDatagram;
}

bool isOpen(FlowState state) {
  return state != FlowState::kClosing && state != FlowState::kReset;
}

int evictionRank(FlowState state, uint32_t idleSeconds) {
  switch (state) {
    case FlowState::kReset:
      return 3;
    case FlowState::kClosing:
      return idleSeconds >= kIdleClosingSeconds ? 2 : 1;
    case FlowState::kOpening:
    case FlowState::kFirstDatagram:
    case FlowState::kLoneDatagram:
      return 1;
    case FlowState::kEstablished:
      break;
  }
  return 0;
}

FlowState firstState(PacketPhase phase) {
  switch (phase) {
    case PacketPhase::kOpening:
      return FlowState::kOpening;
    case PacketPhase::kUnmarked:
      return FlowState::kFirstDatagram;
    case PacketPhase::kClosing:
      return FlowState::kClosing;
    case PacketPhase::kReset:
      return FlowState::kReset;
    case PacketPhase::kContinuing:
      break;
  }
  return FlowState::kEstablished;
}

FlowState nextState(FlowState state, PacketPhase phase, uint32_t idleSeconds) {
  switch (phase) {
    case PacketPhase::kOpening:
      // A SYN on a closing or reset flow is a caller that reuses its port; a stray SYN doesn't
      // change an established flow.
      return isOpen(state) ? state : FlowState::kOpening;
    case PacketPhase::kContinuing:
      if (state == FlowState::kClosing ||
          (state == FlowState::kReset && idleSeconds < kReorderSeconds)) {
        return state;
      }
      return FlowState::kEstablished;
    case PacketPhase::kClosing:
      return state == FlowState::kReset ? state : FlowState::kClosing;
    case PacketPhase::kReset:
      return FlowState::kReset;
    case PacketPhase::kUnmarked:
      break;
  }
  return FlowState::kEstablished;
}

}  // namespace umberhold
