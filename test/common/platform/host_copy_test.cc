/** @file Snapshot of all hosts in parts, for any number of hosts. */
#include "common/platform/host_copy.h"

#include <algorithm>

#include "common/wire/codec.h"
#include "common/wire/payload_compression.h"

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

/** Twice the size of the largest deployment; a single message holds about half of these hosts. */
constexpr uint64_t kHostCount = 20000;

HostEvent host(uint64_t number) {
  HostEvent result;
  result.pool = "dispatch";
  result.host.name = "i-5f0c3e9a77b1" + std::to_string(number);
  result.host.zone = "megenagna";
  result.host.endpoint = Endpoint{0x0A000000 + static_cast<uint32_t>(number), 8080};
  result.host.incarnation = number * 0x9E3779B97F4A7C15U;
  result.host.startedAtMilliseconds = 1764000000000 + number;
  result.version = number;
  result.madeAt = number;
  return result;
}

std::vector<HostEvent> hosts(uint64_t count) {
  std::vector<HostEvent> result;
  for (uint64_t number = 1; number <= count; ++number) {
    result.push_back(host(number));
  }
  return result;
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

TEST(HostCopy, HoldsMoreHostsThanFitOneMessage) {
  const auto all = hosts(kHostCount);
  PeerChanges inOneMessage;
  inOneMessage.events = all;
  CHECK_FALSE(isOk(encodePeerChanges(inOneMessage)));
  const auto copy = makeHostCopy(kHostCount, all);
  CHECK_TRUE(isOk(copy));
  LONGS_EQUAL(kHostCount / kHostsPerCopyPart, valueOf(copy).parts.size());
  CHECK_TRUE(hostsOf(valueOf(copy)) == all);
}

TEST(HostCopy, EachPartIsFarBelowTheMessageLimit) {
  const auto copy = makeHostCopy(kHostCount, hosts(kHostCount));
  for (const std::string& part : valueOf(copy).parts) {
    const auto expanded = decompressPayload(part);
    CHECK_TRUE(isOk(expanded));
    CHECK_TRUE(valueOf(expanded).size() < kMaxEncodedBytes / 8);
  }
}

TEST(HostCopy, HasOnePartWithoutHosts) {
  const auto copy = makeHostCopy(7, {});
  CHECK_TRUE(isOk(copy));
  LONGS_EQUAL(1, valueOf(copy).parts.size());
  CHECK_TRUE(hostsOf(valueOf(copy)).empty());
}

TEST(HostCopy, KeepsTheLastTwoCopies) {
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
