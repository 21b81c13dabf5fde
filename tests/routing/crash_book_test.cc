#include "routing/crash_book.h"

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
// From the platform's pages.
constexpr size_t kMostLateSends = 3;
constexpr Duration kStableWindow = seconds(4);

CrashedSend SendAt(Time broke, Duration took = milliseconds(10)) {
  return {broke - took, broke};
}

// Endpoints 1 to `n` break under the request, one after the other.
void Crash(CrashBook& book, uint64_t request, uint32_t n, Time now = kStart) {
  for (uint32_t i = 1; i <= n; ++i)
    OnCrash(book, request, i, SendAt(now), now);
}

TEST(CrashBookTest, RequestsAreToldApart) {
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

TEST(CrashBookTest, SuspectsHaveBrokenSeveralEndpoints) {
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
      {"one endpoint, three times",
       {1, 1, 1},
       milliseconds(5),
       milliseconds(5),
       {},
       false},
      {"at once: a zone is lost",
       {1, 2, 3},
       milliseconds(500),
       milliseconds(0),
       {},
       false},
      {"one after the other, each after half a second",
       {1, 2, 3},
       milliseconds(500),
       milliseconds(500),
       {},
       true},
      {"two a minute ago",
       {1, 2},
       milliseconds(5),
       milliseconds(5),
       seconds(61),
       false},
      {"three, two minutes ago",
       {1, 2, 3},
       milliseconds(5),
       milliseconds(5),
       seconds(120),
       true},
      {"three, long ago",
       {1, 2, 3},
       milliseconds(5),
       milliseconds(5),
       minutes(11),
       false},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    CrashBook book;
    Time now = kStart;
    for (const uint32_t endpoint : it.endpoints) {
      OnCrash(book, kRequest, endpoint, SendAt(now, it.took), now);
      now += it.pause;
    }
    ForgetCrashes(book, now + it.age);
    EXPECT_EQ(IsSuspect(book, kRequest), it.is_suspect);
    EXPECT_FALSE(IsSuspect(book, kRequest + 1));
  }
}

TEST(CrashBookTest, CrashesAcrossMinutesRaiseNoSuspicion) {
  CrashBook book;
  Time now = kStart;
  for (uint32_t i = 0; i < 20; ++i) {
    OnCrash(book, kRequest, i, SendAt(now), now);
    EXPECT_FALSE(IsSuspect(book, kRequest)) << i;
    now += seconds(35);
    ForgetCrashes(book, now);
  }
}

// Seen at the incident: one answer to an equal read voided all crashes for the
// record's life.
TEST(CrashBookTest, OneAnswerBetweenCrashesDoesNotVoidThem) {
  CrashBook book;
  Time now = kStart;
  for (uint32_t i = 1; i <= 3; ++i) {
    now += seconds(1);
    OnCrash(book, kRequest, i, SendAt(now), now);
    if (i < 3)
      OnAnswered(book, kRequest, now, now + milliseconds(5));
  }
  EXPECT_TRUE(IsSuspect(book, kRequest));
  // Sent before the last crash.
  EXPECT_FALSE(OnAnswered(book, kRequest, now - milliseconds(20), now));
  EXPECT_TRUE(IsSuspect(book, kRequest));
  EXPECT_TRUE(OnAnswered(book, kRequest, now + seconds(1), now + seconds(1)));
  EXPECT_FALSE(IsSuspect(book, kRequest));
}

TEST(CrashBookTest, ManyAnswersInARowVoidEarlierCrashes) {
  CrashBook book;
  Crash(book, kRequest, 2);
  for (int i = 0; i < kAnswersToClear; ++i)
    OnAnswered(book, kRequest, kStart, kStart + seconds(i));
  OnCrash(book, kRequest, 3, SendAt(kStart + seconds(20)),
          kStart + seconds(20));
  EXPECT_EQ(CountCrashes(book, kRequest), 1U);
}

