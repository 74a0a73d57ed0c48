/** @file Who wants to know of changes that are definitely in the store. */
#pragma once

#include "common/platform/platform_store.h"

namespace umberhold {

/** Is notified of accepted changes, from any thread and possibly more than once. */
class AcceptedChangeObserver {
 public:
  virtual ~AcceptedChangeObserver() = default;
  /** @param object as it is in the store at its version; other changes may have followed. */
  virtual void onChangeAccepted(const StoredObject& object) = 0;
};

}  // namespace umberhold
