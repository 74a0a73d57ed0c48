/** @file Entry point of all CppUTest programs. */
#include <Poco/Net/HTTPBufferAllocator.h>

#include <vector>

// Last, because its macros redefine operator new.
#include <CppUTest/CommandLineTestRunner.h>

namespace {

/** Maximum number of HTTP stream buffers that a test program uses at the same time. */
constexpr int kMaxBuffers = 1024;

/**
 * Grows POCO's global list of free buffers before the first test. The list is allocated while leak
 * detection is enabled. If it grew during a test group that disables the detection, the detector
 * would not notice that the old storage is freed, would access it later and crash. With POCO's
 * initial capacity of 128, this happened when more than about seven nodes were connected.
 */
void reserveBufferList() {
  using Allocator = Poco::Net::HTTPBufferAllocator;
  std::vector<char*> buffers;
  for (int index = 0; index < kMaxBuffers; ++index) {
    buffers.push_back(Allocator::allocate(Allocator::BUFFER_SIZE));
  }
  for (char* const buffer : buffers) {
    Allocator::deallocate(buffer, Allocator::BUFFER_SIZE);
  }
}

}  // namespace

int main(int argc, char** argv) {
  reserveBufferList();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
