#include "common/ctl/command_line.h"

#include <string>
#include <vector>

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

namespace umberhold {

// TCLAP frees its visitors only at process exit.
// clang-format 14 formats this group's body as an initializer.
// clang-format off
TEST_GROUP_BASE(CommandLine, test::WithoutLeakDetection) {
  Result<CommandLine, UsageError> parse(std::vector<std::string> words) {
    words.insert(words.begin(), {"umberholdctl", "--server", "127.0.0.1:9000"});
    return parseCommandLine(words);
  }
};
// clang-format on

TEST(CommandLine, ReadsServersAndApply) {
  const auto line = parse({"--server", "127.0.0.1:9001", "apply", "-f", "a.toml", "-f", "b.json",
                           "--wait", "--if-version", "12", "-o", "json"});
  CHECK_TRUE(isOk(line));
  CHECK_EQUAL(2, valueOf(line).servers.size());
  CHECK_TRUE(valueOf(line).output == OutputFormat::kJson);
  const auto& apply = std::get<ApplyCommand>(valueOf(line).command);
  CHECK_EQUAL(2, apply.files.size());
  CHECK_EQUAL(12, apply.ifVersion.value());
  CHECK_TRUE(apply.wait);
}

TEST(CommandLine, ReadsDrainAndUndrain) {
  const auto drain = parse({"drain", "dispatch", "dispatch-1", "--deadline", "60"});
  CHECK_EQUAL(60, std::get<DrainCommand>(valueOf(drain).command).deadlineSeconds);
  const auto undrain = parse({"undrain", "dispatch", "dispatch-1"});
  CHECK_FALSE(std::get<DrainCommand>(valueOf(undrain).command).drain);
}

TEST(CommandLine, RejectsInvalidArguments) {
  const std::vector<std::vector<std::string>> invalid = {
      {"frobnicate"},
      {"apply"},
      {"apply", "-f", "a.toml", "--overwrite", "--if-version", "1"},
      {"get", "lease"},
      {"delete", "service"},
      {"explain", "dispatch", "somewhere"},
      {"status", "now"},
      {"status", "-o", "xml"},
      {"status", "--unheard-of"},
      {"drain", "dispatch", "dispatch-1", "--deadline", "soon"},
  };
  for (const auto& words : invalid) {
    CHECK_FALSE(isOk(parse(words)));
  }
  CHECK_FALSE(isOk(parseCommandLine({"umberholdctl", "status"})));
  CHECK_FALSE(isOk(parseCommandLine({"umberholdctl", "--server", "x", "status"})));
}

}  // namespace umberhold
