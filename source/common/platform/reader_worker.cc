#include "common/platform/reader_worker.h"

#include <glog/logging.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <utility>

#include "common/platform/lease_store.h"
#include "common/platform/steady_now.h"
#include "common/platform/store_lister.h"
#include "common/platform/stored_object_record.h"

namespace umberhold {
namespace {

/** Interval at which a node without a lease queries its ranks. */
constexpr Duration kRanksInterval = std::chrono::seconds(1);
/** Minimum interval between lists that are restarted because the store's history is too short. */
constexpr Duration kMinRestartInterval = std::chrono::seconds(1);
/** Minimum duration of a watch; a shorter one is not worth a request. */
constexpr Duration kMinWatchDuration = std::chrono::milliseconds(10);

}  // namespace

struct ReaderWorker::Impl {
  Impl(ReaderWorkerOptions given, NodeId node, PlatformStore& platform, ReaderSink& receiver,
       uint64_t seed)
      : options(given),
        store(platform),
        sink(receiver),
        random(seed),
        election(given.election, node, random),
        leases(platform, election),
        backOff(given.retry, random),
        budget(given.retryBudget) {}

  bool isStopping() {
    const std::lock_guard lock(mutex);
    return stopping;
  }

  /** Sleeps until the given time or until stop(). */
  void sleepUntil(TimePoint until) {
    std::unique_lock lock(mutex);
    stopCondition.wait_for(lock, until - steadyNow(), [this] { return stopping; });
  }

  void count(uint64_t ReaderCounters::*counter, uint64_t amount = 1) {
    const std::lock_guard lock(mutex);
    counters.*counter += amount;
  }

  /** Executes the election's next action, or reads the store until that action is due. */
  void runStep() {
    const auto before = election.heldSlot(steadyNow());
    election.setRanks(sink.ranks(), steadyNow());
    const ElectionAction action = election.next(steadyNow());
    const auto* wait = std::get_if<WaitUntil>(&action);
    if (wait == nullptr) {
      leases.run(action);
    } else if (election.heldSlot(steadyNow())) {
      read(wait->at);
    } else {
      sleepUntil(std::min(wait->at, steadyNow() + kRanksInterval));
    }
    recordSlot(before);
  }

  void recordSlot(std::optional<uint8_t> before) {
    const auto after = election.heldSlot(steadyNow());
    if (after && !before) {
      LOG(INFO) << "event=reader_lease_taken slot=" << int{*after};
      count(&ReaderCounters::leasesTaken);
      recordSuccess();  // The store answers again.
    } else if (before && !after) {
      LOG(INFO) << "event=reader_lease_ended slot=" << int{*before};
    }
    const std::lock_guard lock(mutex);
    counters.slot = after;
  }

  /** Makes one call to the store, which ends before the election's next action is due. */
  void read(TimePoint until) {
    if (steadyNow() < retryAt) {
      sleepUntil(std::min(until, retryAt));
      return;
    }
    if (mustRestartWatch && steadyNow() < nextPageAt) {
      sleepUntil(std::min(until, nextPageAt));
    } else if (steadyNow() >= nextPageAt && (lister || steadyNow() >= nextListAt)) {
      listPage();
    } else if (steadyNow() >= nextMachineListAt) {
      readMachines();
    } else {
      const TimePoint next = std::min(until, nextMachineListAt);
      watch((lister ? std::min(next, nextPageAt) : next) - steadyNow());
    }
  }

  /**
   * Reads the next page of the list. The watch starts with the first page, so that changes are not
   * delayed by a long list.
   */
  void listPage() {
    if (!lister) {
      lister.emplace(store, options.pageSize);
    }
    auto step = lister->step();
    if (!isOk(step)) {
      recordFailure(errorOf(step));
      return;
    }
    recordSuccess();
    if (mustRestartWatch) {
      watchedVersion = lister->watchStartVersion();
      mustRestartWatch = false;
    }
    nextPageAt = sink.isServing() ? steadyNow() + options.pagePause : steadyNow();
    if (!deliver(valueOf(step).objects)) {
      restartList();
      return;
    }
    if (valueOf(step).complete) {
      sink.onListed(std::move(*valueOf(step).complete));
    }
    if (lister->isComplete()) {
      lister.reset();
      nextListAt = steadyNow() + options.relistInterval;
      count(&ReaderCounters::lists);
    }
  }

