/** @file Tests of the catalogue: versions, home region, addresses and observers. */
#include "common/catalog/service_catalog.h"

#include <string>
#include <vector>

#include "common/base/hash.h"
#include "common/wire/codec.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

Service makeService(const std::string& name, const std::string& region, uint32_t address) {
  Service service;
  service.name = name;
  service.region = region;
  service.address = address;
  service.port = 7000;
  return service;
}

ConfigRecord serviceRecord(const Service& service, uint64_t version) {
  return {{ObjectKind::kService, service.name}, version, false, valueOf(encodeService(service))};
}

ConfigRecord tombstone(ObjectKind kind, const std::string& name, uint64_t version) {
  return {{kind, name}, version, true, ""};
}

struct RecordingObserver : CatalogObserver {
  void onServiceChanged(ServiceId, const Service& service) override {
    events.push_back("changed " + service.name);
  }
  void onServiceDeleted(ServiceId id) override {
    events.push_back(id == serviceIdOf("dispatch") ? "deleted dispatch" : "deleted another");
  }
  void onPolicyChanged(const Policy& policy) override { events.push_back("policy " + policy.name); }
  void onPolicyDeleted(const std::string& name) override { events.push_back("no policy " + name); }
  std::vector<std::string> events;
};

}  // namespace

TEST_GROUP(ServiceCatalog) {
  ServiceCatalog catalog{"addis"};
  RecordingObserver observer;

  void setup() override {
    catalog.addObserver(&observer);
  }

  void checkOutcome(ApplyOutcome expected, const ConfigRecord& record) {
    const auto outcome = catalog.apply(record);
    CHECK_TRUE(isOk(outcome));
    CHECK_EQUAL(static_cast<int>(expected), static_cast<int>(valueOf(outcome)));
  }
  void checkListener(const std::string& name, uint32_t address) {
    const ServiceLookup& lookup = catalog;
    const auto match = lookup.find(address, 7000, TransportProtocol::kTcp);
    CHECK_EQUAL(!name.empty(), match.has_value());
    if (match) {
      CHECK_TRUE(match->service == serviceIdOf(name));
    }
  }
  const Service* findHome(const std::string& name) {
    return static_cast<const ServiceSource&>(catalog).find(serviceIdOf(name));
  }
};

TEST(ServiceCatalog, OlderVersionNeverReplacesANewerOne) {
  checkOutcome(ApplyOutcome::kApplied, serviceRecord(makeService("dispatch", "addis", 2), 9));
  checkOutcome(ApplyOutcome::kNotNewer, serviceRecord(makeService("dispatch", "addis", 1), 8));
  checkOutcome(ApplyOutcome::kNotNewer, serviceRecord(makeService("dispatch", "addis", 2), 9));
  checkOutcome(ApplyOutcome::kNotNewer, tombstone(ObjectKind::kService, "dispatch", 8));
  checkListener("dispatch", 2);
  checkListener("", 1);
  CHECK_EQUAL(1U, observer.events.size());
}

TEST(ServiceCatalog, OldRecordsDoNotRestoreADeletedService) {
  checkOutcome(ApplyOutcome::kApplied, serviceRecord(makeService("dispatch", "addis", 1), 5));
  checkOutcome(ApplyOutcome::kApplied, tombstone(ObjectKind::kService, "dispatch", 7));
  checkOutcome(ApplyOutcome::kNotNewer, serviceRecord(makeService("dispatch", "addis", 1), 6));
  checkListener("", 1);
  CHECK_EQUAL(0U, catalog.serviceCount());
  CHECK_TRUE(findHome("dispatch") == nullptr);
  checkOutcome(ApplyOutcome::kApplied, serviceRecord(makeService("dispatch", "addis", 1), 8));
  checkListener("dispatch", 1);
  STRCMP_EQUAL("deleted dispatch", observer.events[1].c_str());
}

TEST(ServiceCatalog, TombstoneThatArrivesFirstIsKept) {
  checkOutcome(ApplyOutcome::kApplied, tombstone(ObjectKind::kService, "dispatch", 7));
  checkOutcome(ApplyOutcome::kNotNewer, serviceRecord(makeService("dispatch", "addis", 1), 6));
  CHECK_TRUE(observer.events.empty());
}