// A request that shared endpoints with one that crashes them.
TEST(CrashBookTest, CompanionOfASuspectIsNotHeldBack) {
  constexpr uint64_t kCompanion = 8;
  CrashBook book;
  Crash(book, kRequest, 4);
  Crash(book, kCompanion, 3);
  EXPECT_TRUE(IsSuspect(book, kRequest));
  EXPECT_FALSE(IsSuspect(book, kCompanion));
  EXPECT_EQ(OnReturn(book, kCompanion, false, kStart).verdict,
            ReturnVerdict::kSend);
  // Endpoints that broke without the other one count.
  for (uint32_t i = 11; i <= 13; ++i)
    OnCrash(book, kCompanion, i, SendAt(kStart), kStart);
  EXPECT_TRUE(IsSuspect(book, kCompanion));
}

TEST(CrashBookTest, LossOfManyConnectionsIsBounded) {
  CrashBook book;
  constexpr uint64_t kSuspect = 1ULL << 40;
  Crash(book, kSuspect, 3);
  for (uint64_t i = 0; i < 3 * kMostCrashRecords; ++i)
    OnCrash(book, i, 1, SendAt(kStart), kStart);
  EXPECT_LE(book.by_request.size(), kMostCrashRecords);
  EXPECT_TRUE(IsSuspect(book, kSuspect));
  const auto notices = NoticesToTell(book, kStart);
  ASSERT_EQ(notices.size(), kMostCrashNotices);
  EXPECT_EQ(notices.front().request, kSuspect);
  // Only the suspicion is still told.
  EXPECT_EQ(NoticesToTell(book, kStart + kCrashNewsTime).size(), 1U);
  for (uint32_t i = 0; i < 3 * kMostEndpointsOfRecord; ++i)
    OnCrash(book, kSuspect, i, SendAt(kStart), kStart);
  EXPECT_EQ(book.by_request[kSuspect].endpoints.size(), kMostEndpointsOfRecord);
}

// One host of all tries a suspect, once, however long it comes again;
// the others never do.
TEST(CrashBookTest, SuspectIsProbedRarely) {
  constexpr size_t kHosts = 18;
  std::vector<uint64_t> hashes;
  for (size_t i = 0; i < kHosts; ++i)
    hashes.push_back(HashText("host-" + std::to_string(i)));
  std::vector<CrashBook> books(kHosts);
  for (CrashBook& it : books)
    Crash(it, kRequest, 3);
  size_t probes = 0;
  uint32_t endpoint = 100;
  for (Time now = kStart; now < kStart + minutes(60);
       now += milliseconds(500)) {
    for (size_t i = 0; i < kHosts; ++i) {
      const bool is_prober = IsProber(kRequest, hashes[i], hashes, true);
      const auto decision = OnReturn(books[i], kRequest, is_prober, now);
      ASSERT_NE(decision.verdict, ReturnVerdict::kSend);
      if (decision.verdict == ReturnVerdict::kHold) {
        EXPECT_GT(decision.hold, Duration(0));
        continue;
      }
      EXPECT_GE(now - kStart, kHoldTime);
      ++probes;
      OnCrash(books[i], kRequest, ++endpoint, SendAt(now), now);
      for (CrashBook& it : books) {
        for (const CrashNotice& notice : NoticesToTell(books[i], now))
          OnCrashNotice(it, notice, now);
      }
    }
    for (CrashBook& it : books)
      ForgetCrashes(it, now);
  }
  EXPECT_EQ(probes, kMostProbes);
}

// A probe that ends without a crash and without an answer is one all the same.
TEST(CrashBookTest, ProbesWithoutAResultAreBounded) {
  CrashBook book;
  Crash(book, kRequest, 3);
  size_t probes = 0;
  for (Time now = kStart; now < kStart + minutes(30); now += seconds(1))
    probes +=
        OnReturn(book, kRequest, true, now).verdict == ReturnVerdict::kProbe;
  EXPECT_EQ(probes, kMostProbes);
}

// Each host that has just started would take itself for the one that probes.
TEST(CrashBookTest, HostThatDoesNotKnowTheOthersProbesNothing) {
  EXPECT_FALSE(IsProber(kRequest, 1, {1}, false));
  EXPECT_TRUE(IsProber(kRequest, 1, {1}, true));
}

