/** @file Reads one option's value from a TOML node. Slow header: for .cc files of config/ only. */
#pragma once

#include <toml++/toml.h>
#include <optional>

#include "common/settings/settings.h"
#include "common/settings/settings_options.h"

namespace umberhold::settings_internal {

/** @return the error of an option at a node. */
SettingsError errorAt(SettingsErrorCode code, std::string_view key, const toml::node& node,
                      std::string detail);

/** Fills the option's member from the node; @return the fault, if there is one. */
std::optional<SettingsError> readOption(const OptionSpec& option, const toml::node& node,
                                        NodeSettings& settings);

}  // namespace umberhold::settings_internal
