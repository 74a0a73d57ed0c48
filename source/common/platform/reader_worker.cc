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

/** How often a node without a lease asks for its ranks. */
constexpr Duration kRanksEvery = std::chrono::seconds(1);
/** A store whose history is too short for its changes is not listed more often than this. */
constexpr Duration kRestartEvery = std::chrono::seconds(1);
/** A watch shorter than this isn't worth its request. */
constexpr Duration kShortestWatch = std::chrono::milliseconds(10);

}  // namespace

struct ReaderWorker::Parts {
  Parts(ReaderWorkerOptions given, NodeId node, PlatformStore& platform, ReaderSink& receiver,
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

  /** Sleeps until then or until stop(). */
  void sleepUntil(TimePoint until) {
    std::unique_lock lock(mutex);
    wake.wait_for(lock, until - steadyNow(), [this] { return stopping; });
  }

  void count(uint64_t ReaderCounters::*counter, uint64_t amount = 1) {
    const std::lock_guard lock(mutex);
    counters.*counter += amount;
  }

  /** One turn: the election's next action, or reading until it is due. */
  void turn() {
    const auto before = election.heldSlot(steadyNow());
    election.setRanks(sink.ranks(), steadyNow());
    const ElectionAction action = election.next(steadyNow());
    const auto* wait = std::get_if<WaitUntil>(&action);
    if (wait == nullptr) {
      leases.run(action);
    } else if (election.heldSlot(steadyNow())) {
      read(wait->at);
    } else {
      sleepUntil(std::min(wait->at, steadyNow() + kRanksEvery));
    }
    noteSlot(before);
  }

  void noteSlot(std::optional<uint8_t> before) {
    const auto after = election.heldSlot(steadyNow());
    if (after && !before) {
      LOG(INFO) << "event=reader_lease_taken slot=" << int{*after};
      count(&ReaderCounters::leasesTaken);
      succeed();  // The store answers again.
    } else if (before && !after) {
      LOG(INFO) << "event=reader_lease_ended slot=" << int{*before};
    }
    const std::lock_guard lock(mutex);
    counters.slot = after;
  }

  /** One call to the store; it ends before the election's next action is due. */
  void read(TimePoint until) {
    if (steadyNow() < retryAt) {
      sleepUntil(std::min(until, retryAt));
      return;
    }
    if (mustRestartWatch && steadyNow() < nextPageAt) {
      sleepUntil(std::min(until, nextPageAt));
    } else if (steadyNow() >= nextPageAt && (lister || steadyNow() >= relistAt)) {
      listPage();
    } else if (steadyNow() >= machinesAt) {
      readMachines();
    } else {
      const TimePoint next = std::min(until, machinesAt);
      watch((lister ? std::min(next, nextPageAt) : next) - steadyNow());
    }
  }

  /** The watch starts with the first page, so that news doesn't wait for a long list. */
  void listPage() {
    if (!lister) {
      lister.emplace(store, options.pageSize);
    }
    auto step = lister->step();
    if (!isOk(step)) {
      fail(errorOf(step));
      return;
    }
    succeed();
    if (mustRestartWatch) {
      watchedVersion = lister->watchStartVersion();
      mustRestartWatch = false;
    }
    nextPageAt = sink.isServing() ? steadyNow() + options.pagePause : steadyNow();
    if (!deliver(valueOf(step).objects)) {
      startListAnew();
      return;
    }
    if (valueOf(step).complete) {
      sink.onListed(std::move(*valueOf(step).complete));
    }
    if (lister->isComplete()) {
      lister.reset();
      relistAt = steadyNow() + options.relistInterval;
      count(&ReaderCounters::lists);
    }
  }

  void readMachines() {
    auto machines = store.machines();
    if (!isOk(machines)) {
      fail(errorOf(machines));
      return;
    }
    succeed();
    machinesAt = steadyNow() + machinesInterval;
    machinesInterval = std::min(2 * machinesInterval, options.machineListInterval);
    sink.onMachines(std::move(valueOf(machines)));
  }

  void watch(Duration longest) {
    if (longest < kShortestWatch) {
      sleepUntil(steadyNow() + longest);
      return;
    }
    auto batch = store.watch(watchedVersion, std::min(longest, options.maxWatchDuration));
    if (!isOk(batch)) {
      if (errorOf(batch).code == StoreErrorCode::kTooOld) {
        startListAnew();
        return;
      }
      fail(errorOf(batch));
      return;
    }
    succeed();
    count(&ReaderCounters::watches);
    if (deliver(valueOf(batch).events)) {
      watchedVersion = valueOf(batch).version;
    } else {
      startListAnew();
    }
  }

  /** What a list under way has found so far may lack events that are gone: begin again. */
  void startListAnew() {
    lister.reset();
    mustRestartWatch = true;
    relistAt = TimePoint{};
    nextPageAt = std::max(steadyNow(), restartedAt + kRestartEvery);
    restartedAt = nextPageAt;
  }

  /** @return whether the sink took the records over. */
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

  void succeed() {
    backOff.reset();
    retryAt = TimePoint{};
  }

  void fail(const StoreError& error) {
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

  /** Gives the lease up: one try, because it runs out by itself. */
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
  /** No watch can go on from watchedVersion: the next list gives the version to start from. */
  bool mustRestartWatch = true;
  TimePoint nextPageAt;
  TimePoint restartedAt;
  TimePoint relistAt;
  TimePoint machinesAt;
  /** Doubles from the first reading of the machine list on. */
  Duration machinesInterval = options.initialMachineListInterval;
  TimePoint retryAt;

  mutable std::mutex mutex;
  std::condition_variable wake;
  bool stopping = false;
  ReaderCounters counters;
};

ReaderWorker::ReaderWorker(ReaderWorkerOptions options, NodeId self, PlatformStore& store,
                           ReaderSink& sink, uint64_t seed)
    : parts_(std::make_unique<Parts>(options, self, store, sink, seed)) {}

ReaderWorker::~ReaderWorker() = default;

void ReaderWorker::run() {
  while (!parts_->isStopping()) {
    parts_->turn();
  }
  parts_->resign();
}

void ReaderWorker::stop() {
  const std::lock_guard lock(parts_->mutex);
  parts_->stopping = true;
  parts_->wake.notify_all();
}

ReaderCounters ReaderWorker::counters() const {
  const std::lock_guard lock(parts_->mutex);
  return parts_->counters;
}

}  // namespace umberhold
