/**
 * @file Fuzzes the decoder of the store's responses: lists and events of every kind of object.
 *
 * Checked properties: no input causes a crash; a decoded host is not a deleted object and has the
 * name of its object; a decoded page can be encoded and decoded again with the same objects.
 */
#include <cstdint>
#include <string>

#include "platform/store/object_translation.h"
#include "platform/store/store_messages.h"
#include "test/fuzz/fuzz_check.h"

using namespace umberhold;
using namespace umberhold::platform;

namespace {

void checkResponse(StoreKind kind, const std::string& body) {
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
  const auto decodedAgain = decodePage(kind, encodePage(valueOf(page)));
  FUZZ_CHECK(isOk(decodedAgain));
  FUZZ_CHECK(valueOf(decodedAgain).malformed.count == 0);
  FUZZ_CHECK(valueOf(decodedAgain).objects.size() == valueOf(page).objects.size());
  for (size_t index = 0; index < valueOf(page).objects.size(); ++index) {
    const StoreObject& original = valueOf(page).objects[index];
    const StoreObject& repeated = valueOf(decodedAgain).objects[index];
    FUZZ_CHECK(original.name == repeated.name);
    if (const auto* host = std::get_if<RegisteredHost>(&original.specification)) {
      FUZZ_CHECK(*host == std::get<RegisteredHost>(repeated.specification));
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string body(reinterpret_cast<const char*>(data), size);
  for (const StoreKind kind :
       {StoreKind::kConfiguration, StoreKind::kHosts, StoreKind::kEvacuations, StoreKind::kNodes}) {
    checkResponse(kind, body);
  }
  return 0;
}
