/**
 * @file The process's log as key=value lines on one descriptor, through glog.
 *
 * A line is `ts=<UTC> level=<info|warning|error> event=<name> key=value ...`; docs/OPERATIONS.md
 * lists the events. LOG(...) writes its line at once. Lines of the packet loop go to buffered() and
 * are written by flush(), so that a batch of packets takes one write. Neither blocks on the
 * descriptor (line_output.h).
 */
#pragma once

#include <glog/logging.h>

#include <ctime>
#include <string>

#include "common/log/line_output.h"

namespace umberhold {

/** Receives glog's lines from its construction to its destruction; one instance per process. */
class StructuredLog {
 public:
  /** @param program name for glog. @param descriptor borrowed, usually standard output. */
  StructuredLog(const char* program, int descriptor);
  ~StructuredLog();
  StructuredLog(const StructuredLog&) = delete;
  StructuredLog& operator=(const StructuredLog&) = delete;

  /** @return a sink for LOG_TO_SINK_BUT_NOT_TO_LOGFILE whose lines are written by flush(). */
  google::LogSink* buffered() { return &buffered_; }
  /** Writes the buffered lines as far as the descriptor accepts them without blocking. */
  void flush() { output_.flush(); }
  const LineOutput& output() const { return output_; }

 private:
  /** Prefixes each line with time and level. */
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
    /** Second of the last line and its formatted text, cached because most lines share it with the
     * preceding one. */
    std::time_t second_ = -1;
    std::string secondText_;
    std::string text_;
  };

  LineOutput output_;
  Sink immediate_;
  Sink buffered_;
};

}  // namespace umberhold
