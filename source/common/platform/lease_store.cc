#include "common/platform/lease_store.h"

#include "common/platform/steady_now.h"

namespace umberhold {

void LeaseStore::run(const ElectionAction& action) {
  if (const auto* toRead = std::get_if<ReadLease>(&action)) {
    read(toRead->slot);
  } else if (const auto* toWrite = std::get_if<WriteLease>(&action)) {
    write(*toWrite);
  }
}

void LeaseStore::read(uint8_t slot) {
  const auto object = store_.get(Collection::kLeases, leaseName(slot));
  if (isOk(object)) {
    const StoredObject& stored = valueOf(object);
    // A lease that cannot be parsed is treated as released: the next write replaces it.
    const ReaderLease lease = parseLease(stored.specification).value_or(ReaderLease{});
    election_.onRead(steadyNow(), slot, ObservedLease{stored.version, lease});
  } else if (errorOf(object).code == StoreErrorCode::kNotFound) {
    election_.onRead(steadyNow(), slot, std::nullopt);
  } else {
    election_.onReadFailed(steadyNow(), slot, errorOf(object));
  }
}

void LeaseStore::write(const WriteLease& write) {
  StoredObject object;
  object.collection = Collection::kLeases;
  object.name = leaseName(write.slot);
  object.version = write.expectedVersion;
  object.specification = formatLease(write.lease);
  const TimePoint sentAt = steadyNow();
  const auto version = store_.put(object);
  if (isOk(version)) {
    election_.onWritten(sentAt, write, valueOf(version));
  } else {
    election_.onWriteFailed(steadyNow(), write.slot, errorOf(version));
  }
}

}  // namespace umberhold
