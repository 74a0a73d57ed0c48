/** @file scale: runs many hollow nodes beside real ones and measures what a node costs. */
#include <Poco/Exception.h>
#include <Poco/TemporaryFile.h>
#include <glog/logging.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "bench/scale/full_configuration.h"
#include "bench/scale/hollow_process.h"
#include "bench/scale/real_node_memory.h"
#include "bench/scale/scale_figures.h"
#include "bench/scale/scale_run.h"
#include "bench/support/address_block.h"

namespace {

using namespace umberhold;
using namespace umberhold::scale;

constexpr int kKept = 0;
constexpr int kBroken = 1;
constexpr int kNotStarted = 3;
constexpr int kNoHollow = -1;
constexpr int kOwnBlock = 0;

const char* describe(ScaleError error) {
  switch (error) {
    case ScaleError::kPlatformSilent:
      return "the stand-in platform does not answer";
    case ScaleError::kServiceNotStored:
      return "the stand-in platform did not take a service";
    case ScaleError::kNodesNotReady:
      return "not all nodes became ready";
  }
  return "unknown";
}

int runWhole(const ScaleOptions& options) {
  const ScalePlan plan(options.nodes, options.block);
  std::cout << "logs and settings: " << options.workFolder << std::endl;
  ScaleRun run(plan, options);
  const auto record = run.play();
  if (!isOk(record)) {
    std::cerr << "scale: " << describe(errorOf(record)) << "\n";
    return kNotStarted;
  }
  const ScaleFigures figures = figuresOf(plan, valueOf(record));
  const auto broken = brokenLimits(figures, valueOf(record));
  for (const std::string& line : broken) {
    std::cout << "limit broken: " << line << "\n";
  }
  std::cout << toJsonLine(plan, options, valueOf(record), figures) << std::endl;
  return broken.empty() ? kKept : kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Runs hollow nodes beside real ones and prints what a node costs", ' ',
                         "0.1");
  ScaleOptions options;
  TCLAP::ValueArg<uint32_t> nodes("", "nodes", "hollow nodes", false, options.nodes, "count",
                                  command);
  TCLAP::ValueArg<uint32_t> seconds("", "seconds", "length of the steady part", false,
                                    options.seconds, "s", command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "random seed", false, options.seed, "number", command);
  TCLAP::ValueArg<double> flows("", "flows", "new flows that enter a node a second", false,
                                options.flowsPerSecond, "rate", command);
  TCLAP::ValueArg<int> hollow("", "hollow", "run as this hollow process of a run", false, kNoHollow,
                              "process", command);
  TCLAP::ValueArg<std::string> report("", "report", "file of a hollow process's lines", false, "",
                                      "path", command);
  TCLAP::ValueArg<int> block("", "block", "second number of the loopback addresses; 0: a free one",
                             false, kOwnBlock, "number", command);
  TCLAP::SwitchArg full("", "full-configuration",
                        "measure one node with the design size's whole configuration instead",
                        command);
  TCLAP::SwitchArg realNodes("", "real-node-memory",
                             "measure real nodes with the whole configuration instead", command);
  command.parse(argc, argv);
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_ERROR;

  const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  options.nodes = nodes.getValue();
  options.seconds = seconds.getValue();
  options.seed = seed.getValue();
  options.flowsPerSecond = flows.getValue();
  options.block = static_cast<uint8_t>(block.getValue());
  std::optional<experiment::AddressBlock> claimed;
  if (block.getValue() == kOwnBlock) {
    claimed = experiment::AddressBlock::claim();
    if (!claimed) {
      std::cerr << "scale: no free loopback addresses\n";
      return kNotStarted;
    }
    options.block = claimed->number();
  }
  options.selfPath = self.string();
  options.programFolder = (self.parent_path().parent_path() / "source").string();
  try {
    if (hollow.getValue() != kNoHollow) {
      const ScalePlan plan(options.nodes, options.block);
      HollowProcess process(
          plan, {static_cast<uint32_t>(hollow.getValue()), options.seed, report.getValue()});
      process.run();
      return kKept;
    }
    if (full.getValue()) {
      std::cout << toJsonLine(measureFullConfiguration(options.block, options.seed)) << std::endl;
      std::_Exit(kKept);
    }
    options.workFolder = Poco::TemporaryFile::tempName();
    std::filesystem::create_directories(options.workFolder);
    if (realNodes.getValue()) {
      const auto measured = measureRealNodes(options);
      if (!isOk(measured)) {
        std::cerr << "scale: " << describe(errorOf(measured)) << "\n";
      }
      return isOk(measured) ? kKept : kNotStarted;
    }
    return runWhole(options);
  } catch (const Poco::Exception& error) {
    std::cerr << "scale failed: " << error.displayText() << "\n";
    return kNotStarted;
  }
}
