/** @file One emulated flow of a caller: opening, requests with retransmission, answers, close. No
 * I/O. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "standins/caller/caller_report.h"
#include "standins/common/inner_packet.h"

namespace umberhold::standins {

/** How the flows to one service behave; times in milliseconds. */
struct FlowProfile {
  std::string service;
  Endpoint target;
  TransportProtocol protocol = TransportProtocol::kTcp;
  /** Mean time between the starts of two requests of a flow. */
  uint32_t requestPauseMillis = 2000;
  /** Mean lifetime of a flow; 0: until the run ends. */
  uint32_t lifeMillis = 0;
  /** Share of requests that must not run twice. */
  double singleRunShare = 0.3;
  /** Share of requests that are cancelled immediately after sending. */
  double cancelShare = 0.01;
  /** Segments of a large answer; every fourth request has one. */
  uint16_t largeAnswerParts = 6;
  /** Time from the start of a request to its deadline. */
  uint32_t deadlineMillis = 10000;
};

/** Generates request ids; they are unique in a run because each process has its own prefix. */
class RequestIds {
 public:
  explicit RequestIds(uint32_t process) : next_(uint64_t{process} << 40) {}
  uint64_t next() { return ++next_; }

 private:
  uint64_t next_;
};

/** State shared by all flows of a process. */
struct FlowContext {
  RandomSource& random;
  RequestIds& ids;
  CallerReport& report;
  /** Packets to send. */
  std::vector<std::string>& out;
};

/** One flow. Not thread safe. */
class CallerFlow {
 public:
  CallerFlow(UnixMillis now, const Endpoint& local, const FlowProfile& profile,
             FlowContext& context);

  void onPacket(UnixMillis now, const InnerPacket& packet, FlowContext& context);
  /** Sends new requests and retransmissions that are due. */
  void onTick(UnixMillis now, FlowContext& context);
  /** Starts no further request; the flow closes after the last answer. */
  void finish() { finishing_ = true; }

  bool ended() const { return state_ == State::kEnded; }
  bool established() const { return state_ == State::kOpen; }
  /** @return the host that sent the answers, or "" before the first answer. */
  const std::string& host() const { return host_; }
  size_t outstanding() const { return exchanges_.size(); }
  const Endpoint& local() const { return local_; }
  const FlowProfile& profile() const { return *profile_; }

 private:
  enum class State : uint8_t { kOpening, kOpen, kClosing, kEnded };
  struct Exchange {
    Request request;
    UnixMillis nextSend = 0;
    uint32_t sends = 0;
    std::vector<bool> parts;
    uint32_t missing = 0;
    bool cancelled = false;
  };

  void onPush(UnixMillis now, const Push& push, FlowContext& context);
  void onAnswer(UnixMillis now, const Answer& answer, FlowContext& context);
  /** Records a part of an answer. Parts may arrive in any order, late and more than once. */
  void addAnswerPart(const Answer& answer, FlowContext& context);
  void onReset(UnixMillis now, FlowContext& context);
  void onRefused(FlowContext& context);
  void complete(uint64_t id, const Answer& answer, FlowContext& context);
  void breakFlow(UnixMillis now, BreakReason reason, FlowContext& context);
  void startRequest(UnixMillis now, FlowContext& context);
  void sendRequest(UnixMillis now, Exchange& exchange, FlowContext& context);
  void retransmitRequests(UnixMillis now, FlowContext& context);
  void retransmitOpening(UnixMillis now, FlowContext& context);
  void retransmitFin(UnixMillis now, FlowContext& context);
  /** Starts measuring the time without an answer, unless it is being measured already. */
  void startWaiting(UnixMillis now);
  /** Records the time without an answer; called on an answer and when the flow breaks. */
  void endWaiting(UnixMillis now, FlowContext& context);
  void send(PacketKind kind, std::string payload, FlowContext& context);
  UnixMillis randomPause(FlowContext& context) const;
  bool isTcp() const { return profile_->protocol == TransportProtocol::kTcp; }

  const FlowProfile* profile_;
  Endpoint local_;
  State state_;
  uint32_t sequence_;
  uint32_t acknowledgement_ = 0;
  std::string host_;
  UnixMillis establishedAt_ = 0;
  /** Start of the time without an answer; empty if no answer is outstanding. */
  std::optional<UnixMillis> waitingSince_;
  UnixMillis nextRequest_;
  UnixMillis endsAt_;
  /** When the next SYN or FIN is due, and the number of those sent. */
  UnixMillis nextControlSend_ = 0;
  uint32_t controlSends_ = 0;
  uint32_t requestCount_ = 0;
  bool finishing_ = false;
  std::map<uint64_t, Exchange> exchanges_;
  /** Ids of the received pushes. */
  std::set<uint64_t> pushes_;
};

}  // namespace umberhold::standins
