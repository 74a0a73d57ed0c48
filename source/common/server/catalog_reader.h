/** @file A thread that keeps a process's services and host pools in sync with their source. */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <thread>

#include "common/platform/catalog_source.h"

namespace umberhold {

/** Reads the source from construction to destruction, on a thread of its own. */
class CatalogReader {
 public:
  /** Called on the reader's thread: the full catalog first, incremental changes afterwards. */
  using Sink = std::function<void(CatalogChanges)>;

  /** @param source borrowed; used only by the reader's thread. */
  CatalogReader(CatalogSource& source, Sink sink);
  /** Waits for the call in progress; the source's blocking calls must have been cancelled before.
   */
  ~CatalogReader();
  CatalogReader(const CatalogReader&) = delete;
  CatalogReader& operator=(const CatalogReader&) = delete;

  /** Ends the thread after the call in progress. */
  void stop() { stopping_ = true; }

 private:
  void run();
  bool listAll();
  bool follow();
  /** Updates the sets of existing names. */
  void updateNames(const CatalogChange& change);

  CatalogSource& source_;
  const Sink sink_;
  uint64_t since_ = 0;
  /** Existing names, to detect deletions when the source is listed again. */
  std::set<std::string> services_;
  std::set<std::string> pools_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace umberhold
