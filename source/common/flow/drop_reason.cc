#include "common/flow/drop_reason.h"

namespace umberhold {

std::string_view toString(DropReason reason) {
  switch (reason) {
    case DropReason::kTruncated:
      return "truncated";
    case DropReason::kMalformed:
      return "malformed";
    case DropReason::kNotIpv4:
      return "not_ipv4";
    case DropReason::kFragment:
      return "fragment";
    case DropReason::kUnsupportedProtocol:
      return "unsupported_protocol";
    case DropReason::kUnknownService:
      return "unknown_service";
    case DropReason::kWrongRegion:
      return "wrong_region";
    case DropReason::kNotReady:
      return "not_ready";
    case DropReason::kNoOwner:
      return "no_owner";
    case DropReason::kRelayLoop:
      return "relay_loop";
    case DropReason::kNoHost:
      return "no_host";
    case DropReason::kHostGone:
      return "host_gone";
    case DropReason::kHoldQueueFull:
      return "hold_queue_full";
    case DropReason::kFloodLimited:
      return "flood_limited";
    case DropReason::kFlowTableFull:
      return "flow_table_full";
    case DropReason::kRefusedBefore:
      return "refused_before";
    case DropReason::kCount:
      break;
  }
  return "unknown";
}

}  // namespace umberhold
