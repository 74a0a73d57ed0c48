#include "common/flow/flow_director.h"

namespace umberhold {

std::string_view toString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoHost:
      return "no_host";
    case RefusalReason::kHostEnded:
      return "host_ended";
    case RefusalReason::kHostSilent:
      return "host_silent";
    case RefusalReason::kHostsBusy:
      return "hosts_busy";
    case RefusalReason::kUnknownService:
      return "unknown_service";
    case RefusalReason::kServiceRemoved:
      return "service_removed";
    case RefusalReason::kCount:
      break;
  }
  return "unknown";
}

std::string_view toString(HoldReason reason) {
  switch (reason) {
    case HoldReason::kTakeover:
      return "takeover";
    case HoldReason::kHostUnknown:
      return "host_unknown";
    case HoldReason::kHostsBusy:
      return "hosts_busy";
  }
  return "unknown";
}

}  // namespace umberhold
