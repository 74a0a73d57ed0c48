/** @file Small helpers that the stand-in platform's handlers answer with. */
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
/** @return whether the caller has closed its end, so that it waits for no answer any more. */
bool isClosedByClient(Poco::Net::HTTPServerRequest& request);
/** Closes the connection without an answer. */
void dropConnection(Poco::Net::HTTPServerRequest& request);
/** @return the whole request body. */
std::string readBody(Poco::Net::HTTPServerRequest& request);
/** @return a query parameter, or nothing where it is absent. */
std::optional<std::string> queryText(const Poco::Net::HTTPServerRequest& request,
                                     const std::string& key);
/** @return a query parameter as a number; nothing where it is absent or no number. */
std::optional<uint64_t> queryNumber(const Poco::Net::HTTPServerRequest& request,
                                    const std::string& key);

}  // namespace umberhold::standins
