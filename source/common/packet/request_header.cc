#include "common/packet/request_header.h"

#include <algorithm>
#include <cctype>

namespace umberhold {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

bool sameLetter(char left, char right) {
  return std::tolower(static_cast<unsigned char>(left)) ==
         std::tolower(static_cast<unsigned char>(right));
}

/** @return whether the line is "<header>:...". */
bool isHeaderLine(std::string_view line, std::string_view header) {
  return line.size() > header.size() && line[header.size()] == ':' &&
         std::equal(header.begin(), header.end(), line.begin(), sameLetter);
}

std::string_view trimmed(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool isPrintable(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' ||
         character == '_' || character == '.' || character == ':' || character == '/';
}

}  // namespace

std::string_view findRequestId(std::string_view payload, std::string_view header) {
  const bool beginsRequest =
      !payload.empty() && std::isupper(static_cast<unsigned char>(payload.front())) != 0;
  if (header.empty() || !beginsRequest) {
    return {};
  }
  size_t end = payload.find(kLineEnd);
  while (end != std::string_view::npos) {
    const size_t begin = end + kLineEnd.size();
    end = payload.find(kLineEnd, begin);
    if (end == std::string_view::npos || end == begin) {
      return {};  // The headers end, or continue in another packet.
    }
    const std::string_view line = payload.substr(begin, end - begin);
    if (isHeaderLine(line, header)) {
      return trimmed(line.substr(header.size() + 1));
    }
  }
  return {};
}

std::string printableRequestId(std::string_view id) {
  std::string printable(id.substr(0, kMaxRequestIdLength));
  std::replace_if(
      printable.begin(), printable.end(), [](char character) { return !isPrintable(character); },
      '?');
  return printable;
}

}  // namespace umberhold
