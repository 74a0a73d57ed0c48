/** @file All hosts in parts, however many there are. */
#include "common/platform/host_copy.h"

#include <algorithm>

#include "common/wire/codec.h"
#include "common/wire/payload_compression.h"

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

/** Twice as many as the largest deployment has; a single message holds about half of them. */
constexpr uint64_t kManyHosts = 20000;

HostEvent host(uint64_t number) {
  HostEvent made;
  made.pool = "dispatch";
  made.host.name = "i-5f0c3e9a77b1" + std::to_string(number);
  made.host.zone = "megenagna";
  made.host.endpoint = Endpoint{0x0A000000 + static_cast<uint32_t>(number), 8080};
  made.host.incarnation = number * 0x9E3779B97F4A7C15U;
  made.host.bornMilliseconds = 1764000000000 + number;
  made.version = number;
  made.madeAt = number;
  return made;
}

std::vector<HostEvent> hosts(uint64_t count) {
  std::vector<HostEvent> made;
  for (uint64_t number = 1; number <= count; ++number) {
    made.push_back(host(number));
  }
  return made;
}

std::vector<HostEvent> hostsOf(const HostCopy& copy) {
  std::vector<HostEvent> all;
  for (const std::string& part : copy.parts) {
    const auto decoded = decodeHostCopyPart(part);
    CHECK_TRUE(isOk(decoded));
    all.insert(all.end(), valueOf(decoded).hosts.begin(), valueOf(decoded).hosts.end());
  }
  return all;
}

}  // namespace

TEST_GROUP(HostCopy){};

TEST(HostCopy, HoldsMoreHostsThanOneMessage) {
  const auto all = hosts(kManyHosts);
  PeerChanges inOneMessage;
  inOneMessage.events = all;
  CHECK_FALSE(isOk(encodePeerChanges(inOneMessage)));
  const auto copy = makeHostCopy(kManyHosts, all);
  CHECK_TRUE(isOk(copy));
  LONGS_EQUAL(kManyHosts / kHostsPerCopyPart, valueOf(copy).parts.size());
  CHECK_TRUE(hostsOf(valueOf(copy)) == all);
}

TEST(HostCopy, EachPartIsFarBelowTheLongestMessage) {
  const auto copy = makeHostCopy(kManyHosts, hosts(kManyHosts));
  for (const std::string& part : valueOf(copy).parts) {
    const auto expanded = expandPayload(part);
    CHECK_TRUE(isOk(expanded));
    CHECK_TRUE(valueOf(expanded).size() < kMaxEncodedBytes / 8);
  }
}

TEST(HostCopy, OfNoHostsHasOnePart) {
  const auto copy = makeHostCopy(7, {});
  CHECK_TRUE(isOk(copy));
  LONGS_EQUAL(1, valueOf(copy).parts.size());
  CHECK_TRUE(hostsOf(valueOf(copy)).empty());
}

TEST(HostCopy, TheLastTwoAreKept) {
  HostCopies copies;
  POINTERS_EQUAL(nullptr, copies.latest());
  for (const uint64_t version : {3, 5, 8}) {
    copies.add(valueOf(makeHostCopy(version, hosts(version))));
  }
  LONGS_EQUAL(8, copies.latest()->version);
  POINTERS_EQUAL(nullptr, copies.part(3, 0));
  CHECK_TRUE(copies.part(5, 0) != nullptr);
  CHECK_TRUE(copies.part(8, 0) != nullptr);
  POINTERS_EQUAL(nullptr, copies.part(8, 1));
}
