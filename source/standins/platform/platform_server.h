/** @file The stand-in platform as an HTTP server; used by the program and by tests. */
#pragma once

#include <cstdint>
#include <memory>

#include "common/base/endpoint.h"
#include "common/base/time.h"

namespace umberhold::standins {

struct PlatformState;
struct FaultSettings;

/** Options of the stand-in platform. */
struct PlatformServerOptions {
  /** Address that both ports listen on. */
  uint32_t address = 0x7F000001;
  /** Port of the object API (and of /control); 0 selects a free port. */
  uint16_t port = 0;
  /** Port that serves only /control, also while the API port is closed; 0 selects a free port. */
  uint16_t controlPort = 0;
  /** Maximum number of concurrent requests, including open watches. */
  int threads = 64;
  /** Maximum number of past events that a watch can replay. */
  size_t historyLimit = 1000;
  /** Delay until changes of the machine list are visible to readers. */
  Duration machinesLag{0};
  /** Seed for the random loss of answers. */
  uint64_t seed = 1;
};

/** Serves from construction to destruction. Throws Poco::Exception if a port can't be bound. */
class PlatformServer {
 public:
  explicit PlatformServer(const PlatformServerOptions& options);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  Endpoint api() const;
  Endpoint control() const;
  PlatformState& state();
  /** Applies fault settings; closes the API port on outage `refused` and opens it otherwise. */
  void setFaults(const FaultSettings& settings);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold::standins
