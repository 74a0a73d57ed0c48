/** @file Passes what the reader reads to the loop. */
#include "common/server/store_worker.h"

#include <glog/logging.h>

#include <chrono>
#include <optional>
#include <random>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "common/platform/list_reconciliation.h"
#include "common/platform/reader_worker.h"
#include "common/platform/steady_now.h"
#include "common/server/member_snapshot.h"

namespace umberhold {
namespace {

/** Timeout of a call to the loop; after a timeout the worker lists the objects again. */
constexpr Duration kHandOverTimeout = std::chrono::seconds(5);

/** Maximum number of records passed in one call, so that the loop is not blocked for long. */
constexpr size_t kRecordsPerHandOver = 200;

/** Passes what was read to the core on the loop thread. */
class CoreSink : public ReaderSink {
 public:
  CoreSink(NodeId self, LoopMailbox& mailbox, NodeCore& core)
      : self_(self), mailbox_(mailbox), core_(core) {}

  ReaderRanks ranks() override {
    auto members =
        mailbox_.call<std::vector<Member>>(kHandOverTimeout, [this] { return core_.members(); });
    return isOk(members) ? readerRanks(MemberSnapshot(self_, std::move(valueOf(members))))
                         : ReaderRanks{};
  }

  bool onRecords(std::vector<ConfigRecord> records) override {
    for (size_t first = 0; first < records.size(); first += kRecordsPerHandOver) {
      const size_t last = std::min(records.size(), first + kRecordsPerHandOver);
      if (!handOver(
              {std::make_move_iterator(records.begin() + static_cast<std::ptrdiff_t>(first)),
               std::make_move_iterator(records.begin() + static_cast<std::ptrdiff_t>(last))})) {
        return false;
      }
    }
    return true;
  }

  void onListed(ListSummary summary) override {
    deleteUnlisted(summary);
    listed_.insert(summary.kind);
    LOG(INFO) << "event=store_listed kind=" << static_cast<int>(summary.kind)
              << " version=" << summary.version << " objects=" << summary.names.size();
    if (listed_.contains(ObjectKind::kService) && listed_.contains(ObjectKind::kPolicy)) {
      run([this] { core_.onStoreListed(steadyNow()); });
    }
  }

  /** A node that has not caught up yet reads the store's list without pacing. */
  bool isServing() override {
    const auto readiness =
        mailbox_.call<NodeReadiness>(kHandOverTimeout, [this] { return core_.readiness(); });
    return !isOk(readiness) || valueOf(readiness) == NodeReadiness::kReady;
  }

  void onMachines(std::vector<Machine> machines) override {
    run([this, machines = std::move(machines)] { core_.onMachineList(steadyNow(), machines); });
  }

 private:
  bool handOver(std::vector<ConfigRecord> records) {
    return run(
        [this, records = std::move(records)] { core_.onStoreRecords(steadyNow(), records); });
  }

  /** Runs the work on the loop and waits for it, so that a long list cannot fill the mailbox. */
  bool run(const std::function<void()>& work) {
    const auto done = mailbox_.call<Ok>(kHandOverTimeout, [work] {
      work();
      return Ok{};
    });
    LOG_IF(WARNING, !isOk(done)) << "event=reader_hand_over_failed";
    return isOk(done);
  }

  /** Creates a tombstone for every effective object that is missing from a complete list. */
  void deleteUnlisted(const ListSummary& summary) {
    std::optional<uint64_t> cursor = 0;
    while (cursor) {
      const auto page = mailbox_.call<RecordPage>(
          kHandOverTimeout, [this, at = *cursor] { return core_.records(at); });
      if (!isOk(page)) {
        return;
      }
      handOver(tombstonesFor(summary, valueOf(page).records));
      cursor = valueOf(page).next;
    }
  }

  static std::vector<ConfigRecord> tombstonesFor(const ListSummary& summary,
                                                 const std::vector<ConfigRecord>& records) {
    std::vector<ConfigRecord> tombstones;
    for (const ConfigRecord& record : records) {
      if (record.key.kind != summary.kind) {
        continue;
      }
      if (auto tombstone = tombstoneFor(summary, record.key.name, record.version)) {
        tombstones.push_back(std::move(*tombstone));
      }
    }
    return tombstones;
  }

  NodeId self_;
  LoopMailbox& mailbox_;
  NodeCore& core_;
  /** Kinds that have been listed completely. */
  std::set<ObjectKind> listed_;
};

}  // namespace

struct StoreWorker::Parts {
  Parts(NodeId self, PlatformStore& store, LoopMailbox& mailbox, NodeCore& core)
      : sink(self, mailbox, core),
        worker(ReaderWorkerOptions{}, self, store, sink, std::random_device{}()) {}

  CoreSink sink;
  ReaderWorker worker;
  std::thread thread;
};

StoreWorker::StoreWorker(NodeId self, PlatformStore& store, LoopMailbox& mailbox, NodeCore& core)
    : parts_(std::make_unique<Parts>(self, store, mailbox, core)) {
  parts_->thread = std::thread([parts = parts_.get()] { parts->worker.run(); });
}

StoreWorker::~StoreWorker() {
  stop();
  parts_->thread.join();
}

void StoreWorker::stop() {
  parts_->worker.stop();
}

}  // namespace umberhold