TEST(CrashBookTest, AnsweredProbeEndsTheSuspicionOfAllHosts) {
  CrashBook prober;
  CrashBook other;
  Crash(prober, kRequest, 3);
  Crash(other, kRequest, 3);
  const Time later = kStart + kHoldTime;
  ASSERT_EQ(OnReturn(prober, kRequest, true, later).verdict,
            ReturnVerdict::kProbe);
  const auto old = NoticesToTell(other, later);
  EXPECT_TRUE(OnAnswered(prober, kRequest, later, later + milliseconds(5)));
  // The other host has not heard of it yet.
  for (const CrashNotice& it : old)
    EXPECT_FALSE(OnCrashNotice(prober, it, later + seconds(30)).is_suspect);
  EXPECT_FALSE(IsSuspect(prober, kRequest));
  for (const CrashNotice& it : NoticesToTell(prober, later + seconds(30)))
    OnCrashNotice(other, it, later + seconds(30));
  EXPECT_FALSE(IsSuspect(other, kRequest));
}

// The third crash may come with gossip, so that no host saw all three.
TEST(CrashBookTest, WitnessAnnouncesWhatBecomesSuspectByGossip) {
  CrashBook teller;
  Crash(teller, kRequest, 2);
  const auto notices = NoticesToTell(teller, kStart);
  ASSERT_EQ(notices.size(), 1U);
  CrashBook witness;
  OnCrash(witness, kRequest, 9, SendAt(kStart), kStart);
  const NoticeNews news = OnCrashNotice(witness, notices[0], kStart);
  EXPECT_TRUE(news.is_suspect);
  EXPECT_TRUE(news.must_announce);
  EXPECT_FALSE(OnCrashNotice(witness, notices[0], kStart).must_announce);
  CrashBook other;
  EXPECT_FALSE(OnCrashNotice(other, notices[0], kStart).is_suspect);
  const auto all = NoticesToTell(witness, kStart);
  ASSERT_EQ(all.size(), 1U);
  EXPECT_TRUE(OnCrashNotice(other, all[0], kStart).is_suspect);
  CrashBook stranger;
  EXPECT_FALSE(OnCrashNotice(stranger, all[0], kStart).must_announce);
}

// Hosts that tell each other of a suspicion do not keep it alive.
TEST(CrashBookTest, SuspicionEndsOnAllHostsWhenTheRequestStaysAway) {
  constexpr Duration kOnTheWay = milliseconds(40);
  std::vector<CrashBook> books(3);
  Crash(books[0], kRequest, 3);
  Time now = kStart;
  for (; now < kStart + kSuspicionLifetime + seconds(30);
       now += kGossipPeriod) {
    for (size_t i = 0; i < books.size(); ++i) {
      ForgetCrashes(books[i], now);
      for (const CrashNotice& it : NoticesToTell(books[i], now))
        OnCrashNotice(books[(i + 1) % books.size()], it, now + kOnTheWay);
    }
    if (now - kStart < kSuspicionLifetime - seconds(1)) {
      ASSERT_TRUE(IsSuspect(books[2], kRequest)) << Seconds(now - kStart);
    }
  }
  for (const CrashBook& it : books)
    EXPECT_TRUE(it.by_request.empty());
}

TEST(CrashBookTest, NoticesSurviveTheWire) {
  GossipMessage message;
  message.crashes = {
      {1ULL << 60, 3, seconds(5), {{3000000000U, seconds(8), seconds(7)}}},
      {kRequest, 0, Duration(0), {}}};
  const auto sent = TryOr([&] { return DecodeGossip(EncodeGossip(message)); },
                          [](const Error&) { return GossipMessage(); });
  ASSERT_EQ(sent.crashes.size(), 2U);
  EXPECT_EQ(sent.crashes[0].request, 1ULL << 60);
  EXPECT_EQ(sent.crashes[0].epoch, 3U);
  EXPECT_EQ(sent.crashes[0].returned_age, seconds(5));
  ASSERT_EQ(sent.crashes[0].sends.size(), 1U);
  EXPECT_EQ(sent.crashes[0].sends[0].endpoint, 3000000000U);
  EXPECT_EQ(sent.crashes[0].sends[0].sent_age, seconds(8));
  EXPECT_EQ(sent.crashes[0].sends[0].broke_age, seconds(7));
  EXPECT_EQ(sent.crashes[1].request, kRequest);
}

