#include "common/platform/http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/Timespan.h>

#include <array>
#include <chrono>
#include <istream>
#include <ostream>

namespace umberhold {
namespace {

constexpr size_t kReadBytes = 16384;

Poco::Timespan toTimespan(Duration duration) {
  return Poco::Timespan(duration.count());
}

/**
 * Parses the delay-seconds form of Retry-After only (RFC 9110, 10.2.3); the platform does not use
 * the date form.
 */
std::optional<Duration> readRetryAfter(const Poco::Net::HTTPResponse& response) {
  unsigned seconds = 0;
  if (Poco::NumberParser::tryParseUnsigned(response.get("Retry-After", ""), seconds)) {
    return std::chrono::seconds(seconds);
  }
  return std::nullopt;
}

/** Reads the body until its end; throws at the byte limit or the deadline. */
std::string readBody(std::istream& stream, size_t limit,
                     std::chrono::steady_clock::time_point deadline) {
  std::string body;
  std::array<char, kReadBytes> buffer{};
  while (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0) {
    body.append(buffer.data(), static_cast<size_t>(stream.gcount()));
    if (body.size() > limit) {
      throw Poco::DataException("answer too long");
    }
    if (std::chrono::steady_clock::now() > deadline) {
      throw Poco::TimeoutException("answer too slow");
    }
  }
  return body;
}

Poco::Net::HTTPRequest makeRequest(const Endpoint& server, const HttpCall& call, bool keepAlive) {
  Poco::Net::HTTPRequest request(call.method, call.target, Poco::Net::HTTPMessage::HTTP_1_1);
  request.setHost(addressToString(server.address), server.port);
  request.setKeepAlive(keepAlive);
  request.setContentLength(static_cast<std::streamsize>(call.body.size()));
  if (!call.body.empty()) {
    request.setContentType("application/json");
  }
  for (const HttpHeader& header : call.headers) {
    request.set(header.name, header.value);
  }
  return request;
}

}  // namespace

HttpExchange exchangeOn(Poco::Net::HTTPClientSession& session, const Endpoint& server,
                        const HttpCall& call, const CallLimits& limits, bool keepAlive) {
  const Duration allowed = limits.answer + call.longPollTimeout;
  const auto deadline = std::chrono::steady_clock::now() + allowed;
  session.setTimeout(toTimespan(limits.connect), toTimespan(limits.answer), toTimespan(allowed));
  // A session applies its timeouts only to sockets that it connects itself.
  session.socket().setSendTimeout(toTimespan(limits.answer));
  const Duration tolerance = call.answerTolerance.value_or(limits.answer);
  session.socket().setReceiveTimeout(toTimespan(call.longPollTimeout + tolerance));
  Poco::Net::HTTPRequest request = makeRequest(server, call, keepAlive);
  session.sendRequest(request) << call.body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& stream = session.receiveResponse(response);
  session.socket().setReceiveTimeout(toTimespan(tolerance));
  HttpExchange exchange;
  exchange.answer.status = response.getStatus();
  exchange.answer.retryAfter = readRetryAfter(response);
  exchange.answer.body = readBody(stream, limits.answerBytes, deadline);
  if (response.hasContentLength() &&
      static_cast<Poco::Int64>(exchange.answer.body.size()) != response.getContentLength64()) {
    throw Poco::DataException("answer cut short");
  }
  const bool delimited = response.hasContentLength() || response.getChunkedTransferEncoding();
  exchange.reusable = keepAlive && delimited && response.getKeepAlive();
  return exchange;
}

}  // namespace umberhold
