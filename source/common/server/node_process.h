/** @file One running node: the core bound to ports, clock, store and HTTP. */
#pragma once

#include <memory>

#include "common/base/result.h"
#include "common/server/node_signals.h"
#include "common/server/udp_port.h"
#include "common/settings/settings.h"

namespace umberhold {

/** Why run() ended. */
enum class NodeEnd : uint8_t {
  /** Everything was handed over. */
  kLeft,
  /** The time limit of a planned stop came first. */
  kStopLimit,
};

/** A node process. */
class NodeProcess {
 public:
  /** Opens the ports. */
  static Result<std::unique_ptr<NodeProcess>, PortError> create(const NodeSettings& settings);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /**
   * Runs the node on the calling thread.
   * @param signals borrowed. A stop begins the planned stop; of reloaded settings the node takes
   * the keys of node messages, if checkRotation() takes the step, and nothing else.
   */
  NodeEnd run(NodeSignals& signals);

 private:
  struct Parts;
  explicit NodeProcess(std::unique_ptr<Parts> parts);
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
