/**
 * @file A small HTTP/1.1 server that answers GET with short texts such as readiness and metrics.
 *
 * It runs on the process's own loop, without threads and without periodic wake-ups; http_server.h
 * is the full server.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "common/base/endpoint.h"
#include "common/base/result.h"
#include "common/server/poll_loop.h"
#include "common/server/udp_port.h"

namespace umberhold {

/** Maximum number of open connections; a further one replaces the oldest. */
constexpr size_t kPollHttpConnections = 64;
/** Maximum length of a request head, bytes. */
constexpr size_t kPollHttpHeadBytes = 4096;

/** Text response to a request for a path. */
struct TextAnswer {
  bool available = true;
  std::string contentType = "text/plain";
  std::string body;
};

/** @param path without its query. @return the response, or nothing if the path is unknown. */
using TextResponder = std::function<std::optional<TextAnswer>(const std::string& path)>;

/** A response in wire format. */
struct RenderedAnswer {
  std::string bytes;
  /** Whether the connection stays open. */
  bool keep = true;
};

/** @param head the request's head without the terminating empty line. Has no side effects other
 * than those of the responder. */
RenderedAnswer renderAnswer(const std::string& head, const TextResponder& responder);

/** @return a responder for one path: 200 while ready, 503 otherwise. */
TextResponder readinessResponder(std::string path, std::function<bool()> ready);

/** The HTTP server. Not thread safe. */
class PollHttpPort {
 public:
  /** @param loop borrowed. @param responder called for each request. */
  static Result<std::unique_ptr<PollHttpPort>, PortError> open(const Endpoint& local,
                                                               PollLoop& loop,
                                                               TextResponder responder);
  ~PollHttpPort();
  PollHttpPort(const PollHttpPort&) = delete;
  PollHttpPort& operator=(const PollHttpPort&) = delete;

  /** @return the bound endpoint. */
  Endpoint local() const;

 private:
  struct Connection {
    /** Received part of the next request. */
    std::string head;
    /** Part of the last response that is not sent yet. */
    std::string unsent;
    bool keep = true;
    /** Distinguishes a connection from a later one with the same descriptor. */
    uint64_t number = 0;
    int sendRetries = 0;
  };

  PollHttpPort(int listener, PollLoop& loop, TextResponder responder);
  void accept();
  void read(int descriptor);
  void send(int descriptor);
  /** Sends the rest after kSendRetryDelay, unless the connection has been closed by then. */
  void sendLater(int descriptor);
  void close(int descriptor);

  const int listener_;
  PollLoop& loop_;
  const TextResponder responder_;
  std::map<int, Connection> connections_;
  uint64_t accepted_ = 0;
};

}  // namespace umberhold
