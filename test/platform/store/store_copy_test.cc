/** @file Tests the effect of invalid entries on the hosts that a node knows. */
#include "platform/store/store_copy.h"

#include "test/support/without_leak_detection.h"

using namespace umberhold;
using namespace umberhold::platform;

TEST_GROUP_BASE(StoreCopyEntries, test::WithoutLeakDetection) {
  StoreCopy copy{now, "addis", HostPresenceOptions{}};
  TimePoint now{std::chrono::seconds(100)};

  void setup() override {
    const auto page = decodePage(
        StoreKind::kConfiguration,
        R"({"items":[{"meta":{"name":"main","revision":1},"spec":{"version":1,"routes":[],)"
        R"("services":[{"name":"s"}]}}],"more":false,"at":1})");
    copy.apply(now, StoreKind::kConfiguration, valueOf(page).objects.at(0));
    write("i-1", 2, R"("slots":2,"state":"ready")");
  }
  bool write(const std::string& name, uint64_t revision, const std::string& fields,
             const std::string& service = "s") {
    const auto changes =
        decodeChanges(StoreKind::kHosts,
                      R"({"events":[{"gone":false,"object":{"meta":{"name":")" + name +
                          R"(","revision":)" + std::to_string(revision) +
                          R"(},"spec":{"service":")" + service + R"(","address":"10.0.0.)" +
                          std::to_string(revision) + R"(:80","zone":"z","version":"v1",)" +
                          R"("cold_remaining_ms":0,"sequence":1,)" + fields + R"(}}}],"at":9})");
    CHECK_TRUE(isOk(changes));
    const bool isReadable = copy.apply(now, StoreKind::kHosts, valueOf(changes).events.at(0));
    copy.settle(now);
    return isReadable;
  }
  void remove(const std::string& name, uint64_t revision) {
    copy.apply(now, StoreKind::kHosts, {name, revision, 1, true, Unreadable{}});
    copy.settle(now);
  }
  /** @return a peer's answer without changes, whose knowledge is this old. */
  static PeerChanges confirmation(uint32_t agoMilliseconds) {
    PeerChanges none;
    none.reading = true;
    none.confirmedAgoMilliseconds = agoMilliseconds;
    none.hostsVersion = 3;
    return none;
  }
  /** @return changes of a peer in which the hosts i-1 and i-2 have been removed. */
  static PeerChanges removalOfBothHosts() {
    PeerChanges changes;
    changes.hostsVersion = 5;
    for (uint64_t number = 1; number <= 2; ++number) {
      HostEvent event;
      event.host.name = "i-" + std::to_string(number);
      event.version = 3 + number;
      event.ended = true;
      changes.events.push_back(event);
    }
    return changes;
  }
  size_t activeHosts() {
    size_t active = 0;
    for (const CatalogChange& change : copy.objects().whole().changes) {
      const auto* pool = std::get_if<HostPool>(&change);
      for (const HostSpec& host : pool == nullptr ? std::vector<HostSpec>{} : pool->hosts) {
        active += host.state == HostState::kActive ? 1 : 0;
      }
    }
    return active;
  }
  /** @return the only host of the only pool. */
  HostSpec host() {
    std::vector<HostSpec> hosts;
    for (const CatalogChange& change : copy.objects().whole().changes) {
      if (const auto* pool = std::get_if<HostPool>(&change)) {
        hosts.insert(hosts.end(), pool->hosts.begin(), pool->hosts.end());
      }
    }
    LONGS_EQUAL(1, hosts.size());
    return hosts.at(0);
  }
};

/**
 * Guards against flows to hosts that are shutting down: changes that a reader reports may have
 * happened any time since the previous request.
 */
TEST(StoreCopyEntries, VanishedHostsAreGrantedTimeFromTheLastAnswerThatHadThem) {
  write("i-2", 3, R"("slots":2,"state":"ready")");
  copy.apply(now, now, 3, confirmation(0));
  now += std::chrono::milliseconds(1500);
  copy.apply(now, now, 3, removalOfBothHosts());
  copy.settle(now);
  LONGS_EQUAL(2, activeHosts());
  now += std::chrono::milliseconds(500);
  copy.settle(now);
  LONGS_EQUAL(0, activeHosts());
}

