/** @file Conversion of store objects to records. */
#include "common/platform/stored_object_record.h"

#include "common/wire/codec.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

StoredObject makeStored(Collection collection, const std::string& specification) {
  StoredObject object;
  object.collection = collection;
  object.name = "dispatch";
  object.version = 12;
  object.specification = specification;
  return object;
}

const char* const kService =
    R"({"region":"addis","address":"10.9.0.1","port":7000,"protocol":"tcp","hosts":[]})";

}  // namespace

TEST_GROUP(StoredObjectRecord){};

TEST(StoredObjectRecord, AnUnreadableObjectHasNoRecord) {
  const auto record = toConfigRecord(makeStored(Collection::kServices, "{}"));
  CHECK_FALSE(isOk(record));
  CHECK_TRUE(std::holds_alternative<ObjectError>(errorOf(record)));
  const auto lease = toConfigRecord(makeStored(Collection::kLeases, "{}"));
  CHECK_FALSE(isOk(lease));
  CHECK_TRUE(std::holds_alternative<NotConfiguration>(errorOf(lease)));
}

TEST(StoredObjectRecord, CarriesTheStoresVersionAndThePayload) {
  const auto record = toConfigRecord(makeStored(Collection::kServices, kService));
  CHECK_TRUE(isOk(record));
  CHECK_EQUAL(12U, valueOf(record).version);
  CHECK_FALSE(valueOf(record).deleted);
  const auto service = decodeService(valueOf(record).payload);
  CHECK_TRUE(isOk(service));
  STRCMP_EQUAL("dispatch", valueOf(service).name.c_str());
  CHECK_EQUAL(7000, valueOf(service).port);
}

TEST(StoredObjectRecord, DeletionsBecomeTombstones) {
  StoredObject object = makeStored(Collection::kPolicies, "not even read");
  object.deleted = true;
  const auto record = toConfigRecord(object);
  CHECK_TRUE(isOk(record));
  CHECK_TRUE(valueOf(record).deleted);
  CHECK_TRUE(valueOf(record).payload.empty());
  CHECK_TRUE(valueOf(record).key.kind == ObjectKind::kPolicy);
}

TEST(StoredObjectRecord, MarkedObjectsBecomeTombstones) {
  const auto record = toConfigRecord(makeStored(Collection::kServices, R"({"deleted":true})"));
  CHECK_TRUE(isOk(record));
  CHECK_TRUE(valueOf(record).deleted);
  CHECK_EQUAL(12U, valueOf(record).version);
}
