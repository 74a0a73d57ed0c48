/**
 * @file Operators on several nodes compete for addresses and hosts. The store loses and delays
 * requests, and nodes crash between two calls. No two services ever hold the same address or host,
 * reported outcomes match the store, and the next claimant gets any key that no service holds.
 */
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <rapidcheck.h>

#include "common/admin/change_coordinator.h"
#include "common/platform/deletion_marker.h"
#include "common/platform/object_json.h"
#include "test/support/fake_platform_store.h"
#include "test/support/service_builder.h"
#include "test/support/turn_scheduler.h"

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

namespace umberhold {
namespace {

constexpr uint8_t kServices = 2;
constexpr uint8_t kAddresses = 2;
constexpr uint8_t kHosts = 2;
constexpr size_t kWriters = 3;

/** Thrown if the node that runs the call crashes. */
struct NodeCrashed {};

/** A request of an operator to a node. */
struct Request {
  uint8_t service = 0;
  bool deletes = false;
  uint8_t address = 0;
  /** Bit mask: bit i is set if the service has host i. */
  uint8_t hosts = 0;
};

/** The sequence of requests to one node, and its crash. */
struct Script {
  std::vector<Request> requests;
  /** Store call before or after which the node crashes; no crash if 0 or above the last call. */
  int crashesAtCall = 0;
  bool crashesAfterCall = false;
};

Request arbitraryRequest() {
  Request request;
  request.service = *rc::gen::inRange<uint8_t>(0, kServices);
  request.deletes = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
  request.address = *rc::gen::inRange<uint8_t>(0, kAddresses);
  request.hosts = *rc::gen::inRange<uint8_t>(0, 1U << kHosts);
  return request;
}

Script arbitraryScript() {
  Script script;
  const int requests = *rc::gen::inRange(1, 6);
  for (int index = 0; index < requests; ++index) {
    script.requests.push_back(arbitraryRequest());
  }
  script.crashesAtCall = *rc::gen::inRange(0, 60);
  script.crashesAfterCall = *rc::gen::arbitrary<bool>();
  return script;
}

std::string nameOf(uint8_t service) {
  return "service-" + std::to_string(service);
}

std::string specificationOf(const Request& request) {
  if (request.deletes) {
    return kDeletionMarker;
  }
  Service service = makeService(nameOf(request.service), request.address, 0);
  const Service pool = makeService("host", kAddresses, kHosts);
  for (uint8_t index = 0; index < kHosts; ++index) {
    if ((request.hosts >> index & 1U) != 0) {
      service.hosts.push_back(pool.hosts[index]);
    }
  }
  return formatService(service);
}

/** The shared store as used by one node: yields before each call, and may crash the node. */
class InterleavingStore : public PlatformStore {
 public:
  InterleavingStore(PlatformStore& store, TurnScheduler& scheduler, const Script& script)
      : store_(store), scheduler_(scheduler), script_(script) {}

  Result<ObjectList, StoreError> list(Collection collection) override {
    return step([&] { return store_.list(collection); });
  }
  Result<StoredObject, StoreError> get(Collection collection, const std::string& name) override {
    return step([&] { return store_.get(collection, name); });
  }
  Result<uint64_t, StoreError> put(const StoredObject& object) override {
    return step([&] { return store_.put(object); });
  }
  Result<uint64_t, StoreError> remove(const StoredObject& object) override {
    return step([&] { return store_.remove(object); });
  }
  Result<WatchBatch, StoreError> watch(uint64_t since, Duration longPollTimeout) override {
    return store_.watch(since, longPollTimeout);
  }
  Result<std::vector<Machine>, StoreError> machines() override { return store_.machines(); }

 private:
  template <class Call>
  auto step(const Call& call) -> decltype(call()) {
    scheduler_.yield();
    const bool crashes = ++calls_ == script_.crashesAtCall;
    if (crashes && !script_.crashesAfterCall) {
      throw NodeCrashed{};
    }
    auto answer = call();
    if (crashes) {
      throw NodeCrashed{};
    }
    return answer;
  }

  PlatformStore& store_;
  TurnScheduler& scheduler_;
  const Script& script_;
  int calls_ = 0;
};

/** A request of an operator and its reported outcome. */
struct ReportedOutcome {
  ChangeRequest request;
  ChangeOutcome outcome;
};

/** All nodes, the shared store, and all reported outcomes. */
class Race {
 public:
  void run(const std::vector<Script>& scripts, const std::vector<uint8_t>& turns) {
    std::vector<std::function<void()>> bodies;
    for (size_t index = 0; index < scripts.size(); ++index) {
      bodies.emplace_back([this, index, &script = scripts[index]] { operate(index, script); });
    }
    size_t next = 0;
    scheduler_.run(bodies, [&](size_t) { return turns[next++ % turns.size()]; });
  }

  void setFaults(const std::vector<StoreFault>& changes, const std::vector<StoreFault>& reads) {
    store_.changeFaults.assign(changes.begin(), changes.end());
    store_.readFaults.assign(reads.begin(), reads.end());
  }

  /** Delivers delayed requests, while nodes run, once this many outcomes are reported; 0: never. */
  void deliverDelayedAt(size_t request) { deliverAtRequest_ = request; }

  void deliverOutstanding() {
    setFaults({}, {});
    store_.deliverDelayed();
  }

  /** Checks that no state of the store ever gave one address or host to two services. */
  void checkNoSharedEndpoints() const {
    std::map<std::string, Service> live;
    for (const StoredObject& event : store_.events()) {
      const auto service = parseService(event.name, event.specification);
      if (isDeleted(event)) {
        live.erase(event.name);
        continue;
      }
      RC_ASSERT(isOk(service));
      live[event.name] = valueOf(service);
      RC_ASSERT(allDiffer(live));
    }
  }

