/** @file Tests of endpoint parsing and printing. */
#include "common/base/endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;

TEST_GROUP(Endpoint){};

TEST(Endpoint, RoundTripsThroughText) {
  const auto endpoint = parseEndpoint("10.1.2.3:4000");
  CHECK(endpoint.has_value());
  CHECK(toString(*endpoint) == "10.1.2.3:4000");
  CHECK_EQUAL(0x0A010203U, endpoint->address);
}

TEST(Endpoint, RejectsInvalidText) {
  for (const char* text : {"", "10.1.2.3", "10.1.2:80", "10.1.2.3.4:80", "10.1.2.256:80",
                           "10.1.2.3:0", "10.1.2.3:65536", "a.b.c.d:1", "10.1.2.3:80x"}) {
    CHECK_FALSE(parseEndpoint(text).has_value());
  }
}
