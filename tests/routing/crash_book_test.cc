#include "routing/crash_book.h"

#include <gtest/gtest.h>

#include <random>

#include "gateway/gossip.h"
#include "routing/attempt.h"
#include "routing/host_members.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{seconds(1000)};
constexpr uint64_t kRequest = 7;

TEST(CrashBookTest, RequestsAreToldApart) {
  const uint64_t read = HashOfRequest("GET", "h", "/a?b=1");
  EXPECT_EQ(read, HashOfRequest("GET", "h", "/a?b=1"));
  EXPECT_NE(read, HashOfRequest("GET", "h", "/a?b=2"));
  EXPECT_NE(read, HashOfRequest("GET", "i", "/a?b=1"));
  EXPECT_NE(read, HashOfRequest("HEAD", "h", "/a?b=1"));
}

TEST(CrashBookTest, SuspectsHaveBrokenSeveralEndpoints) {
  struct Case {
    const char* name;
    std::vector<uint32_t> endpoints;
    bool is_answered;
    Duration age;
    bool is_suspect;
  };
  const std::vector<Case> cases = {
      {"unknown", {}, false, seconds(0), false},
      {"two of a zone that is lost", {1, 2}, false, seconds(0), false},
      {"three endpoints", {1, 2, 3}, false, seconds(0), true},
      {"one endpoint, seen by three hosts",
       {1, 1, 1},
       false,
       seconds(0),
       false},
      {"three, but answered", {1, 2, 3}, true, seconds(0), false},
      {"a minute ago", {1, 2, 3}, false, seconds(60), false},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    CrashBook book;
    for (const uint32_t endpoint : it.endpoints)
      OnCrash(book, {kRequest, endpoint}, kStart);
    if (it.is_answered)
      OnAnswered(book, kRequest);
    ForgetCrashes(book, kStart + it.age);
    EXPECT_EQ(IsSuspect(book, kRequest), it.is_suspect);
    EXPECT_FALSE(IsSuspect(book, kRequest + 1));
  }
}

// News of a request that was answered would go round without end otherwise.
TEST(CrashBookTest, AnsweredRequestStaysAnsweredWhenItsCrashesAreHeardAgain) {
  CrashBook book;
  for (uint32_t i = 0; i < 3; ++i)
    OnCrash(book, {kRequest, i}, kStart);
  OnAnswered(book, kRequest);
  EXPECT_TRUE(RecentCrashes(book, kStart).empty());
  EXPECT_FALSE(OnCrash(book, {kRequest, 1}, kStart + seconds(1)));
  OnCrash(book, {kRequest, 9}, kStart + seconds(1));
  EXPECT_FALSE(IsSuspect(book, kRequest));
  EXPECT_TRUE(RecentCrashes(book, kStart + seconds(1)).empty());
}

TEST(CrashBookTest, LossOfManyConnectionsIsBounded) {
  CrashBook book;
  for (uint64_t i = 0; i < 3 * kMostCrashRecords; ++i)
    OnCrash(book, {i, 1}, kStart);
  EXPECT_EQ(book.by_request.size(), kMostCrashRecords);
  OnCrash(book, {5, 2}, kStart);
  const auto notices = RecentCrashes(book, kStart);
  ASSERT_EQ(notices.size(), kMostCrashNotices);
  EXPECT_EQ(notices.front().request, 5U);
  EXPECT_EQ(notices[1].request, 5U);
  EXPECT_TRUE(RecentCrashes(book, kStart + kCrashNewsTime).empty());
}

TEST(CrashBookTest, NoticesSurviveTheWire) {
  GossipMessage message;
  message.crashes = {{1ULL << 60, 3000000000U}, {kRequest, 2}};
  const auto sent = TryOr([&] { return DecodeGossip(EncodeGossip(message)); },
                          [](const Error&) { return GossipMessage(); });
  ASSERT_EQ(sent.crashes.size(), 2U);
  EXPECT_EQ(sent.crashes[0].request, 1ULL << 60);
  EXPECT_EQ(sent.crashes[0].endpoint, 3000000000U);
  EXPECT_EQ(sent.crashes[1].request, kRequest);
}

// A request that crashes whatever runs it comes again and again, each time
// through another host, and every host may send it twice. Hosts lose a part of
// their datagrams. Beyond the stable window (4 s on the platform's pages) after
// the third crash, at most three more second tries are allowed in all.
TEST(CrashBookTest, HostsStopRepeatingARequestThatCrashesEndpoints) {
  constexpr size_t kMostLateRetries = 3;
  constexpr Duration kStableWindow = seconds(4);
  constexpr double kLoss = 0.05;
  for (const int n : {2, 18, 120}) {
    SCOPED_TRACE(n);
    std::mt19937 random(3);
    std::vector<HostMembers> members(static_cast<size_t>(n));
    std::vector<CrashBook> books(members.size());
    std::map<std::string, size_t> by_ip;
    std::map<ZoneId, RegionId> zones;
    for (int i = 0; i < 4; ++i)
      zones[ZoneId(std::to_string(i))] = RegionId(std::to_string(i / 2));
    for (size_t i = 0; i < members.size(); ++i) {
      HostNotice& self = members[i].self;
      self.id = HostId("h" + std::to_string(i));
      self.ip = "10.0.0." + std::to_string(i);
      self.zone = ZoneId(std::to_string(i % 4));
      self.incarnation = 1;
      members[i].random.seed(static_cast<unsigned>(i));
      by_ip[self.ip] = i;
    }
    for (size_t i = 0; i < members.size(); ++i) {
      for (size_t other = 0; other < members.size(); ++other) {
        if (other != i)
          members[i].others[members[other].self.id] = {
              members[other].self, kStart, kStart, {}, {}};
      }
    }
    uint32_t crashes = 0;
    size_t late_retries = 0;
    Time third;
    for (Time now = kStart; now < kStart + seconds(20);
         now += milliseconds(100)) {
      const size_t at = random() % members.size();
      TryState end;
      end.outcome = TryOutcome::kBroken;
      end.may_have_run = true;
      end.max_attempts = 2;
      end.time_left = seconds(5);
      OnCrash(books[at], {kRequest, ++crashes}, now);
      end.is_suspect = IsSuspect(books[at], kRequest);
      if (IsRetryUseful(end)) {
        OnCrash(books[at], {kRequest, ++crashes}, now);
        late_retries += third != Time() && now > third + kStableWindow;
      }
      if (crashes >= 3 && third == Time())
        third = now;
      if ((now - kStart) % kGossipPeriod != Duration(0))
        continue;
      for (size_t i = 0; i < members.size(); ++i) {
        GossipRound round = NextRound(members[i], {}, zones, now);
        round.message.crashes = RecentCrashes(books[i], now);
        for (const std::string& ip : round.to_ips) {
          if (std::uniform_real_distribution<double>()(random) < kLoss)
            continue;
          const size_t to = by_ip[ip];
          OnGossip(members[to], round.message, now);
          for (const CrashNotice& it : round.message.crashes)
            OnCrash(books[to], it, now);
        }
      }
    }
    EXPECT_LE(late_retries, kMostLateRetries);
  }
}

}  // namespace
}  // namespace sassafras
