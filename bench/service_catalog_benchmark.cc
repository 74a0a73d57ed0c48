/**
 * @file Memory and speed of the catalogue and the record store at the size of the whole system:
 * 21,000 services with 160,000 hosts in 9 regions. Counters: heap bytes of each, and the number of
 * services. Times: one look-up, one repeated record and one newer record.
 */
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>
#include <vector>

#include "common/catalog/service_catalog.h"
#include "common/spread/record_store.h"
#include "common/wire/codec.h"

using namespace umberhold;

namespace {

constexpr uint32_t kServices = 21000;
constexpr uint32_t kHosts = 160000;
constexpr uint32_t kRegions = 9;
constexpr uint32_t kFirstAddress = 0x0A000000;

size_t heapBytes() {
  return mallinfo2().uordblks;
}

/** @return the number of hosts of a service. */
uint32_t hostCountOf(uint32_t index) {
  return kHosts / kServices + (index < kHosts % kServices ? 1 : 0);
}

Service makeService(uint32_t index) {
  Service service;
  service.name = "organisation-" + std::to_string(index / 10) + "/service-" + std::to_string(index);
  service.region = "region-" + std::to_string(index % kRegions);
  service.address = kFirstAddress + index;
  service.port = 443;
  service.policy = "least-load";
  for (uint32_t host = 0; host < hostCountOf(index); ++host) {
    HostSpec spec;
    spec.name = "host-" + std::to_string(host);
    spec.endpoint = {0x0B000000 + index * 16 + host, 7000};
    spec.probe = {0x0B000000 + index * 16 + host, 8000};
    spec.zone = "zone-" + std::to_string(host % 3);
    service.hosts.push_back(spec);
  }
  return service;
}

ConfigRecord makeRecord(uint32_t index) {
  const Service service = makeService(index);
  return {{ObjectKind::kService, service.name}, index + 1, false, valueOf(encodeService(service))};
}

void fillCatalog(ServiceCatalog& catalog) {
  for (uint32_t index = 0; index < kServices; ++index) {
    benchmark::DoNotOptimize(catalog.apply(makeRecord(index)));
  }
}

void memoryOfTheWholeSystem(benchmark::State& state) {
  for (auto _ : state) {
    const size_t heapBefore = heapBytes();
    ServiceCatalog catalog("region-0");
    fillCatalog(catalog);
    const size_t heapAfterCatalog = heapBytes();
    RecordStore records;
    for (uint32_t index = 0; index < kServices; ++index) {
      records.apply(makeRecord(index));
    }
    const size_t heapAfterStore = heapBytes();
    state.counters["catalog_bytes"] = static_cast<double>(heapAfterCatalog - heapBefore);
    state.counters["record_store_bytes"] = static_cast<double>(heapAfterStore - heapAfterCatalog);
    state.counters["record_store_inline_bytes"] = sizeof(RecordStore);
    state.counters["services"] = static_cast<double>(catalog.serviceCount());
    state.counters["home_services"] = static_cast<double>(catalog.homeServiceCount());
  }
}

void findByAddress(benchmark::State& state) {
  ServiceCatalog catalog("region-0");
  fillCatalog(catalog);
  const ServiceLookup& lookup = catalog;
  uint32_t index = 0;
  for (auto _ : state) {
    index = (index + 7919) % kServices;
    benchmark::DoNotOptimize(lookup.find(kFirstAddress + index, 443, TransportProtocol::kTcp));
  }
}

void applyRepeatedRecord(benchmark::State& state) {
  ServiceCatalog catalog("region-0");
  const ConfigRecord record = makeRecord(0);
  benchmark::DoNotOptimize(catalog.apply(record));
  for (auto _ : state) {
    benchmark::DoNotOptimize(catalog.apply(record));
  }
}

void applyNewerRecord(benchmark::State& state) {
  ServiceCatalog catalog("region-0");
  ConfigRecord record = makeRecord(0);
  for (auto _ : state) {
    ++record.version;
    benchmark::DoNotOptimize(catalog.apply(record));
  }
}

}  // namespace

BENCHMARK(memoryOfTheWholeSystem)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(findByAddress);
BENCHMARK(applyRepeatedRecord);
BENCHMARK(applyNewerRecord);

BENCHMARK_MAIN();
