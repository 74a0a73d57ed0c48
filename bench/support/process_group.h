/** @file The processes of an experiment: started by path, signalled by their own id, logs to files.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace umberhold::experiment {

/** What /proc says of a process. */
struct ProcessUsage {
  double peakMemoryMegabytes = 0;
  double cpuSeconds = 0;
  /** Resident now: all, pages of its own, and file pages, which are mostly those of libraries. */
  double residentMegabytes = 0;
  double anonymousMegabytes = 0;
  double fileMegabytes = 0;
  uint64_t descriptors = 0;
};

/** Starts and ends processes. All that still run end with the group. */
class ProcessGroup {
 public:
  /** @param logFolder gets one file a process. */
  explicit ProcessGroup(std::string logFolder);
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  /** Starts a program under a name that is not running. */
  void start(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments);
  /** Sends a signal to the process of that name; nothing happens where it has ended. */
  void signal(const std::string& name, int signal);
  bool running(const std::string& name);
  /** @return whether it ended within that time. */
  bool waitForExit(const std::string& name, int milliseconds);
  /** Ends a process at once. */
  void kill(const std::string& name);
  /** @return nothing where it has ended, or does not execute its program yet. */
  std::optional<ProcessUsage> usage(const std::string& name) const;
  /** @return for how long its first thread was ready to run and got no processor since its start;
   * nothing where that is not known. */
  std::optional<std::chrono::nanoseconds> processorWaitTime(const std::string& name) const;

 private:
  struct Entry;
  std::string logFolder_;
  /** Guards the entries: a monitor asks for usage while the scenario ends and starts processes. */
  mutable std::recursive_mutex mutex_;
  std::map<std::string, std::unique_ptr<Entry>> entries_;
};

}  // namespace umberhold::experiment
