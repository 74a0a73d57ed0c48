/** @file experiment: runs a named experiment with real processes and evaluates it. */
#include <Poco/Exception.h>
#include <Poco/Path.h>
#include <Poco/TemporaryFile.h>
#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <filesystem>
#include <iostream>

#include "bench/support/address_block.h"
#include "scenario.h"
#include "summary.h"

namespace {

using namespace umberhold::experiment;

constexpr int kExitSuccess = 0;
constexpr int kExitPromiseBroken = 1;
constexpr int kExitUsage = 2;
constexpr int kExitNotStarted = 3;
constexpr int kExitNotMeasured = 4;

std::string describe(const StartError& error) {
  switch (error.code) {
    case StartErrorCode::kProgramMissing:
      return "program not found: " + error.process;
    case StartErrorCode::kStandinUnresponsive:
      return "timed out waiting for: " + error.process;
    case StartErrorCode::kStandinExited:
      return "exited during startup: " + error.process;
    case StartErrorCode::kNodeNotReady:
      return "not ready before the timeout: " + error.process;
  }
  return error.process;
}

std::string scenarioList() {
  std::string list;
  for (const Scenario& scenario : scenarios()) {
    list += "\n  " + scenario.name + ": " + scenario.description;
  }
  return list;
}

ConflictPolicy conflictPolicyOf(const std::string& name) {
  if (name == "overwriting") {
    return ConflictPolicy::kOverwrite;
  }
  return ConflictPolicy::kReapply;
}

int runScenario(const Scenario& scenario, const SummaryHeader& header,
                const EnvironmentOptions& options, uint32_t seconds) {
  const auto block = AddressBlock::claim();
  if (!block) {
    std::cerr << "experiment not started: no free loopback addresses\n";
    return kExitNotStarted;
  }
  ExperimentRun run(planDeployment(block->number()), options, seconds);
  std::cout << "experiment " << scenario.name << ": " << scenario.description << "\n"
            << "logs and settings: " << options.workFolder << std::endl;
  const auto started = run.start();
  if (!umberhold::isOk(started)) {
    std::cerr << "experiment not started: " << describe(umberhold::errorOf(started)) << "\n";
    return kExitNotStarted;
  }
  scenario.execute(run);
  const ExperimentResult result = run.finish();
  printTable(std::cout, header, result);
  std::cout << toJsonLine(header, result) << std::endl;
  if (!result.evidenceComplete) {
    std::cerr << "experiment not measured: the report of a caller or host is missing\n";
    return kExitNotMeasured;
  }
  return result.promiseBroken() ? kExitPromiseBroken : kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Runs an experiment with real processes. Experiments:" + scenarioList(),
                         ' ', "0.1");
  TCLAP::UnlabeledValueArg<std::string> name("name", "experiment", true, "", "name", command);
  TCLAP::ValueArg<uint32_t> seconds("", "seconds", "duration; 0: default of the experiment", false,
                                    0, "s", command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "random seed of all stand-ins", false, 1, "number",
                                 command);
  TCLAP::ValueArg<std::string> strategy("", "strategy", "owned, plain-hash or local-table", false,
                                        "owned", "name", command);
  TCLAP::ValueArg<std::string> ownerRelay("", "owner-relay",
                                          "on, or off: nodes don't relay packets to flow owners",
                                          false, "on", "on|off", command);
  TCLAP::ValueArg<std::string> operators("", "operators",
                                         "careful, or overwriting: discard concurrent changes",
                                         false, "careful", "habit", command);
  TCLAP::ValueArg<uint32_t> openRate("", "open-per-second", "new flows per second in each region",
                                     false, EnvironmentOptions{}.openPerSecond, "flows/s", command);
  command.parse(argc, argv);
  google::InitGoogleLogging(argv[0]);
  FLAGS_minloglevel = google::GLOG_ERROR;

  const Scenario* scenario = findScenario(name.getValue());
  if (scenario == nullptr) {
    std::cerr << "no such experiment: " << name.getValue() << scenarioList() << "\n";
    return kExitUsage;
  }
  const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  EnvironmentOptions options;
  options.programFolder = (self.parent_path().parent_path() / "source").string();
  options.workFolder = Poco::TemporaryFile::tempName();
  options.seed = seed.getValue();
  options.strategy = strategy.getValue();
  options.ownerRelay = ownerRelay.getValue() != "off";
  options.conflictPolicy = conflictPolicyOf(operators.getValue());
  options.openPerSecond = openRate.getValue();
  options.flowLifeMillis = scenario->flowLifeMillis;
  std::filesystem::create_directories(options.workFolder);
  const SummaryHeader header{scenario->name, options.strategy, options.seed, options.ownerRelay};
  try {
    return runScenario(*scenario, header, options,
                       seconds.getValue() > 0 ? seconds.getValue() : scenario->defaultSeconds);
  } catch (const Poco::Exception& error) {
    std::cerr << "experiment failed: " << error.displayText() << "\n";
    return kExitNotStarted;
  }
}
