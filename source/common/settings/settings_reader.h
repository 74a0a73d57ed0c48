/** @file Reads one option's value from a TOML node. Slow to compile; include only in .cc files of
 * this folder. */
#pragma once

#include <toml++/toml.h>
#include <optional>

#include "common/settings/settings.h"
#include "common/settings/settings_options.h"

namespace umberhold::settings_internal {

/** @return an error for the option with the line of the node. */
SettingsError errorAt(SettingsErrorCode code, std::string_view key, const toml::node& node,
                      std::string detail);

/** Sets the option's member from the node. @return the error, if any. */
std::optional<SettingsError> readOption(const OptionSpec& option, const toml::node& node,
                                        NodeSettings& settings);

}  // namespace umberhold::settings_internal
