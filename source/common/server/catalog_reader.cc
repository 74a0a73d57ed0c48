#include "common/server/catalog_reader.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "common/platform/steady_now.h"

namespace umberhold {
namespace {

/** The source's client spaces its own attempts; this pause prevents a busy loop when a source fails
 * immediately. */
constexpr auto kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kWatchTimeout = std::chrono::seconds(30);

std::vector<CatalogChange> deletionsOf(Collection collection, const std::set<std::string>& before,
                                       const std::set<std::string>& now) {
  std::vector<CatalogChange> deletions;
  for (const std::string& name : before) {
    if (!now.contains(name)) {
      deletions.push_back(DeletedObject{collection, name});
    }
  }
  return deletions;
}

bool isService(const CatalogChange& change) {
  return std::holds_alternative<Service>(change);
}

}  // namespace

CatalogReader::CatalogReader(CatalogSource& source, Sink sink)
    : source_(source), sink_(std::move(sink)), thread_([this] { run(); }) {}

CatalogReader::~CatalogReader() {
  stop();
  thread_.join();
}

void CatalogReader::run() {
  bool listed = false;
  while (!stopping_) {
    listed = listed ? follow() : listAll();
    if (!listed && !stopping_) {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

void CatalogReader::updateNames(const CatalogChange& change) {
  if (const auto* gone = std::get_if<DeletedObject>(&change)) {
    (gone->collection == Collection::kHostPools ? pools_ : services_).erase(gone->name);
  } else if (const auto* pool = std::get_if<HostPool>(&change)) {
    pools_.insert(pool->name);
  } else if (const auto* service = std::get_if<Service>(&change)) {
    services_.insert(service->name);
  }
}

bool CatalogReader::listAll() {
  auto list = source_.list();
  if (!isOk(list)) {
    return false;
  }
  CatalogChanges& all = valueOf(list);
  const std::set<std::string> poolsBefore = std::exchange(pools_, {});
  const std::set<std::string> servicesBefore = std::exchange(services_, {});
  for (const CatalogChange& change : all.changes) {
    updateNames(change);
  }
  const auto poolDeletions = deletionsOf(Collection::kHostPools, poolsBefore, pools_);
  const auto serviceDeletions = deletionsOf(Collection::kServices, servicesBefore, services_);
  // Pool changes come before service changes, so that a service's new pool exists before the
  // service refers to it.
  const auto firstService = std::find_if(all.changes.begin(), all.changes.end(), isService);
  all.changes.insert(firstService, poolDeletions.begin(), poolDeletions.end());
  all.changes.insert(all.changes.end(), serviceDeletions.begin(), serviceDeletions.end());
  since_ = all.version;
  all.receivedAt = steadyNow();
  sink_(std::move(all));
  return true;
}

bool CatalogReader::follow() {
  auto batch = source_.watch(since_, kWatchTimeout);
  if (!isOk(batch)) {
    return errorOf(batch).code != StoreErrorCode::kTooOld;
  }
  CatalogChanges& update = valueOf(batch);
  since_ = update.version;
  update.receivedAt = steadyNow();
  for (const CatalogChange& change : update.changes) {
    updateNames(change);
  }
  if (!update.changes.empty()) {
    sink_(std::move(update));
  }
  return true;
}

}  // namespace umberhold
