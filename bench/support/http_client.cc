#include "bench/support/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace umberhold::experiment {

std::optional<HttpResponse> httpCall(const Endpoint& server, const HttpRequest& request) {
  try {
    Poco::Net::HTTPClientSession session(addressToString(server.address), server.port);
    session.setTimeout(Poco::Timespan(request.timeoutSeconds, 0));
    Poco::Net::HTTPRequest httpRequest(request.method, request.path,
                                       Poco::Net::HTTPMessage::HTTP_1_1);
    for (const HttpHeader& header : request.headers) {
      httpRequest.set(header.name, header.value);
    }
    httpRequest.setContentLength(static_cast<std::streamsize>(request.body.size()));
    httpRequest.setContentType("application/json");
    session.sendRequest(httpRequest) << request.body;
    Poco::Net::HTTPResponse httpResponse;
    HttpResponse response;
    Poco::StreamCopier::copyToString(session.receiveResponse(httpResponse), response.body);
    response.status = static_cast<int>(httpResponse.getStatus());
    return response;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

std::optional<HttpResponse> httpCall(const Endpoint& server, const std::string& method,
                                     const std::string& path, const std::string& body) {
  return httpCall(server, HttpRequest{method, path, body, {}, 2});
}

bool httpOk(const Endpoint& server, const std::string& path) {
  const auto response = httpCall(server, HttpRequest{"GET", path, "", {}, 2});
  return response && response->status == kHttpOk;
}

}  // namespace umberhold::experiment
