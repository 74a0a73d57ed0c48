/** @file Answers of the users' store that have not their form: refused as a whole, or object by
 * object. */
#include "platform/store/store_messages.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace umberhold::platform {
namespace {

const std::string kHost =
    R"({"service":"s","address":"10.0.0.1:80","zone":"bole","slots":2,"state":"ready"})";

std::string page(const std::string& specification, const std::string& name = R"("i-1")") {
  return R"({"items":[{"meta":{"name":)" + name + R"(,"revision":7,"made":3},"spec":)" +
         specification + R"(}],"more":false,"at":9})";
}

bool isRefused(const std::string& body) {
  return !isOk(decodePage(StoreKind::kHosts, body));
}

bool isUnreadable(StoreKind kind, const std::string& specification) {
  const auto decoded = decodePage(kind, page(specification));
  CHECK_TRUE(isOk(decoded));
  return std::holds_alternative<Unreadable>(valueOf(decoded).objects.at(0).specification);
}

}  // namespace

TEST_GROUP(StoreMessages){};

TEST(StoreMessages, ReadsAHostWithItsRevisions) {
  const auto decoded = decodePage(StoreKind::kHosts, page(kHost));
  CHECK_TRUE(isOk(decoded));
  const StoreObject& object = valueOf(decoded).objects.at(0);
  LONGS_EQUAL(7, object.revision);
  LONGS_EQUAL(3, object.madeAt);
  LONGS_EQUAL(9, valueOf(decoded).revision);
  LONGS_EQUAL(2, std::get<RegisteredHost>(object.specification).slots);
}

TEST(StoreMessages, RefusesAnAnswerOfAnotherForm) {
  CHECK_TRUE(isRefused(""));
  CHECK_TRUE(isRefused("[]"));
  CHECK_TRUE(isRefused("{}"));
  CHECK_TRUE(isRefused(page(kHost) + "x"));
  CHECK_TRUE(isRefused(page(kHost, "7")));
  CHECK_TRUE(isRefused(R"({"items":[7],"more":false,"at":9})"));
  CHECK_TRUE(isRefused(R"({"items":[],"more":"no","at":9})"));
  CHECK_TRUE(isRefused(R"({"items":[],"more":false,"at":-9})"));
  CHECK_TRUE(isRefused(R"({"items":[],"more":false})"));
  CHECK_TRUE(isRefused(page("\"\xFF\"")));
}

TEST(StoreMessages, SurvivesNestingOfAnyDepth) {
  constexpr size_t kDepth = 1000000;
  CHECK_TRUE(isRefused(std::string(kDepth, '[')));
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  CHECK_TRUE(isUnreadable(StoreKind::kHosts, nested));
}

TEST(StoreMessages, AnObjectOfAnotherFormIsUnreadableAlone) {
  for (
      const char* specification :
      {"7", "{}", R"({"service":7,"address":"10.0.0.1:80","zone":"b","state":"ready"})",
       R"({"service":"s","address":"10.0.0.1","zone":"b","state":"ready"})",
       R"({"service":"s","address":"10.0.0.1:80","zone":"b","state":"ready","slots":-1})",
       R"({"service":"s","address":"10.0.0.1:80","zone":"b","state":"ready","slots":4294967296})"}) {
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
