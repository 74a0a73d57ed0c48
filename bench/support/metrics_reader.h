/** @file Parses metrics in the Prometheus text format. */
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace umberhold::experiment {

struct MetricSample {
  std::string name;
  /** The text between the braces; empty without labels. */
  std::string labels;
  double value = 0;
};

/** @return the samples; other lines are ignored. */
std::vector<MetricSample> parseMetrics(const std::string& text);

/** @return the sum of the samples with this name whose labels contain the text; nullopt if there
 * are none. */
std::optional<double> sumOf(const std::vector<MetricSample>& samples, const std::string& name,
                            const std::string& label = "");

}  // namespace umberhold::experiment
