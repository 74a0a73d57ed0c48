/** @file One running node: connects the core to ports, clock, store and HTTP server. */
#pragma once

#include <memory>

#include "common/base/result.h"
#include "common/server/node_signals.h"
#include "common/server/udp_port.h"
#include "common/settings/settings.h"

namespace umberhold {

/** Reason why run() ended. */
enum class NodeEnd : uint8_t {
  /** All shards were handed over. */
  kLeft,
  /** The time limit of the planned stop expired first. */
  kStopLimit,
};

/** A node process. */
class NodeProcess {
 public:
  /** Opens the ports and starts the HTTP server. */
  static Result<std::unique_ptr<NodeProcess>, PortError> create(const NodeSettings& settings);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /**
   * Runs the node on the calling thread.
   * @param signals borrowed. A stop request starts the planned stop. Of reloaded settings only the
   * keys of node messages are applied, and only if checkRotation() accepts the change.
   */
  NodeEnd run(NodeSignals& signals);

 private:
  struct Parts;
  explicit NodeProcess(std::unique_ptr<Parts> parts);
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
