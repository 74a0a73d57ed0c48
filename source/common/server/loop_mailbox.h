/**
 * @file A queue through which other threads post closures to the loop thread.
 *
 * call() waits for a typed result with a timeout. The closure of a call that timed out has not run
 * and never will, so an operation reported as not executed has no effect.
 */
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "common/base/result.h"
#include "common/base/time.h"

namespace umberhold {

/** Why a closure did not run. */
enum class MailboxError : uint8_t {
  /** The loop did not start the closure within the timeout. */
  kTimedOut,
  /** Too many closures are waiting. */
  kFull,
  /** The loop has ended. */
  kClosed,
};

/** Maximum number of waiting closures. */
constexpr size_t kMailboxCapacity = 4096;

/** The queue of closures of one loop. post, call and close are thread safe. */
class LoopMailbox {
 public:
  LoopMailbox();
  ~LoopMailbox();
  LoopMailbox(const LoopMailbox&) = delete;
  LoopMailbox& operator=(const LoopMailbox&) = delete;

  /** Queues the closure to run on the loop thread. */
  Result<Ok, MailboxError> post(std::function<void()> closure);

  /**
   * Runs the closure on the loop thread and waits for its value. Must not be called on the loop
   * thread.
   * @param limit maximum wait until the closure starts; once started, its completion is awaited
   * without a limit.
   */
  template <class Value>
  Result<Value, MailboxError> call(Duration limit, std::function<Value()> closure) {
    auto claimed = std::make_shared<std::atomic<bool>>(false);
    // Only the posted closure owns the ticket: if the closure is discarded, the promise is broken.
    auto ticket = std::make_shared<Ticket<Value>>(std::move(closure), claimed);
    std::future<Value> answer = ticket->answer.get_future();
    const auto posted = post([ticket = std::move(ticket)] { ticket->run(); });
    if (!isOk(posted)) {
      return errorOf(posted);
    }
    if (answer.wait_for(limit) != std::future_status::ready && !claimed->exchange(true)) {
      return MailboxError::kTimedOut;
    }
    return resultOf(answer);
  }

  /** Runs the posted closures; must be called on the loop thread. */
  void drain();
  /** Rejects further closures and discards the waiting ones. */
  void close();
  /** @return a descriptor that is readable while closures are waiting. */
  int wakeDescriptor() const { return wakeDescriptor_; }

 private:
  /** One call. Either the loop runs it or the caller abandons it, whichever claims it first. */
  template <class Value>
  struct Ticket {
    Ticket(std::function<Value()> work, std::shared_ptr<std::atomic<bool>> flag)
        : closure(std::move(work)), claimed(std::move(flag)) {}
    void run() {
      if (!claimed->exchange(true)) {
        answer.set_value(closure());
      }
    }

    std::function<Value()> closure;
    std::shared_ptr<std::atomic<bool>> claimed;
    std::promise<Value> answer;
  };

  /** @return the value, or kClosed if close() discarded the ticket and so broke its promise. */
  template <class Value>
  static Result<Value, MailboxError> resultOf(std::future<Value>& answer) {
    try {
      return answer.get();
    } catch (const std::future_error&) {
      return MailboxError::kClosed;
    }
  }

  void wake() const;

  int wakeDescriptor_ = -1;
  std::mutex mutex_;
  std::vector<std::function<void()>> waiting_;
  bool closed_ = false;
};

}  // namespace umberhold
