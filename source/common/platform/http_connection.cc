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

void limitSilence(Poco::Net::StreamSocket& socket, const UnresponsivePeerLimits& limits) {
  socket.setKeepAlive(true);
  socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, wholeSeconds(limits.idle));
  socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, wholeSeconds(limits.probeInterval));
  socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, limits.probes);
  socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, wholeMilliseconds(limits.unacknowledged));
}

}  // namespace

struct HttpConnection::Parts {
  /** Opens a connection where none is left; throws Poco::Exception. */
  void open() {
    if (session) {
      return;
    }
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(addressToString(server.address), server.port),
                   Poco::Timespan(limits.connect.count()));
    socket.setNoDelay(true);
    limitSilence(socket, silentPeer);
    const std::lock_guard lock(mutex);
    if (aborted) {
      throw Poco::IllegalStateException("calls were ended");
    }
    // The socket's state is shared: closing this copy ends the session's call too.
    current = socket;
    session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
    session->setKeepAlive(true);
    ++opened;
  }

  /** Call it with the mutex held. */
  void endCall() {
    if (!current) {
      return;
    }
    try {
      current->shutdown();
    } catch (const Poco::Exception&) {
      // The peer has closed it already: there is no call to end.
    }
  }

  void close() {
    const std::lock_guard lock(mutex);
    session.reset();
    current.reset();
  }

  const Endpoint server;
  const CallLimits limits;
  const UnresponsivePeerLimits silentPeer;
  std::mutex mutex;
  bool aborted = false;
  std::optional<Poco::Net::StreamSocket> current;
  std::unique_ptr<Poco::Net::HTTPClientSession> session;
  std::atomic<uint64_t> opened{0};
  /** The connection was ended from another thread: the next call must not use it. */
  std::atomic<bool> interrupted{false};
};

HttpConnection::HttpConnection(const Endpoint& server, CallLimits limits,
                               UnresponsivePeerLimits silentPeer)
    : parts_(new Parts{server, limits, silentPeer, {}, false, {}, {}, {}, {}}) {}

HttpConnection::~HttpConnection() = default;

Result<HttpCallAnswer, StoreError> HttpConnection::call(const HttpCall& call) {
  if (parts_->interrupted.exchange(false)) {
    parts_->close();
  }
  try {
    parts_->open();
  } catch (const Poco::Exception& error) {
    parts_->close();
    return StoreError{StoreErrorCode::kUnavailable, error.displayText(), std::nullopt};
  }
  try {
    HttpExchange exchange =
        exchangeOn(*parts_->session, parts_->server, call, parts_->limits, true);
    if (!exchange.reusable) {
      parts_->close();
    }
    return std::move(exchange.answer);
  } catch (const Poco::Exception& error) {
    parts_->close();
    return StoreError{StoreErrorCode::kAnswerLost, error.displayText(), std::nullopt};
  } catch (const std::exception& error) {
    parts_->close();
    return StoreError{StoreErrorCode::kAnswerLost, error.what(), std::nullopt};
  }
}

void HttpConnection::abort() {
  const std::lock_guard lock(parts_->mutex);
  parts_->aborted = true;
  parts_->endCall();
}

void HttpConnection::interrupt() {
  const std::lock_guard lock(parts_->mutex);
  parts_->interrupted = true;
  parts_->endCall();
}

uint64_t HttpConnection::connectionsOpened() const {
  return parts_->opened;
}

}  // namespace umberhold
