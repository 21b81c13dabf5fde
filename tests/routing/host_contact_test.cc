#include "routing/host_contact.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart = Time() + std::chrono::hours(1);

// One host among others. Time passes in steps in which it is active.
class HostContactTest : public testing::Test {
 protected:
  HostContactTest() {
    members_.self.config_version = 7;
    members_.self.phase = HostPhase::kReady;
    contact_.started = kStart;
    contact_.active_at = kStart;
    for (int i = 0; i < kOthers; ++i)
      Hear(i);
  }

  void Hear(int other) {
    HostNotice notice;
    notice.id = HostId(std::to_string(other));
    notice.phase = HostPhase::kReady;
    notice.config_version = 7;
    members_.others[notice.id] = {notice, now_, now_, {}, {}};
    OnHostHeard(contact_, now_);
  }

  // Lets `time` pass while the host is active, hears the first `others` hosts
  // and, if `store_fails`, calls the store in vain.
  void Pass(Duration time, int others, bool store_fails) {
    constexpr milliseconds kStep{250};
    for (const Time end = now_ + time; now_ < end;) {
      now_ += kStep;
      OnActivity(contact_, now_);
      for (int i = 0; i < others; ++i)
        Hear(i);
      if (store_fails)
        OnStoreFailed(contact_, now_);
    }
  }

  void Confirm(Duration age = Duration(0)) {
    OnActivity(contact_, now_);
    OnConfirmed(contact_, members_, age, now_);
  }

  std::string_view Knowledge() const {
    return NameOf(KnowledgeOfState(contact_, members_, now_));
  }

  static constexpr int kOthers = 5;
  HostContact contact_;
  HostMembers members_;
  Time now_ = kStart;
};

TEST_F(HostContactTest, StateIsUnconfirmedUntilItIsAsNewAsTheStart) {
  Pass(seconds(4), kOthers, false);
  EXPECT_EQ(Knowledge(), "unconfirmed");
  // Of a relay that lost the store before this host's start.
  Confirm(seconds(6));
  EXPECT_EQ(Knowledge(), "unconfirmed");
  Confirm(milliseconds(500));
  EXPECT_EQ(Knowledge(), "current");
}

TEST_F(HostContactTest, StartingHostServesInAnOutageThatItHasSeenItself) {
  Pass(milliseconds(500), kOthers, true);
  EXPECT_EQ(Knowledge(), "current");
}

TEST_F(HostContactTest, OutageOfTheStoreIsNoCut) {
  struct Case {
    int heard;
    bool store_fails;
    const char* expected;
  };
  const std::vector<Case> cases = {
      {kOthers, true, "current"}, {kOthers, false, "current"},
      {3, false, "current"},      {2, false, "cut_off"},
      {2, true, "cut_off"},       {0, true, "cut_off"},
      {0, false, "cut_off"},
  };
  Confirm();
  const HostContact contact = contact_;
  const HostMembers members = members_;
  const Time now = now_;
  for (const Case& it : cases) {
    contact_ = contact;
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

TEST_F(HostContactTest, HostAloneReliesOnTheStore) {
  members_.others.clear();
  Confirm();
  Pass(seconds(5), 0, true);
  EXPECT_EQ(Knowledge(), "current");
  Pass(seconds(5), 0, false);
  EXPECT_EQ(Knowledge(), "cut_off");
}

TEST_F(HostContactTest, WhatArrivedBeforeAFreezeProvesNothing) {
  Confirm();
  now_ += seconds(4);
  EXPECT_EQ(Knowledge(), "waking");
  // Read at the wake, from before the freeze.
  Confirm();
  Hear(1);
  OnStoreFailed(contact_, now_);
  EXPECT_EQ(Knowledge(), "waking");
  now_ += kDistrustTime + milliseconds(1);
  OnActivity(contact_, now_);
  EXPECT_EQ(Knowledge(), "cut_off");
  Confirm();
  EXPECT_EQ(Knowledge(), "current");
}

TEST_F(HostContactTest, NewerVersionOfAnotherHostMakesTheStateOutdated) {
  Confirm();
  members_.others[HostId("2")].notice.config_version = 6;
  EXPECT_EQ(Knowledge(), "current");
  members_.others[HostId("2")].notice.config_version = 8;
  EXPECT_EQ(Knowledge(), "outdated");
}

}  // namespace
}  // namespace sassafras
