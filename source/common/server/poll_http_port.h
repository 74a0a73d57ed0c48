/**
 * @file A small HTTP/1.1 port that answers GET with short texts: readiness, metrics.
 *
 * It is served by the process's own loop, without threads and without a wake-up of its own;
 * http_server.h is the full server.
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

/** Connections at once; further ones replace the oldest. */
constexpr size_t kPollHttpConnections = 64;
/** Longest request head, bytes. */
constexpr size_t kPollHttpHeadBytes = 4096;

/** The text that a path is answered with. */
struct TextAnswer {
  bool available = true;
  std::string contentType = "text/plain";
  std::string body;
};

/** @param path without its query. @return nothing where there is no such path. */
using TextResponder = std::function<std::optional<TextAnswer>(const std::string& path)>;

/** What a request is answered with on the wire. */
struct RenderedAnswer {
  std::string bytes;
  /** Whether the connection stays open. */
  bool keep = true;
};

/** @param head the request's head without its empty line; pure but for the responder. */
RenderedAnswer renderAnswer(const std::string& head, const TextResponder& responder);

/** Answers one path: 200 while ready, 503 otherwise. */
TextResponder readinessResponder(std::string path, std::function<bool()> ready);

/** Not thread safe. */
class PollHttpPort {
 public:
  /** @param loop borrowed. @param responder asked at each request. */
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
    /** What has arrived of the next request. */
    std::string head;
    /** What the caller has not taken yet of the last answer. */
    std::string unsent;
    bool keep = true;
    /** Tells a connection from a later one with the same descriptor. */
    uint64_t number = 0;
    int sendTries = 0;
  };

  PollHttpPort(int listener, PollLoop& loop, TextResponder responder);
  void accept();
  void read(int descriptor);
  void send(int descriptor);
  /** Sends the rest a little later, unless the connection has ended meanwhile. */
  void sendLater(int descriptor);
  void close(int descriptor);

  const int listener_;
  PollLoop& loop_;
  const TextResponder responder_;
  std::map<int, Connection> connections_;
  uint64_t accepted_ = 0;
};

}  // namespace umberhold
