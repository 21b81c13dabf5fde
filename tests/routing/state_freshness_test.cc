#include "routing/state_freshness.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart = Time() + std::chrono::hours(1);

// One host among others. Time passes in steps in which it is active.
class StateFreshnessTest : public testing::Test {
 protected:
  StateFreshnessTest() {
    members_.self.config_version = 7;
    members_.self.phase = HostPhase::kReady;
    freshness_.started = kStart;
    freshness_.active_at = kStart;
    for (int i = 0; i < kOthers; ++i)
      Hear(i);
  }

  void Hear(int other) {
    HostNotice notice;
    notice.id = HostId(std::to_string(other));
    notice.phase = HostPhase::kReady;
    notice.config_version = 7;
    members_.others[notice.id] = {notice, now_, now_, {}, {}};
    OnHostHeard(freshness_, now_);
  }

  // Lets `time` pass while the host is active, hears the first `others` hosts
  // and, if `store_fails`, calls the store in vain.
  void Pass(Duration time, int others, bool store_fails) {
    constexpr milliseconds kStep{250};
    for (const Time end = now_ + time; now_ < end;) {
      now_ += kStep;
      OnActivity(freshness_, now_);
      for (int i = 0; i < others; ++i)
        Hear(i);
      if (store_fails)
        OnStoreFailed(freshness_, now_);
    }
  }

  void Confirm(Duration age = Duration(0)) {
    OnActivity(freshness_, now_);
    OnConfirmed(freshness_, members_, age, now_);
  }

  std::string_view Knowledge() const {
    return NameOf(FreshnessOf(freshness_, members_, now_));
  }

  static constexpr int kOthers = 5;
  StateFreshness freshness_;
  HostMembers members_;
  Time now_ = kStart;
};

TEST_F(StateFreshnessTest, StateIsUnconfirmedUntilItIsAsNewAsTheStart) {
  Pass(seconds(4), kOthers, false);
  EXPECT_EQ(Knowledge(), "unconfirmed");
  // Of a relay that lost the store before this host's start.
  Confirm(seconds(6));
  EXPECT_EQ(Knowledge(), "unconfirmed");
  Confirm(milliseconds(500));
  EXPECT_EQ(Knowledge(), "current");
}

TEST_F(StateFreshnessTest, StartingHostServesInAnOutageThatItHasSeenItself) {
  Pass(milliseconds(500), kOthers, true);
  EXPECT_EQ(Knowledge(), "current");
}

TEST_F(StateFreshnessTest, OutageOfTheStoreIsNoCut) {
  struct Case {
    int heard;
    bool store_fails;
    const char* expected;
  };
  const std::vector<Case> cases = {
      {kOthers, true, "current"}, {kOthers, false, "current"},
      {3, false, "current"},      {2, false, "partitioned"},
      {2, true, "partitioned"},   {0, true, "partitioned"},
      {0, false, "partitioned"},
  };
  Confirm();
  const StateFreshness freshness = freshness_;
  const HostMembers members = members_;
  const Time now = now_;
  for (const Case& it : cases) {
    freshness_ = freshness;
    members_ = members;
    now_ = now;
    Pass(seconds(5), it.heard, it.store_fails);
    EXPECT_EQ(Knowledge(), it.expected) << it.heard << it.store_fails;
    // Nor do silent hosts that are forgotten make it one.
    Pass(seconds(90), it.heard, it.store_fails);
    members_.others.erase(HostId("4"));
    EXPECT_EQ(Knowledge(), it.expected) << it.heard << it.store_fails;
  }
}

TEST_F(StateFreshnessTest, HostAloneReliesOnTheStore) {
  members_.others.clear();
  Confirm();
  Pass(seconds(5), 0, true);
  EXPECT_EQ(Knowledge(), "current");
  Pass(seconds(5), 0, false);
  EXPECT_EQ(Knowledge(), "partitioned");
}

TEST_F(StateFreshnessTest, WhatArrivedBeforeAFreezeProvesNothing) {
  Confirm();
  now_ += seconds(4);
  EXPECT_EQ(Knowledge(), "resumed");
  // Read at the wake, from before the freeze.
  Confirm();
  Hear(1);
  OnStoreFailed(freshness_, now_);
  EXPECT_EQ(Knowledge(), "resumed");
  now_ += kResumeTime + milliseconds(1);
  OnActivity(freshness_, now_);
  EXPECT_EQ(Knowledge(), "partitioned");
  Confirm();
  EXPECT_EQ(Knowledge(), "current");
}

TEST_F(StateFreshnessTest, NewerVersionOfAnotherHostMakesTheStateOutdated) {
  Confirm();
  members_.others[HostId("2")].notice.config_version = 6;
  EXPECT_EQ(Knowledge(), "current");
  members_.others[HostId("2")].notice.config_version = 8;
  EXPECT_EQ(Knowledge(), "outdated");
}

}  // namespace
}  // namespace sassafras
