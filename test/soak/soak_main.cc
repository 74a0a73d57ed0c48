/** @file soak: runs real nodes under random faults and checks their promises from outside the
 * nodes. */
#include <Poco/Exception.h>
#include <Poco/TemporaryFile.h>
#include <tclap/CmdLine.h>

#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "bench/support/address_block.h"
#include "test/soak/world/soak_run.h"

namespace {

using namespace umberhold;
using namespace umberhold::soak;

constexpr int kExitKept = 0;
constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;
constexpr int kExitNotRun = 3;

std::string sabotageList() {
  std::string list;
  for (uint8_t index = 0; index < static_cast<uint8_t>(Sabotage::kCount); ++index) {
    list += (list.empty() ? "" : ", ") + std::string(toString(static_cast<Sabotage>(index)));
  }
  return list;
}

int run(const SoakOptions& options) {
  std::cout << "logs and settings: " << options.folder << std::endl;
  const auto result = runSoak(options);
  if (!isOk(result)) {
    std::cerr << "soak not run: " << toString(errorOf(result)) << "\n";
    return kExitNotRun;
  }
  std::cout << toText(options, valueOf(result)) << toJsonLine(options, valueOf(result))
            << std::endl;
  writePlotData(options.folder, valueOf(result));
  return valueOf(result).keptAll() ? kExitKept : kExitBroken;
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Injects random faults into real nodes and checks their promises from outside the nodes.",
      ' ', "0.1");
  TCLAP::ValueArg<uint32_t> seconds("", "seconds",
                                    "duration of the traffic; about 20 s of it are without faults",
                                    false, 60, "s", command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "determines faults and traffic", false, 1, "number",
                                 command);
  TCLAP::ValueArg<std::string> folder("", "keep", "folder for logs and settings", false, "", "path",
                                      command);
  TCLAP::ValueArg<std::string> sabotage(
      "", "sabotage", "simulates a fault that breaks a promise: " + sabotageList(), false, "none",
      "name", command);
  std::vector<std::string> loads = {"usual", "hard"};
  TCLAP::ValuesConstraint<std::string> knownLoads(loads);
  TCLAP::ValueArg<std::string> load("", "load", "load of the callers and capacity of the hosts",
                                    false, "hard", &knownLoads, command);
  std::vector<std::string> days = {"mixed", "short_silences", "absences"};
  TCLAP::ValuesConstraint<std::string> knownDays(days);
  TCLAP::ValueArg<std::string> day("", "day",
                                   "kinds of faults: all, short silences of the store, or routes "
                                   "that return and hosts that leave unseen",
                                   false, "mixed", &knownDays, command);
  TCLAP::ValueArg<uint32_t> staleLag(
      "", "stale-lag", "age of answers that may be stale; drawn from the seed by default", false, 0,
      "ms", command);
  command.parse(argc, argv);

  const auto kind = sabotageNamed(sabotage.getValue());
  if (!kind) {
    std::cerr << "unknown sabotage: " << sabotage.getValue()
              << "; expected one of: " << sabotageList() << "\n";
    return kExitUsage;
  }
  const auto block = experiment::AddressBlock::claim();
  if (!block) {
    std::cerr << "soak not run: no free loopback addresses\n";
    return kExitNotRun;
  }
  const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  SoakOptions options;
  options.seed = seed.getValue();
  options.seconds = seconds.getValue();
  options.sabotage = *kind;
  options.load = load.getValue() == "hard" ? SoakLoad::kHard : SoakLoad::kUsual;
  options.day = *soakDayNamed(day.getValue());
  if (staleLag.isSet()) {
    options.staleLag = std::chrono::milliseconds(staleLag.getValue());
  }
  options.block = block->number();
  options.program = (self.parent_path() / ".." / ".." / "platform" / "umberhold_edge").string();
  options.folder = folder.getValue().empty() ? Poco::TemporaryFile::tempName() : folder.getValue();
  std::filesystem::create_directories(options.folder);
  try {
    return run(options);
  } catch (const Poco::Exception& failure) {
    std::cerr << "soak not run: " << failure.displayText() << "\n";
    return kExitNotRun;
  }
}