  void readMachines() {
    auto machines = store.machines();
    if (!isOk(machines)) {
      recordFailure(errorOf(machines));
      return;
    }
    recordSuccess();
    nextMachineListAt = steadyNow() + currentMachineListInterval;
    currentMachineListInterval =
        std::min(2 * currentMachineListInterval, options.machineListInterval);
    sink.onMachines(std::move(valueOf(machines)));
  }

  void watch(Duration maxDuration) {
    if (maxDuration < kMinWatchDuration) {
      sleepUntil(steadyNow() + maxDuration);
      return;
    }
    auto batch = store.watch(watchedVersion, std::min(maxDuration, options.maxWatchDuration));
    if (!isOk(batch)) {
      if (errorOf(batch).code == StoreErrorCode::kTooOld) {
        restartList();
        return;
      }
      recordFailure(errorOf(batch));
      return;
    }
    recordSuccess();
    count(&ReaderCounters::watches);
    if (deliver(valueOf(batch).events)) {
      watchedVersion = valueOf(batch).version;
    } else {
      restartList();
    }
  }

  /**
   * Restarts the list: the part read so far may have missed events that are no longer available.
   */
  void restartList() {
    lister.reset();
    mustRestartWatch = true;
    nextListAt = TimePoint{};
    nextPageAt = std::max(steadyNow(), restartedAt + kMinRestartInterval);
    restartedAt = nextPageAt;
  }

  /** @return whether the sink accepted the records. */
  bool deliver(const std::vector<StoredObject>& objects) {
    std::vector<ConfigRecord> records;
    for (const StoredObject& object : objects) {
      auto record = toConfigRecord(object);
      if (isOk(record)) {
        records.push_back(std::move(valueOf(record)));
        continue;
      }
      count(&ReaderCounters::unreadable);
      LOG(WARNING) << "event=object_unreadable collection=" << toString(object.collection)
                   << " name=\"" << object.name << "\" version=" << object.version;
    }
    count(&ReaderCounters::records, records.size());
    return records.empty() || sink.onRecords(std::move(records));
  }

  void recordSuccess() {
    backOff.reset();
    retryAt = TimePoint{};
  }

  void recordFailure(const StoreError& error) {
    count(&ReaderCounters::storeFailures);
    retryAt = steadyNow() + backOff.next(error.retryAfter);
    if (!budget.tryTake(retryAt)) {
      retryAt += budget.waitTime(retryAt);
      budget.tryTake(retryAt);
    }
    LOG(WARNING) << "event=store_call_failed code=" << static_cast<int>(error.code)
                 << " retry_in_us=" << (retryAt - steadyNow()).count() << " detail=\""
                 << error.detail << "\"";
  }

  /** Releases the lease with a single attempt, because it also expires by itself. */
  void resign() {
    election.resign();
    const ElectionAction action = election.next(steadyNow());
    if (!election.hasResigned()) {
      leases.run(action);
    }
  }

  const ReaderWorkerOptions options;
  PlatformStore& store;
  ReaderSink& sink;
  RandomSource random;
  ReaderElection election;
  LeaseStore leases;
  BackOff backOff;
  RetryBudget budget;

  std::optional<StoreLister> lister;
  uint64_t watchedVersion = 0;
  /**
   * No watch can continue from watchedVersion: the next list supplies the version to start from.
   */
  bool mustRestartWatch = true;
  TimePoint nextPageAt;
  TimePoint restartedAt;
  TimePoint nextListAt;
  TimePoint nextMachineListAt;
  /** Doubles after each read of the machine list. */
  Duration currentMachineListInterval = options.initialMachineListInterval;
  TimePoint retryAt;

  mutable std::mutex mutex;
  std::condition_variable stopCondition;
  bool stopping = false;
  ReaderCounters counters;
};

ReaderWorker::ReaderWorker(ReaderWorkerOptions options, NodeId self, PlatformStore& store,
                           ReaderSink& sink, uint64_t seed)
    : impl_(std::make_unique<Impl>(options, self, store, sink, seed)) {}

ReaderWorker::~ReaderWorker() = default;

void ReaderWorker::run() {
  while (!impl_->isStopping()) {
    impl_->runStep();
  }
  impl_->resign();
}

void ReaderWorker::stop() {
  const std::lock_guard lock(impl_->mutex);
  impl_->stopping = true;
  impl_->stopCondition.notify_all();
}

ReaderCounters ReaderWorker::counters() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->counters;
}

}  // namespace umberhold
