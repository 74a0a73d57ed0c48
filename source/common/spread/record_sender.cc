#include "common/spread/record_sender.h"

#include <algorithm>
#include <utility>

#include "common/wire/message.h"

namespace umberhold {
namespace {

/** Maximum size of the answer to one request; the next comparison transfers the rest. */
constexpr size_t kMaxAnswerBytes = 32768;
/** Approximate encoded size of a record without its name and payload, bytes. */
constexpr size_t kRecordOverhead = 20;
constexpr size_t kMaxFragments = 64;
constexpr size_t kMaxPartials = 8;

size_t sizeOf(const ConfigRecord& record) {
  return record.key.name.size() + record.payload.size() + kRecordOverhead;
}

}  // namespace

void RecordSender::send(const Endpoint& to, const std::vector<RecordKey>& keys, bool rumor,
                        const CompletenessClaim& claim) {
  RecordPush push{{}, rumor, claim};
  size_t packed = 0;
  size_t sent = 0;
  const auto flush = [&] {
    if (!push.records.empty()) {
      sink_.send(to, Message{std::exchange(push, RecordPush{{}, rumor, claim})});
      packed = 0;
    }
  };
  for (const RecordKey& key : keys) {
    const auto record = store_.find(key);
    if (!record || sent >= kMaxAnswerBytes) {
      continue;
    }
    const size_t size = sizeOf(*record);
    sent += size;
    bytesSent_ += size;
    if (size > kDatagramRecordBytes) {
      sendFragments(to, *record);
      continue;
    }
    if (packed + size > kDatagramRecordBytes) {
      flush();
    }
    packed += size;
    push.records.push_back(*record);
  }
  flush();
}

void RecordSender::sendFragments(const Endpoint& to, const ConfigRecord& record) {
  const size_t room =
      kDatagramRecordBytes - std::min(record.key.name.size(), kDatagramRecordBytes / 2);
  const size_t count = (record.payload.size() + room - 1) / room;
  if (count > kMaxFragments) {
    return;
  }
  for (size_t index = 0; index < count; ++index) {
    sink_.send(to, Message{RecordFragment{record.key, record.version, static_cast<uint16_t>(index),
                                          static_cast<uint16_t>(count),
                                          record.payload.substr(index * room, room)}});
  }
}

RecordAssembler::Partial& RecordAssembler::partialFor(const RecordFragment& fragment) {
  Partial& partial = partials_[fragment.key];
  if (partial.version != fragment.version || partial.pieces.size() != fragment.count) {
    partial = Partial{fragment.version, std::vector<std::string>(fragment.count), fragment.count,
                      ++started_};
  }
  return partial;
}

std::optional<ConfigRecord> RecordAssembler::add(const RecordFragment& fragment) {
  const auto known = partials_.find(fragment.key);
  const bool older = known != partials_.end() && known->second.version > fragment.version;
  if (older || fragment.count > kMaxFragments || fragment.index >= fragment.count ||
      fragment.bytes.empty()) {
    return std::nullopt;
  }
  Partial& partial = partialFor(fragment);
  std::string& piece = partial.pieces[fragment.index];
  partial.missing -= piece.empty() ? 1 : 0;
  piece = fragment.bytes;
  if (partial.missing == 0) {
    ConfigRecord record{fragment.key, fragment.version, false, {}};
    for (const std::string& part : partial.pieces) {
      record.payload += part;
    }
    partials_.erase(fragment.key);
    return record;
  }
  if (partials_.size() > kMaxPartials) {
    partials_.erase(std::min_element(partials_.begin(), partials_.end(),
                                     [](const auto& left, const auto& right) {
                                       return left.second.startedAt < right.second.startedAt;
                                     }));
  }
  return std::nullopt;
}

}  // namespace umberhold
