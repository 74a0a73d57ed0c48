/**
 * @file The process's log as key=value lines on one descriptor, through glog.
 *
 * A line is `ts=<UTC> level=<info|warning|error> event=<name> key=value ...`; docs/OPERATIONS.md
 * lists the events. LOG(...) writes its line at once. Lines of the packet loop go to gathered(),
 * and out with flush(), so that a batch of packets costs one write. Neither ever waits for the
 * descriptor (line_output.h).
 */
#pragma once

#include <glog/logging.h>

#include <ctime>
#include <string>

#include "common/log/line_output.h"

namespace umberhold {

/** Takes glog's lines from its construction to its destruction; one for a process. */
class StructuredLog {
 public:
  /** @param program name for glog. @param descriptor borrowed, usually standard output. */
  StructuredLog(const char* program, int descriptor);
  ~StructuredLog();
  StructuredLog(const StructuredLog&) = delete;
  StructuredLog& operator=(const StructuredLog&) = delete;

  /** @return a sink for LOG_TO_SINK_BUT_NOT_TO_LOGFILE whose lines wait for flush(). */
  google::LogSink* buffered() { return &buffered_; }
  /** Writes what was gathered, as far as the descriptor takes it now. */
  void flush() { output_.flush(); }
  const LineOutput& output() const { return output_; }

 private:
  /** Puts the time and the level before each line. */
  class Sink : public google::LogSink {
   public:
    Sink(LineOutput& output, bool flushEachLine) : output_(output), flushEachLine_(flushEachLine) {}
    using google::LogSink::send;
    void send(google::LogSeverity severity, const char* fullFilename, const char* baseFilename,
              int line, const google::LogMessageTime& time, const char* message,
              size_t length) override;

   private:
    LineOutput& output_;
    const bool flushEachLine_;
    /** The last line's second and its text; most lines share it with the one before. */
    std::time_t second_ = -1;
    std::string secondText_;
    std::string text_;
  };

  LineOutput output_;
  Sink immediate_;
  Sink buffered_;
};

}  // namespace umberhold
