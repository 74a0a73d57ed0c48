/**
 * @file Disables CppUTest's leak detection for groups whose libraries keep state between cases.
 *
 * Include it last: CppUTest's overloads of operator new must come after the library headers.
 */
#pragma once

#include <CppUTest/TestHarness.h>

// After TestHarness.h, which declares SimpleString.
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace umberhold::test {

/** Base of test groups that use rapidcheck, glog, POCO's threads or prometheus-cpp. */
struct WithoutLeakDetection : Utest {
  WithoutLeakDetection() { MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(); }
  ~WithoutLeakDetection() override {
    MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
  }
};

}  // namespace umberhold::test
