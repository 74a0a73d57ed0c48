/** @file Passes accepted changes from the admin API's threads to the core. */
#pragma once

#include "common/admin/accepted_change_observer.h"
#include "common/node/node_core.h"
#include "common/server/loop_mailbox.h"

namespace umberhold {

/** Passes each accepted change to the core, so that it is disseminated without waiting for a store
 * reader. */
class ChangeAnnouncer : public AcceptedChangeObserver {
 public:
  /** Both arguments are borrowed. */
  ChangeAnnouncer(LoopMailbox& mailbox, NodeCore& core) : mailbox_(mailbox), core_(core) {}

  void onChangeAccepted(const StoredObject& object) override;

 private:
  LoopMailbox& mailbox_;
  NodeCore& core_;
};

}  // namespace umberhold
