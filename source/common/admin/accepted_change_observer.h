/** @file Observer of changes that are confirmed to be in the store. */
#pragma once

#include "common/platform/platform_store.h"

namespace umberhold {

/** Receives accepted changes. The calls may come from any thread, and more than once per change. */
class AcceptedChangeObserver {
 public:
  virtual ~AcceptedChangeObserver() = default;
  /** @param object its state in the store at its version; later changes may exist already. */
  virtual void onChangeAccepted(const StoredObject& object) = 0;
};

}  // namespace umberhold
