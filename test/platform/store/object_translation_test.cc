/** @file Tests the translation of the users' answers to the product's services and host pools. */
#include "platform/store/object_translation.h"

#include "platform/store/store_messages.h"
#include "platform/store/translated_objects.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;
using namespace umberhold::platform;

namespace {

const char* const kConfigurationPage = R"({"items":[{"meta":{"name":"main","revision":12,"made":3,
  "finalizers":[],"deleting":false},"status":null,"spec":{"version":7,"routes":[
  {"name":"r-a","host":"198.18.0.1","path_prefix":"/8443/","kind":"safe","timeout_ms":2000,
   "target_latency_ms":120,"priority":2,"traffic_split":[{"service":"s-one","weight":90},{"service":"s-two","weight":10}]},
  {"name":"r-b","host":"198.18.0.2","path_prefix":"/443/","service":"s-two","extra":{"a":[1]}}],
  "services":[{"name":"s-one","max_connections":1500},{"name":"s-two","health_path":"/health"}],
  "limits":{"idle_timeout_ms":15500}}}],"more":false,"at":20})";

Configuration sampleConfiguration() {
  const auto page = decodePage(StoreKind::kConfiguration, kConfigurationPage);
  CHECK_TRUE(isOk(page));
  LONGS_EQUAL(20, valueOf(page).revision);
  LONGS_EQUAL(12, valueOf(page).objects.at(0).revision);
  LONGS_EQUAL(3, valueOf(page).objects.at(0).madeAt);
  return std::get<Configuration>(valueOf(page).objects.at(0).specification);
}

RegisteredHost sampleHost() {
  RegisteredHost host;
  host.id = "i-7f3a91c2";
  host.service = "s-one";
  host.address = {0x0A800009, 8080};
  host.zone = "bole";
  host.slots = 2;
  return host;
}

}  // namespace

TEST_GROUP_BASE(ObjectTranslation, test::WithoutLeakDetection){};

TEST(ObjectTranslation, TranslatesEachRouteToAServiceWithAGroupPerPart) {
  const std::vector<Service> services = toServices(sampleConfiguration(), "addis");
  LONGS_EQUAL(2, services.size());
  const Service& split = services[0];
  STRCMP_EQUAL("r-a", split.name.c_str());
  STRCMP_EQUAL("addis", split.region.c_str());
  LONGS_EQUAL(0xC6120001, split.address);
  LONGS_EQUAL(8443, split.port);
  LONGS_EQUAL(16, split.idleTimeoutSeconds);
  CHECK_TRUE(split.groups == (std::vector<HostGroup>{{"s-one", 90}, {"s-two", 10}}));
  CHECK_TRUE(split.repeatable);
  LONGS_EQUAL(2, split.priority);
  LONGS_EQUAL(2000, split.requestTimeoutMilliseconds);
  LONGS_EQUAL(120, split.targetLatencyMilliseconds);
  CHECK_FALSE(services[1].repeatable);
  LONGS_EQUAL(1, services[1].priority);
  LONGS_EQUAL(0, services[1].requestTimeoutMilliseconds);
  LONGS_EQUAL(0, services[1].targetLatencyMilliseconds);
  CHECK_TRUE(services[1].groups == (std::vector<HostGroup>{{"s-two", 1}}));
  LONGS_EQUAL(443, services[1].port);
}

TEST(ObjectTranslation, ParsesTheIncarnationOfAnId) {
  CHECK_TRUE(incarnationOf("i-7f3a91c2") == 0x7F3A91C2U);
  CHECK_TRUE(incarnationOf("i-ffffffffffffffff") == 0xFFFFFFFFFFFFFFFFU);
  CHECK_FALSE(incarnationOf("i-").has_value());
  CHECK_FALSE(incarnationOf("i-7f3g").has_value());
  CHECK_FALSE(incarnationOf("i-1ffffffffffffffff").has_value());
}

TEST(ObjectTranslation, TranslatesAHostOnlyIfItHasAnIncarnation) {
  RegisteredHost host = sampleHost();
  host.draining = true;
  const auto registration = toRegistration(host, 31, 7);
  CHECK_TRUE(registration.has_value());
  STRCMP_EQUAL("s-one", registration->pool.c_str());
  LONGS_EQUAL(31, registration->version);
  LONGS_EQUAL(7, registration->madeAt);
  CHECK_TRUE(registration->host.state == HostState::kDraining);
  CHECK_TRUE(registration->host.endpoint == host.address);
  LONGS_EQUAL(0x7F3A91C2, registration->host.incarnation);
  LONGS_EQUAL(100, registration->host.weight);
  host.id = "i-0";
  CHECK_FALSE(toRegistration(host, 32, 7).has_value());
}

