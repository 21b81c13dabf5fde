// Tests of a single granter that need an exact order of events.

#include "decisions/granter.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

const HostId kEntry("e");

class GranterTest : public ::testing::Test {
 protected:
  GranterTest() {
    granter_.region = RegionId("r");
    granter_.zone = ZoneId("z");
    std::vector<Endpoint> list;
    for (const char* it : {"x", "y"}) {
      Endpoint endpoint;
      endpoint.id = EndpointId(it);
      endpoint.slots = 3;
      list.push_back(endpoint);
    }
    granter_.active_since = now_;
    SetEndpoints(granter_, list, now_);
    now_ += std::chrono::seconds(1);
  }

  // Returns the endpoint granted to a new request; empty if it is queued or
  // refused.
  EndpointId RequestSlot(uint64_t exchange, uint64_t fingerprint) {
    SlotRequest request;
    request.exchange = ExchangeId(exchange);
    request.origin = granter_.region;
    request.priority = Priority::kUrgent;
    request.caller = CallerId("c" + std::to_string(exchange));
    request.fingerprint = Fingerprint(fingerprint);
    request.budget_ms = 5000;
    // An endpoint gets at most one new connection per millisecond.
    now_ += std::chrono::milliseconds(2);
    return GrantedEndpoint(
        OnSlotRequest(granter_, poison_, kEntry, request, now_), exchange);
  }

  std::vector<Envelope> ReleaseSlot(uint64_t exchange, SlotOutcome outcome) {
    SlotRelease release;
    release.exchange = ExchangeId(exchange);
    release.outcome = outcome;
    release.held_us = 20000;
    now_ += std::chrono::milliseconds(2);
    std::vector<PoisonNotice> notices;
    return OnSlotRelease(granter_, poison_, kEntry, release, now_, notices);
  }

  static EndpointId GrantedEndpoint(const std::vector<Envelope>& out,
                                    uint64_t exchange) {
    for (const Envelope& it : out) {
      const auto* grant = std::get_if<SlotGrant>(&it.message);
      if (grant && grant->exchange == ExchangeId(exchange))
        return grant->endpoint;
    }
    return EndpointId();
  }

  Time now_{std::chrono::hours(1)};
  Granter granter_;
  PoisonList poison_;
};

TEST_F(GranterTest, SuspectRunsAloneOnItsEndpoint) {
  constexpr uint64_t kPoison = 100;
  constexpr uint64_t kOther = 200;
  const EndpointId first = RequestSlot(1, kPoison);
  ASSERT_FALSE(first.empty());
  ReleaseSlot(1, SlotOutcome::kBroken);
  ASSERT_EQ(PoisonStatusOf(poison_, Fingerprint(kPoison), now_),
            PoisonStatus::kSuspect);
  // Both endpoints are running requests, so the suspect waits.
  const EndpointId a = RequestSlot(2, kOther);
  const EndpointId b = RequestSlot(3, kOther + 1);
  ASSERT_FALSE(a.empty());
  ASSERT_FALSE(b.empty());
  ASSERT_NE(a, b);
  EXPECT_TRUE(RequestSlot(4, kPoison).empty());
  // One endpoint is idle: the suspect gets it, and no other request joins it.
  EXPECT_EQ(GrantedEndpoint(ReleaseSlot(2, SlotOutcome::kAnswered), 4), a);
  for (uint64_t n = 10; n < 14; ++n)
    EXPECT_NE(RequestSlot(n, kOther + n), a);
  // A second crash, on any endpoint, quarantines only the suspect.
  now_ += std::chrono::seconds(1);
  ReleaseSlot(4, SlotOutcome::kBroken);
  EXPECT_EQ(PoisonStatusOf(poison_, Fingerprint(kPoison), now_),
            PoisonStatus::kQuarantined);
  EXPECT_EQ(PoisonStatusOf(poison_, Fingerprint(kOther), now_),
            PoisonStatus::kNotSuspect);
}

TEST_F(GranterTest, EndpointThatBreaksEveryConnectionQuarantinesNoRequest) {
  constexpr uint64_t kOther = 200;
  std::vector<Endpoint> one = {Endpoint()};
  one[0].id = EndpointId("x");
  one[0].slots = 3;
  SetEndpoints(granter_, one, now_);
  granter_.limits.health.consecutive_failures = 100;
  for (uint64_t n = 1; n <= 4; ++n) {
    ASSERT_FALSE(RequestSlot(n, kOther).empty());
    now_ += std::chrono::seconds(1);
    ReleaseSlot(n, SlotOutcome::kBroken);
  }
  EXPECT_NE(PoisonStatusOf(poison_, Fingerprint(kOther), now_),
            PoisonStatus::kQuarantined);
}

TEST_F(GranterTest, CopiesOfOneRequestRunOnFewEndpoints) {
  granter_.limits.max_copy_endpoints = 1;
  const EndpointId first = RequestSlot(1, 7);
  EXPECT_EQ(RequestSlot(2, 7), first);
  EXPECT_EQ(RequestSlot(3, 7), first);
  EXPECT_TRUE(RequestSlot(4, 7).empty());  // All three slots are in use.
  EXPECT_EQ(GrantedEndpoint(ReleaseSlot(2, SlotOutcome::kAnswered), 4), first);
}

TEST_F(GranterTest, RepeatedRequestGetsTheSameGrant) {
  const EndpointId first = RequestSlot(1, 7);
  EXPECT_EQ(RequestSlot(1, 7), first);
  EXPECT_EQ(granter_.grants.size(), 1U);
}

TEST_F(GranterTest, UrgentRequestIsGrantedFirst) {
  for (uint64_t n = 1; n <= 6; ++n)
    ASSERT_FALSE(RequestSlot(n, n).empty());
  SlotRequest low;
  low.exchange = ExchangeId(50);
  low.origin = granter_.region;
  low.priority = Priority::kLow;
  low.fingerprint = Fingerprint(50);
  low.budget_ms = 5000;
  OnSlotRequest(granter_, poison_, kEntry, low, now_);
  EXPECT_TRUE(RequestSlot(51, 51).empty());
  const auto out = ReleaseSlot(1, SlotOutcome::kAnswered);
  EXPECT_FALSE(GrantedEndpoint(out, 51).empty());
  EXPECT_TRUE(GrantedEndpoint(out, 50).empty());
}

}  // namespace
}  // namespace sassafras
