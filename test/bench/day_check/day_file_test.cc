/** @file Tests the validation of files of days. */
#include "bench/day_check/day_file.h"

#include <string>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

#include "test/support/without_leak_detection.h"

using namespace umberhold;
using namespace umberhold::day_check;

namespace {

constexpr const char* kValidDay = R"(# Hosts turn slow.
name = "slow"
slot = "trouble"
seed = 1
closing = { kind = "kill_all", down_s = 1.0 }
plan = [ { at = 2, kind = "scale_in", share = 0.5, service = "@s0" } ]
faults = [ { at = 4.5, kind = "srv_slow" } ]
)";

/** Validates kValidDay with `part` replaced. @return the reason for which it is invalid; empty if
 * it is valid. */
std::string errorAfterReplacing(const std::string& part, const std::string& replacement) {
  std::string text = kValidDay;
  text.replace(text.find(part), part.size(), replacement);
  const auto checked = checkDay(text, "slow");
  return isOk(checked) ? "" : errorOf(checked).reason;
}

}  // namespace

// Leak detection is off because tomlplusplus allocates in its own library.
TEST_GROUP_BASE(DayFile, test::WithoutLeakDetection){};

TEST(DayFile, AcceptsValidDay) {
  CHECK(isOk(checkDay(kValidDay, "slow")));
  STRCMP_EQUAL(
      "", errorAfterReplacing("closing = { kind = \"kill_all\", down_s = 1.0 }\n", "").c_str());
  STRCMP_EQUAL("", errorAfterReplacing("{ at = 4.5, kind = \"srv_slow\" }", "").c_str());
}

TEST(DayFile, RejectsInvalidHeader) {
  STRCMP_EQUAL("the first line is not a comment that describes the day",
               errorAfterReplacing("# Hosts turn slow.\n", "").c_str());
  STRCMP_EQUAL("'name' differs from the file name",
               errorAfterReplacing("\"slow\"", "\"slower\"").c_str());
  STRCMP_EQUAL("'slot' is missing, empty or not a string",
               errorAfterReplacing("slot = \"trouble\"\n", "").c_str());
  STRCMP_EQUAL("'seed' is missing or not an integer",
               errorAfterReplacing("seed = 1", "seed = 1.5").c_str());
}

TEST(DayFile, RejectsInvalidArraysAndEntries) {
  STRCMP_EQUAL("'faults' is missing or not an array",
               errorAfterReplacing("faults", "fault").c_str());
  STRCMP_EQUAL("'plan' is missing or not an array",
               errorAfterReplacing("plan = [", "plan = 1 # [").c_str());
  STRCMP_EQUAL("an entry of 'plan' is not a table",
               errorAfterReplacing("plan = [", "plan = [ 1,").c_str());
  STRCMP_EQUAL("an entry of 'faults' has no non-negative 'at'",
               errorAfterReplacing("at = 4.5", "at = -4.5").c_str());
  STRCMP_EQUAL("an entry of 'plan' has no non-negative 'at'",
               errorAfterReplacing("at = 2, ", "").c_str());
  STRCMP_EQUAL("an entry of 'faults' has no 'kind'",
               errorAfterReplacing(", kind = \"srv_slow\"", "").c_str());
  STRCMP_EQUAL("'closing' has no 'kind'", errorAfterReplacing("kind = \"kill_all\", ", "").c_str());
}

TEST(DayFile, ReportsLineOfTomlError) {
  const auto checked = checkDay("# A day.\nname = \"slow\nslot = 1\n", "slow");
  CHECK_FALSE(isOk(checked));
  CHECK_EQUAL(2U, errorOf(checked).line);
}
