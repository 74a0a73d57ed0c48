/**
 * @file A persistent HTTP/1.1 connection, for clients that call the same server repeatedly.
 *
 * A failed call closes the connection and the next one opens a new one, because a connection whose
 * response was lost cannot be reused. A server that was cut off sends no reset, so the kernel is
 * configured to drop connections with unacknowledged bytes or an unresponsive peer after a few
 * seconds.
 */
#pragma once

#include <cstdint>
#include <memory>

#include "common/base/endpoint.h"
#include "common/base/result.h"
#include "common/platform/http_call.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** TCP limits after which the kernel drops a connection to an unresponsive peer. */
struct UnresponsivePeerLimits {
  /** Maximum time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT). */
  Duration unacknowledged = std::chrono::seconds(3);
  /** Idle time before the first keepalive probe; rounded up to whole seconds. */
  Duration idle = std::chrono::seconds(2);
  /** Time between two keepalive probes; rounded up to whole seconds. */
  Duration probeInterval = std::chrono::seconds(1);
  /** Unanswered keepalive probes after which the connection is dropped. */
  int probes = 2;
};

/**
 * Runs at most one call at a time. Not thread safe, except that abort() and interrupt() may be
 * called from another thread.
 */
class HttpConnection {
 public:
  HttpConnection(const Endpoint& server, CallLimits limits,
                 UnresponsivePeerLimits unresponsivePeer = {});
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /**
   * @return the response; kUnavailable if nothing was sent, kAnswerLost if no complete response was
   * received.
   */
  Result<HttpCallAnswer, StoreError> call(const HttpCall& call);
  /** Ends the call in progress and rejects all later calls; each of them fails immediately. */
  void abort();
  /** Ends the call in progress, which fails; the next call opens a new connection. */
  void interrupt();
  /** @return the number of connections opened so far. */
  uint64_t connectionsOpened() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umberhold
