#include "common/settings/token_node_settings.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

const std::string kComplete = R"(node = "front-bole-1"
region = "addis"
zone = "bole"
data = "10.1.0.10:8172"
readiness = "10.1.0.10:8167"
readiness_path = "/ready"
metrics = "10.1.0.10:9464"
metrics_path = "/figures"
request_header = "X-Request"
store = "10.200.1.7:8169"
peer_address = "10.1.0.10:8166"
peers = ["10.1.0.10:8166", "10.2.0.40:8166"]
capacity = 0.25
first_start = true
change_bound_milliseconds = 5000
drain_bound_milliseconds = 4000
evacuation_bound_milliseconds = 5000
disturbance_grace_milliseconds = 6000
cold_rate_factor = 2
cold_rate_allowance = 0
store_history_seconds = 45
flow_life_seconds = 90
linger_milliseconds = 3000
share_observations = false
prefer_own_zone = false
weighed_ratio = 1.5
zone_leaves_ratio = 1000
full_zone_load = 0.5
learn_speeds = false
openings_per_slot = 2.5
opening_wait_part = 0.25
overflow = "repeatable"
overflow_part = 0.1
host_time_part = 0.4
)";

std::string with(const std::string& from, const std::string& to) {
  std::string text = kComplete;
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

// clang-format off
TEST_GROUP(TokenNodeSettings) {
  void checkRefused(SettingsErrorCode code, const std::string& key, const std::string& text) {
    const auto settings = parseTokenNodeSettings(text);
    CHECK_FALSE(isOk(settings));
    CHECK_TRUE(errorOf(settings).code == code);
    STRCMP_EQUAL(key.c_str(), errorOf(settings).key.c_str());
  }
};
// clang-format on

TEST(TokenNodeSettings, ReadsEveryOption) {
  const auto settings = parseTokenNodeSettings(kComplete);
  CHECK_TRUE(isOk(settings));
  const TokenNodeSettings& read = valueOf(settings);
  CHECK_FALSE(read.sharesObservations);
  CHECK_TRUE(read.placement == (PlacementOptions{false, 1.5, 1000.0, 0.5, false}));
  CHECK_TRUE(read.openings == (OpeningLimits{2.5, 0.25}));
  CHECK_TRUE(read.overflow == (OverflowOptions{OverflowMode::kRepeatable, 0.1}));
  CHECK_TRUE(read.room == RoomLimits{0.4});
  STRCMP_EQUAL("front-bole-1", read.node.c_str());
  STRCMP_EQUAL("addis", read.region.c_str());
  STRCMP_EQUAL("bole", read.zone.c_str());
  CHECK_TRUE(read.data == (Endpoint{0x0A01000A, 8172}));
  CHECK_TRUE(read.readiness == (Endpoint{0x0A01000A, 8167}));
  STRCMP_EQUAL("/ready", read.readinessPath.c_str());
  CHECK_TRUE(read.metrics == (Endpoint{0x0A01000A, 9464}));
  STRCMP_EQUAL("/figures", read.metricsPath.c_str());
  STRCMP_EQUAL("X-Request", read.requestHeader.c_str());
  CHECK_TRUE(read.store == (Endpoint{0x0AC80107, 8169}));
  CHECK_TRUE(read.peerAddress == (Endpoint{0x0A01000A, 8166}));
  LONGS_EQUAL(2, read.peers.size());
  CHECK_TRUE(read.peers[1] == (Endpoint{0x0A020028, 8166}));
  DOUBLES_EQUAL(0.25, read.capacity, 0.0);
  CHECK_TRUE(read.firstStart);
  CHECK_EQUAL(5000, read.changeBoundMilliseconds);
  CHECK_EQUAL(4000, read.drainBoundMilliseconds);
  CHECK_EQUAL(5000, read.evacuationBoundMilliseconds);
  CHECK_EQUAL(6000, read.disturbanceGraceMilliseconds);
  DOUBLES_EQUAL(2.0, read.coldHosts.rateFactor, 1e-9);
  DOUBLES_EQUAL(0.0, read.coldHosts.rateAllowance, 1e-9);
  CHECK_EQUAL(45, read.storeHistorySeconds);
  CHECK_EQUAL(90, read.flowLifeSeconds);
  CHECK_EQUAL(3000, read.lingerMilliseconds);
}

TEST(TokenNodeSettings, AcceptsAnIntegerCapacity) {
  const auto settings = parseTokenNodeSettings(with("0.25", "2"));
  CHECK_TRUE(isOk(settings));
  DOUBLES_EQUAL(2.0, valueOf(settings).capacity, 0.0);
}

TEST(TokenNodeSettings, KeepsDefaultsOfOmittedOptions) {
  const auto settings = parseTokenNodeSettings(with("metrics = \"10.1.0.10:9464\"\n", ""));
  CHECK_TRUE(isOk(settings));
  CHECK_TRUE(valueOf(settings).metrics == Endpoint{});
}

TEST(TokenNodeSettings, ReportsWhichChangesApplyWhileRunning) {
  const TokenNodeSettings before = valueOf(parseTokenNodeSettings(kComplete));
  TokenNodeSettings after = before;
  CHECK_TRUE(settingChanges(before, after).empty());
  after.zone = "piassa";
  after.flowLifeSeconds = 30;
  after.lingerMilliseconds = 10;
  after.overflow.mode = OverflowMode::kOff;
  const std::vector<SettingChange> expected = {{"zone", false},
                                               {"flow_life_seconds", true},
                                               {"linger_milliseconds", true},
                                               {"overflow", false}};
  CHECK_TRUE(settingChanges(before, after) == expected);
}

TEST(TokenNodeSettings, ReportsCodeAndOptionOfAnError) {
  checkRefused(SettingsErrorCode::kWrongType, "peers", with("\"10.2.0.40:8166\"", "7"));
  checkRefused(SettingsErrorCode::kWrongType, "metrics", with("10.1.0.10:9464", "9464"));
  checkRefused(SettingsErrorCode::kSyntax, "", "node = ");
  checkRefused(SettingsErrorCode::kUnknownKey, "zones", with("zone =", "zones = \"x\"\nzone ="));
  checkRefused(SettingsErrorCode::kMissingKey, "zone", with("zone = \"bole\"\n", ""));
  checkRefused(SettingsErrorCode::kWrongType, "data", with("10.1.0.10:8172", "front:8172"));
  checkRefused(SettingsErrorCode::kWrongType, "flow_life_seconds", with("90", "\"90\""));
  checkRefused(SettingsErrorCode::kOutOfRange, "flow_life_seconds", with("90", "0"));
  checkRefused(SettingsErrorCode::kOutOfRange, "store_history_seconds", with("45", "0"));
  checkRefused(SettingsErrorCode::kWrongType, "capacity", with("0.25", "\"much\""));
  checkRefused(SettingsErrorCode::kOutOfRange, "capacity", with("0.25", "0"));
  checkRefused(SettingsErrorCode::kOutOfRange, "openings_per_slot", with("2.5", "-1"));
  checkRefused(SettingsErrorCode::kOutOfRange, "opening_wait_part",
               with("part = 0.25", "part = 1.5"));
  checkRefused(SettingsErrorCode::kOutOfRange, "overflow", with("repeatable", "always"));
  checkRefused(SettingsErrorCode::kWrongType, "overflow", with("\"repeatable\"", "true"));
  checkRefused(SettingsErrorCode::kOutOfRange, "overflow_part",
               with("overflow_part = 0.1", "overflow_part = 1.1"));
  checkRefused(SettingsErrorCode::kWrongType, "first_start",
               with("first_start = true", "first_start = 1"));
  const auto missing = loadTokenNodeSettings("/nonexistent/settings.toml");
  CHECK_TRUE(errorOf(missing).code == SettingsErrorCode::kUnreadableFile);
}

}  // namespace umberhold
