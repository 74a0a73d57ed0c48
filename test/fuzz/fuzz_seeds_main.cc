/** @file Writes the inputs that the fuzzers start from: fuzz_seeds DIRECTORY. */
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

constexpr int kDecisions = 5;

void write(const std::filesystem::path& folder, size_t number, const std::string& bytes) {
  std::filesystem::create_directories(folder);
  std::ofstream(folder / std::to_string(number), std::ios::binary) << bytes;
}

std::vector<std::string> packets() {
  return {tcpSample(kSyn),        tcpSample(kAck, "data"), tcpSample(kFin | kAck), tcpSample(kRst),
          tcpSample(kAck, "", 1), tcpSample(kSyn | kFin),  udpSample("datagram"),  udpSample("")};
}

void writePackets(const std::filesystem::path& folder) {
  size_t number = 0;
  for (const std::string& packet : packets()) {
    for (int decision = 0; decision < kDecisions; ++decision) {
      write(folder, number++, static_cast<char>(decision) + packet);
    }
  }
}

/** @return a message of every kind, with default fields. */
template <size_t... kIndexes>
std::vector<MessageBody> bodies(std::index_sequence<kIndexes...>) {
  return {MessageBody(std::in_place_index<kIndexes>)...};
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
  size_t number = 0;
  constexpr size_t kKinds = std::variant_size_v<MessageBody>;
  for (MessageBody& body : bodies(std::make_index_sequence<kKinds>())) {
    const auto encoded = encode(Message{std::move(body)});
    if (isOk(encoded)) {
      write(folder, number++, valueOf(encoded));
    }
  }
  write(folder, number++, valueOf(encodeService(sampleService())));
  write(folder, number++, valueOf(encodePolicy(Policy{"p", "function weigh() return 1 end"})));
  RecordPush push;
  push.records.push_back(
      ConfigRecord{RecordKey{ObjectKind::kService, "dispatch"}, 3, false, "payload"});
  write(folder, number++, valueOf(encode(Message{push})));
  SnapshotChunk chunk;
  chunk.base = {BaseHost{HostId{1}, 255}, BaseHost{HostId{2}, 7}};
  chunk.exceptions = {FlowException{FlowHash{9}, 1}};
  chunk.refused = {FlowHash{11}};
  write(folder, number++, valueOf(encode(Message{chunk})));
}

/** Lists and events of the store, valid and not. */
void writeStoreAnswers(const std::filesystem::path& folder) {
  const std::string host =
      R"({"meta":{"name":"i-1","revision":7,"made":3},"spec":{"service":"s","address":"10.0.0.1:80",)"
      R"("zone":"z","slots":2,"state":"ready","cold_remaining_ms":250,"born":1796264498000}})";
  const std::string configuration =
      R"({"meta":{"name":"main","revision":7},"spec":{"version":7,"routes":[{"name":"r",)"
      R"("host":"198.18.0.1","path_prefix":"/443/","kind":"safe","traffic_split":[{"service":"s",)"
      R"("weight":9}]}],"services":[{"name":"s","cold_start_s":2,"cold_per_s":1}],"limits":{}}})";
  size_t number = 0;
  for (const std::string& item : {host, configuration, host + ",7," + host, host + ",1e999"}) {
    write(folder, number++, R"({"items":[)" + item + R"(],"more":false,"at":9})");
    write(folder, number++, R"({"events":[{"gone":false,"object":)" + item + R"(}],"at":9})");
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
  writeStoreAnswers(root / "store_fuzzer");
  return 0;
}