TEST(ServiceCatalog, UndecodableRecordLeavesTheServiceUnchanged) {
  checkOutcome(ApplyOutcome::kApplied, serviceRecord(makeService("dispatch", "addis", 1), 5));
  ConfigRecord broken = serviceRecord(makeService("dispatch", "addis", 2), 6);
  broken.payload.resize(3);
  CHECK_FALSE(isOk(catalog.apply(broken)));
  checkListener("dispatch", 1);
  checkOutcome(ApplyOutcome::kApplied, serviceRecord(makeService("dispatch", "addis", 2), 6));
}

TEST(ServiceCatalog, ServicesOfOtherRegionsAreFoundByAddressOnly) {
  checkOutcome(ApplyOutcome::kApplied, serviceRecord(makeService("fleet", "hobart", 3), 1));
  const ServiceLookup& lookup = catalog;
  const auto match = lookup.find(3, 7000, TransportProtocol::kTcp);
  CHECK_TRUE(match.has_value());
  CHECK_FALSE(match->homeRegion);
  CHECK_TRUE(findHome("fleet") == nullptr);
  CHECK_FALSE(lookup.find(3, 7000, TransportProtocol::kUdp).has_value());
  CHECK_FALSE(lookup.find(3, 7001, TransportProtocol::kTcp).has_value());
  CHECK_TRUE(observer.events.empty());
}

TEST(ServiceCatalog, ServiceMovedToAnotherRegionIsDeletedHere) {
  checkOutcome(ApplyOutcome::kApplied, serviceRecord(makeService("dispatch", "addis", 1), 1));
  checkOutcome(ApplyOutcome::kApplied, serviceRecord(makeService("dispatch", "hobart", 1), 2));
  CHECK_TRUE(findHome("dispatch") == nullptr);
  CHECK_EQUAL(0U, catalog.homeServiceCount());
  STRCMP_EQUAL("deleted dispatch", observer.events.back().c_str());
  checkListener("dispatch", 1);
}

TEST(ServiceCatalog, ContestedAddressIsAssignedIndependentlyOfOrder) {
  const bool firstIsLower = serviceIdOf("dispatch") < serviceIdOf("fleet");
  const std::string winner = firstIsLower ? "dispatch" : "fleet";
  const std::string loser = firstIsLower ? "fleet" : "dispatch";
  for (const bool winnerFirst : {true, false}) {
    ServiceCatalog other("addis");
    CHECK_TRUE(
        isOk(other.apply(serviceRecord(makeService(winnerFirst ? winner : loser, "a", 1), 1))));
    CHECK_TRUE(
        isOk(other.apply(serviceRecord(makeService(winnerFirst ? loser : winner, "a", 1), 2))));
    CHECK_EQUAL(1U, other.contestedAddressCount());
    CHECK_TRUE(
        static_cast<const ServiceLookup&>(other).find(1, 7000, TransportProtocol::kTcp)->service ==
        serviceIdOf(winner));
    CHECK_TRUE(isOk(other.apply(tombstone(ObjectKind::kService, winner, 3))));
    CHECK_TRUE(
        static_cast<const ServiceLookup&>(other).find(1, 7000, TransportProtocol::kTcp)->service ==
        serviceIdOf(loser));
    CHECK_EQUAL(0U, other.contestedAddressCount());
  }
}

TEST(ServiceCatalog, PoliciesAreAppliedByVersion) {
  const ConfigRecord policy{
      {ObjectKind::kPolicy, "even"}, 4, false, valueOf(encodePolicy({"even", "source"}))};
  checkOutcome(ApplyOutcome::kApplied, policy);
  checkOutcome(ApplyOutcome::kNotNewer, policy);
  STRCMP_EQUAL("source", catalog.findPolicy("even")->source.c_str());
  checkOutcome(ApplyOutcome::kApplied, tombstone(ObjectKind::kPolicy, "even", 5));
  CHECK_TRUE(catalog.findPolicy("even") == nullptr);
  checkOutcome(ApplyOutcome::kNotNewer, policy);
  STRCMP_EQUAL("policy even", observer.events[0].c_str());
  STRCMP_EQUAL("no policy even", observer.events[1].c_str());
}

TEST(ServiceCatalog, IgnoresRegionContacts) {
  checkOutcome(ApplyOutcome::kOtherKind, {{ObjectKind::kRegionContacts, "addis"}, 1, false, "x"});
}
