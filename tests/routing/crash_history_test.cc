#include "routing/crash_history.h"

#include <gtest/gtest.h>

#include <random>

#include "base/hash.h"
#include "gateway/gossip.h"
#include "routing/attempt.h"
#include "routing/host_members.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const Time kStart{seconds(1000)};
constexpr uint64_t kRequest = 7;
// Limits from the platform's specification.
constexpr size_t kMaxLateSends = 3;
constexpr Duration kStableWindow = seconds(4);

CrashedSend SendAt(Time broke, Duration took = milliseconds(10)) {
  return {broke - took, broke};
}

// Endpoints 1 to `n` crash under the request one after the other.
void Crash(CrashHistory& history,
           uint64_t request,
           uint32_t n,
           Time now = kStart) {
  for (uint32_t i = 1; i <= n; ++i)
    OnCrash(history, request, i, SendAt(now), now);
}

TEST(CrashHistoryTest, HashDiffersByEachTrait) {
  const RequestTraits request{"GET", "h", "/a?b=1", "cookie", "body"};
  EXPECT_EQ(HashOfRequest(request),
            HashOfRequest({"GET", "h", "/a?b=1", "cookie", "body"}));
  const std::vector<RequestTraits> others = {
      {"HEAD", "h", "/a?b=1", "cookie", "body"},
      {"GET", "i", "/a?b=1", "cookie", "body"},
      {"GET", "h", "/a?b=2", "cookie", "body"},
      {"GET", "h", "/a?b=1", "other", "body"},
      {"GET", "h", "/a?b=1", "cookie", "other"},
      {"GET", "h", "/a?b=1", "", "cookiebody"},
  };
  for (const RequestTraits& it : others)
    EXPECT_NE(HashOfRequest(request), HashOfRequest(it)) << it.target;
}

TEST(CrashHistoryTest, SuspectNeedsSeveralCrashedEndpoints) {
  struct Case {
    const char* name;
    std::vector<uint32_t> endpoints;
    Duration took;   // By each send.
    Duration pause;  // Between the ends of two sends.
    Duration age;
    bool is_suspect;
  };
  const std::vector<Case> cases = {
      {"unknown", {}, {}, {}, {}, false},
      {"two", {1, 2}, milliseconds(5), milliseconds(5), {}, false},
      {"three", {1, 2, 3}, milliseconds(5), milliseconds(5), {}, true},
      {"one endpoint, three crashes",
       {1, 1, 1},
       milliseconds(5),
       milliseconds(5),
       {},
       false},
      {"three at once: zone failure",
       {1, 2, 3},
       milliseconds(500),
       milliseconds(0),
       {},
       false},
      {"three sends of 500 ms, one after the other",
       {1, 2, 3},
       milliseconds(500),
       milliseconds(500),
       {},
       true},
      {"two, 61 s ago",
       {1, 2},
       milliseconds(5),
       milliseconds(5),
       seconds(61),
       false},
      {"three, 120 s ago",
       {1, 2, 3},
       milliseconds(5),
       milliseconds(5),
       seconds(120),
       true},
      {"three, 11 minutes ago",
       {1, 2, 3},
       milliseconds(5),
       milliseconds(5),
       minutes(11),
       false},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    CrashHistory history;
    Time now = kStart;
    for (const uint32_t endpoint : it.endpoints) {
      OnCrash(history, kRequest, endpoint, SendAt(now, it.took), now);
      now += it.pause;
    }
    ExpireCrashes(history, now + it.age);
    EXPECT_EQ(IsSuspect(history, kRequest), it.is_suspect);
    EXPECT_FALSE(IsSuspect(history, kRequest + 1));
  }
}

TEST(CrashHistoryTest, CrashesMinutesApartMakeNoSuspect) {
  CrashHistory history;
  Time now = kStart;
  for (uint32_t i = 0; i < 20; ++i) {
    OnCrash(history, kRequest, i, SendAt(now), now);
    EXPECT_FALSE(IsSuspect(history, kRequest)) << i;
    now += seconds(35);
    ExpireCrashes(history, now);
  }
}

