/**
 * @file Property test: answers of the store with changed bytes, added elements or truncation never
 * name a host that the valid entries do not name.
 */
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

#include "platform/store/object_translation.h"
#include "platform/store/store_messages.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;
using namespace umberhold::platform;

namespace {

std::string entryOf(int number) {
  return R"({"meta":{"name":"i-)" + std::to_string(number) +
         R"(","revision":7,"made":3},"spec":{"service":"s","address":"10.0.0.1:80","zone":"z",)"
         R"("version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"sequence":1,)"
         R"("born":1796264498000}})";
}

/** Entries that are invalid or name no valid host. */
const std::vector<std::string> kInvalidEntries = {
    "7",
    "null",
    "[[]]",
    "{}",
    "\"\xFF\"",
    R"("\ud800")",
    "1e999",
    "nonsense",
    R"({"meta":{}})",
    R"({"meta":{"name":"i-f1"},"spec":{}})",
    R"({"meta":{"name":"i-f2","revision":-1},"spec":7})",
    R"({"meta":{"name":"i-f3","revision":9},"spec":{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":2,"state":"odd","cold_remaining_ms":0,"sequence":1}})",
    R"({"meta":{"name":"notanid!","revision":9},"spec":{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"sequence":1}})",
    R"({"meta":{"name":"i-f4","revision":9},"spec":{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"}})"};

std::set<std::string> hostsOf(const std::vector<StoreObject>& objects) {
  std::set<std::string> names;
  for (const StoreObject& object : objects) {
    const auto* host = std::get_if<RegisteredHost>(&object.specification);
    if (host != nullptr && toRegistration(*host, object.revision, object.madeAt)) {
      names.insert(host->id);
    }
  }
  return names;
}

}  // namespace

TEST_GROUP_BASE(StoreMessagesProperty, test::WithoutLeakDetection){};

TEST(StoreMessagesProperty, ForeignEntriesAffectNoOtherEntryAndNameNoHost) {
  CHECK_TRUE(rc::check([] {
    const auto picks = *rc::gen::container<std::vector<int>>(
        rc::gen::inRange(-5, static_cast<int>(kInvalidEntries.size())));
    std::set<std::string> valid;
    std::string items;
    std::string events;
    for (const int pick : picks) {
      const std::string element =
          pick < 0 ? entryOf(-pick) : kInvalidEntries[static_cast<size_t>(pick)];
      if (pick < 0) {
        valid.insert("i-" + std::to_string(-pick));
      }
      items += (items.empty() ? "" : ",") + element;
      events += (events.empty() ? "" : ",") + (R"({"gone":false,"object":)" + element + "}");
    }
    const auto page =
        decodePage(StoreKind::kHosts, R"({"items":[)" + items + R"(],"more":false,"at":9})");
    RC_ASSERT(isOk(page));
    RC_ASSERT(hostsOf(valueOf(page).objects) == valid);
    const auto changes =
        decodeChanges(StoreKind::kHosts, R"({"events":[)" + events + R"(],"at":9})");
    RC_ASSERT(isOk(changes));
    RC_ASSERT(hostsOf(valueOf(changes).events) == valid);
  }));
}

TEST(StoreMessagesProperty, ChangedBytesOutsideAHostsEntryNameNoOtherHost) {
  const std::string body = R"({"items":[)" + entryOf(1) + ",{\"odd\":[\"text\",{}]}," + entryOf(2) +
                           R"(],"more":false,"at":9})";
  const size_t begin = body.find("{\"odd");
  const size_t end = body.find("{\"meta\":{\"name\":\"i-2");
  CHECK_TRUE(rc::check([&] {
    std::string changed = body;
    const auto changes = *rc::gen::container<std::vector<std::pair<size_t, uint8_t>>>(
        rc::gen::pair(rc::gen::inRange(begin, end), rc::gen::arbitrary<uint8_t>()));
    for (const auto& [at, byte] : changes) {
      changed[at] = static_cast<char>(byte);
    }
    const auto page = decodePage(StoreKind::kHosts, changed);
    if (isOk(page)) {
      for (const std::string& name : hostsOf(valueOf(page).objects)) {
        RC_ASSERT(name == "i-1" || name == "i-2");
      }
    }
  }));
}
