/**
 * @file The reader against the platform stand-in: election, list, watch, lost history, outage,
 * stop.
 */
#include "common/platform/reader_worker.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "common/platform/http_platform_store.h"
#include "standins/platform/platform_server.h"
#include "standins/platform/platform_state.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;
using namespace umberhold::standins;
using namespace std::chrono_literals;

namespace {

/** Keeps the newest record of each key, as a node's record store does. */
class CollectingSink : public ReaderSink {
 public:
  ReaderRanks ranks() override { return {0, 0, 0}; }
  bool onRecords(std::vector<ConfigRecord> records) override {
    const std::lock_guard lock(mutex_);
    if (rejections > 0) {
      --rejections;
      return false;
    }
    for (ConfigRecord& record : records) {
      ConfigRecord& known = records_[record.key];
      if (record.version > known.version) {
        known = std::move(record);
      }
    }
    return true;
  }
  void onListed(ListSummary summary) override {
    const std::lock_guard lock(mutex_);
    for (auto& [key, record] : records_) {
      if (key.kind != summary.kind || record.deleted) {
        continue;
      }
      if (const auto tombstone = tombstoneFor(summary, key.name, record.version)) {
        record = *tombstone;
      }
    }
  }
  bool isServing() override { return servesPackets; }
  void onMachines(std::vector<Machine> machines) override {
    const std::lock_guard lock(mutex_);
    machines_ = std::move(machines);
  }

  ConfigRecord find(const std::string& name) {
    const std::lock_guard lock(mutex_);
    return records_[RecordKey{ObjectKind::kService, name}];
  }
  size_t machineCount() {
    const std::lock_guard lock(mutex_);
    return machines_.size();
  }

  std::atomic<bool> servesPackets = false;
  /** Number of deliveries still to be rejected. */
  std::atomic<int> rejections = 0;

 private:
  std::mutex mutex_;
  std::map<RecordKey, ConfigRecord> records_;
  std::vector<Machine> machines_;
};

ReaderWorkerOptions shortIntervalOptions() {
  ReaderWorkerOptions options;
  options.election.leaseTime = 2s;
  options.election.takeoverMargin = 200ms;
  options.election.renewInterval = 300ms;
  options.election.minPollInterval = 50ms;
  options.election.maxPollInterval = 100ms;
  options.election.renewRetry = {50ms, 100ms};
  options.pageSize = 2;
  options.pagePause = 1h;
  options.machineListInterval = 50ms;
  options.retry = {10ms, 50ms};
  options.retryBudget = {100, 10ms};
  return options;
}

/** A node's reader in a dedicated thread. */
struct RunningReader {
  RunningReader(uint32_t id, const Endpoint& platform, bool servesPackets = false)
      : store(platform), worker(shortIntervalOptions(), NodeId{id}, store, sink, id) {
    sink.servesPackets = servesPackets;
    thread = std::thread([this] { worker.run(); });
  }
  ~RunningReader() { stop(); }
  void stop() {
    worker.stop();
    if (thread.joinable()) {
      thread.join();
    }
  }
  HttpPlatformStore store;
  CollectingSink sink;
  ReaderWorker worker;
  std::thread thread;
};

/** Waits for the condition, with a timeout that only a reader without progress exceeds. */
void waitFor(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + 30s;
  while (!condition() && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(5ms);
  }
  CHECK_TRUE(condition());
}

std::string specification(int port) {
  return R"({"region":"addis","address":"10.9.0.1","protocol":"tcp","port":)" +
         std::to_string(port) + "}";
}

}  // namespace

TEST_GROUP_BASE(ReaderWorker, test::WithoutLeakDetection) {
  std::unique_ptr<PlatformServer> server =
      std::make_unique<PlatformServer>(PlatformServerOptions{});

  uint64_t put(const std::string& name, uint64_t expected, const std::string& text) {
    const auto answer =
        server->state().objects.put(Collection::kServices, name, {expected, {}, text});
    CHECK_TRUE(std::holds_alternative<uint64_t>(answer));
    return std::get<uint64_t>(answer);
  }
  void remove(const std::string& name, uint64_t expected) {
    CHECK_TRUE(std::holds_alternative<uint64_t>(
        server->state().objects.remove(Collection::kServices, name, expected)));
  }
};

TEST(ReaderWorker, ListsPageByPageThenFollowsChanges) {
  for (int index = 0; index < 5; ++index) {
    put("service-" + std::to_string(index), 0, specification(7000 + index));
  }
  server->state().machines.put({3, "addis", "bole", {1, 2}, false});
  RunningReader reader(1, server->api());
  waitFor([&] { return reader.sink.find("service-4").version == 5; });
  waitFor([&] { return reader.sink.machineCount() == 1; });
  const uint64_t changed = put("service-0", 1, specification(8000));
  waitFor([&] { return reader.sink.find("service-0").version == changed; });
  remove("service-1", 2);
  waitFor([&] { return reader.sink.find("service-1").deleted; });
  CHECK_EQUAL(1U, reader.worker.counters().lists);
}

