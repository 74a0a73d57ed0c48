/** @file fuzz_seeds DIRECTORY: writes the initial corpora of the fuzzers. */
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/wire/codec.h"
#include "test/common/packet/packet_samples.h"

using namespace umberhold;

namespace {

/** Number of decisions that packet_fuzzer selects by its first input byte. */
constexpr int kDecisions = 5;

void writeInput(const std::filesystem::path& folder, size_t inputIndex, const std::string& bytes) {
  std::filesystem::create_directories(folder);
  std::ofstream(folder / std::to_string(inputIndex), std::ios::binary) << bytes;
}

std::vector<std::string> samplePackets() {
  return {tcpSample(kSyn),        tcpSample(kAck, "data"), tcpSample(kFin | kAck), tcpSample(kRst),
          tcpSample(kAck, "", 1), tcpSample(kSyn | kFin),  udpSample("datagram"),  udpSample("")};
}

void writePackets(const std::filesystem::path& folder) {
  size_t inputIndex = 0;
  for (const std::string& packet : samplePackets()) {
    for (int decision = 0; decision < kDecisions; ++decision) {
      writeInput(folder, inputIndex++, static_cast<char>(decision) + packet);
    }
  }
}

/** @return one message body of each type, with default field values. */
template <size_t... kTypeIndexes>
std::vector<MessageBody> defaultBodies(std::index_sequence<kTypeIndexes...>) {
  return {MessageBody(std::in_place_index<kTypeIndexes>)...};
}

Service sampleService() {
  Service service;
  service.name = "dispatch";
  service.region = "region-1";
  HostSpec host;
  host.name = "dispatch-1";
  host.zone = "zone-1";
  service.hosts = {host, host};
  return service;
}

void writeMessages(const std::filesystem::path& folder) {
  size_t inputIndex = 0;
  constexpr size_t kTypes = std::variant_size_v<MessageBody>;
  for (MessageBody& body : defaultBodies(std::make_index_sequence<kTypes>())) {
    const auto encoded = encode(Message{std::move(body)});
    if (isOk(encoded)) {
      writeInput(folder, inputIndex++, valueOf(encoded));
    }
  }
  writeInput(folder, inputIndex++, valueOf(encodeService(sampleService())));
  writeInput(folder, inputIndex++,
             valueOf(encodePolicy(Policy{"p", "function weigh() return 1 end"})));
  RecordPush push;
  push.records.push_back(
      ConfigRecord{RecordKey{ObjectKind::kService, "dispatch"}, 3, false, "payload"});
  writeInput(folder, inputIndex++, valueOf(encode(Message{push})));
  SnapshotChunk chunk;
  chunk.base = {BaseHost{HostId{1}, 255}, BaseHost{HostId{2}, 7}};
  chunk.exceptions = {FlowException{FlowHash{9}, 1}};
  chunk.refused = {FlowHash{11}};
  writeInput(folder, inputIndex++, valueOf(encode(Message{chunk})));
}

/** Writes list and watch responses of the store, valid and invalid ones. */
void writeStoreResponses(const std::filesystem::path& folder) {
  const std::string host =
      R"({"meta":{"name":"i-1","revision":7,"made":3},"spec":{"service":"s","address":"10.0.0.1:80",)"
      R"("zone":"z","slots":2,"state":"ready","cold_remaining_ms":250,"born":1796264498000}})";
  const std::string configuration =
      R"({"meta":{"name":"main","revision":7},"spec":{"version":7,"routes":[{"name":"r",)"
      R"("host":"198.18.0.1","path_prefix":"/443/","kind":"safe","traffic_split":[{"service":"s",)"
      R"("weight":9}]}],"services":[{"name":"s","cold_start_s":2,"cold_per_s":1}],"limits":{}}})";
  size_t inputIndex = 0;
  for (const std::string& item : {host, configuration, host + ",7," + host, host + ",1e999"}) {
    writeInput(folder, inputIndex++, R"({"items":[)" + item + R"(],"more":false,"at":9})");
    writeInput(folder, inputIndex++,
               R"({"events":[{"gone":false,"object":)" + item + R"(}],"at":9})");
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: fuzz_seeds DIRECTORY\n";
    return 2;
  }
  const std::filesystem::path root = argv[1];
  writePackets(root / "packet_fuzzer");
  writeMessages(root / "message_fuzzer");
  writeStoreResponses(root / "store_fuzzer");
  return 0;
}
