// Test fixture that runs one or more gateway processes against stand-ins for
// the platform's store, endpoints and callers.
#ifndef GATEWAY_GATEWAY_FIXTURE_H_
#define GATEWAY_GATEWAY_FIXTURE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "routing/host_members.h"
#include "standins/platform_world.h"

namespace sassafras {

inline constexpr std::chrono::milliseconds kAnswerTimeout{3000};
inline constexpr int kMaxNetwork = 255;

// Returns the second octet of loopback addresses that no other test uses at the
// same time. TEST_NETWORK sets the first one, for runs of two checkouts at
// once; TEST_NETWORK_OFFSET divides the following ones among the test programs.
inline int NextLoopbackNetwork() {
  static const char* first = std::getenv("TEST_NETWORK");
  static int network = (first ? std::atoi(first) : 20) + TEST_NETWORK_OFFSET;
  if (network > kMaxNetwork) {
    std::cerr << "No loopback network is left for this test.\n";
    std::abort();
  }
  return network++;
}

class GatewayTest : public testing::Test {
 protected:
  GatewayTest() : world_(NextLoopbackNetwork()) {}

  // Starts one gateway with `endpoints` endpoints and waits until it is ready.
  void StartOne(int endpoints = 1) {
    world_.PutConfig(1);
    for (int i = 0; i < endpoints; ++i)
      endpoints_.push_back(&world_.AddEndpoint("rondas"));
    address_ = world_.StartGateway(1);
    ASSERT_TRUE(world_.WaitReady(1));
    // A ready gateway has read the records of all endpoints.
  }

  std::unique_ptr<PlatformStandinCaller> Connect() {
    return std::make_unique<PlatformStandinCaller>(world_.loop(), address_);
  }

  bool WaitAnswers(const PlatformStandinCaller& caller, size_t n) {
    return world_.RunUntil(kAnswerTimeout,
                           [&] { return caller.answers().size() >= n; });
  }

  // Sends one request on a new connection. Returns the status of the answer, or
  // 0 if there was none.
  int Status(const std::string& text) {
    const auto caller = Connect();
    caller->Send(text);
    world_.RunUntil(kAnswerTimeout, [&] {
      return !caller->answers().empty() || caller->is_closed();
    });
    return caller->answers().empty() ? 0 : caller->answers()[0].head.status;
  }

  // As Status(), but to gateway `host`, which later requests go to as well.
  int StatusAt(int host, const std::string& text) {
    address_ = world_.CallerAddressOf(host);
    return Status(text);
  }

  void Wait(std::chrono::milliseconds time) {
    world_.RunUntil(time, [] { return false; });
  }

  // Waits until a host that has just started knows how many hosts there are.
  // Before, it takes no part of the retry slack that all hosts share, so that
  // its first requests may get only one try.
  void WaitUntilHostsAreKnown() {
    Wait(std::chrono::duration_cast<std::chrono::milliseconds>(kHostTimeout));
  }

  void SetAct(StandinBehavior act) {
    for (PlatformStandinEndpoint* it : endpoints_)
      it->set_behavior(act);
  }

  size_t CountRuns() const {
    size_t n = 0;
    for (const PlatformStandinEndpoint* it : endpoints_)
      n += it->runs().size();
    return n;
  }

  PlatformWorld world_;
  std::vector<PlatformStandinEndpoint*> endpoints_;
  Address address_;
};

}  // namespace sassafras

#endif  // GATEWAY_GATEWAY_FIXTURE_H_
