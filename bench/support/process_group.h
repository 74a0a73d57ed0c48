/** @file Starts the processes of an experiment, sends signals to them and writes their output to
 * files. */
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

/** Resource usage of a process as reported by /proc. */
struct ProcessUsage {
  double peakMemoryMegabytes = 0;
  /** User and system time. */
  double cpuSeconds = 0;
  /** Resident memory: total, anonymous pages, and file pages, which are mostly those of libraries.
   */
  double residentMegabytes = 0;
  double anonymousMegabytes = 0;
  double fileMegabytes = 0;
  /** Number of open file descriptors. */
  uint64_t descriptors = 0;
};

/** Processes by name; the destructor stops those that are still running. */
class ProcessGroup {
 public:
  /** @param logFolder folder for one log file per process; must exist. */
  explicit ProcessGroup(std::string logFolder);
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  /** Starts a program. @param name must not be the name of a running process. */
  void start(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments);
  /** Sends a signal to a process; does nothing if it has exited. */
  void signal(const std::string& name, int signal);
  bool running(const std::string& name);
  /** @return whether the process exited within this time. */
  bool waitForExit(const std::string& name, int timeoutMillis);
  /** Sends SIGKILL and waits up to 3 s for the exit. */
  void kill(const std::string& name);
  /** @return nullopt if the process has exited or doesn't execute its program yet. */
  std::optional<ProcessUsage> usage(const std::string& name) const;
  /** @return the total time for which the main thread was runnable but waited for a processor;
   * nullopt if it is not available. */
  std::optional<std::chrono::nanoseconds> processorWaitTime(const std::string& name) const;

 private:
  struct Entry;
  std::string logFolder_;
  /** Protects the entries: a monitor reads usage while the scenario stops and starts processes. */
  mutable std::recursive_mutex mutex_;
  std::map<std::string, std::unique_ptr<Entry>> entries_;
};

}  // namespace umberhold::experiment