TEST(ObjectTranslation, KeepsReadableObjectsNextToAnUnreadableOne) {
  const auto page = decodePage(StoreKind::kHosts, R"({"items":[
    {"meta":{"name":"i-1","revision":4},"spec":{"service":"s-one","address":"10.0.0.1:80",
     "zone":"bole","version":"v1","slots":2,"state":"draining","cold_remaining_ms":1250,"sequence":4}},
    {"meta":{"name":"i-2","revision":5},"spec":{"service":"s-one"}},
    {"meta":{"name":"i-3","revision":6},"spec":null}],"more":true,"at":9})");
  CHECK_TRUE(isOk(page));
  CHECK_TRUE(valueOf(page).more);
  const auto& host = std::get<RegisteredHost>(valueOf(page).objects[0].specification);
  CHECK_TRUE(host.draining);
  LONGS_EQUAL(1250, host.coldMilliseconds);
  LONGS_EQUAL(1250, toRegisteredHost(*toRegistration(host, 4, 4)).coldMilliseconds);
  CHECK_TRUE(std::holds_alternative<Unreadable>(valueOf(page).objects[1].specification));
  CHECK_TRUE(std::holds_alternative<Unreadable>(valueOf(page).objects[2].specification));
}

TEST(ObjectTranslation, DecodesTheDeletionOfAnObject) {
  const auto changes = decodeChanges(
      StoreKind::kHosts,
      R"({"events":[{"gone":true,"object":{"meta":{"name":"i-1","revision":8}}}],"at":9})");
  CHECK_TRUE(isOk(changes));
  CHECK_TRUE(valueOf(changes).events.at(0).gone);
  LONGS_EQUAL(8, valueOf(changes).events.at(0).revision);
}

TEST(ObjectTranslation, RejectsABodyThatIsNotAnAnswer) {
  for (const char* body : {"", "[]", "{}", R"({"items":{},"more":false,"at":1})",
                           R"({"items":[1],"more":true,"at":1})", R"({"items":[],"at":1})"}) {
    CHECK_FALSE(isOk(decodePage(StoreKind::kHosts, body)));
  }
  CHECK_FALSE(isOk(decodeChanges(StoreKind::kHosts, R"({"events":[{"gone":true}]})")));
  const auto changes = decodeChanges(StoreKind::kHosts, R"({"events":[{"gone":true}],"at":1})");
  CHECK_TRUE(isOk(changes));
  LONGS_EQUAL(0, valueOf(changes).events.size());
  LONGS_EQUAL(1, valueOf(changes).malformed.count);
}

TEST_GROUP_BASE(TranslatedObjects, test::WithoutLeakDetection) {
  TranslatedObjects objects{"addis"};

  HostPool pool(HostState state = HostState::kActive) {
    HostSpec host = toRegistration(sampleHost(), 1, 1)->host;
    host.state = state;
    return HostPool{"s-one", {host}};
  }
  size_t serviceCount() {
    size_t count = 0;
    for (const CatalogChange& change : objects.whole().changes) {
      count += std::holds_alternative<Service>(change) ? 1 : 0;
    }
    return count;
  }
};

TEST(TranslatedObjects, IgnoresHostsOfUnconfiguredServices) {
  CHECK_TRUE(objects.setConfiguration(12, sampleConfiguration()));
  HostPool unconfiguredPool = pool();
  unconfiguredPool.name = "s-nobody";
  const uint64_t before = objects.version();
  objects.setPools({unconfiguredPool});
  LONGS_EQUAL(before, objects.version());
  Configuration later = sampleConfiguration();
  later.connectionLimits["s-nobody"] = 7;
  CHECK_TRUE(objects.setConfiguration(13, later));
  const auto update = objects.changesSince(before);
  CHECK_TRUE(update && std::holds_alternative<HostPool>(update->changes.at(0)));
}

TEST(TranslatedObjects, ReportsOnlyChanges) {
  CHECK_TRUE(objects.setConfiguration(12, sampleConfiguration()));
  objects.setPools({pool()});
  const uint64_t before = objects.version();
  objects.setPools({pool()});
  LONGS_EQUAL(before, objects.version());
  Configuration next = sampleConfiguration();
  next.version = 9;
  next.routes.pop_back();
  CHECK_TRUE(objects.setConfiguration(15, next));
  const auto batch = objects.changesSince(before);
  CHECK_TRUE(batch.has_value());
  LONGS_EQUAL(1, batch->changes.size());
  CHECK_TRUE(std::get<DeletedObject>(batch->changes[0]) ==
             (DeletedObject{Collection::kServices, "r-b"}));
  LONGS_EQUAL(1, serviceCount());
}

TEST(TranslatedObjects, IgnoresOlderConfigurations) {
  Configuration newer = sampleConfiguration();
  newer.version = 9;
  newer.routes.pop_back();
  CHECK_TRUE(objects.setConfiguration(15, newer));
  CHECK_FALSE(objects.setConfiguration(12, sampleConfiguration()));
  CHECK_FALSE(objects.setConfiguration(16, sampleConfiguration()));
  LONGS_EQUAL(1, serviceCount());
}

