#include "common/server/catalog_reader.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "common/platform/steady_now.h"

namespace umberhold {
namespace {

/** The source's client spaces its own tries; this keeps one that answers at once from a spin. */
constexpr auto kRetryPause = std::chrono::milliseconds(100);
constexpr Duration kWatchPatience = std::chrono::seconds(30);

std::vector<CatalogChange> goneOf(Collection collection, const std::set<std::string>& before,
                                  const std::set<std::string>& now) {
  std::vector<CatalogChange> gone;
  for (const std::string& name : before) {
    if (!now.contains(name)) {
      gone.push_back(DeletedObject{collection, name});
    }
  }
  return gone;
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
      std::this_thread::sleep_for(kRetryPause);
    }
  }
}

void CatalogReader::note(const CatalogChange& change) {
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
    note(change);
  }
  const auto gonePools = goneOf(Collection::kHostPools, poolsBefore, pools_);
  const auto goneServices = goneOf(Collection::kServices, servicesBefore, services_);
  // Pools with pools: a service's new pool is there before the service names it.
  const auto firstService = std::find_if(all.changes.begin(), all.changes.end(), isService);
  all.changes.insert(firstService, gonePools.begin(), gonePools.end());
  all.changes.insert(all.changes.end(), goneServices.begin(), goneServices.end());
  since_ = all.version;
  all.receivedAt = steadyNow();
  sink_(std::move(all));
  return true;
}

bool CatalogReader::follow() {
  auto batch = source_.watch(since_, kWatchPatience);
  if (!isOk(batch)) {
    return errorOf(batch).code != StoreErrorCode::kTooOld;
  }
  CatalogChanges& news = valueOf(batch);
  since_ = news.version;
  news.receivedAt = steadyNow();
  for (const CatalogChange& change : news.changes) {
    note(change);
  }
  if (!news.changes.empty()) {
    sink_(std::move(news));
  }
  return true;
}

}  // namespace umberhold