struct CrashWorld {
  std::vector<HostMembers> members;
  std::vector<CrashBook> books;
  std::map<std::string, size_t> by_ip;
  std::map<ZoneId, RegionId> zones;
  std::mt19937 random{3};
};

CrashWorld MakeWorld(int n) {
  CrashWorld world;
  world.members.resize(static_cast<size_t>(n));
  world.books.resize(world.members.size());
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
  message.crashes = NoticesToTell(world.books[from], now);
  for (const std::string& ip : to_ips) {
    if (std::uniform_real_distribution<double>()(world.random) < kLoss)
      continue;
    const size_t to = world.by_ip[ip];
    OnGossip(world.members[to], message, now);
    bool must_announce = false;
    for (const CrashNotice& it : message.crashes) {
      must_announce = OnCrashNotice(world.books[to], it, now).must_announce ||
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

// The host greets others, which tell it what they know.
void Restart(CrashWorld& world, size_t at, Time now) {
  world.books[at] = CrashBook();
  HostMembers& members = world.members[at];
  ++members.self.incarnation;
  const GossipRound round = NextRound(members, {}, world.zones, now);
  for (const std::string& ip : round.to_ips) {
    const size_t to = world.by_ip[ip];
    if (OnGossip(world.members[to], round.message, now).is_sender_new)
      Deliver(world, to, WholeMessage(world.members[to], now),
              {members.self.ip}, now);
  }
}

bool IsProberAt(const CrashWorld& world, size_t at) {
  return IsProber(kRequest, HashText(world.members[at].self.id.value()),
                  SharingHashes(world.members[at]), true);
}

// A request that crashes whatever runs it comes again and again, each time
// through another host; hosts lose a part of their datagrams, and restart.
// Beyond the stable window after the third crash, at most three sends are
// allowed in all, first sends of a return among them.
TEST(CrashBookTest, HostsStopSendingARequestThatCrashesEndpoints) {
  for (const int n : {2, 18, 120}) {
    SCOPED_TRACE(n);
    CrashWorld world = MakeWorld(n);
    uint32_t crashes = 0;
    size_t late_sends = 0;
    Time third;
    for (Time now = kStart; now < kStart + seconds(120);
         now += milliseconds(100)) {
      const size_t at = world.random() % world.members.size();
      // A host that starts anew knows nothing.
      if (now > kStart + seconds(10) && world.random() % 100 == 0) {
        const size_t restarted = world.random() % world.members.size();
        if (restarted != at)
          Restart(world, restarted, now);
      }
      CrashBook& book = world.books[at];
      if (OnReturn(book, kRequest, IsProberAt(world, at), now).verdict !=
          ReturnVerdict::kHold) {
        TryState end;
        end.outcome = TryOutcome::kBroken;
        end.may_have_run = true;
        end.max_attempts = 2;
        end.time_left = seconds(5);
        for (end.sends = 1;; ++end.sends) {
          OnCrash(book, kRequest, ++crashes, SendAt(now), now);
          late_sends += third != Time() && now > third + kStableWindow;
          end.is_suspect = IsSuspect(book, kRequest);
          if (!IsRetryUseful(end))
            break;
        }
        if (crashes >= 3 && third == Time())
          third = now;
        if (IsSuspect(book, kRequest))
          Announce(world, at, now);
      }
      if ((now - kStart) % kGossipPeriod == Duration(0))
        Gossip(world, now);
    }
    EXPECT_GE(crashes, 3U);
    EXPECT_LE(late_sends, kMostLateSends);
  }
}

}  // namespace
}  // namespace sassafras
