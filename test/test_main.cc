/** @file Entry point shared by every CppUTest program. */
#include <Poco/Net/HTTPBufferAllocator.h>

#include <vector>

// Last, because its macros replace operator new.
#include <CppUTest/CommandLineTestRunner.h>

namespace {

/** Buffers of HTTP streams that a program of tests may have in use at once. */
constexpr int kBuffers = 1024;

/**
 * POCO keeps returned buffers in a list for the whole process. The list is made under leak
 * detection; if it grew in a group that has switched the detection off, the detector would go on
 * looking at storage that is freed, and crash. With 128 places (POCO's own) it did once more than
 * about seven nodes were connected.
 */
void growBufferList() {
  using Allocator = Poco::Net::HTTPBufferAllocator;
  std::vector<char*> buffers;
  for (int index = 0; index < kBuffers; ++index) {
    buffers.push_back(Allocator::allocate(Allocator::BUFFER_SIZE));
  }
  for (char* const buffer : buffers) {
    Allocator::deallocate(buffer, Allocator::BUFFER_SIZE);
  }
}

}  // namespace

int main(int argc, char** argv) {
  growBufferList();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
