/** @file Assertion for fuzzers: a violated property aborts the process, which libFuzzer reports. */
#pragma once

#include <cstdlib>
#include <iostream>

#define FUZZ_CHECK(condition)                                                               \
  do {                                                                                      \
    if (!(condition)) {                                                                     \
      std::cerr << __FILE__ << ":" << __LINE__ << ": check failed: " << #condition << "\n"; \
      std::abort();                                                                         \
    }                                                                                       \
  } while (false)
