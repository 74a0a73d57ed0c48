#include "common/log/structured_log.h"

#include <array>
#include <cstdio>

namespace umberhold {
namespace {

constexpr size_t kTimeBytes = 32;
constexpr size_t kFractionBytes = 16;

const char* levelOf(google::LogSeverity severity) {
  switch (severity) {
    case google::GLOG_INFO:
      return "info";
    case google::GLOG_WARNING:
      return "warning";
    default:
      return "error";
  }
}

std::string textOf(std::time_t second) {
  std::tm parts{};
  ::gmtime_r(&second, &parts);
  std::array<char, kTimeBytes> text{};
  const size_t length = std::strftime(text.data(), text.size(), "ts=%Y-%m-%dT%H:%M:%S", &parts);
  return {text.data(), length};
}

}  // namespace

void StructuredLog::Sink::send(google::LogSeverity severity, const char* /*fullFilename*/,
                               const char* /*baseFilename*/, int /*line*/,
                               const google::LogMessageTime& time, const char* message,
                               size_t length) {
  // glog serializes calls to its sinks, so no lock is needed.
  if (time.timestamp() != second_) {
    second_ = time.timestamp();
    secondText_ = textOf(second_);
  }
  std::array<char, kFractionBytes> fraction{};
  const int digits =
      std::snprintf(fraction.data(), fraction.size(), ".%06dZ ", static_cast<int>(time.usec()));
  text_ = secondText_;
  text_.append(fraction.data(), static_cast<size_t>(digits));
  text_.append("level=").append(levelOf(severity)).append(" ").append(message, length);
  output_.append(text_);
  if (flushEachLine_) {
    output_.flush();
  }
}

StructuredLog::StructuredLog(const char* program, int descriptor)
    : output_(descriptor), immediate_(output_, true), buffered_(output_, false) {
  google::InitGoogleLogging(program);
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  google::SetStderrLogging(google::NUM_SEVERITIES - 1);
  google::AddLogSink(&immediate_);
}

StructuredLog::~StructuredLog() {
  google::RemoveLogSink(&immediate_);
  output_.flush();
  google::ShutdownGoogleLogging();
}

}  // namespace umberhold
