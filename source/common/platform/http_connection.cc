#include "common/platform/http_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <netinet/tcp.h>

#include <atomic>
#include <mutex>
#include <optional>

#include "common/platform/http_exchange.h"

namespace umberhold {
namespace {

int wholeSeconds(Duration duration) {
  return static_cast<int>(std::chrono::ceil<std::chrono::seconds>(duration).count());
}

int wholeMilliseconds(Duration duration) {
  return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

void setUnresponsivePeerLimits(Poco::Net::StreamSocket& socket,
                               const UnresponsivePeerLimits& limits) {
  socket.setKeepAlive(true);
  socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, wholeSeconds(limits.idle));
  socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, wholeSeconds(limits.probeInterval));
  socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, limits.probes);
  socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, wholeMilliseconds(limits.unacknowledged));
}

}  // namespace

struct HttpConnection::Impl {
  /** Opens a connection if there is none; throws Poco::Exception. */
  void open() {
    if (session) {
      return;
    }
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(addressToString(server.address), server.port),
                   Poco::Timespan(limits.connect.count()));
    socket.setNoDelay(true);
    setUnresponsivePeerLimits(socket, unresponsivePeer);
    const std::lock_guard lock(mutex);
    if (aborted) {
      throw Poco::IllegalStateException("calls were ended");
    }
    // The socket's state is shared: shutting down this copy also ends the session's call.
    currentSocket = socket;
    session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
    session->setKeepAlive(true);
    ++opened;
  }

  /** Ends the call in progress. The mutex must be held. */
  void endCall() {
    if (!currentSocket) {
      return;
    }
    try {
      currentSocket->shutdown();
    } catch (const Poco::Exception&) {
      // The peer has already closed the connection: there is no call to end.
    }
  }

  void close() {
    const std::lock_guard lock(mutex);
    session.reset();
    currentSocket.reset();
  }

  const Endpoint server;
  const CallLimits limits;
  const UnresponsivePeerLimits unresponsivePeer;
  std::mutex mutex;
  bool aborted = false;
  std::optional<Poco::Net::StreamSocket> currentSocket;
  std::unique_ptr<Poco::Net::HTTPClientSession> session;
  std::atomic<uint64_t> opened{0};
  /** The connection was shut down by another thread: the next call must not use it. */
  std::atomic<bool> interrupted{false};
};

HttpConnection::HttpConnection(const Endpoint& server, CallLimits limits,
                               UnresponsivePeerLimits unresponsivePeer)
    : impl_(new Impl{server, limits, unresponsivePeer, {}, false, {}, {}, {}, {}}) {}

HttpConnection::~HttpConnection() = default;

Result<HttpCallAnswer, StoreError> HttpConnection::call(const HttpCall& call) {
  if (impl_->interrupted.exchange(false)) {
    impl_->close();
  }
  try {
    impl_->open();
  } catch (const Poco::Exception& error) {
    impl_->close();
    return StoreError{StoreErrorCode::kUnavailable, error.displayText(), std::nullopt};
  }
  try {
    HttpExchange exchange = exchangeOn(*impl_->session, impl_->server, call, impl_->limits, true);
    if (!exchange.reusable) {
      impl_->close();
    }
    return std::move(exchange.answer);
  } catch (const Poco::Exception& error) {
    impl_->close();
    return StoreError{StoreErrorCode::kAnswerLost, error.displayText(), std::nullopt};
  } catch (const std::exception& error) {
    impl_->close();
    return StoreError{StoreErrorCode::kAnswerLost, error.what(), std::nullopt};
  }
}

void HttpConnection::abort() {
  const std::lock_guard lock(impl_->mutex);
  impl_->aborted = true;
  impl_->endCall();
}

void HttpConnection::interrupt() {
  const std::lock_guard lock(impl_->mutex);
  impl_->interrupted = true;
  impl_->endCall();
}

uint64_t HttpConnection::connectionsOpened() const {
  return impl_->opened;
}

}  // namespace umberhold
