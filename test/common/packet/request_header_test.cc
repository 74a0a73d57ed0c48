/** @file Tests of the extraction of request identifiers. */
#include "common/packet/request_header.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

constexpr std::string_view kHeader = "X-Request";

std::string find(std::string_view payload) {
  return std::string(findRequestId(payload, kHeader));
}

}  // namespace

TEST_GROUP(RequestHeader){};

TEST(RequestHeader, IgnoresCaseAndTrimsValue) {
  STRCMP_EQUAL("a-1", find("GET /x HTTP/1.1\r\nHost: h\r\nX-Request: a-1\r\n\r\n").c_str());
  STRCMP_EQUAL("a-1", find("POST / HTTP/1.1\r\nx-rEQUEST:\t a-1 \r\nA: b\r\n\r\nbody").c_str());
}

TEST(RequestHeader, IsNotFoundOutsideRequestHeaders) {
  STRCMP_EQUAL("", find("").c_str());
  STRCMP_EQUAL("", find("G").c_str());
  STRCMP_EQUAL("", find("GET / HTTP/1.1\r\n\r\nX-Request: body\r\n").c_str());
  STRCMP_EQUAL("", find("body\r\nX-Request: a-1\r\n").c_str());
  STRCMP_EQUAL("", find("GET / HTTP/1.1\r\nX-Requests: a-1\r\n\r\n").c_str());
  STRCMP_EQUAL("", find("GET / HTTP/1.1\r\nX-Request: cut").c_str());
  CHECK_TRUE(findRequestId("GET / HTTP/1.1\r\nX-Request: a\r\n\r\n", "").empty());
}

TEST(RequestHeader, PrintableIdCannotForgeLogLine) {
  STRCMP_EQUAL("a?event?x", printableRequestId("a event=x").c_str());
  STRCMP_EQUAL("a??b", printableRequestId("a\n\"b").c_str());
  LONGS_EQUAL(kMaxRequestIdLength, printableRequestId(std::string(1000, 'a')).size());
}

}  // namespace umberhold