/** Guards against flows on hosts that left while the reader had no recent knowledge itself. */
TEST(StoreCopyEntries, AReadersAnswerShowsHostsOnlyAsOfItsOwnKnowledge) {
  write("i-2", 3, R"("slots":2,"state":"ready")");
  now += std::chrono::seconds(2);
  copy.apply(now, now, 3, confirmation(1500));
  now += std::chrono::milliseconds(400);
  copy.apply(now, now, 3, removalOfBothHosts());
  copy.settle(now);
  LONGS_EQUAL(2, activeHosts());
  now += std::chrono::milliseconds(100);
  copy.settle(now);
  LONGS_EQUAL(0, activeHosts());
}

/** Guards against flows on hosts that left before this node began to read the store itself. */
TEST(StoreCopyEntries, RemovalsReadFromTheStoreCountFromTheLastKnownState) {
  write("i-2", 3, R"("slots":2,"state":"ready")");
  copy.onHostsKnownAsOf(now);
  now += std::chrono::milliseconds(1900);
  remove("i-1", 4);
  remove("i-2", 5);
  LONGS_EQUAL(2, activeHosts());
  now += std::chrono::milliseconds(100);
  copy.settle(now);
  LONGS_EQUAL(0, activeHosts());
}

TEST(StoreCopyEntries, HostsMissingFromACurrentListCountFromTheLastKnownState) {
  write("i-2", 3, R"("slots":2,"state":"ready")");
  copy.onHostsKnownAsOf(now);
  now += std::chrono::milliseconds(2100);
  copy.onCurrentHostList(now, 3, 9, {});
  copy.settle(now);
  LONGS_EQUAL(0, activeHosts());
}

/** Guards against new flows to a host whose entry another writer has replaced. */
TEST(StoreCopyEntries, AnUnreadableEntryWithdrawsAHostUntilItsNextWrite) {
  uint64_t revision = 3;
  for (const char* fields : {R"("slots":2,"state":"odd")", R"("slots":2)", R"("state":"ready")",
                             R"("slots":"two","state":"ready")", R"("slots":2,"state":7)",
                             R"("slots":2,"state":"ready","born":"x")"}) {
    CHECK_FALSE(write("i-1", revision++, fields));
    CHECK_TRUE(host().state == HostState::kDraining);
    CHECK_TRUE(write("i-1", revision++, R"("slots":2,"state":"ready")"));
    CHECK_TRUE(host().state == HostState::kActive);
  }
}

TEST(StoreCopyEntries, AnObjectOfAnotherKindChangesNoHostOfItsName) {
  StoreObject object;
  object.name = "i-1";
  object.revision = 3;
  object.specification = Unreadable{"odd"};
  CHECK_FALSE(copy.apply(now, StoreKind::kConfiguration, object));
  object.gone = true;
  CHECK_TRUE(copy.apply(now, StoreKind::kConfiguration, object));
  copy.settle(now);
  CHECK_TRUE(host().state == HostState::kActive);
}

TEST(StoreCopyEntries, AnEntryWithoutANameRemovesNoHost) {
  write("i-2", 3, R"("slots":2,"state":"odd")");
  write("i-xyz", 4, R"("slots":2,"state":"ready")");
  write("i-3", 5, R"("slots":2,"state":"ready")", "not-configured");
  STRCMP_EQUAL("i-1", host().name.c_str());
  CHECK_TRUE(host().state == HostState::kActive);
}

TEST(StoreCopyEntries, ANewIncarnationClearsTheDrainingState) {
  write("i-1", 3, R"("slots":2,"state":"draining","born":1000)");
  CHECK_TRUE(host().state == HostState::kDraining);
  write("i-1", 4, R"("slots":2,"state":"ready","born":2000)");
  CHECK_TRUE(host().state == HostState::kActive);
  write("i-1", 5, R"("slots":2,"state":"draining","born":1000)");
  CHECK_TRUE(host().state == HostState::kActive);
}
