/**
 * @file Fuzzes the decoder of the store's answers: lists and events of every kind.
 *
 * Promises: nothing crashes, what is read has a name, and a page that was read has an encoding that
 * is read again with the same objects.
 */
#include <cstdint>
#include <string>

#include "platform/store/object_translation.h"
#include "platform/store/store_messages.h"
#include "test/fuzz/fuzz_check.h"

using namespace umberhold;
using namespace umberhold::platform;

namespace {

void check(StoreKind kind, const std::string& body) {
  const auto changes = decodeChanges(kind, body);
  if (isOk(changes) && kind == StoreKind::kHosts) {
    for (const StoreObject& object : valueOf(changes).events) {
      if (const auto* host = std::get_if<RegisteredHost>(&object.specification)) {
        FUZZ_CHECK(!object.gone && host->id == object.name);
        toRegistration(*host, object.revision, object.madeAt);
      }
    }
  }
  const auto page = decodePage(kind, body);
  if (!isOk(page)) {
    return;
  }
  const auto again = decodePage(kind, encodePage(valueOf(page)));
  FUZZ_CHECK(isOk(again));
  FUZZ_CHECK(valueOf(again).malformed.count == 0);
  FUZZ_CHECK(valueOf(again).objects.size() == valueOf(page).objects.size());
  for (size_t index = 0; index < valueOf(page).objects.size(); ++index) {
    const StoreObject& first = valueOf(page).objects[index];
    const StoreObject& second = valueOf(again).objects[index];
    FUZZ_CHECK(first.name == second.name);
    if (const auto* host = std::get_if<RegisteredHost>(&first.specification)) {
      FUZZ_CHECK(*host == std::get<RegisteredHost>(second.specification));
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string body(reinterpret_cast<const char*>(data), size);
  for (const StoreKind kind :
       {StoreKind::kConfiguration, StoreKind::kHosts, StoreKind::kEvacuations, StoreKind::kNodes}) {
    check(kind, body);
  }
  return 0;
}