TEST(ReaderWorker, ChangesAreNotDelayedByALongListOnAServingNode) {
  for (int index = 0; index < 5; ++index) {
    put("service-" + std::to_string(index), 0, specification(7000 + index));
  }
  RunningReader reader(1, server->api(), true);
  waitFor([&] { return reader.sink.find("service-0").version != 0; });
  const uint64_t version = put("service-4", 5, specification(8000));
  waitFor([&] { return reader.sink.find("service-4").version == version; });
  CHECK_EQUAL(0U, reader.worker.counters().lists);
  CHECK_EQUAL(0U, reader.sink.find("service-3").version);
}

TEST(ReaderWorker, RejectedRecordsAreDeliveredAgain) {
  const uint64_t first = put("dispatch", 0, specification(7000));
  RunningReader reader(1, server->api());
  waitFor([&] { return reader.worker.counters().watches > 0; });
  reader.sink.rejections = 1;
  const uint64_t second = put("dispatch", first, specification(7001));
  waitFor([&] { return reader.sink.find("dispatch").version == second; });
  CHECK_EQUAL(0, reader.sink.rejections.load());
}

TEST(ReaderWorker, UnreadableObjectDoesNotAffectOthers) {
  put("broken", 0, R"({"nonsense":1})");
  put("sound", 0, specification(7000));
  RunningReader reader(1, server->api());
  waitFor([&] { return reader.sink.find("sound").version != 0; });
  CHECK_EQUAL(0U, reader.sink.find("broken").version);
  CHECK_EQUAL(1U, reader.worker.counters().unreadable);
}

TEST(ReaderWorker, ListsAndDetectsDeletionsAfterAnOutageLongerThanTheHistory) {
  const uint64_t kept = put("kept", 0, specification(7000));
  const uint64_t gone = put("gone", 0, specification(7001));
  RunningReader reader(1, server->api());
  waitFor([&] { return reader.worker.counters().watches > 0; });
  FaultSettings faults;
  faults.outage = Outage::kRefused;
  server->setFaults(faults);
  waitFor([&] { return reader.worker.counters().storeFailures > 0; });
  server->state().objects.setHistoryLimit(1);
  remove("gone", gone);
  put("other", 0, specification(7002));
  const uint64_t changed = put("kept", kept, specification(7003));
  server->setFaults({});
  waitFor([&] { return reader.sink.find("gone").deleted; });
  waitFor([&] { return reader.sink.find("kept").version == changed; });
  CHECK_TRUE(reader.sink.find("gone").version > gone);
  // Services are listed before policies; a list counts when both are complete.
  waitFor([&] { return reader.worker.counters().lists >= 2; });
  CHECK_EQUAL(2U, reader.worker.counters().lists);
}

TEST(ReaderWorker, AtMostThreeNodesWatchAndALeavingOneIsReplaced) {
  put("dispatch", 0, specification(7000));
  std::vector<std::unique_ptr<RunningReader>> readers;
  for (uint32_t id = 1; id <= 6; ++id) {
    readers.push_back(std::make_unique<RunningReader>(id, server->api()));
  }
  const auto holders = [&] {
    size_t count = 0;
    for (const auto& reader : readers) {
      count += reader->worker.counters().slot ? 1 : 0;
    }
    return count;
  };
  waitFor([&] { return holders() == 3; });
  waitFor([&] { return server->state().counters.openWatches == 3; });
  for (auto& reader : readers) {
    if (reader->worker.counters().slot) {
      reader->stop();
      reader = std::make_unique<RunningReader>(99, server->api());
      break;
    }
  }
  waitFor([&] { return holders() == 3; });
  CHECK_EQUAL(3U, server->state().counters.maxOpenWatches.load());
}

TEST(ReaderWorker, DeliversChangesDespiteASlowStoreAndLostAnswers) {
  FaultSettings faults;
  faults.slow = 20ms;
  faults.loseAnswersProbability = 0.5;
  server->setFaults(faults);
  RunningReader reader(1, server->api());
  waitFor([&] { return reader.worker.counters().slot.has_value(); });
  for (int index = 0; index < 10; ++index) {
    const uint64_t version = put("s" + std::to_string(index), 0, specification(7000 + index));
    waitFor([&] { return reader.sink.find("s" + std::to_string(index)).version == version; });
  }
}