// Regression test: a single answer to an identical read cleared all earlier
// crashes for the lifetime of the record.
TEST(CrashHistoryTest, OneAnswerBetweenCrashesDoesNotClearThem) {
  CrashHistory history;
  Time now = kStart;
  for (uint32_t i = 1; i <= 3; ++i) {
    now += seconds(1);
    OnCrash(history, kRequest, i, SendAt(now), now);
    if (i < 3)
      OnAnswered(history, kRequest, now, now + milliseconds(5));
  }
  EXPECT_TRUE(IsSuspect(history, kRequest));
  // Sent before the last crash.
  EXPECT_FALSE(OnAnswered(history, kRequest, now - milliseconds(20), now));
  EXPECT_TRUE(IsSuspect(history, kRequest));
  EXPECT_TRUE(
      OnAnswered(history, kRequest, now + seconds(1), now + seconds(1)));
  EXPECT_FALSE(IsSuspect(history, kRequest));
}

TEST(CrashHistoryTest, ConsecutiveAnswersClearEarlierCrashes) {
  CrashHistory history;
  Crash(history, kRequest, 2);
  for (int i = 0; i < kConsecutiveAnswersToClear; ++i)
    OnAnswered(history, kRequest, kStart, kStart + seconds(i));
  OnCrash(history, kRequest, 3, SendAt(kStart + seconds(20)),
          kStart + seconds(20));
  EXPECT_EQ(CountCrashes(history, kRequest), 1U);
}

// The request ran on the same endpoints as another one that crashes them.
TEST(CrashHistoryTest, RequestThatSharesEndpointsWithASuspectIsNotHeld) {
  constexpr uint64_t kOtherRequest = 8;
  CrashHistory history;
  Crash(history, kRequest, 4);
  Crash(history, kOtherRequest, 3);
  EXPECT_TRUE(IsSuspect(history, kRequest));
  EXPECT_FALSE(IsSuspect(history, kOtherRequest));
  EXPECT_EQ(OnArrival(history, kOtherRequest, false, kStart).verdict,
            ArrivalVerdict::kSend);
  // Crashes of endpoints that did not run the other request count.
  for (uint32_t i = 11; i <= 13; ++i)
    OnCrash(history, kOtherRequest, i, SendAt(kStart), kStart);
  EXPECT_TRUE(IsSuspect(history, kOtherRequest));
}

TEST(CrashHistoryTest, RecordsAndNoticesAreBounded) {
  CrashHistory history;
  constexpr uint64_t kSuspect = 1ULL << 40;
  Crash(history, kSuspect, 3);
  for (uint64_t i = 0; i < 3 * kMaxCrashRecords; ++i)
    OnCrash(history, i, 1, SendAt(kStart), kStart);
  EXPECT_LE(history.by_request.size(), kMaxCrashRecords);
  EXPECT_TRUE(IsSuspect(history, kSuspect));
  const auto notices = CollectCrashNotices(history, kStart);
  ASSERT_EQ(notices.size(), kMaxCrashNotices);
  EXPECT_EQ(notices.front().request, kSuspect);
  // Only the suspect is still gossiped.
  EXPECT_EQ(CollectCrashNotices(history, kStart + kCrashGossipTime).size(), 1U);
  for (uint32_t i = 0; i < 3 * kMaxEndpointsPerRecord; ++i)
    OnCrash(history, kSuspect, i, SendAt(kStart), kStart);
  EXPECT_EQ(history.by_request[kSuspect].endpoints.size(),
            kMaxEndpointsPerRecord);
}

