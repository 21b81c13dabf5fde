// A gateway process or several against stand-ins of the platform.
#ifndef GATEWAY_GATEWAY_FIXTURE_H_
#define GATEWAY_GATEWAY_FIXTURE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "routing/host_members.h"
#include "standins/platform_world.h"

namespace sassafras {

inline constexpr std::chrono::milliseconds kAnswerTime{3000};

// Each test has loopback addresses of its own.
inline int NextNetwork() {
  static int network = 120;
  return network++;
}

class GatewayTest : public testing::Test {
 protected:
  GatewayTest() : world_(NextNetwork()) {}

  // One gateway and `endpoints` endpoints, ready to serve.
  void StartOne(int endpoints = 1) {
    world_.PutConfig(1);
    for (int i = 0; i < endpoints; ++i)
      endpoints_.push_back(&world_.AddEndpoint("rondas"));
    address_ = world_.StartGateway(1);
    ASSERT_TRUE(world_.WaitReady(1));
    // All endpoints' records have arrived with the first lists.
  }

  std::unique_ptr<PlatformStandinCaller> Connect() {
    return std::make_unique<PlatformStandinCaller>(world_.loop(), address_);
  }

  bool WaitAnswers(const PlatformStandinCaller& caller, size_t n) {
    return world_.RunUntil(kAnswerTime,
                           [&] { return caller.answers().size() >= n; });
  }

  // Sends one request on a connection of its own; status 0: no answer.
  int Status(const std::string& text) {
    const auto caller = Connect();
    caller->Send(text);
    world_.RunUntil(kAnswerTime, [&] {
      return !caller->answers().empty() || caller->is_closed();
    });
    return caller->answers().empty() ? 0 : caller->answers()[0].head.status;
  }

  int StatusAt(int host, const std::string& text) {
    address_ = world_.CallersOf(host);
    return Status(text);
  }

  void Wait(std::chrono::milliseconds time) {
    world_.RunUntil(time, [] { return false; });
  }

  // A host that has just started takes nothing of the slack of retries that all
  // hosts share, so that its first requests may have one try only.
  void WaitUntilHostsAreKnown() {
    Wait(std::chrono::duration_cast<std::chrono::milliseconds>(kHostTimeout));
  }

  void SetAct(StandinAct act) {
    for (PlatformStandinEndpoint* it : endpoints_)
      it->set_act(act);
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
