/** @file The stand-in platform as an HTTP server; program and tests run the same class. */
#pragma once

#include <cstdint>
#include <memory>

#include "common/base/endpoint.h"
#include "common/base/time.h"

namespace umberhold::standins {

struct PlatformState;
struct FaultSettings;

/** How the stand-in runs. */
struct PlatformServerOptions {
  /** Address that both ports listen on. */
  uint32_t address = 0x7F000001;
  /** Port of the object API (and of /control); 0 for any free one. */
  uint16_t port = 0;
  /** Port of /control alone, open even while the API refuses connections; 0 for any free one. */
  uint16_t controlPort = 0;
  /** Requests served at once, open watches included. */
  int threads = 64;
  /** Events that a watch can go back by. */
  size_t historyLimit = 1000;
  /** How late readers see changes of the machine list. */
  Duration machinesLag{0};
  /** Seed of the lost answers' randomness. */
  uint64_t seed = 1;
};

/** Serves from construction to destruction. Throws Poco::Exception where a port can't be had. */
class PlatformServer {
 public:
  explicit PlatformServer(const PlatformServerOptions& options);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  Endpoint api() const;
  Endpoint control() const;
  PlatformState& state();
  /** Applies fault settings, closing or opening the API port where that changes. */
  void setFaults(const FaultSettings& settings);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold::standins
