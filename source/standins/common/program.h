/** @file Signal handling, logging and argument parsing shared by the stand-in programs. */
#pragma once

#include <atomic>
#include <string>

#include "common/base/endpoint.h"

namespace umberhold::standins {

/** Installs handlers of SIGTERM and SIGINT. @return the flag that they set. */
std::atomic<bool>& stopOnSignals();

/** Initializes glog with output to standard error. */
void startLogging(const char* program);

/** @return the endpoint; exits with status 2 if the text is not an endpoint (port 0 is allowed). */
Endpoint endpointOrExit(const std::string& flag, const std::string& text);

}  // namespace umberhold::standins
