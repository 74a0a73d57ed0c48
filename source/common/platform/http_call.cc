#include "common/platform/http_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include "common/platform/http_exchange.h"

namespace umberhold {
namespace {

constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;

}  // namespace

StoreErrorCode storeErrorOfStatus(int status) {
  switch (status) {
    case kHttpNotFound:
      return StoreErrorCode::kNotFound;
    case kHttpConflict:
      return StoreErrorCode::kConflict;
    case kHttpGone:
      return StoreErrorCode::kTooOld;
    case kHttpTooManyRequests:
    case kHttpUnavailable:
      return StoreErrorCode::kUnavailable;
    default:
      return status >= kHttpServerError ? StoreErrorCode::kAnswerLost : StoreErrorCode::kRejected;
  }
}

Result<HttpCallAnswer, StoreError> callHttp(const Endpoint& server, const HttpCall& call,
                                            const CallLimits& limits) {
  Poco::Net::StreamSocket socket;
  try {
    socket.connect(Poco::Net::SocketAddress(addressToString(server.address), server.port),
                   Poco::Timespan(limits.connect.count()));
  } catch (const Poco::Exception& error) {
    return StoreError{StoreErrorCode::kUnavailable, error.displayText(), std::nullopt};
  }
  try {
    Poco::Net::HTTPClientSession session(socket);
    return exchangeOn(session, server, call, limits, false).answer;
  } catch (const Poco::Exception& error) {
    return StoreError{StoreErrorCode::kAnswerLost, error.displayText(), std::nullopt};
  } catch (const std::exception& error) {
    return StoreError{StoreErrorCode::kAnswerLost, error.what(), std::nullopt};
  }
}

}  // namespace umberhold
