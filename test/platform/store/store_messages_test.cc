/** @file Tests invalid answers of the users' store, which are rejected as a whole or per object. */
#include "platform/store/store_messages.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

namespace umberhold::platform {
namespace {

/** Fields of a valid host entry with the text of their values. */
const std::map<std::string, std::string> kHostFields = {{"service", R"("s")"},
                                                        {"address", R"("10.0.0.1:80")"},
                                                        {"zone", R"("bole")"},
                                                        {"version", R"("v1")"},
                                                        {"slots", "2"},
                                                        {"state", R"("ready")"},
                                                        {"cold_remaining_ms", "0"},
                                                        {"sequence", "4"}};

/** @return an object with these fields. */
std::string objectOf(const std::map<std::string, std::string>& fields) {
  std::string text;
  for (const auto& [name, value] : fields) {
    text += (text.empty() ? "\"" : ",\"") + name + "\":" + value;
  }
  return "{" + text + "}";
}

/** @return a valid host entry except for the value of one field. */
std::string hostWith(const std::string& field, const std::string& value) {
  std::map<std::string, std::string> fields = kHostFields;
  fields[field] = value;
  return objectOf(fields);
}

const std::string kHost = objectOf(kHostFields);

std::string page(const std::string& specification, const std::string& name = R"("i-1")") {
  return R"({"items":[{"meta":{"name":)" + name + R"(,"revision":7,"made":3},"spec":)" +
         specification + R"(}],"more":false,"at":9})";
}

bool isRejected(const std::string& body) {
  return !isOk(decodePage(StoreKind::kHosts, body));
}

bool isUnreadable(StoreKind kind, const std::string& specification) {
  const auto decoded = decodePage(kind, page(specification));
  CHECK_TRUE(isOk(decoded));
  return std::holds_alternative<Unreadable>(valueOf(decoded).objects.at(0).specification);
}

}  // namespace

TEST_GROUP(StoreMessages){};

TEST(StoreMessages, DecodesAHostWithItsRevisions) {
  const auto decoded = decodePage(StoreKind::kHosts, page(kHost));
  CHECK_TRUE(isOk(decoded));
  const StoreObject& object = valueOf(decoded).objects.at(0);
  LONGS_EQUAL(7, object.revision);
  LONGS_EQUAL(3, object.madeAt);
  LONGS_EQUAL(9, valueOf(decoded).revision);
  LONGS_EQUAL(2, std::get<RegisteredHost>(object.specification).slots);
}

TEST(StoreMessages, RejectsAnAnswerOfAnotherForm) {
  CHECK_TRUE(isRejected(""));
  CHECK_TRUE(isRejected("[]"));
  CHECK_TRUE(isRejected("{}"));
  CHECK_TRUE(isRejected(page(kHost) + "x"));
  CHECK_TRUE(isRejected(R"({"items":[],"more":"no","at":9})"));
  CHECK_TRUE(isRejected(R"({"items":[],"more":false,"at":-9})"));
  CHECK_TRUE(isRejected(R"({"items":[],"more":false})"));
  // There is no name to continue after.
  CHECK_TRUE(isRejected(R"({"items":[7],"more":true,"at":9})"));
}

/** Guards against resets of flows of a living host whose address stands in another entry. */
TEST(StoreMessages, AnEntryNamesAHostOnlyWithEveryFieldOfItsType) {
  for (const auto& [name, value] : kHostFields) {
    std::map<std::string, std::string> fields = kHostFields;
    fields.erase(name);
    CHECK_TRUE(isUnreadable(StoreKind::kHosts, objectOf(fields)));
    const bool isText = value.front() == '"';
    for (const char* other : {"null", "true", "[]", "{}", "[2]", isText ? "7" : R"("7")", "-1"}) {
      CHECK_TRUE(isUnreadable(StoreKind::kHosts, hostWith(name, other)));
    }
  }
  CHECK_TRUE(isUnreadable(StoreKind::kHosts, hostWith("service", R"("")")));
  CHECK_TRUE(isUnreadable(StoreKind::kHosts, hostWith("zone", R"("")")));
  CHECK_TRUE(isUnreadable(StoreKind::kHosts, hostWith("zone", R"("a\nb")")));
  CHECK_TRUE(isUnreadable(StoreKind::kHosts, hostWith("slots", "0")));
  CHECK_TRUE(isUnreadable(StoreKind::kHosts, hostWith("slots", "1.5")));
  CHECK_TRUE(isUnreadable(StoreKind::kHosts, hostWith("sequence", "0.5")));
}

TEST(StoreMessages, AnEntryWithFurtherFieldsNamesAHost) {
  CHECK_FALSE(isUnreadable(StoreKind::kHosts, kHost));
  CHECK_FALSE(isUnreadable(StoreKind::kHosts, hostWith("later", R"({"a":[null]})")));
  CHECK_FALSE(isUnreadable(StoreKind::kHosts, hostWith("cold_remaining_ms", "1250.5")));
  CHECK_FALSE(isUnreadable(StoreKind::kHosts, hostWith("sequence", "0")));
}

TEST(StoreMessages, AnInvalidElementDoesNotAffectTheOthers) {
  const std::string validElement =
      R"({"meta":{"name":"i-1","revision":7,"made":3},"spec":)" + kHost + "}";
  for (const std::string& invalidElement :
       {std::string("7"), std::string("null"), std::string("[]"), std::string("{}"),
        std::string(R"({"meta":{"name":""}})"), std::string(R"({"meta":7})"),
        std::string(R"({"meta":{"name":7}})"), std::string("\"\xFF\""),
        std::string(R"({"meta":{"name":"i-2",},"spec":7})"),
        std::string("{\"meta\":{\"name\":\"\xFF\"}}"), std::string(R"({"a":nonsense})")}) {
    for (const std::string& items :
         {invalidElement + "," + validElement, validElement + "," + invalidElement}) {
      const auto decoded =
          decodePage(StoreKind::kHosts, R"({"items":[)" + items + R"(],"more":false,"at":9})");
      CHECK_TRUE(isOk(decoded));
      LONGS_EQUAL(1, valueOf(decoded).objects.size());
      LONGS_EQUAL(1, valueOf(decoded).malformed.count);
      STRCMP_EQUAL("i-1", valueOf(decoded).objects[0].name.c_str());
      CHECK_TRUE(std::holds_alternative<RegisteredHost>(valueOf(decoded).objects[0].specification));
    }
    const std::string event = R"({"gone":false,"object":)" + validElement + "}";
    const auto changes =
        decodeChanges(StoreKind::kHosts, R"({"events":[{"gone":false,"object":)" + invalidElement +
                                             "}," + invalidElement + "," + event + R"(],"at":9})");
    CHECK_TRUE(isOk(changes));
    LONGS_EQUAL(1, valueOf(changes).events.size());
    LONGS_EQUAL(2, valueOf(changes).malformed.count);
  }
}

/** Guards against a host that keeps its flows because its entry cannot be told from others. */
TEST(StoreMessages, AnEntryWithInvalidBytesIsUnreadableUnderItsName) {
  for (const std::string& specification :
       {std::string("\"\xFF\""), std::string(R"("\ud800")"), std::string("1e999"),
        std::string("nonsense"), hostWith("zone", "\"\xFF\""), hostWith("later", "[1e999]")}) {
    const std::string entry =
        R"({"meta":{"name":"i-2","revision":8},"spec":)" + specification + "}";
    const std::string items = entry + R"(,{"meta":{"name":"i-3"},"spec":)" + kHost + "}";
    const auto list =
        decodePage(StoreKind::kHosts, R"({"items":[)" + items + R"(],"more":false,"at":9})");
    CHECK_TRUE(isOk(list));
    LONGS_EQUAL(0, valueOf(list).malformed.count);
    LONGS_EQUAL(2, valueOf(list).objects.size());
    STRCMP_EQUAL("i-2", valueOf(list).objects[0].name.c_str());
    LONGS_EQUAL(8, valueOf(list).objects[0].revision);
    CHECK_TRUE(std::holds_alternative<Unreadable>(valueOf(list).objects[0].specification));
    CHECK_TRUE(std::holds_alternative<RegisteredHost>(valueOf(list).objects[1].specification));
    const auto changes = decodeChanges(
        StoreKind::kHosts, R"({"events":[{"gone":false,"object":)" + entry + R"(}],"at":9})");
    CHECK_TRUE(isOk(changes));
    STRCMP_EQUAL("i-2", valueOf(changes).events.at(0).name.c_str());
    CHECK_TRUE(std::holds_alternative<Unreadable>(valueOf(changes).events.at(0).specification));
  }
}

TEST(StoreMessages, AnUnreadableRevisionIsNoLaterThanTheAnswer) {
  const auto list = decodePage(
      StoreKind::kHosts,
      R"({"items":[{"meta":{"name":"i-1","revision":"x"},"spec":7}],"more":false,"at":9})");
  CHECK_TRUE(isOk(list));
  LONGS_EQUAL(9, valueOf(list).objects.at(0).revision);
}

TEST(StoreMessages, ADeletionWithAnUnreadableRevisionIsApplied) {
  const auto changes = decodeChanges(
      StoreKind::kHosts,
      R"({"events":[{"gone":true,"object":{"meta":{"name":"i-1","revision":"x"}}}],"at":9})");
  CHECK_TRUE(isOk(changes));
  CHECK_TRUE(valueOf(changes).events.at(0).gone);
  LONGS_EQUAL(9, valueOf(changes).events.at(0).revision);
}

TEST(StoreMessages, AnEvacuationNeedsOnlyItsName) {
  const auto page =
      decodePage(StoreKind::kEvacuations,
                 R"({"items":[{"meta":{"name":"bole","revision":"x"}}],"more":false,"at":9})");
  CHECK_TRUE(isOk(page));
  CHECK_TRUE(std::holds_alternative<Evacuation>(valueOf(page).objects.at(0).specification));
}

TEST(StoreMessages, AnUnknownStateIsNeitherReadyNorDraining) {
  for (const char* state : {"Ready", "starting", ""}) {
    CHECK_TRUE(
        isUnreadable(StoreKind::kHosts, hostWith("state", "\"" + std::string(state) + "\"")));
  }
}

TEST(StoreMessages, ReadsTheStartTimeFromEitherOfItsPlaces) {
  const auto startTimeIn = [](const std::string& body) {
    const auto decoded = decodePage(StoreKind::kHosts, body);
    return std::get<RegisteredHost>(valueOf(decoded).objects.at(0).specification)
        .startedAtMilliseconds;
  };
  const std::string spec = kHost.substr(0, kHost.size() - 1);
  CHECK_TRUE(startTimeIn(page(kHost)) == 0);
  CHECK_TRUE(startTimeIn(page(spec + R"(,"born":null})")) == 0);
  CHECK_TRUE(startTimeIn(page(spec + R"(,"born":1796264498000})")) == 1796264498000);
  CHECK_TRUE(startTimeIn(page(kHost + R"(,"born":1796264498000)")) == 1796264498000);
  for (const char* born : {"\"1796264498000\"", "-1", "1.5", "[]", "true", "{}"}) {
    CHECK_TRUE(isUnreadable(StoreKind::kHosts, spec + R"(,"born":)" + born + "}"));
  }
}

TEST(StoreMessages, AcceptsNestingOfAnyDepth) {
  constexpr size_t kDepth = 1000000;
  CHECK_TRUE(isRejected(std::string(kDepth, '[')));
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  CHECK_TRUE(isUnreadable(StoreKind::kHosts, nested));
}

TEST(StoreMessages, AnObjectOfAnotherFormIsUnreadableByItself) {
  for (const std::string& specification :
       {std::string("7"), std::string("{}"), hostWith("service", "7"),
        hostWith("address", R"("10.0.0.1")"), hostWith("slots", "-1"),
        hostWith("slots", "4294967296")}) {
    CHECK_TRUE(isUnreadable(StoreKind::kHosts, specification));
  }
  for (
      const char* specification :
      {R"({"version":1,"routes":{},"services":[]})", R"({"version":"1","routes":[],"services":[]})",
       R"({"version":1,"routes":[7],"services":[]})",
       R"({"version":1,"routes":[],"services":[],"limits":7})",
       R"({"version":1,"routes":[{"name":"r","host":"x","path_prefix":"/1/","service":"s"}],"services":[]})",
       R"({"version":1,"routes":[{"name":"r","host":"1.2.3.4","path_prefix":"//","service":"s"}],"services":[]})"}) {
    CHECK_TRUE(isUnreadable(StoreKind::kConfiguration, specification));
  }
}

}  // namespace umberhold::platform
