#include "test/soak/world/exchange.h"

#include <charconv>
#include <string_view>

#include "common/base/hash.h"

namespace umberhold::soak {
namespace {

constexpr const char* kHeaderEnd = "\r\n\r\n";
constexpr const char* kLengthHeader = "Content-Length";
constexpr const char* kServiceHeader = "Service";
constexpr const char* kNotRunHeader = "Umberhold-Not-Executed";
constexpr const char* kAnswerBytesHeader = "Answer-Bytes";
/** Body length of a request that must not run more than once. */
constexpr uint32_t kPostBodyBytes = 900;
constexpr uint32_t kAlphabetSize = 26;

std::string headerLine(const std::string& name, const std::string& value) {
  return name + ": " + value + "\r\n";
}

std::string headerValue(const std::string& header, const std::string& name) {
  const size_t at = header.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const size_t begin = at + name.size() + 4;
  return header.substr(begin, header.find("\r\n", begin) - begin);
}

uint64_t headerNumber(const std::string& header, const std::string& name) {
  const std::string text = headerValue(header, name);
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/** Header and body of a message. */
struct Message {
  std::string header;
  std::string body;
};

std::optional<Message> extractMessage(std::string& text) {
  const size_t end = text.find(kHeaderEnd);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Message message{text.substr(0, end + 2), {}};
  const size_t begin = end + std::string_view(kHeaderEnd).size();
  const size_t length = headerNumber(message.header, kLengthHeader);
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
    body.push_back(static_cast<char>('a' + state % kAlphabetSize));
  }
  return body;
}

std::string requestText(const Request& request) {
  const std::string body = request.repeatable ? "" : bodyOf(request.id, kPostBodyBytes);
  return std::string(request.repeatable ? "GET" : "POST") + " / HTTP/1.1\r\n" +
         headerLine(kRequestHeader, std::to_string(request.id)) +
         headerLine(kAnswerBytesHeader, std::to_string(request.answerBytes)) +
         headerLine(kLengthHeader, std::to_string(body.size())) + "\r\n" + body;
}

std::string answerText(const Request& request, const std::string& service) {
  return "HTTP/1.1 200 OK\r\n" + headerLine(kRequestHeader, std::to_string(request.id)) +
         headerLine(kServiceHeader, service) +
         headerLine(kLengthHeader, std::to_string(request.answerBytes)) + "\r\n" +
         bodyOf(request.id, request.answerBytes);
}

std::string rejectionText(const Request& request) {
  return "HTTP/1.1 503 Service Unavailable\r\n" +
         headerLine(kRequestHeader, std::to_string(request.id)) + headerLine(kNotRunHeader, "1") +
         headerLine(kLengthHeader, "0") + "\r\n";
}

std::optional<Request> extractRequest(std::string& text) {
  const auto message = extractMessage(text);
  if (!message) {
    return std::nullopt;
  }
  Request request;
  request.id = headerNumber(message->header, kRequestHeader);
  request.repeatable = message->header.rfind("GET", 0) == 0;
  request.answerBytes = static_cast<uint32_t>(headerNumber(message->header, kAnswerBytesHeader));
  return request;
}

std::optional<Answer> extractAnswer(std::string& text) {
  auto message = extractMessage(text);
  if (!message) {
    return std::nullopt;
  }
  return Answer{headerNumber(message->header, kRequestHeader),
                headerValue(message->header, kServiceHeader), std::move(message->body),
                !headerValue(message->header, kNotRunHeader).empty()};
}

}  // namespace umberhold::soak
