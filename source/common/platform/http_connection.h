/**
 * @file A reused HTTP/1.1 connection, for callers that ask one server again and again.
 *
 * A call that fails leaves no connection behind: the next one opens a fresh one, because nothing
 * more can be expected of a connection whose answer was lost. A server that is cut off says
 * nothing, so the kernel is set to give unacknowledged bytes and silent peers up after a few
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

/** When the kernel gives a silent peer up. */
struct UnresponsivePeerLimits {
  /** Bytes sent without an acknowledgement. */
  Duration unacknowledged = std::chrono::seconds(3);
  /** Idle time before the first probe of an idle connection; whole seconds. */
  Duration idle = std::chrono::seconds(2);
  /** Time between two probes; whole seconds. */
  Duration probeInterval = std::chrono::seconds(1);
  /** Probes without an answer after which the connection counts as broken. */
  int probes = 2;
};

/** At most one call at a time. Not thread safe, but abort() and interrupt() may come from another
 * thread. */
class HttpConnection {
 public:
  HttpConnection(const Endpoint& server, CallLimits limits, UnresponsivePeerLimits silentPeer = {});
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** @return kUnavailable where nothing was sent, kAnswerLost where no whole answer came. */
  Result<HttpCallAnswer, StoreError> call(const HttpCall& call);
  /** Ends a call under way and refuses those to come; each of them fails at once. */
  void abort();
  /** Ends a call under way, which fails; the next one opens a fresh connection. */
  void interrupt();
  /** @return connections opened so far. */
  uint64_t connectionsOpened() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
