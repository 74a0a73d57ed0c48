#include "bench/support/process_group.h"

#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <thread>

namespace umberhold::experiment {
namespace {

constexpr int kKillTimeoutMillis = 3000;
/** Time between SIGTERM and SIGKILL for all processes when the group is destroyed; short, because
 * nothing is measured any more. */
constexpr int kTerminationGraceMillis = 300;
constexpr int kPollIntervalMillis = 10;
constexpr double kKilobytesPerMegabyte = 1024.0;

std::string readProcFile(int process, const char* file) {
  std::ifstream stream("/proc/" + std::to_string(process) + "/" + file);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

/** @return a size in /proc/PID/status in megabytes; 0 if the line is missing. */
double readStatusMegabytes(int process, const std::string& label) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(label + ":")) {
      return std::stod(line.substr(label.size() + 1)) / kKilobytesPerMegabyte;
    }
  }
  return 0;
}

/** @return the sum of fields 14 and 15 of /proc/PID/stat, user and system time, see proc(5). */
double cpuSeconds(int process) {
  const std::string text = readProcFile(process, "stat");
  const size_t nameEnd = text.rfind(')');
  if (nameEnd == std::string::npos) {
    return 0;
  }
  std::istringstream fields(text.substr(nameEnd + 1));
  std::string skipped;
  constexpr int kSkippedFields = 11;
  for (int field = 0; field < kSkippedFields; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

uint64_t countDescriptors(int process) {
  std::error_code failure;
  uint64_t count = 0;
  std::filesystem::directory_iterator entry("/proc/" + std::to_string(process) + "/fd", failure);
  while (!failure && entry != std::filesystem::directory_iterator()) {
    ++count;
    entry.increment(failure);
  }
  return count;
}

}  // namespace

struct ProcessGroup::Entry {
  /** Path of the program with symbolic links resolved. */
  const std::filesystem::path program;
  /** Must be constructed before the process that writes to it. */
  Poco::Pipe output;
  Poco::ProcessHandle handle;
  std::thread logger;
  bool exited = false;

  Entry(const std::string& started, const std::vector<std::string>& arguments,
        const std::string& logFile)
      : program(std::filesystem::weakly_canonical(started)),
        handle(Poco::Process::launch(started, arguments, nullptr, &output, &output)),
        logger([this, logFile] {
          Poco::PipeInputStream input(output);
          std::ofstream log(logFile, std::ios::app);
          Poco::StreamCopier::copyStream(input, log);
        }) {}
  ~Entry() { logger.join(); }
  /** @return whether the process executes its program. Between fork and exec it is a copy of
   * its parent, including the open descriptors. */
  bool executesProgram() const {
    std::error_code failure;
    const auto link = "/proc/" + std::to_string(handle.id()) + "/exe";
    return std::filesystem::read_symlink(link, failure) == program && !failure;
  }
  /** Stores the exit, because a process can be waited for only once. */
  bool running() {
    exited = exited || handle.tryWait() != -1;
    return !exited;
  }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;
};

ProcessGroup::ProcessGroup(std::string logFolder) : logFolder_(std::move(logFolder)) {}

ProcessGroup::~ProcessGroup() {
  for (const auto& [name, entry] : entries_) {
    signal(name, SIGCONT);
    signal(name, SIGTERM);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(kTerminationGraceMillis));
  for (const auto& [name, entry] : entries_) {
    kill(name);
  }
}

void ProcessGroup::start(const std::string& name, const std::string& program,
                         const std::vector<std::string>& arguments) {
  const std::lock_guard lock(mutex_);
  entries_.erase(name);
  entries_[name] = std::make_unique<Entry>(program, arguments, logFolder_ + "/" + name + ".log");
}

void ProcessGroup::signal(const std::string& name, int signal) {
  const std::lock_guard lock(mutex_);
  if (running(name)) {
    ::kill(entries_.at(name)->handle.id(), signal);
  }
}

bool ProcessGroup::running(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(name);
  return found != entries_.end() && found->second->running();
}

bool ProcessGroup::waitForExit(const std::string& name, int timeoutMillis) {
  for (int waited = 0; running(name); waited += kPollIntervalMillis) {
    if (waited >= timeoutMillis) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollIntervalMillis));
  }
  return true;
}

void ProcessGroup::kill(const std::string& name) {
  signal(name, SIGKILL);
  waitForExit(name, kKillTimeoutMillis);
}

std::optional<ProcessUsage> ProcessGroup::usage(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(name);
  if (found == entries_.end() || !found->second->running() || !found->second->executesProgram()) {
    return std::nullopt;
  }
  const int process = found->second->handle.id();
  return ProcessUsage{
      readStatusMegabytes(process, "VmHWM"),   cpuSeconds(process),
      readStatusMegabytes(process, "VmRSS"),   readStatusMegabytes(process, "RssAnon"),
      readStatusMegabytes(process, "RssFile"), countDescriptors(process)};
}

std::optional<std::chrono::nanoseconds> ProcessGroup::processorWaitTime(
    const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(name);
  if (found == entries_.end() || !found->second->running()) {
    return std::nullopt;
  }
  std::ifstream file("/proc/" + std::to_string(found->second->handle.id()) + "/schedstat");
  std::chrono::nanoseconds::rep ran = 0;
  std::chrono::nanoseconds::rep waited = 0;
  if (!(file >> ran >> waited)) {
    return std::nullopt;
  }
  return std::chrono::nanoseconds(waited);
}

}  // namespace umberhold::experiment