// Only one of the hosts probes a suspect, and only once, however long the
// request keeps arriving.
TEST(CrashHistoryTest, SuspectIsProbedByOneHostOnce) {
  constexpr size_t kHosts = 18;
  std::vector<uint64_t> host_hashes;
  for (size_t i = 0; i < kHosts; ++i)
    host_hashes.push_back(HashText("host-" + std::to_string(i)));
  std::vector<CrashHistory> histories(kHosts);
  for (CrashHistory& it : histories)
    Crash(it, kRequest, 3);
  size_t probes = 0;
  uint32_t endpoint = 100;
  for (Time now = kStart; now < kStart + minutes(60);
       now += milliseconds(500)) {
    for (size_t i = 0; i < kHosts; ++i) {
      const bool is_prober =
          IsProber(kRequest, host_hashes[i], host_hashes, true);
      const auto decision = OnArrival(histories[i], kRequest, is_prober, now);
      ASSERT_NE(decision.verdict, ArrivalVerdict::kSend);
      if (decision.verdict == ArrivalVerdict::kHold) {
        EXPECT_GT(decision.hold, Duration(0));
        continue;
      }
      EXPECT_GE(now - kStart, kHoldTime);
      ++probes;
      OnCrash(histories[i], kRequest, ++endpoint, SendAt(now), now);
      for (CrashHistory& it : histories) {
        for (const CrashNotice& notice : CollectCrashNotices(histories[i], now))
          OnCrashNotice(it, notice, now);
      }
    }
    for (CrashHistory& it : histories)
      ExpireCrashes(it, now);
  }
  EXPECT_EQ(probes, kMaxProbes);
}

// A probe that ends with neither a crash nor an answer still counts as one.
TEST(CrashHistoryTest, ProbesWithoutResultAreBounded) {
  CrashHistory history;
  Crash(history, kRequest, 3);
  size_t probes = 0;
  for (Time now = kStart; now < kStart + minutes(30); now += seconds(1))
    probes += OnArrival(history, kRequest, true, now).verdict ==
              ArrivalVerdict::kProbe;
  EXPECT_EQ(probes, kMaxProbes);
}

// Otherwise each host that has just started would consider itself the prober.
TEST(CrashHistoryTest, HostThatDoesNotKnowTheOthersDoesNotProbe) {
  EXPECT_FALSE(IsProber(kRequest, 1, {1}, false));
  EXPECT_TRUE(IsProber(kRequest, 1, {1}, true));
}

TEST(CrashHistoryTest, AnsweredProbeClearsTheSuspectOnAllHosts) {
  CrashHistory prober;
  CrashHistory other;
  Crash(prober, kRequest, 3);
  Crash(other, kRequest, 3);
  const Time later = kStart + kHoldTime;
  ASSERT_EQ(OnArrival(prober, kRequest, true, later).verdict,
            ArrivalVerdict::kProbe);
  const auto old = CollectCrashNotices(other, later);
  EXPECT_TRUE(OnAnswered(prober, kRequest, later, later + milliseconds(5)));
  // The other host does not know yet that the request was cleared.
  for (const CrashNotice& it : old)
    EXPECT_FALSE(OnCrashNotice(prober, it, later + seconds(30)).became_suspect);
  EXPECT_FALSE(IsSuspect(prober, kRequest));
  for (const CrashNotice& it : CollectCrashNotices(prober, later + seconds(30)))
    OnCrashNotice(other, it, later + seconds(30));
  EXPECT_FALSE(IsSuspect(other, kRequest));
}

// The third crash may become known by gossip, so that no host observed all
// three.
TEST(CrashHistoryTest, HostThatSawACrashAnnouncesANewSuspect) {
  CrashHistory sender;
  Crash(sender, kRequest, 2);
  const auto notices = CollectCrashNotices(sender, kStart);
  ASSERT_EQ(notices.size(), 1U);
  CrashHistory observer;
  OnCrash(observer, kRequest, 9, SendAt(kStart), kStart);
  const CrashNoticeResult result = OnCrashNotice(observer, notices[0], kStart);
  EXPECT_TRUE(result.became_suspect);
  EXPECT_TRUE(result.must_announce);
  EXPECT_FALSE(OnCrashNotice(observer, notices[0], kStart).must_announce);
  CrashHistory other;
  EXPECT_FALSE(OnCrashNotice(other, notices[0], kStart).became_suspect);
  const auto all = CollectCrashNotices(observer, kStart);
  ASSERT_EQ(all.size(), 1U);
  EXPECT_TRUE(OnCrashNotice(other, all[0], kStart).became_suspect);
  CrashHistory uninvolved;
  EXPECT_FALSE(OnCrashNotice(uninvolved, all[0], kStart).must_announce);
}

