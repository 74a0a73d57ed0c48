/** @file Property of split overflow: no part of a split gets more beyond its weight than the bound,
 * however shortages vary. */
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <vector>

#include "common/base/random.h"
#include "common/overflow/split_overflow.h"

#include "test/support/without_leak_detection.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

constexpr double kRounding = 1e-6;

/** Flows of one split at one node; the room of its parts varies at random. */
class Split {
 public:
  Split(uint64_t seed, double maxPart)
      : maxPart_(maxPart),
        random_(seed),
        overflow_({OverflowMode::kByRoom, maxPart}, random_),
        beyond_(2 + random_.below(3)) {
    double total = 0.0;
    for (size_t index = 0; index < beyond_.size(); ++index) {
      weights_.push_back(0.02 + random_.unit());
      total += weights_.back();
    }
    for (double& weight : weights_) {
      weight /= total;
    }
  }

  void step() {
    if (random_.below(20) == 0) {
      isFull_.assign(weights_.size(), false);
      for (size_t index = 0; index < isFull_.size(); ++index) {
        isFull_[index] = random_.below(2) == 0;
      }
    }
    const size_t due = turn();
    if (isFull_.empty() || !isFull_[due]) {
      return;
    }
    const auto chosen = overflow_.choose(parts(), due);
    if (chosen) {
      RC_ASSERT(*chosen != due);
      RC_ASSERT(!isFull_[*chosen]);
      ++beyond_[*chosen];
    }
  }
  size_t partCount() const { return weights_.size(); }
  double weightOf(size_t part) const { return weights_[part]; }
  /** @return flows that were due to other parts and overflowed into this one. */
  uint64_t beyondOf(size_t part) const { return beyond_[part]; }
  /** @return flows that were due to other parts. */
  uint64_t othersOf(size_t part) const { return flows_ - due_[part]; }
  double maxPartOf(size_t part) const { return std::min(maxPart_, weights_[part]); }

 private:
  /** As in GroupShares: the part with the largest deficit. */
  size_t turn() {
    deficits_.resize(weights_.size());
    due_.resize(weights_.size());
    for (size_t index = 0; index < deficits_.size(); ++index) {
      deficits_[index] += weights_[index];
    }
    const auto largest = std::max_element(deficits_.begin(), deficits_.end());
    *largest -= 1.0;
    ++flows_;
    const auto due = static_cast<size_t>(largest - deficits_.begin());
    ++due_[due];
    return due;
  }
  std::vector<SplitPart> parts() const {
    std::vector<SplitPart> parts;
    for (size_t index = 0; index < weights_.size(); ++index) {
      const double openings = isFull_[index] ? 10.0 : 0.0;
      parts.push_back({weights_[index], {true, openings, 10.0, 0.0, 2.0}});
    }
    return parts;
  }

  const double maxPart_;
  RandomSource random_;
  SplitOverflow overflow_;
  std::vector<double> weights_;
  std::vector<double> deficits_;
  std::vector<uint64_t> due_;
  std::vector<bool> isFull_;
  std::vector<uint64_t> beyond_;
  uint64_t flows_ = 0;
};

}  // namespace

TEST_GROUP_BASE(SplitOverflowProperty, test::WithoutLeakDetection){};

/** The bound holds for every sequence of flows, not only from the start: sequences begin at every
 * hundredth flow. */
TEST(SplitOverflowProperty, OverflowIntoAPartIsBoundedInEverySequence) {
  const bool held = rc::check("what overflows into a part is bounded in every stretch", [] {
    const double maxPart = *rc::gen::inRange(0, 101) / 100.0;
    Split split(*rc::gen::arbitrary<uint64_t>(), maxPart);
    struct Sample {
      std::vector<uint64_t> beyond;
      std::vector<uint64_t> others;
    };
    std::vector<Sample> samples;
    for (int flow = 0; flow < 1000; ++flow) {
      split.step();
      if (flow % 100 == 0) {
        Sample& sample = samples.emplace_back();
        for (size_t part = 0; part < split.partCount(); ++part) {
          sample.beyond.push_back(split.beyondOf(part));
          sample.others.push_back(split.othersOf(part));
        }
      }
    }
    for (const Sample& sample : samples) {
      for (size_t part = 0; part < split.partCount(); ++part) {
        const auto beyond = static_cast<double>(split.beyondOf(part) - sample.beyond[part]);
        const auto others = static_cast<double>(split.othersOf(part) - sample.others[part]);
        // The bound applies to all flows, so it is scaled to the flows due to others; the initial
        // credit allows one more.
        const double maxOverflow =
            others * split.maxPartOf(part) / (1.0 - split.weightOf(part)) + 1.0;
        RC_ASSERT(beyond <= maxOverflow + kRounding);
      }
    }
  });
  CHECK_TRUE(held);
}

/** A shortage that begins at all nodes at once, with the minimum number of flows over which shares
 * are checked. */
TEST(SplitOverflowProperty, ManyNodesKeepTheShareLimitFromTheFirstFlow) {
  constexpr size_t kNodes = 59;
  constexpr size_t kFlows = 200;
  constexpr double kMaxDeviation = 0.2;
  const PartUse full{true, 10.0, 10.0, 0.0, 2.0};
  const PartUse spare{true, 0.0, 10.0, 0.0, 2.0};
  const std::vector<SplitPart> parts = {{0.5, full}, {0.5, spare}};
  constexpr size_t kRounds = 1000;
  RandomSource random{7};
  for (size_t round = 0; round < kRounds; ++round) {
    std::vector<SplitOverflow> nodes;
    for (size_t node = 0; node < kNodes; ++node) {
      nodes.emplace_back(OverflowOptions{OverflowMode::kByRoom}, random);
    }
    size_t overflowed = 0;
    for (size_t due = 0; due < kFlows / 2; ++due) {
      overflowed += nodes[random.below(kNodes)].choose(parts, 0) ? 1 : 0;
    }
    CHECK_TRUE(static_cast<double>(overflowed) <= kMaxDeviation * kFlows);
  }
}

}  // namespace umberhold