  void checkReportedOutcomes() const {
    std::map<std::string, int> applied;
    for (const StoredObject& event : store_.events()) {
      ++applied[event.history.front().requestId];
    }
    for (const ReportedOutcome& reported : reported_) {
      const auto found = applied.find(reported.request.requestId);
      const int times = found == applied.end() ? 0 : found->second;
      if (std::holds_alternative<ChangeAccepted>(reported.outcome)) {
        RC_ASSERT(times == 1);
      } else if (!std::holds_alternative<ChangeUnknown>(reported.outcome)) {
        RC_ASSERT(times == 0);
      }
    }
  }

  /** Checks that a single change gives a new service a free address and all free hosts. */
  void checkUnclaimedKeysCanBeClaimed() {
    for (uint8_t address = 0; address < kAddresses; ++address) {
      Request request;
      request.service = static_cast<uint8_t>(kServices + address);
      request.address = address;
      request.hosts = freeHosts();
      if (isHeld(address)) {
        continue;
      }
      TurnClock clock(scheduler_);
      ChangeCoordinator coordinator(store_, clock, address);
      const ChangeOutcome outcome = coordinator.submit(changeOf(request, 0));
      RC_ASSERT(std::holds_alternative<ChangeAccepted>(outcome));
    }
  }

 private:
  void operate(size_t index, const Script& script) {
    InterleavingStore store(store_, scheduler_, script);
    TurnClock clock(scheduler_);
    ChangeCoordinator coordinator(store, clock, index);
    try {
      for (const Request& request : script.requests) {
        const auto current = coordinator.read(Collection::kServices, nameOf(request.service));
        const uint64_t base = isOk(current) ? valueOf(current).version : 0;
        if (request.deletes && base == 0) {
          continue;
        }
        const ChangeRequest change = changeOf(request, base);
        reported_.push_back({change, coordinator.submit(change)});
        if (reported_.size() == deliverAtRequest_) {
          store_.deliverDelayed();
        }
      }
    } catch (const NodeCrashed&) {
      // Its operator gets no outcome; requests that it sent may still arrive.
    }
  }

  ChangeRequest changeOf(const Request& request, uint64_t base) {
    ChangeRequest change;
    change.name = nameOf(request.service);
    change.expectedVersion = base;
    change.specification = specificationOf(request);
    change.requestId = "request-" + std::to_string(++requests_);
    change.summary = request.deletes ? "delete" : "apply";
    return change;
  }

  static bool allDiffer(const std::map<std::string, Service>& live) {
    std::set<uint32_t> addresses;
    std::set<Endpoint> hosts;
    size_t hostCount = 0;
    for (const auto& [name, service] : live) {
      addresses.insert(service.address);
      hostCount += service.hosts.size();
      for (const HostSpec& host : service.hosts) {
        hosts.insert(host.endpoint);
      }
    }
    return addresses.size() == live.size() && hosts.size() == hostCount;
  }

  std::vector<Service> liveServices() {
    std::vector<Service> live;
    const auto all = store_.list(Collection::kServices);
    for (const StoredObject& object : valueOf(all).objects) {
      if (!isDeleted(object)) {
        live.push_back(valueOf(parseService(object.name, object.specification)));
      }
    }
    return live;
  }

  bool isHeld(uint8_t address) {
    const auto live = liveServices();
    const uint32_t wanted = makeService("", address, 0).address;
    return std::any_of(live.begin(), live.end(),
                       [&](const Service& service) { return service.address == wanted; });
  }

  uint8_t freeHosts() {
    std::set<Endpoint> held;
    for (const Service& service : liveServices()) {
      for (const HostSpec& host : service.hosts) {
        held.insert(host.endpoint);
      }
    }
    const Service pool = makeService("host", kAddresses, kHosts);
    uint8_t hosts = 0;
    for (uint8_t index = 0; index < kHosts; ++index) {
      if (!held.contains(pool.hosts[index].endpoint)) {
        hosts = static_cast<uint8_t>(hosts | 1U << index);
      }
    }
    return hosts;
  }

  FakePlatformStore store_;
  TurnScheduler scheduler_;
  std::vector<ReportedOutcome> reported_;
  size_t requests_ = 0;
  size_t deliverAtRequest_ = 0;
};

}  // namespace

TEST_GROUP_BASE(EndpointClaims, test::WithoutLeakDetection){};

TEST(EndpointClaims, NoTwoServicesShareAddressOrHost) {
  const bool holds = rc::check("no two services share an address or a host", [] {
    Race race;
    const auto turns = *rc::gen::container<std::vector<uint8_t>>(32, rc::gen::arbitrary<uint8_t>());
    std::vector<Script> scripts;
    for (size_t writer = 0; writer < kWriters; ++writer) {
      scripts.push_back(arbitraryScript());
    }
    race.setFaults(*rc::gen::container<std::vector<StoreFault>>(rc::gen::element(
                       StoreFault::kNone, StoreFault::kUnavailable, StoreFault::kRequestLost,
                       StoreFault::kAnswerLost, StoreFault::kDelayed)),
                   *rc::gen::container<std::vector<StoreFault>>(
                       rc::gen::element(StoreFault::kNone, StoreFault::kUnavailable)));
    race.deliverDelayedAt(*rc::gen::inRange<size_t>(0, 6));
    race.run(scripts, turns);
    race.deliverOutstanding();
    race.checkNoSharedEndpoints();
    race.checkReportedOutcomes();
    race.checkUnclaimedKeysCanBeClaimed();
    race.checkNoSharedEndpoints();
  });
  CHECK_TRUE(holds);
}

}  // namespace umberhold
