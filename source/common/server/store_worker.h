/** @file The thread that takes part in the election of store readers and, when elected, reads the
 * store. */
#pragma once

#include <memory>

#include "common/base/strong_id.h"
#include "common/node/node_core.h"
#include "common/platform/platform_store.h"
#include "common/server/loop_mailbox.h"

namespace umberhold {

/** Owns the reader thread, which passes the records it reads to the core through the mailbox. */
class StoreWorker {
 public:
  /** The references are borrowed and must outlive the worker. */
  StoreWorker(NodeId self, PlatformStore& store, LoopMailbox& mailbox, NodeCore& core);
  /** Waits for the reader's call to the store in progress. */
  ~StoreWorker();
  StoreWorker(const StoreWorker&) = delete;
  StoreWorker& operator=(const StoreWorker&) = delete;

  /** Makes the reader release its lease and end; does not wait for it. */
  void stop();

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