TEST(TranslatedObjects, SetsTheConnectionLimitOfTheService) {
  objects.setPools({pool()});
  CHECK_TRUE(objects.setConfiguration(12, sampleConfiguration()));
  // Pools come before services.
  const CatalogChanges all = objects.whole();
  LONGS_EQUAL(1500, std::get<HostPool>(all.changes.at(0)).hosts.at(0).connectionLimit);
}

/**
 * A log of the states of a large pool would grow by the whole pool with each change of one host.
 */
TEST(TranslatedObjects, KeepsTheLatestStateOfAPoolHoweverOftenItChanges) {
  constexpr int kChangeCount = 5000;
  CHECK_TRUE(objects.setConfiguration(12, sampleConfiguration()));
  const uint64_t first = objects.version();
  for (int change = 0; change <= kChangeCount; ++change) {
    objects.setPools({pool(change % 2 == 0 ? HostState::kActive : HostState::kDraining)});
  }
  for (const uint64_t since : {first, objects.version() - 1}) {
    const auto update = objects.changesSince(since);
    CHECK_TRUE(update.has_value());
    LONGS_EQUAL(1, update->changes.size());
    const auto& hosts = std::get<HostPool>(update->changes.front()).hosts;
    CHECK_TRUE(hosts.at(0).state == HostState::kActive);
  }
  CHECK_TRUE(objects.changesSince(objects.version())->changes.empty());
}

TEST(TranslatedObjects, KeepsOnlyTheLatestDeletedServices) {
  constexpr int kChangeCount = 5000;
  Configuration with = sampleConfiguration();
  Configuration without = sampleConfiguration();
  without.routes.pop_back();
  CHECK_TRUE(objects.setConfiguration(1, with));
  const uint64_t first = objects.version();
  for (uint64_t revision = 2; revision <= kChangeCount * 2; revision += 2) {
    CHECK_TRUE(objects.setConfiguration(revision, without));
    CHECK_TRUE(objects.setConfiguration(revision + 1, with));
  }
  CHECK_FALSE(objects.changesSince(first).has_value());
  LONGS_EQUAL(1, objects.changesSince(objects.version() - 1)->changes.size());
  CHECK_TRUE(objects.changesSince(objects.version())->changes.empty());
}

/**
 * A service that was created again is reported as present, even though its deletion was recorded.
 */
TEST(TranslatedObjects, ReportsARecreatedServiceAsPresent) {
  Configuration without = sampleConfiguration();
  without.routes.pop_back();
  CHECK_TRUE(objects.setConfiguration(1, sampleConfiguration()));
  const uint64_t before = objects.version();
  CHECK_TRUE(objects.setConfiguration(2, without));
  CHECK_TRUE(objects.setConfiguration(3, sampleConfiguration()));
  const auto update = objects.changesSince(before);
  CHECK_TRUE(update.has_value());
  LONGS_EQUAL(1, update->changes.size());
  STRCMP_EQUAL("r-b", std::get<Service>(update->changes.front()).name.c_str());
}

TEST(ObjectTranslation, ReportsColdTimeOnlyIfTheServiceHasAColdLimit) {
  const auto page = decodePage(StoreKind::kConfiguration, R"({"items":[{"meta":{"name":"main",
    "revision":12},"spec":{"version":1,"routes":[],"services":[
    {"name":"s-one","max_connections":9,"cold_start_s":2.5,"cold_per_s":8},
    {"name":"s-two","max_connections":9,"cold_start_s":2.0,"cold_per_s":0.0}]}}],
    "more":false,"at":12})");
  CHECK_TRUE(isOk(page));
  const auto reencodedPage = decodePage(StoreKind::kConfiguration, encodePage(valueOf(page)));
  CHECK_TRUE(isOk(reencodedPage));
  const auto& decoded =
      std::get<Configuration>(valueOf(reencodedPage).objects.front().specification);
  CHECK_TRUE(decoded == std::get<Configuration>(valueOf(page).objects.front().specification));
  HostSpec host;
  host.coldMilliseconds = 700;
  const HostPool limited = withLimits({"s-one", {host}}, decoded);
  DOUBLES_EQUAL(8.0, limited.cold.requestsPerSecond, 1e-9);
  LONGS_EQUAL(2500, limited.cold.startMilliseconds);
  LONGS_EQUAL(700, limited.hosts.front().coldMilliseconds);
  const HostPool unlimited = withLimits({"s-two", {host}}, decoded);
  CHECK_TRUE(unlimited.cold == ColdLimit{});
  LONGS_EQUAL(0, unlimited.hosts.front().coldMilliseconds);
}
