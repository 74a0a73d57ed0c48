/**
 * @file The process of a node with the strategy "token": one thread for packets, readiness and
 * metrics, which receives configuration from a CatalogReader. It keeps no flow state, connects to
 * no other node and wakes up only for work and, every few seconds, to check its settings file for
 * changes.
 */
#pragma once

#include <functional>
#include <memory>

#include "common/base/result.h"
#include "common/health/observation_exchange.h"
#include "common/log/structured_log.h"
#include "common/packet/packet_format.h"
#include "common/platform/catalog_source.h"
#include "common/platform/store_read_status.h"
#include "common/server/poll_http_port.h"
#include "common/server/udp_port.h"
#include "common/settings/token_node_settings.h"

namespace umberhold {

/** Optional collaborators of a node. Functions are called on the loop thread. */
struct TokenNodeHooks {
  /** Borrowed. Without it, decisions are counted but not logged. */
  StructuredLog* log = nullptr;
  /** Borrowed. Shares observations of hosts between nodes; without it, each node uses only its own.
   */
  ObservationExchange* observations = nullptr;
  std::function<StoreReadStatus()> storeStatus;
  /** Answers requests of other nodes on the settings' peerAddress; without it, that port is not
   * opened. */
  TextResponder answerPeer;
  /** Reads the settings again; without it reload() does nothing. */
  std::function<Result<TokenNodeSettings, SettingsError>()> readSettings;
  /** Returns whether the settings have changed without a call of reload(); polled every few
   * seconds. */
  std::function<bool()> settingsChanged;
};

/** The node process; see the file comment. */
class TokenNode {
 public:
  /** Opens the ports. @param format, source borrowed; must outlive the node. */
  static Result<std::unique_ptr<TokenNode>, PortError> create(const TokenNodeSettings& settings,
                                                              const PacketFormat& format,
                                                              CatalogSource& source,
                                                              TokenNodeHooks hooks = {});
  ~TokenNode();

  /**
   * Runs until stop() and then for the linger time, during which the node reports not ready but
   * still forwards packets.
   */
  void run();
  /** Starts the shutdown. Async-signal safe. */
  void stop();
  /** Requests a reload of the settings. Options that can change at run time are applied; invalid
   * settings are rejected as a whole. Async-signal safe. */
  void reload();
  /** @return the endpoint that receives packets. */
  Endpoint data() const;
  /** @return the endpoint that serves readiness. */
  Endpoint readiness() const;
  /** @return the endpoint that serves metrics; port 0 if the settings give no address. */
  Endpoint metrics() const;

 private:
  struct Parts;
  explicit TokenNode(std::unique_ptr<Parts> parts);
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
