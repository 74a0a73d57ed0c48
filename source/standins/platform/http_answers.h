/** @file HTTP helpers of the stand-in platform's request handlers. */
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <optional>
#include <string>

namespace umberhold::standins {

/** Sends a JSON body with a status. */
void sendJson(Poco::Net::HTTPServerResponse& response, Poco::Net::HTTPResponse::HTTPStatus status,
              const std::string& body);
/** Sends a JSON error body. */
void sendError(Poco::Net::HTTPServerResponse& response, Poco::Net::HTTPResponse::HTTPStatus status,
               const std::string& code, const std::string& message);
/** @return whether the client has closed its end of the connection. */
bool isClosedByClient(Poco::Net::HTTPServerRequest& request);
/** Closes the connection without a response. */
void dropConnection(Poco::Net::HTTPServerRequest& request);
/** @return the whole request body. */
std::string readBody(Poco::Net::HTTPServerRequest& request);
/** @return a query parameter, or nothing if it is absent. */
std::optional<std::string> queryText(const Poco::Net::HTTPServerRequest& request,
                                     const std::string& key);
/** @return a query parameter as a number, or nothing if it is absent or not a number. */
std::optional<uint64_t> queryNumber(const Poco::Net::HTTPServerRequest& request,
                                    const std::string& key);

}  // namespace umberhold::standins