// Gossip between hosts must not extend the lifetime of a suspect.
TEST(CrashHistoryTest, SuspicionExpiresOnAllHostsWithoutArrivals) {
  constexpr Duration kNetworkDelay = milliseconds(40);
  std::vector<CrashHistory> histories(3);
  Crash(histories[0], kRequest, 3);
  Time now = kStart;
  for (; now < kStart + kSuspicionLifetime + seconds(30);
       now += kGossipPeriod) {
    for (size_t i = 0; i < histories.size(); ++i) {
      ExpireCrashes(histories[i], now);
      for (const CrashNotice& it : CollectCrashNotices(histories[i], now))
        OnCrashNotice(histories[(i + 1) % histories.size()], it,
                      now + kNetworkDelay);
    }
    if (now - kStart < kSuspicionLifetime - seconds(1)) {
      ASSERT_TRUE(IsSuspect(histories[2], kRequest)) << Seconds(now - kStart);
    }
  }
  for (const CrashHistory& it : histories)
    EXPECT_TRUE(it.by_request.empty());
}

TEST(CrashHistoryTest, NoticesAreEncodedAndDecoded) {
  GossipMessage message;
  message.crashes = {
      {1ULL << 60, 3, seconds(5), {{3000000000U, seconds(8), seconds(7)}}},
      {kRequest, 0, Duration(0), {}}};
  const auto sent = TryOr([&] { return DecodeGossip(EncodeGossip(message)); },
                          [](const Error&) { return GossipMessage(); });
  ASSERT_EQ(sent.crashes.size(), 2U);
  EXPECT_EQ(sent.crashes[0].request, 1ULL << 60);
  EXPECT_EQ(sent.crashes[0].epoch, 3U);
  EXPECT_EQ(sent.crashes[0].arrival_age, seconds(5));
  ASSERT_EQ(sent.crashes[0].sends.size(), 1U);
  EXPECT_EQ(sent.crashes[0].sends[0].endpoint, 3000000000U);
  EXPECT_EQ(sent.crashes[0].sends[0].sent_age, seconds(8));
  EXPECT_EQ(sent.crashes[0].sends[0].crash_age, seconds(7));
  EXPECT_EQ(sent.crashes[1].request, kRequest);
}

struct CrashWorld {
  std::vector<HostMembers> members;
  std::vector<CrashHistory> histories;
  std::map<std::string, size_t> by_ip;
  std::map<ZoneId, RegionId> zones;
  std::mt19937 random{3};
};

CrashWorld MakeWorld(int n) {
  CrashWorld world;
  world.members.resize(static_cast<size_t>(n));
  world.histories.resize(world.members.size());
  for (int i = 0; i < 4; ++i)
    world.zones[ZoneId(std::to_string(i))] = RegionId(std::to_string(i / 2));
  for (size_t i = 0; i < world.members.size(); ++i) {
    HostNotice& self = world.members[i].self;
    self.id = HostId("h" + std::to_string(i));
    self.ip = "10.0.0." + std::to_string(i);
    self.zone = ZoneId(std::to_string(i % 4));
    self.incarnation = 1;
    world.members[i].random.seed(static_cast<unsigned>(i));
    world.by_ip[self.ip] = i;
  }
  for (size_t i = 0; i < world.members.size(); ++i) {
    for (size_t other = 0; other < world.members.size(); ++other) {
      if (other != i)
        world.members[i].others[world.members[other].self.id] = {
            world.members[other].self, kStart, kStart, {}, {}};
    }
  }
  return world;
}

void Announce(CrashWorld& world, size_t from, Time now);

