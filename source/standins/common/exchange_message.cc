#include "standins/common/exchange_message.h"

#include <chrono>
#include <msgpack.hpp>

namespace umberhold::standins {
namespace {

enum class Kind : uint8_t {
  kRequest = 1,
  kCancellation = 2,
  kAnswer = 3,
  kPush = 4,
  kPushReceipt = 5
};

using Packer = msgpack::packer<msgpack::sbuffer>;
using Fields = msgpack::object_array;

struct FieldWriter {
  Packer& packer;

  void begin(Kind kind, uint32_t fields) const {
    packer.pack_array(fields + 1);
    packer.pack(static_cast<uint8_t>(kind));
  }
  void operator()(const Request& request) const {
    begin(Kind::kRequest, 5);
    packer.pack(request.id);
    packer.pack(request.repeatable);
    packer.pack(request.deadline);
    packer.pack(request.answerParts);
    packer.pack(request.expectedHost);
  }
  void operator()(const Cancellation& cancellation) const {
    begin(Kind::kCancellation, 1);
    packer.pack(cancellation.id);
  }
  void operator()(const Answer& answer) const {
    begin(Kind::kAnswer, 6);
    packer.pack(answer.id);
    packer.pack(static_cast<uint8_t>(answer.status));
    packer.pack(answer.part);
    packer.pack(answer.parts);
    packer.pack(answer.host);
    packer.pack(answer.retryAfterMillis);
  }
  void operator()(const Push& push) const {
    begin(Kind::kPush, 2);
    packer.pack(push.id);
    packer.pack(push.host);
  }
  void operator()(const PushReceipt& receipt) const {
    begin(Kind::kPushReceipt, 1);
    packer.pack(receipt.id);
  }
};

/** Throws msgpack::type_error if a field is missing or has another type. */
template <class Value>
Value field(const Fields& fields, uint32_t index) {
  if (index >= fields.size) {
    throw msgpack::type_error();
  }
  return fields.ptr[index].as<Value>();
}

Request readRequest(const Fields& fields) {
  Request request;
  request.id = field<uint64_t>(fields, 1);
  request.repeatable = field<bool>(fields, 2);
  request.deadline = field<int64_t>(fields, 3);
  request.answerParts = field<uint16_t>(fields, 4);
  request.expectedHost = field<std::string>(fields, 5);
  return request;
}

Answer readAnswer(const Fields& fields) {
  Answer answer;
  answer.id = field<uint64_t>(fields, 1);
  const auto status = field<uint8_t>(fields, 2);
  if (status > static_cast<uint8_t>(AnswerStatus::kUnknownFlow)) {
    throw msgpack::type_error();
  }
  answer.status = static_cast<AnswerStatus>(status);
  answer.part = field<uint16_t>(fields, 3);
  answer.parts = field<uint16_t>(fields, 4);
  answer.host = field<std::string>(fields, 5);
  answer.retryAfterMillis = field<uint32_t>(fields, 6);
  return answer;
}

}  // namespace

UnixMillis currentMillis() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::string encodeExchange(const ExchangeMessage& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  std::visit(FieldWriter{packer}, message);
  return std::string(buffer.data(), buffer.size());
}

Result<ExchangeMessage, ExchangeError> decodeExchange(std::string_view payload) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(payload.data(), payload.size());
    if (handle->type != msgpack::type::ARRAY) {
      return ExchangeError::kMalformed;
    }
    const Fields& fields = handle->via.array;
    switch (static_cast<Kind>(field<uint8_t>(fields, 0))) {
      case Kind::kRequest:
        return ExchangeMessage(readRequest(fields));
      case Kind::kCancellation:
        return ExchangeMessage(Cancellation{field<uint64_t>(fields, 1)});
      case Kind::kAnswer:
        return ExchangeMessage(readAnswer(fields));
      case Kind::kPush:
        return ExchangeMessage(Push{field<uint64_t>(fields, 1), field<std::string>(fields, 2)});
      case Kind::kPushReceipt:
        return ExchangeMessage(PushReceipt{field<uint64_t>(fields, 1)});
    }
    return ExchangeError::kUnknownKind;
  } catch (const std::exception&) {
    return ExchangeError::kMalformed;
  }
}

}  // namespace umberhold::standins
