#include "test/soak/world/node_evidence.h"

namespace umberhold::soak {

bool isLogLine(const std::string& line) {
  return line.rfind("ts=", 0) == 0 && line.find(" level=") != std::string::npos &&
         line.find(" event=") != std::string::npos;
}

bool isWithin(const NodeLimits& limits, const NodePeak& peak) {
  return peak.memoryMegabytes > 0 && peak.memoryMegabytes <= limits.memoryMegabytes &&
         peak.descriptors > 0 && peak.descriptors <= limits.descriptors;
}

bool isReadable(const NodeLimits& limits, const LogSummary& log, uint64_t processCount,
                double seconds) {
  return log.starts > 0 && log.unreadable <= processCount &&
         static_cast<double>(log.lines) <= limits.linesPerSecond * seconds;
}

bool isReaderOfZone(std::istream& log) {
  bool isReader = false;
  std::string line;
  while (std::getline(log, line)) {
    if (line.find(" event=started ") != std::string::npos) {
      isReader = false;
    } else if (line.find(" event=read_source ") != std::string::npos) {
      isReader = line.find("reads_store=1 cause=reader") != std::string::npos;
    }
  }
  return isReader;
}

LogSummary summarizeLog(std::istream& log) {
  LogSummary summary;
  std::string line;
  while (std::getline(log, line)) {
    ++summary.lines;
    summary.starts += line.find(" event=started ") != std::string::npos ? 1 : 0;
    const bool readable = isLogLine(line);
    if (!readable && summary.unreadable++ == 0) {
      summary.firstUnreadable = line;
    }
  }
  return summary;
}

}  // namespace umberhold::soak
