#include "test/soak/world/sabotage.h"

namespace umberhold::soak {

std::string_view toString(Sabotage kind) {
  switch (kind) {
    case Sabotage::kNone:
      return "none";
    case Sabotage::kWrongService:
      return "wrong_service";
    case Sabotage::kRunsTwice:
      return "runs_twice";
    case Sabotage::kChangesPackets:
      return "changes_packets";
    case Sabotage::kChangesAnswers:
      return "changes_answers";
    case Sabotage::kFillsLeavingHosts:
      return "fills_leaving_hosts";
    case Sabotage::kOldConfiguration:
      return "old_configuration";
    case Sabotage::kResetsFlows:
      return "resets_flows";
    case Sabotage::kNeverRecovers:
      return "never_recovers";
    case Sabotage::kIgnoresRoom:
      return "ignores_room";
    case Sabotage::kCount:
      break;
  }
  return "unknown";
}

std::optional<Sabotage> sabotageNamed(std::string_view name) {
  for (uint8_t index = 0; index < static_cast<uint8_t>(Sabotage::kCount); ++index) {
    if (toString(static_cast<Sabotage>(index)) == name) {
      return static_cast<Sabotage>(index);
    }
  }
  return std::nullopt;
}

}  // namespace umberhold::soak
