/**
 * @file The blocking half of a reader: election, list, watch and machine list against the store.
 *
 * It runs in a thread of its owner. What it reads goes to a ReaderSink as records; nodes that hold
 * no lease only look at the leases now and then.
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

/** Takes what a reader reads; called from the worker's thread. */
class ReaderSink {
 public:
  virtual ~ReaderSink() = default;
  /** @return this node's candidacy now; asked at least once a second while the node holds nothing.
   */
  virtual ReaderRanks ranks() = 0;
  /**
   * New records, in the order of the store.
   * @return whether they were taken over; if not, the worker lists the store again.
   */
  virtual bool onRecords(std::vector<ConfigRecord> records) = 0;
  /** A kind was listed whole; the records themselves came before. */
  virtual void onListed(ListSummary summary) = 0;
  virtual void onMachines(std::vector<Machine> machines) = 0;
  /** @return whether this node already takes packets; a list is then read at a gentle pace. */
  virtual bool isServing() { return true; }
};

/** How the worker paces itself. */
struct ReaderWorkerOptions {
  ReaderElectionOptions election;
  /** Objects of one list request; they bound the memory that a list takes. */
  size_t pageSize = 100;
  /** Time between two pages on a node that serves; the watch goes on meanwhile. */
  Duration pagePause = std::chrono::milliseconds(500);
  Duration maxWatchDuration = std::chrono::seconds(5);
  /** Whole list again, whatever the watch said. */
  Duration relistInterval = std::chrono::hours(6);
  Duration machineListInterval = std::chrono::seconds(30);
  /**
   * First interval between two readings of the machine list; it doubles up to machineListInterval. A
   * system that starts registers its machines while the first reader already reads them, and
   * regions without a contact wait for the next reading.
   */
  Duration initialMachineListInterval = std::chrono::seconds(1);
  /** Three readers in the whole system can't flood a store that comes back, so they may ask often.
   */
  BackOffOptions retry{std::chrono::milliseconds(200), std::chrono::seconds(1)};
  RetryBudgetOptions retryBudget{10, std::chrono::seconds(1)};
};

/** What a worker did so far. */
struct ReaderCounters {
  uint64_t lists = 0;
  uint64_t watches = 0;
  uint64_t records = 0;
  /** Objects of the store that have no valid specification; their last valid version stays in
   * force. */
  uint64_t unreadable = 0;
  uint64_t storeFailures = 0;
  uint64_t leasesTaken = 0;
  /** Slot held at the end of the last step. */
  std::optional<uint8_t> slot;
};

/** One node's reader. run() is for one thread; the other calls may come from any. */
class ReaderWorker {
 public:
  /** @param store and sink are borrowed and must outlive the worker. */
  ReaderWorker(ReaderWorkerOptions options, NodeId self, PlatformStore& store, ReaderSink& sink,
               uint64_t seed);
  ~ReaderWorker();
  ReaderWorker(const ReaderWorker&) = delete;
  ReaderWorker& operator=(const ReaderWorker&) = delete;

  /** Works until stop(); gives its lease up at the end. */
  void run();
  /** Ends run() after its current call to the store: at most the longest watch and a time limit. */
  void stop();
  ReaderCounters counters() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
