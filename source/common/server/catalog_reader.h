/**
 * @file A thread that keeps a process's services and host pools as the store has them.
 *
 * For deployments small enough that every node reads the store itself; larger ones elect readers
 * (platform/reader_election.h) and spread what they read.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "common/base/time.h"
#include "common/config/service.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** An object was deleted. */
struct ObjectGone {
  Collection collection = Collection::kServices;
  std::string name;
};

/** One change of the catalogue. */
using CatalogChange = std::variant<Service, HostPool, ObjectGone>;

/** Changes that take effect together. */
struct CatalogChanges {
  /** Version of the catalogue with them. */
  uint64_t version = 0;
  /** When the reader got them. */
  TimePoint seenAt{};
  std::vector<CatalogChange> changes;
};

/** Reads from construction to destruction. */
class CatalogReader {
 public:
  /** Called on the reader's thread: the whole catalogue first, changes afterwards. */
  using Sink = std::function<void(CatalogChanges)>;

  /** @param store borrowed; used by the reader's thread alone. */
  CatalogReader(PlatformStore& store, Sink sink);
  /** Waits for the call under way: the store's waiting calls must have been ended before. */
  ~CatalogReader();
  CatalogReader(const CatalogReader&) = delete;
  CatalogReader& operator=(const CatalogReader&) = delete;

  /** Ends the thread after its call under way. */
  void stop() { stopping_ = true; }

 private:
  void run();
  bool listAll();
  bool follow();
  /** @return the change, or nothing where the object can't be read; that is logged. */
  std::vector<CatalogChange> read(const StoredObject& object);

  PlatformStore& store_;
  const Sink sink_;
  uint64_t since_ = 0;
  /** Names listed last, to find what has gone when listing again. */
  std::set<std::string> services_;
  std::set<std::string> pools_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace umberhold
