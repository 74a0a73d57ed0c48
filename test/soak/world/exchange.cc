#include "test/soak/world/exchange.h"

#include <charconv>
#include <string_view>

#include "common/base/hash.h"

namespace umberhold::soak {
namespace {

constexpr const char* kEndOfHead = "\r\n\r\n";
constexpr const char* kLengthHeader = "Content-Length";
constexpr const char* kServiceHeader = "Service";
constexpr const char* kNotRunHeader = "Umberhold-Not-Executed";
constexpr const char* kWantedHeader = "Answer-Bytes";
/** Body length of a request that must not run more than once. */
constexpr uint32_t kPostedBytes = 900;
constexpr uint32_t kLetters = 26;

std::string line(const std::string& name, const std::string& value) {
  return name + ": " + value + "\r\n";
}

std::string valueOf(const std::string& head, const std::string& name) {
  const size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const size_t begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

uint64_t numberOf(const std::string& head, const std::string& name) {
  const std::string text = valueOf(head, name);
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/** Header and body of a message. */
struct Message {
  std::string head;
  std::string body;
};

std::optional<Message> takeMessage(std::string& text) {
  const size_t end = text.find(kEndOfHead);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Message message{text.substr(0, end + 2), {}};
  const size_t begin = end + std::string_view(kEndOfHead).size();
  const size_t length = numberOf(message.head, kLengthHeader);
  if (text.size() < begin + length) {
    return std::nullopt;
  }
  message.body = text.substr(begin, length);
  text.erase(0, begin + length);
  return message;
}

}  // namespace

std::string bodyOf(uint64_t id, uint32_t bytes) {
  std::string body;
  body.reserve(bytes);
  uint64_t state = id;
  for (uint32_t at = 0; at < bytes; ++at) {
    state = mixHash(state, at);
    body.push_back(static_cast<char>('a' + state % kLetters));
  }
  return body;
}

std::string requestText(const Request& request) {
  const std::string body = request.repeatable ? "" : bodyOf(request.id, kPostedBytes);
  return std::string(request.repeatable ? "GET" : "POST") + " / HTTP/1.1\r\n" +
         line(kRequestHeader, std::to_string(request.id)) +
         line(kWantedHeader, std::to_string(request.answerBytes)) +
         line(kLengthHeader, std::to_string(body.size())) + "\r\n" + body;
}

std::string answerText(const Request& request, const std::string& service) {
  return "HTTP/1.1 200 OK\r\n" + line(kRequestHeader, std::to_string(request.id)) +
         line(kServiceHeader, service) + line(kLengthHeader, std::to_string(request.answerBytes)) +
         "\r\n" + bodyOf(request.id, request.answerBytes);
}

std::string refusalText(const Request& request) {
  return "HTTP/1.1 503 Service Unavailable\r\n" + line(kRequestHeader, std::to_string(request.id)) +
         line(kNotRunHeader, "1") + line(kLengthHeader, "0") + "\r\n";
}

std::optional<Request> takeRequest(std::string& text) {
  const auto message = takeMessage(text);
  if (!message) {
    return std::nullopt;
  }
  Request request;
  request.id = numberOf(message->head, kRequestHeader);
  request.repeatable = message->head.rfind("GET", 0) == 0;
  request.answerBytes = static_cast<uint32_t>(numberOf(message->head, kWantedHeader));
  return request;
}

std::optional<Answer> takeAnswer(std::string& text) {
  auto message = takeMessage(text);
  if (!message) {
    return std::nullopt;
  }
  return Answer{numberOf(message->head, kRequestHeader), valueOf(message->head, kServiceHeader),
                std::move(message->body), !valueOf(message->head, kNotRunHeader).empty()};
}

}  // namespace umberhold::soak
