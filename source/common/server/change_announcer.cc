#include "common/server/change_announcer.h"

#include <utility>

#include "common/platform/stored_object_record.h"

namespace umberhold {

void ChangeAnnouncer::onChangeAccepted(const StoredObject& object) {
  auto record = toConfigRecord(object);
  if (!isOk(record)) {
    return;  // The store reader reports objects without a valid specification.
  }
  // If the mailbox is full, the store reader delivers the change a little later.
  mailbox_.post(
      [this, announced = std::move(valueOf(record))] { core_.onAcceptedChange(announced); });
}

}  // namespace umberhold