void Deliver(CrashWorld& world,
             size_t from,
             GossipMessage message,
             const std::vector<std::string>& to_ips,
             Time now) {
  constexpr double kLoss = 0.05;
  message.crashes = CollectCrashNotices(world.histories[from], now);
  for (const std::string& ip : to_ips) {
    if (std::uniform_real_distribution<double>()(world.random) < kLoss)
      continue;
    const size_t to = world.by_ip[ip];
    OnGossip(world.members[to], message, now);
    bool must_announce = false;
    for (const CrashNotice& it : message.crashes) {
      must_announce =
          OnCrashNotice(world.histories[to], it, now).must_announce ||
          must_announce;
    }
    if (must_announce)
      Announce(world, to, now);
  }
}

void Announce(CrashWorld& world, size_t from, Time now) {
  const GossipRound round = UrgentRound(world.members[from], now);
  Deliver(world, from, round.message, round.to_ips, now);
}

void Gossip(CrashWorld& world, Time now) {
  for (size_t i = 0; i < world.members.size(); ++i) {
    const GossipRound round = NextRound(world.members[i], {}, world.zones, now);
    Deliver(world, i, round.message, round.to_ips, now);
  }
}

// Restarts a host without its crash history. It contacts others, which send
// it a full sync.
void Restart(CrashWorld& world, size_t at, Time now) {
  world.histories[at] = CrashHistory();
  HostMembers& members = world.members[at];
  ++members.self.incarnation;
  const GossipRound round = NextRound(members, {}, world.zones, now);
  for (const std::string& ip : round.to_ips) {
    const size_t to = world.by_ip[ip];
    if (OnGossip(world.members[to], round.message, now).is_sender_new)
      Deliver(world, to, FullSyncMessage(world.members[to], now),
              {members.self.ip}, now);
  }
}

bool IsProberAt(const CrashWorld& world, size_t at) {
  return IsProber(kRequest, HashText(world.members[at].self.id.value()),
                  KnownHostHashes(world.members[at]), true);
}

// A request that crashes every endpoint keeps arriving, each time through
// another host, while datagrams between hosts are lost and hosts restart.
// Later than the stable window after the third crash, at most three sends are
// allowed in all, including the first sends of an arrival.
TEST(CrashHistoryTest, HostsStopSendingARequestThatCrashesEndpoints) {
  for (const int n : {2, 18, 120}) {
    SCOPED_TRACE(n);
    CrashWorld world = MakeWorld(n);
    uint32_t crashes = 0;
    size_t late_sends = 0;
    Time third;
    for (Time now = kStart; now < kStart + seconds(120);
         now += milliseconds(100)) {
      const size_t at = world.random() % world.members.size();
      // A restarted host has lost its crash history.
      if (now > kStart + seconds(10) && world.random() % 100 == 0) {
        const size_t restarted = world.random() % world.members.size();
        if (restarted != at)
          Restart(world, restarted, now);
      }
      CrashHistory& history = world.histories[at];
      if (OnArrival(history, kRequest, IsProberAt(world, at), now).verdict !=
          ArrivalVerdict::kHold) {
        TryState end;
        end.outcome = TryOutcome::kBroken;
        end.may_have_run = true;
        end.max_attempts = 2;
        end.time_left = seconds(5);
        for (end.sends = 1;; ++end.sends) {
          OnCrash(history, kRequest, ++crashes, SendAt(now), now);
          late_sends += third != Time() && now > third + kStableWindow;
          end.is_suspect = IsSuspect(history, kRequest);
          if (!IsRetryUseful(end))
            break;
        }
        if (crashes >= 3 && third == Time())
          third = now;
        if (IsSuspect(history, kRequest))
          Announce(world, at, now);
      }
      if ((now - kStart) % kGossipPeriod == Duration(0))
        Gossip(world, now);
    }
    EXPECT_GE(crashes, 3U);
    EXPECT_LE(late_sends, kMaxLateSends);
  }
}

}  // namespace
}  // namespace sassafras
