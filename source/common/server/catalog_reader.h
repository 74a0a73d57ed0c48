/** @file A thread that keeps a process's services and host pools as their source has them. */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <thread>

#include "common/platform/catalog_source.h"

namespace umberhold {

/** Reads from construction to destruction. */
class CatalogReader {
 public:
  /** Called on the reader's thread: the whole catalogue first, changes afterwards. */
  using Sink = std::function<void(CatalogChanges)>;

  /** @param source borrowed; used by the reader's thread alone. */
  CatalogReader(CatalogSource& source, Sink sink);
  /** Waits for the call under way: the source's waiting calls must have been ended before. */
  ~CatalogReader();
  CatalogReader(const CatalogReader&) = delete;
  CatalogReader& operator=(const CatalogReader&) = delete;

  /** Ends the thread after its call under way. */
  void stop() { stopping_ = true; }

 private:
  void run();
  bool listAll();
  bool follow();
  /** Keeps the names that there are. */
  void note(const CatalogChange& change);

  CatalogSource& source_;
  const Sink sink_;
  uint64_t since_ = 0;
  /** Names that there are, to find what has gone when listing again. */
  std::set<std::string> services_;
  std::set<std::string> pools_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace umberhold
