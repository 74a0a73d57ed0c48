/** @file What a running node is asked from outside, between two turns of its loop. */
#pragma once

#include <optional>

#include "common/base/result.h"
#include "common/settings/settings.h"

namespace umberhold {

/** Asked at every tick, on the loop thread; answers at once. */
class NodeSignals {
 public:
  virtual ~NodeSignals() = default;
  /** @return whether a planned stop was asked for; stays true from then on. */
  virtual bool stopAsked() = 0;
  /** @return the settings, read again, once for each time that a reload was asked for. */
  virtual std::optional<Result<NodeSettings, SettingsError>> reloadedSettings() = 0;
};

}  // namespace umberhold
