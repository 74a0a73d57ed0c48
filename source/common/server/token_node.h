/**
 * @file A node with the strategy "token" as a process: one thread for packets, readiness and
 * metrics, fed by a CatalogReader. It holds no flow state, talks to no other node and wakes only
 * for work, and every few seconds to look at its settings file.
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

/** What a program may give its node besides; each may be empty. Called on the loop's thread. */
struct TokenNodeHooks {
  /** Borrowed. Without it, decisions are counted and not logged. */
  StructuredLog* log = nullptr;
  /** Borrowed. What this node and others see of hosts; without it, each judges alone. */
  ObservationExchange* observations = nullptr;
  std::function<StoreReadStatus()> storeStatus;
  /** Answers other nodes at the settings' peerAddress; without it there is no such port. */
  TextResponder answerPeer;
  /** Reads the settings again; without it reload() does nothing. */
  std::function<Result<TokenNodeSettings, SettingsError>()> readSettings;
  /** Whether the settings have changed without reload() being called; asked every few seconds. */
  std::function<bool()> settingsChanged;
};

/** See the file comment. */
class TokenNode {
 public:
  /** Opens the ports. @param format, source borrowed; they must outlive the node. */
  static Result<std::unique_ptr<TokenNode>, PortError> create(const TokenNodeSettings& settings,
                                                              const PacketFormat& format,
                                                              CatalogSource& source,
                                                              TokenNodeHooks hooks = {});
  ~TokenNode();

  /**
   * Serves until stop() and then for the linger time: not ready, but forwarding.
   */
  void run();
  /** Begins the end. Async-signal safe. */
  void stop();
  /** Has the settings read again: checked, then applied as far as a running node can, or refused as
   * a whole. Async-signal safe. */
  void reload();
  /** @return where packets are taken. */
  Endpoint data() const;
  /** @return where readiness is answered. */
  Endpoint readiness() const;
  /** @return where metrics are answered; port 0 where the settings give no address. */
  Endpoint metrics() const;

 private:
  struct Parts;
  explicit TokenNode(std::unique_ptr<Parts> parts);
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
