/** @file Tests of the calculation of rates and reverts from samples of metrics. */
#include "bench/experiment/node_ledger.h"

#include <string>
#include <vector>

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

using namespace umberhold;
using namespace umberhold::experiment;

namespace {

/** @return samples with these sent bytes, and with received bytes, which rates must not contain. */
std::vector<MetricSample> makeSamples(int version, int shardBytes, int loadBytes, double cpu) {
  const std::string bytes = "umberhold_control_bytes_total{class=\"";
  return parseMetrics("umberhold_config_version " + std::to_string(version) + "\n" + bytes +
                      "shard\",direction=\"sent\"} " + std::to_string(shardBytes) + "\n" + bytes +
                      "load\",direction=\"sent\"} " + std::to_string(loadBytes) + "\n" + bytes +
                      "load\",direction=\"received\"} 999999\n" +
                      "umberhold_control_cpu_seconds_total " + std::to_string(cpu) + "\n");
}

}  // namespace

TEST_GROUP_BASE(NodeLedger, test::WithoutLeakDetection) {
  NodeLedger ledger;
};

TEST(NodeLedger, ValuesThatNoNodeReportedAreUnset) {
  const NodeFigures figures = ledger.figures();
  CHECK_FALSE(figures.controlBytesPerNodeSecond.has_value());
  CHECK_FALSE(figures.controlCpuPercent.has_value());
  CHECK_FALSE(figures.peakMemoryMegabytes.has_value());
  CHECK_FALSE(figures.configReverts.has_value());
}

TEST(NodeLedger, RatesAreMeansOverNodesSinceTheirFirstSamples) {
  ledger.addSample(1, 10.0, makeSamples(1, 1000, 100, 1.0));
  ledger.addSample(1, 14.0, makeSamples(1, 1400, 300, 1.2));
  ledger.addSample(2, 10.0, makeSamples(1, 0, 0, 0.0));
  ledger.addSample(2, 20.0, makeSamples(1, 3000, 0, 0.1));
  const NodeFigures figures = ledger.figures();
  DOUBLES_EQUAL((150.0 + 300.0) / 2, *figures.controlBytesPerNodeSecond, 1e-6);
  DOUBLES_EQUAL((100.0 + 300.0) / 2, figures.controlBytesByClass.at("shard"), 1e-6);
  DOUBLES_EQUAL(50.0 / 2, figures.controlBytesByClass.at("load"), 1e-6);
  DOUBLES_EQUAL((5.0 + 1.0) / 2, *figures.controlCpuPercent, 1e-6);
}

TEST(NodeLedger, NodeWithOneSampleHasNoRate) {
  ledger.addSample(1, 10.0, makeSamples(1, 1000, 100, 1.0));
  CHECK_FALSE(ledger.figures().controlBytesPerNodeSecond.has_value());
  LONGS_EQUAL(0, *ledger.figures().configReverts);
}

TEST(NodeLedger, DecreasingVersionIsRevertUnlessNodeRestarted) {
  ledger.addSample(1, 1.0, makeSamples(7, 0, 0, 0.0));
  ledger.addSample(1, 2.0, makeSamples(6, 0, 0, 0.0));
  LONGS_EQUAL(1, *ledger.figures().configReverts);
  ledger.resetNode(1);
  ledger.addSample(1, 3.0, makeSamples(2, 0, 0, 0.0));
  ledger.addSample(1, 4.0, makeSamples(8, 0, 0, 0.0));
  LONGS_EQUAL(1, *ledger.figures().configReverts);
}

TEST(NodeLedger, PeakMemoryIsMaximumOverNodes) {
  ledger.addPeakMemory(12.5);
  ledger.addPeakMemory(11.0);
  DOUBLES_EQUAL(12.5, *ledger.figures().peakMemoryMegabytes, 1e-9);
}
