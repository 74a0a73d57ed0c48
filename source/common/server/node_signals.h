/** @file Requests to a running node from outside, polled by its loop. */
#pragma once

#include <optional>

#include "common/base/result.h"
#include "common/settings/settings.h"

namespace umberhold {

/** Polled at every tick on the loop thread; the functions must not block. */
class NodeSignals {
 public:
  virtual ~NodeSignals() = default;
  /** @return whether a planned stop was requested; stays true from then on. */
  virtual bool stopRequested() = 0;
  /** @return the settings, read again, once per reload request; otherwise nothing. */
  virtual std::optional<Result<NodeSettings, SettingsError>> reloadedSettings() = 0;
};

}  // namespace umberhold
