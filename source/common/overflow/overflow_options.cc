#include "common/overflow/overflow_options.h"

#include <array>

namespace umberhold {
namespace {

constexpr std::array kModes = {OverflowMode::kOff, OverflowMode::kByRoom,
                               OverflowMode::kRepeatable};

}  // namespace

std::string_view toString(OverflowMode mode) {
  switch (mode) {
    case OverflowMode::kByRoom:
      return "by_room";
    case OverflowMode::kRepeatable:
      return "repeatable";
    case OverflowMode::kOff:
      break;
  }
  return "off";
}

std::optional<OverflowMode> parseOverflowMode(std::string_view name) {
  for (const OverflowMode mode : kModes) {
    if (toString(mode) == name) {
      return mode;
    }
  }
  return std::nullopt;
}

}  // namespace umberhold
