/**
 * @file The blocking part of a reader: election, list, watch and machine list against the store.
 *
 * It runs in a thread of its owner. The objects that it reads are passed to a ReaderSink as
 * records. Nodes without a lease only poll the leases occasionally.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "common/config/record.h"
#include "common/platform/list_reconciliation.h"
#include "common/platform/platform_store.h"
#include "common/platform/reader_candidacy.h"
#include "common/platform/reader_election.h"

namespace umberhold {

/** Receives the objects that a reader reads; called from the worker's thread. */
class ReaderSink {
 public:
  virtual ~ReaderSink() = default;
  /**
   * @return this node's current candidacy; called at least once a second while the node holds no
   * lease.
   */
  virtual ReaderRanks ranks() = 0;
  /**
   * Receives new records, in the order of the store.
   * @return whether the records were accepted; if not, the worker lists the store again.
   */
  virtual bool onRecords(std::vector<ConfigRecord> records) = 0;
  /** Receives the summary of a complete list of one kind, after its records. */
  virtual void onListed(ListSummary summary) = 0;
  virtual void onMachines(std::vector<Machine> machines) = 0;
  /** @return whether this node already processes packets; if so, a list is read at a low rate. */
  virtual bool isServing() { return true; }
};

/** Timing and sizes of the worker. */
struct ReaderWorkerOptions {
  ReaderElectionOptions election;
  /** Objects per list request; bounds the memory used by a list. */
  size_t pageSize = 100;
  /** Time between two pages on a node that is serving; the watch continues in between. */
  Duration pagePause = std::chrono::milliseconds(500);
  Duration maxWatchDuration = std::chrono::seconds(5);
  /** Interval between complete lists, regardless of the watch. */
  Duration relistInterval = std::chrono::hours(6);
  Duration machineListInterval = std::chrono::seconds(30);
  /**
   * Initial interval between two reads of the machine list; doubles up to machineListInterval. In a
   * system that starts, machines register while the first reader already reads the list, and
   * regions without a contact wait for the next read.
   */
  Duration initialMachineListInterval = std::chrono::seconds(1);
  /**
   * The maximum delay is short: three readers in the whole system cannot overload a recovering
   * store.
   */
  BackOffOptions retry{std::chrono::milliseconds(200), std::chrono::seconds(1)};
  RetryBudgetOptions retryBudget{10, std::chrono::seconds(1)};
};

/** Counters of a worker. */
struct ReaderCounters {
  uint64_t lists = 0;
  uint64_t watches = 0;
  uint64_t records = 0;
  /** Objects without a valid specification; their last valid version stays in effect. */
  uint64_t unreadable = 0;
  uint64_t storeFailures = 0;
  uint64_t leasesTaken = 0;
  /** Slot whose lease the worker held after its last step. */
  std::optional<uint8_t> slot;
};

/**
 * One node's reader. run() must be called by one thread; the other functions may be called from any
 * thread.
 */
class ReaderWorker {
 public:
  /** @param store and sink are borrowed and must outlive the worker. */
  ReaderWorker(ReaderWorkerOptions options, NodeId self, PlatformStore& store, ReaderSink& sink,
               uint64_t seed);
  ~ReaderWorker();
  ReaderWorker(const ReaderWorker&) = delete;
  ReaderWorker& operator=(const ReaderWorker&) = delete;

  /** Runs until stop(); releases the lease at the end. */
  void run();
  /**
   * Ends run() after its current call to the store: after at most the longest watch plus a call
   * timeout.
   */
  void stop();
  ReaderCounters counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umberhold
