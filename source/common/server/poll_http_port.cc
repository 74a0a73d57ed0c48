#include "common/server/poll_http_port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "common/platform/steady_now.h"

namespace umberhold {
namespace {

constexpr int kBacklog = 64;
constexpr const char* kHeadEnd = "\r\n\r\n";
/** Maximum number of send retries before the connection of a slow client is closed. */
constexpr int kMaxSendRetries = 200;
constexpr Duration kSendRetryDelay = std::chrono::milliseconds(10);

int openListener(const Endpoint& local) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(local.address);
  address.sin_port = htons(local.port);
  const auto* bound = reinterpret_cast<const sockaddr*>(&address);
  if (::bind(listener, bound, sizeof address) != 0 || ::listen(listener, kBacklog) != 0) {
    const int cause = errno;
    ::close(listener);
    errno = cause;
    return -1;
  }
  return listener;
}

std::string render(const std::string& status, const TextAnswer& answer, bool keep) {
  return "HTTP/1.1 " + status + "\r\nContent-Type: " + answer.contentType +
         "\r\nContent-Length: " + std::to_string(answer.body.size()) +
         (keep ? "" : "\r\nConnection: close") + kHeadEnd + answer.body;
}

/** @return the path of a GET request, or nothing for other requests. */
std::optional<std::string> requestedPath(const std::string& head) {
  constexpr std::string_view kMethod = "GET ";
  const std::string line = head.substr(0, head.find('\r'));
  if (line.rfind(kMethod, 0) != 0) {
    return std::nullopt;
  }
  return line.substr(kMethod.size(), line.find_first_of(" ?", kMethod.size()) - kMethod.size());
}

}  // namespace

RenderedAnswer renderAnswer(const std::string& head, const TextResponder& responder) {
  const bool keep = head.find("onnection: close") == std::string::npos;
  const auto path = requestedPath(head);
  const auto answer = path ? responder(*path) : std::nullopt;
  if (!answer) {
    return {render("404 Not Found", {true, "text/plain", "unknown path\n"}, keep), keep};
  }
  return {render(answer->available ? "200 OK" : "503 Service Unavailable", *answer, keep), keep};
}

TextResponder readinessResponder(std::string path, std::function<bool()> ready) {
  return [path = std::move(path),
          ready = std::move(ready)](const std::string& requested) -> std::optional<TextAnswer> {
    if (requested != path) {
      return std::nullopt;
    }
    const bool isReady = ready();
    return TextAnswer{isReady, "text/plain", isReady ? "ready\n" : "not ready\n"};
  };
}

Result<std::unique_ptr<PollHttpPort>, PortError> PollHttpPort::open(const Endpoint& local,
                                                                    PollLoop& loop,
                                                                    TextResponder responder) {
  const int listener = openListener(local);
  if (listener < 0) {
    return PortError{local, std::strerror(errno)};
  }
  return std::unique_ptr<PollHttpPort>(new PollHttpPort(listener, loop, std::move(responder)));
}

PollHttpPort::PollHttpPort(int listener, PollLoop& loop, TextResponder responder)
    : listener_(listener), loop_(loop), responder_(std::move(responder)) {
  loop_.watch(listener_, [this] { accept(); });
}

PollHttpPort::~PollHttpPort() {
  loop_.unwatch(listener_);
  ::close(listener_);
  for (const auto& [descriptor, connection] : connections_) {
    loop_.unwatch(descriptor);
    ::close(descriptor);
  }
}

Endpoint PollHttpPort::local() const {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

void PollHttpPort::accept() {
  const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor < 0) {
    return;
  }
  if (connections_.size() >= kPollHttpConnections) {
    const auto oldest = std::min_element(connections_.begin(), connections_.end(),
                                         [](const auto& left, const auto& right) {
                                           return left.second.number < right.second.number;
                                         });
    close(oldest->first);
  }
  connections_[descriptor].number = ++accepted_;
  loop_.watch(descriptor, [this, descriptor] { read(descriptor); });
}

void PollHttpPort::read(int descriptor) {
  std::array<char, kPollHttpHeadBytes> buffer{};
  const ssize_t count = ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  Connection& connection = connections_[descriptor];
  std::string& head = connection.head;
  if (count <= 0 || head.size() + static_cast<size_t>(count) > kPollHttpHeadBytes) {
    close(descriptor);
    return;
  }
  head.append(buffer.data(), static_cast<size_t>(count));
  const size_t end = head.find(kHeadEnd);
  if (end == std::string::npos) {
    return;
  }
  RenderedAnswer answer = renderAnswer(head.substr(0, end), responder_);
  head.erase(0, end + std::strlen(kHeadEnd));
  connection.unsent += answer.bytes;
  connection.keep = answer.keep;
  send(descriptor);
}

void PollHttpPort::send(int descriptor) {
  Connection& connection = connections_[descriptor];
  std::string& unsent = connection.unsent;
  const ssize_t sent =
      ::send(descriptor, unsent.data(), unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  const bool full = sent < 0 && (errno == EAGAIN || errno == EINTR);
  if (sent < 0 && !full) {
    close(descriptor);
    return;
  }
  unsent.erase(0, full ? 0 : static_cast<size_t>(sent));
  if (!unsent.empty()) {
    sendLater(descriptor);
  } else if (!connection.keep) {
    close(descriptor);
  } else {
    connection.sendRetries = 0;
  }
}

void PollHttpPort::sendLater(int descriptor) {
  Connection& connection = connections_[descriptor];
  if (++connection.sendRetries > kMaxSendRetries) {
    close(descriptor);
    return;
  }
  loop_.at(steadyNow() + kSendRetryDelay, [this, descriptor, number = connection.number] {
    const auto found = connections_.find(descriptor);
    if (found != connections_.end() && found->second.number == number) {
      send(descriptor);
    }
  });
}

void PollHttpPort::close(int descriptor) {
  loop_.unwatch(descriptor);
  ::close(descriptor);
  connections_.erase(descriptor);
}

}  // namespace umberhold
