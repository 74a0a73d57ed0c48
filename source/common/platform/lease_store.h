/** @file Executes the reader election's actions against the store. */
#pragma once

#include "common/platform/platform_store.h"
#include "common/platform/reader_election.h"

namespace umberhold {

/** Executes one action at a time and reports its result to the election. Blocks. */
class LeaseStore {
 public:
  /** Both arguments are borrowed. */
  LeaseStore(PlatformStore& store, ReaderElection& election) : store_(store), election_(election) {}

  /** Executes a read or a write; does nothing for a wait. */
  void run(const ElectionAction& action);

 private:
  void read(uint8_t slot);
  void write(const WriteLease& write);

  PlatformStore& store_;
  ReaderElection& election_;
};

}  // namespace umberhold
