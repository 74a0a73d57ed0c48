/** @file Tests of the node's settings: rejected input and the reported line, and overrides by
 * flags.
 */
#include "common/settings/settings.h"

#include <fstream>
#include <iterator>
#include <string>

#include "common/settings/settings_options.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;

namespace {

/** Lines 1 to 7 of a valid file. */
const std::string kComplete =
    "node_id = 7\n"
    "region = \"addis\"\n"
    "zone = \"bole\"\n"
    "address = \"127.0.0.1\"\n"
    "[[keys]]\n"
    "id = 1\n"
    "secret = \"000102030405060708090a0b0c0d0e0f\"\n";

/** @return a valid file with the given line as line 1. */
std::string fileWith(const std::string& line) {
  return line + "\n" + kComplete;
}

SettingsError errorIn(const std::string& text, const std::vector<SettingOverride>& overrides = {}) {
  const auto result = parseSettings(text, overrides);
  return isOk(result) ? SettingsError{SettingsErrorCode::kSyntax, "accepted", 0, ""}
                      : errorOf(result);
}

bool isError(const SettingsError& error, SettingsErrorCode code, const std::string& key,
             uint32_t line) {
  return error.code == code && error.key == key && error.line == line && !error.detail.empty();
}

}  // namespace

/** Without leak detection: tomlplusplus allocates in its own library. */
TEST_GROUP_BASE(Settings, test::WithoutLeakDetection){};

TEST(Settings, ReadsACompleteFile) {
  const auto result = parseSettings(
      "seeds = [\"127.0.0.1:7002\", \"127.0.0.2:7002\"]\nstrategy = \"local-table\"\n"
      "platform = \"127.0.0.1:9000\"\nowner_relay = false\n" +
          kComplete,
      {});
  CHECK(isOk(result));
  const NodeSettings& settings = valueOf(result);
  CHECK_EQUAL(7U, settings.nodeId);
  CHECK_EQUAL(0x7F000001U, settings.address.value);
  CHECK_EQUAL(2U, settings.seeds.size());
  CHECK(settings.strategy == FlowStrategy::kLocalTable);
  CHECK(settings.platform == *parseEndpoint("127.0.0.1:9000"));
  CHECK_FALSE(settings.ownerRelay);
  CHECK_EQUAL(1U, settings.signingKey);
  CHECK_EQUAL(16U, settings.keys.front().secret.size());
  CHECK_EQUAL(7002U, settings.controlPort);
}

TEST(Settings, ReportsOptionAndLineOfAnError) {
  using Code = SettingsErrorCode;
  CHECK(isError(errorIn(fileWith("zon = \"x\"")), Code::kUnknownKey, "zon", 1));
  CHECK(isError(errorIn(fileWith("data_port = \"x\"")), Code::kWrongType, "data_port", 1));
  CHECK(isError(errorIn(fileWith("data_port = 70000")), Code::kOutOfRange, "data_port", 1));
  CHECK(isError(errorIn(fileWith("data_port = -1")), Code::kOutOfRange, "data_port", 1));
  CHECK(isError(errorIn(fileWith("data_port = 0")), Code::kOutOfRange, "data_port", 1));
  CHECK(isError(errorIn(fileWith("strategy = \"best\"")), Code::kOutOfRange, "strategy", 1));
  CHECK(isError(errorIn(fileWith("owner_relay = 1")), Code::kWrongType, "owner_relay", 1));
  CHECK(isError(errorIn(fileWith("platform = \"nowhere\"")), Code::kWrongType, "platform", 1));
  CHECK(isError(errorIn(fileWith("seeds = [\n\"127.0.0.1:1\",\n\"x\"]")), Code::kWrongType, "seeds",
                3));
  CHECK(isError(errorIn(fileWith("seeds = [\"127.0.0.1:1\", \"127.0.0.1:1\"]")),
                Code::kDuplicateAddress, "seeds", 1));
  CHECK(isError(errorIn(fileWith("admin_port = 7000")), Code::kDuplicateAddress, "admin_port", 1));
  CHECK(isError(errorIn(fileWith("signing_key = 9")), Code::kBadKeys, "signing_key", 1));
}

TEST(Settings, ReportsLineOfSyntaxErrors) {
  CHECK(isError(errorIn("node_id = 7\nregion = \n"), SettingsErrorCode::kSyntax, "", 2));
  CHECK(isError(errorIn("node_id = 7\nnode_id = 8\n"), SettingsErrorCode::kSyntax, "", 2));
}

TEST(Settings, ReportsMissingOptions) {
  CHECK(isError(errorIn(""), SettingsErrorCode::kMissingKey, "node_id", 0));
  CHECK(isError(errorIn(kComplete.substr(0, kComplete.find("[["))), SettingsErrorCode::kMissingKey,
                "keys", 0));
}

TEST(Settings, RejectsInvalidKeys) {
  const auto withKey = [](const std::string& key) {
    return errorIn(kComplete + "[[keys]]\n" + key);
  };
  using Code = SettingsErrorCode;
  CHECK(isError(withKey("id = 2\nsecret = \"0011\"\n"), Code::kBadKeys, "keys", 8));
  CHECK(isError(withKey("id = 2\nsecret = \"zz0102030405060708090a0b0c0d0e0f\"\n"), Code::kBadKeys,
                "keys", 8));
  CHECK(isError(withKey("id = 2\n"), Code::kBadKeys, "keys", 8));
  CHECK(isError(withKey("id = 2\nfile = \"/nonexistent\"\n"), Code::kUnreadableFile, "keys", 8));
  CHECK(isError(withKey("id = 2\nsecrt = \"00\"\n"), Code::kUnknownKey, "keys", 10));
  CHECK(isError(withKey("id = 1\nsecret = \"000102030405060708090a0b0c0d0e0f\"\n"), Code::kBadKeys,
                "keys", 5));
}

TEST(Settings, FlagsOverrideTheFile) {
  const auto result = parseSettings(kComplete, {{"zone", "piassa"},
                                                {"node_id", "12"},
                                                {"seeds", "127.0.0.1:1,127.0.0.1:2"},
                                                {"owner_relay", "false"}});
  CHECK(isOk(result));
  CHECK(valueOf(result).zone == "piassa");
  CHECK_EQUAL(12U, valueOf(result).nodeId);
  CHECK_EQUAL(2U, valueOf(result).seeds.size());
  CHECK_FALSE(valueOf(result).ownerRelay);
}

TEST(Settings, ChecksFlagsLikeTheFile) {
  using Code = SettingsErrorCode;
  CHECK(isError(errorIn(kComplete, {{"zon", "x"}}), Code::kUnknownKey, "zon", 0));
  CHECK(isError(errorIn(kComplete, {{"node_id", "x"}}), Code::kWrongType, "node_id", 0));
  CHECK(isError(errorIn(kComplete, {{"data_port", "70000"}}), Code::kOutOfRange, "data_port", 0));
  CHECK(isError(errorIn(kComplete, {{"address", "localhost"}}), Code::kWrongType, "address", 0));
}

TEST(Settings, RejectsUnreadableFiles) {
  const auto result = loadSettings("/nonexistent/settings.toml", {});
  CHECK(errorOf(result).code == SettingsErrorCode::kUnreadableFile);
}

TEST(Settings, EveryOptionIsDocumented) {
  const std::string help = settingsHelp();
  for (const OptionSpec& option : optionSpecs()) {
    CHECK(help.find(std::string(option.key) + " ") != std::string::npos);
    CHECK_FALSE(option.documentation.empty());
    CHECK(findOption(option.key) == &option);
  }
}
