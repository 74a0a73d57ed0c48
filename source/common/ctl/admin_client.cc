#include "common/ctl/admin_client.h"

#include <optional>
#include <utility>

#include "common/platform/retry.h"

namespace umberhold {
namespace {

constexpr int kUnavailableStatus = 503;
constexpr int kUnauthorizedStatus = 401;
constexpr int kServerErrorStatus = 500;
constexpr BackOffOptions kBackOff{std::chrono::milliseconds(200), std::chrono::seconds(3)};

/** State of the attempts of one request. */
class Attempts {
 public:
  Attempts(AdminRequest request, bool changes) : request_(std::move(request)), changes_(changes) {}

  const AdminRequest& request() const { return request_; }

  /** @return the definite result of an attempt, or nothing if a retry may help. */
  std::optional<ClientResult> classify(const Result<AdminResponse, TransportError>& answer) {
    if (!isOk(answer)) {
      detail_ = errorOf(answer).detail;
      retryAfter_.reset();
      if (errorOf(answer).code == TransportErrorCode::kAnswerLost) {
        recordPossibleExecution();
      }
      return std::nullopt;
    }
    const AdminResponse& response = valueOf(answer);
    if (isDefinite(response.status)) {
      return response;
    }
    if (response.status >= kServerErrorStatus && response.status != kUnavailableStatus) {
      recordPossibleExecution();
    }
    detail_ = response.body;
    retryAfter_ = std::chrono::seconds(response.retryAfterSeconds.value_or(0));
    return std::nullopt;
  }

  ClientResult resultAtTimeout() const {
    if (mayBeExecuted_) {
      return AnswerLost{request_.requestId, detail_};
    }
    return ServersUnavailable{detail_};
  }

  std::optional<Duration> retryAfter() const { return retryAfter_; }

 private:
  /**
   * A server with another token responds with 401 without looking up the request id, so its
   * response doesn't show whether an earlier attempt was executed.
   */
  bool isDefinite(int status) const {
    const bool unauthorizedRetry = status == kUnauthorizedStatus && mayBeExecuted_;
    return status < kServerErrorStatus && !unauthorizedRetry;
  }

  void recordPossibleExecution() {
    if (changes_ && !mayBeExecuted_) {
      mayBeExecuted_ = true;
      request_.query.push_back({"repeated", "true"});
    }
  }

  AdminRequest request_;
  const bool changes_;
  bool mayBeExecuted_ = false;
  std::optional<Duration> retryAfter_;
  std::string detail_ = "no server given";
};

}  // namespace

AdminClient::AdminClient(std::vector<Endpoint> servers, std::string token,
                         AdminTransport& transport, CallClock& clock, RandomSource& random,
                         ClientLimits limits)
    : servers_(std::move(servers)),
      token_(std::move(token)),
      transport_(transport),
      clock_(clock),
      random_(random),
      limits_(limits) {}

ClientResult AdminClient::read(AdminRequest request) {
  return send(std::move(request), false);
}

ClientResult AdminClient::change(AdminRequest request) {
  return send(std::move(request), true);
}

Result<AdminResponse, TransportError> AdminClient::readAt(size_t server, AdminRequest request) {
  request.authorization = "Bearer " + token_;
  return transport_.send(servers_[server], request);
}

ClientResult AdminClient::send(AdminRequest request, bool changes) {
  request.authorization = "Bearer " + token_;
  Attempts attempts(std::move(request), changes);
  BackOff backOff(kBackOff, random_);
  const TimePoint deadline = clock_.now() + limits_.deadline;
  while (!servers_.empty()) {
    for (size_t offset = 0; offset < servers_.size(); ++offset) {
      const size_t server = (preferredServer_ + offset) % servers_.size();
      const auto answer = transport_.send(servers_[server], attempts.request());
      if (auto definite = attempts.classify(answer)) {
        preferredServer_ = server;
        return std::move(*definite);
      }
    }
    const Duration wait = backOff.next(attempts.retryAfter());
    if (clock_.now() + wait >= deadline) {
      break;
    }
    clock_.sleepFor(wait);
  }
  return attempts.resultAtTimeout();
}

}  // namespace umberhold
