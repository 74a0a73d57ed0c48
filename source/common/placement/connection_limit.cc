#include "common/placement/connection_limit.h"

#include <algorithm>

namespace umberhold {
namespace {

/** A shard requests permits when fewer than 1/kLowWaterDivisor of its initial permits are free; it
 * requests kRequestFactor times that number. */
constexpr uint32_t kLowWaterDivisor = 32;
constexpr uint32_t kRequestFactor = 4;
constexpr uint32_t kMinPermitsWanted = 2;
constexpr Duration kRetryInterval = std::chrono::milliseconds(250);
constexpr Duration kMaxRetryInterval = std::chrono::seconds(16);
constexpr uint32_t kMaxBackoffExponent = 6;
/** After an owner failure, a shard recovers its totals once it uses 1/kRecoveryDivisor of its
 * initial permits, or once another shard requests permits from it. */
constexpr uint32_t kRecoveryDivisor = 4;

std::vector<uint64_t> emptyIfZero(const std::vector<uint64_t>& totals) {
  const bool zero =
      std::all_of(totals.begin(), totals.end(), [](uint64_t total) { return total == 0; });
  return zero ? std::vector<uint64_t>{} : totals;
}

void raiseTotals(std::vector<uint64_t>& totals, const std::vector<uint64_t>& received) {
  for (size_t index = 0; index < std::min(totals.size(), received.size()); ++index) {
    totals[index] = std::max(totals[index], received[index]);
  }
}

}  // namespace

uint32_t initialPermits(uint32_t limit, uint16_t shard, uint16_t shardCount) {
  return limit / shardCount + (shard < limit % shardCount ? 1 : 0);
}

PermitAccount::PermitAccount(uint16_t shard, uint16_t shardCount)
    : shard_(shard),
      next_(shard),
      lent_(shardCount),
      borrowed_(shardCount),
      unanswered_(shardCount) {}

void PermitAccount::restore(const std::vector<uint64_t>& lent,
                            const std::vector<uint64_t>& borrowed) {
  raiseTotals(lent_, lent);
  raiseTotals(borrowed_, borrowed);
}

void PermitAccount::startRecovery() {
  unanswered_.assign(unanswered_.size(), true);
  unanswered_[shard_] = false;
}

bool PermitAccount::recovering() const {
  return std::find(unanswered_.begin(), unanswered_.end(), true) != unanswered_.end();
}

int64_t PermitAccount::permits(uint32_t limit) const {
  const int64_t initial = initialPermits(limit, shard_, static_cast<uint16_t>(lent_.size()));
  int64_t permits = initial;
  for (size_t other = 0; other < lent_.size(); ++other) {
    permits += static_cast<int64_t>(borrowed_[other]) - static_cast<int64_t>(lent_[other]);
  }
  return recovering() ? std::min(permits, (initial + 1) / 2) : permits;
}

PermitGrant PermitAccount::onRequest(const PermitRequest& request, uint32_t limit, uint32_t flows) {
  const uint16_t borrower = request.shard.index;
  PermitGrant grant;
  grant.from = ShardId{request.shard.service, shard_};
  grant.to = request.shard;
  grant.host = request.host;
  grant.requestNumber = request.requestNumber;
  if (borrower >= lent_.size() || borrower == shard_) {
    return grant;
  }
  lent_[borrower] = std::max(lent_[borrower], request.totalBorrowed);
  requestReceived_ = true;
  const bool receivedAll = request.totalBorrowed == lent_[borrower];
  const uint32_t reserve =
      initialPermits(limit, shard_, static_cast<uint16_t>(lent_.size())) / kLowWaterDivisor;
  const int64_t available = permits(limit) - static_cast<int64_t>(flows) - reserve;
  if (receivedAll && !recovering() && available > 1) {
    lent_[borrower] += std::min<uint64_t>(request.wanted, static_cast<uint64_t>(available) / 2);
  }
  grant.totalLent = lent_[borrower];
  grant.totalBorrowed = borrowed_[borrower];
  return grant;
}

bool PermitAccount::onGrant(const PermitGrant& grant) {
  const uint16_t lender = grant.from.index;
  if (lender >= lent_.size() || lender == shard_) {
    return false;
  }
  unanswered_[lender] = false;
  lent_[lender] = std::max(lent_[lender], grant.totalBorrowed);
  const bool grew = grant.totalLent > borrowed_[lender];
  borrowed_[lender] = std::max(borrowed_[lender], grant.totalLent);
  return grew;
}

std::vector<uint64_t> PermitAccount::lentTotals() const {
  return emptyIfZero(lent_);
}

std::vector<uint64_t> PermitAccount::borrowedTotals() const {
  return emptyIfZero(borrowed_);
}

uint16_t PermitAccount::nextLender() {
  const auto count = static_cast<uint16_t>(lent_.size());
  next_ = static_cast<uint16_t>((next_ + 1) % count);
  if (next_ == shard_) {
    next_ = static_cast<uint16_t>((next_ + 1) % count);
  }
  return next_;
}

void PermitRequester::backOff(TimePoint now) {
  const uint32_t factor = uint32_t{1} << std::min(unsuccessfulRequests_, kMaxBackoffExponent);
  nextRequestAt_ = now + std::min(kMaxRetryInterval, kRetryInterval * factor);
  ++unsuccessfulRequests_;
}

PermitRequest PermitRequester::makeRequest(TimePoint now, ShardId shard, HostId host,
                                           const PermitAccount& account, uint16_t lender,
                                           uint32_t wanted) {
  backOff(now);
  PermitRequest request;
  request.shard = shard;
  request.host = host;
  request.requestNumber = ++requestNumber_;
  request.wanted = wanted;
  request.lender = lender;
  request.totalBorrowed = account.borrowedFrom(lender);
  return request;
}

uint16_t PermitRequester::nextUnanswered(const PermitAccount& account) {
  const std::vector<bool>& unanswered = account.unanswered();
  do {
    recoveryLender_ = static_cast<uint16_t>((recoveryLender_ + 1) % unanswered.size());
  } while (!unanswered[recoveryLender_]);
  return recoveryLender_;
}

std::optional<PermitRequest> PermitRequester::due(TimePoint now, ShardId shard,
                                                  PermitAccount& account, const HostUse& use) {
  const auto shardCount = static_cast<uint16_t>(account.unanswered().size());
  if (now < nextRequestAt_ || shardCount < 2) {
    return std::nullopt;
  }
  const uint32_t share = initialPermits(use.limit, shard.index, shardCount);
  if (account.recovering()) {
    const bool needed = account.requestReceived() || kRecoveryDivisor * use.flows >= share;
    if (!needed) {
      return std::nullopt;
    }
    return makeRequest(now, shard, use.host, account, nextUnanswered(account), 0);
  }
  const uint32_t lowWater = std::max(kMinPermitsWanted, share / kLowWaterDivisor);
  // A shard without permits requests some before its first flow arrives.
  const bool enough = account.permits(use.limit) - static_cast<int64_t>(use.flows) >=
                      static_cast<int64_t>(std::min(lowWater, share + 1));
  const bool othersAreFull = use.allFlows + 1.0 > use.limit;
  if (enough || othersAreFull) {
    return std::nullopt;
  }
  return makeRequest(now, shard, use.host, account, account.nextLender(),
                     kRequestFactor * lowWater);
}

void PermitRequester::onGrant(TimePoint now, bool effective) {
  if (effective) {
    unsuccessfulRequests_ = 0;
    nextRequestAt_ = now;
  }
}

}  // namespace umberhold
