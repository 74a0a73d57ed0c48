/**
 * @file Measures the cost of a complete list of the store for a reader: fills a running stand-in
 * platform with services, lists them page by page and converts them into records. Prints elapsed
 * time, CPU time, peak memory, and the number and size of the records.
 */
#include <sys/resource.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <iostream>
#include <string>

#include "common/platform/http_platform_store.h"
#include "common/platform/object_json.h"
#include "common/platform/store_lister.h"
#include "common/platform/stored_object_record.h"

using namespace umberhold;

namespace {

constexpr int kFailure = 1;
constexpr int kUsageError = 2;
constexpr uint32_t kRegions = 9;

Service makeService(uint32_t index, uint32_t hosts) {
  Service service;
  service.name = "organisation-" + std::to_string(index / 10) + "-service-" + std::to_string(index);
  service.region = "region-" + std::to_string(index % kRegions);
  service.address = 0x0A000000 + index;
  service.port = 443;
  for (uint32_t host = 0; host < hosts; ++host) {
    HostSpec spec;
    spec.name = "host-" + std::to_string(host);
    spec.endpoint = {0x0B000000 + index * 16 + host, 7000};
    spec.probe = {0x0B000000 + index * 16 + host, 8000};
    spec.zone = "zone-" + std::to_string(host % 3);
    service.hosts.push_back(spec);
  }
  return service;
}

/** Stores the services; those that exist already are left unchanged. @return false after an error,
 * which is printed. */
bool fillStore(PlatformStore& store, uint32_t services, uint32_t hosts) {
  for (uint32_t index = 0; index < services; ++index) {
    const Service service = makeService(index, hosts);
    StoredObject object;
    object.name = service.name;
    object.history = {{"request-" + std::to_string(index), "bench", "apply", 1700000000}};
    object.specification = formatService(service);
    const auto version = store.put(object);
    if (!isOk(version) && errorOf(version).code != StoreErrorCode::kConflict) {
      std::cerr << errorOf(version).detail << "\n";
      return false;
    }
  }
  return true;
}

/** Resources that this process has used so far. */
struct ResourceUsage {
  double cpuSeconds = 0;
  int64_t peakKilobytes = 0;
};

ResourceUsage currentUsage() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return {seconds(usage.ru_utime) + seconds(usage.ru_stime), usage.ru_maxrss};
}

/** Lists the store and prints the cost. @return the exit status. */
int listStore(PlatformStore& store, size_t pageSize) {
  const ResourceUsage before = currentUsage();
  const auto start = std::chrono::steady_clock::now();
  StoreLister lister(store, pageSize);
  size_t records = 0;
  size_t payloadBytes = 0;
  while (!lister.isComplete()) {
    auto step = lister.step();
    if (!isOk(step)) {
      std::cerr << errorOf(step).detail << "\n";
      return kFailure;
    }
    for (const StoredObject& object : valueOf(step).objects) {
      const auto record = toConfigRecord(object);
      if (isOk(record)) {
        ++records;
        payloadBytes += valueOf(record).payload.size();
      }
    }
  }
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  const ResourceUsage after = currentUsage();
  std::cout << "page records payload_bytes seconds cpu_seconds peak_kb_before peak_kb_after\n"
            << pageSize << " " << records << " " << payloadBytes << " " << elapsed.count() << " "
            << after.cpuSeconds - before.cpuSeconds << " " << before.peakKilobytes << " "
            << after.peakKilobytes << "\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine commandLine("Cost of a complete list of the store", ' ');
    TCLAP::ValueArg<std::string> platform("", "platform", "API endpoint of the stand-in platform",
                                          true, "", "ip:port", commandLine);
    TCLAP::ValueArg<uint32_t> services("", "services", "Services", false, 21000, "count",
                                       commandLine);
    TCLAP::ValueArg<uint32_t> hosts("", "hosts", "Hosts per service", false, 8, "count",
                                    commandLine);
    TCLAP::ValueArg<size_t> page("", "page", "Objects per page", false, 100, "count", commandLine);
    commandLine.parse(argc, argv);
    const auto endpoint = parseEndpoint(platform.getValue());
    if (!endpoint) {
      std::cerr << "--platform is not of the form ip:port\n";
      return kUsageError;
    }
    HttpPlatformStore store(*endpoint);
    if (!fillStore(store, services.getValue(), hosts.getValue())) {
      return kFailure;
    }
    return listStore(store, page.getValue());
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
    return kUsageError;
  }
}
