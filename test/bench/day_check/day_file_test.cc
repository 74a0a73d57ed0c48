/** @file What a file with a day must hold. */
#include "bench/day_check/day_file.h"

#include <string>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

#include "test/support/without_leak_detection.h"

using namespace umberhold;
using namespace umberhold::day_check;

namespace {

constexpr const char* kSound = R"(# Hosts turn slow.
name = "slow"
slot = "trouble"
seed = 1
closing = { kind = "kill_all", down_s = 1.0 }
plan = [ { at = 2, kind = "scale_in", share = 0.5, service = "@s0" } ]
faults = [ { at = 4.5, kind = "srv_slow" } ]
)";

/** @return the reason for which the day is refused with one part of it replaced; empty if it isn't.
 */
std::string refusal(const std::string& part, const std::string& by) {
  std::string text = kSound;
  text.replace(text.find(part), part.size(), by);
  const auto checked = checkDay(text, "slow");
  return isOk(checked) ? "" : errorOf(checked).reason;
}

}  // namespace

// tomlplusplus allocates in its own library.
TEST_GROUP_BASE(DayFile, test::WithoutLeakDetection){};

TEST(DayFile, SoundDayIsTaken) {
  CHECK(isOk(checkDay(kSound, "slow")));
  STRCMP_EQUAL("", refusal("closing = { kind = \"kill_all\", down_s = 1.0 }\n", "").c_str());
  STRCMP_EQUAL("", refusal("{ at = 4.5, kind = \"srv_slow\" }", "").c_str());
}

TEST(DayFile, HeadIsChecked) {
  STRCMP_EQUAL("no comment says what the day is for", refusal("# Hosts turn slow.\n", "").c_str());
  STRCMP_EQUAL("'name' is not the file's name", refusal("\"slow\"", "\"slower\"").c_str());
  STRCMP_EQUAL("'slot' is no text or is missing", refusal("slot = \"trouble\"\n", "").c_str());
  STRCMP_EQUAL("'seed' is no whole number or is missing",
               refusal("seed = 1", "seed = 1.5").c_str());
}

TEST(DayFile, ListsAndTheirEntriesAreChecked) {
  STRCMP_EQUAL("'faults' is no list or is missing", refusal("faults", "fault").c_str());
  STRCMP_EQUAL("'plan' is no list or is missing", refusal("plan = [", "plan = 1 # [").c_str());
  STRCMP_EQUAL("an entry of 'plan' is not a table", refusal("plan = [", "plan = [ 1,").c_str());
  STRCMP_EQUAL("an entry of 'faults' has no 'at' of 0 s or more",
               refusal("at = 4.5", "at = -4.5").c_str());
  STRCMP_EQUAL("an entry of 'plan' has no 'at' of 0 s or more", refusal("at = 2, ", "").c_str());
  STRCMP_EQUAL("an entry of 'faults' has no 'kind'", refusal(", kind = \"srv_slow\"", "").c_str());
  STRCMP_EQUAL("'closing' has no 'kind'", refusal("kind = \"kill_all\", ", "").c_str());
}

TEST(DayFile, TextThatIsNoTomlNamesItsLine) {
  const auto checked = checkDay("# A day.\nname = \"slow\nslot = 1\n", "slow");
  CHECK_FALSE(isOk(checked));
  CHECK_EQUAL(2U, errorOf(checked).line);
}
