#include "common/shard/known_flows.h"

#include <algorithm>
#include <utility>

#include "common/base/hash.h"

namespace umberhold {
namespace {

// Encoded sizes; the fixed part includes the UDP and IP headers and the envelope.
constexpr size_t kFixedBytes = 130;
constexpr size_t kFingerprintBytes = 5;
/** Makes fingerprints independent of other values derived from a flow's hash. */
constexpr uint64_t kFingerprintSeed = 0x6B6E6F776E666C6FULL;
constexpr unsigned kFingerprintShift = 32;

}  // namespace

FlowFingerprint fingerprintOf(FlowHash flow) {
  return static_cast<FlowFingerprint>(mixHash(kFingerprintSeed, flow.value) >> kFingerprintShift);
}

KnownFlowSet::KnownFlowSet(std::vector<FlowFingerprint> fingerprints)
    : sorted_(std::move(fingerprints)) {
  std::sort(sorted_.begin(), sorted_.end());
  sorted_.erase(std::unique(sorted_.begin(), sorted_.end()), sorted_.end());
}

bool KnownFlowSet::contains(FlowHash flow) const {
  return std::binary_search(sorted_.begin(), sorted_.end(), fingerprintOf(flow));
}

void KnownFlowStream::resetNumbering() {
  // An acknowledgement of the previous list must not match the new one.
  start_ = end() + 1;
  first_ = start_;
  waiting_.clear();
  announced_ = false;
  inFlight_ = false;
}

void KnownFlowStream::restart(std::vector<FlowFingerprint> all) {
  resetNumbering();
  waiting_.assign(all.begin(), all.end());
  firstPlacedNumber_ = end();
  state_ = State::kRunning;
}

void KnownFlowStream::revoke() {
  resetNumbering();
  state_ = State::kRevoked;
}

void KnownFlowStream::add(FlowFingerprint fingerprint) {
  if (running()) {
    waiting_.push_back(fingerprint);
  }
}

bool KnownFlowStream::needsRenewal(size_t liveFlows) const {
  return running() && end() - start_ > 2 * liveFlows + kMaxEndedFlows;
}

std::optional<KnownFlowBatch> KnownFlowStream::poll(TimePoint now, ByteBudget& budget,
                                                    ByteBudget& listBudget) {
  const bool nothingNew = announced_ && waiting_.empty();
  const bool full = waiting_.size() >= kBatchFlows;
  const Duration interval =
      full || !announced_ || budget.isAtLeastHalfFull(now) ? kMinBatchInterval : kPartialBatchDelay;
  const Duration delay = inFlight_ ? kResendInterval : (flushRequested_ ? Duration(0) : interval);
  if (state_ == State::kStopped || nothingNew || now - lastSend_ < delay) {
    return std::nullopt;
  }
  const size_t count = std::min(waiting_.size(), kBatchFlows);
  const auto bytes = static_cast<double>(kFixedBytes + kFingerprintBytes * count);
  const bool paid = budget.tryConsume(now, bytes) ||
                    (first_ < firstPlacedNumber_ && listBudget.tryConsume(now, bytes));
  if (!paid) {
    return std::nullopt;
  }
  return makeBatch(now, count);
}

std::optional<KnownFlowBatch> KnownFlowStream::takePiggybackBatch(TimePoint now,
                                                                  ByteBudget& budget) {
  const size_t count = waiting_.size();
  const bool fits =
      announced_ && running() && !inFlight_ && count > 0 && count <= kMaxPiggybackedFlows;
  if (!fits || !budget.tryConsume(now, static_cast<double>(kFingerprintBytes * count))) {
    return std::nullopt;
  }
  return makeBatch(now, count);
}

KnownFlowBatch KnownFlowStream::makeBatch(TimePoint now, size_t count) {
  KnownFlowBatch batch;
  batch.start = start_;
  batch.first = first_;
  // A revoked list has an end that is never reached, so that the copy stays incomplete.
  batch.end = state_ == State::kRevoked ? end() + 1 : end();
  batch.fingerprints.assign(waiting_.begin(), waiting_.begin() + static_cast<ptrdiff_t>(count));
  inFlight_ = true;
  flushRequested_ = flushRequested_ && count < waiting_.size();
  lastSend_ = now;
  return batch;
}

void KnownFlowStream::onAck(uint32_t next) {
  if (state_ == State::kStopped || next < first_ || next > end()) {
    return;
  }
  waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<ptrdiff_t>(next - first_));
  first_ = next;
  announced_ = true;
  inFlight_ = false;
}

void KnownFlowCopy::reset() {
  *this = KnownFlowCopy{};
}

void KnownFlowCopy::onBatch(const KnownFlowBatch& batch) {
  const bool newList = batch.start > start_;
  if (batch.start == 0 || batch.start < start_ || (newList && batch.first != batch.start)) {
    return;
  }
  if (newList) {
    reset();
    start_ = batch.start;
    next_ = batch.start;
  }
  if (batch.first > next_) {
    return;
  }
  const size_t known = next_ - batch.first;
  for (size_t index = known; index < batch.fingerprints.size(); ++index) {
    fingerprints_.push_back(batch.fingerprints[index]);
    ++next_;
  }
  end_ = std::max(end_, batch.end);
}

std::optional<std::vector<FlowFingerprint>> KnownFlowCopy::complete() const {
  return start_ != 0 && next_ == end_ ? std::optional(fingerprints_) : std::nullopt;
}

}  // namespace umberhold
