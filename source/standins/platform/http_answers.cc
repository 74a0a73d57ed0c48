#include "standins/platform/http_answers.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <sys/socket.h>

#include "common/platform/store_json.h"

namespace umberhold::standins {

void sendJson(Poco::Net::HTTPServerResponse& response, Poco::Net::HTTPResponse::HTTPStatus status,
              const std::string& body) {
  response.setStatusAndReason(status);
  response.setContentType("application/json");
  response.sendBuffer(body.data(), body.size());
}

void sendError(Poco::Net::HTTPServerResponse& response, Poco::Net::HTTPResponse::HTTPStatus status,
               const std::string& code, const std::string& message) {
  sendJson(response, status, encodeError(code, message));
}

bool isClosedByClient(Poco::Net::HTTPServerRequest& request) {
  Poco::Net::StreamSocket& socket =
      dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
  try {
    char next = 0;
    return socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ) &&
           socket.receiveBytes(&next, 1, MSG_PEEK) == 0;
  } catch (const Poco::Exception&) {
    return true;  // The connection was reset.
  }
}

void dropConnection(Poco::Net::HTTPServerRequest& request) {
  auto& implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  implementation.detachSocket().close();
}

std::string readBody(Poco::Net::HTTPServerRequest& request) {
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  return body;
}

std::optional<std::string> queryText(const Poco::Net::HTTPServerRequest& request,
                                     const std::string& key) {
  for (const auto& [name, value] : Poco::URI(request.getURI()).getQueryParameters()) {
    if (name == key) {
      return value;
    }
  }
  return std::nullopt;
}

std::optional<uint64_t> queryNumber(const Poco::Net::HTTPServerRequest& request,
                                    const std::string& key) {
  const auto text = queryText(request, key);
  Poco::UInt64 number = 0;
  if (!text || !Poco::NumberParser::tryParseUnsigned64(*text, number)) {
    return std::nullopt;
  }
  return number;
}

}  // namespace umberhold::standins
