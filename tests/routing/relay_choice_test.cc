#include "routing/relay_choice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>

#include "peers/peers.h"
#include "routing/store_cache.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{seconds(1000)};
const std::map<ZoneId, RegionId> kRegions = {{ZoneId("z0"), RegionId("r0")},
                                             {ZoneId("z1"), RegionId("r1")},
                                             {ZoneId("z2"), RegionId("r2")}};

HostNotice Notice(int i) {
  HostNotice notice;
  notice.id = HostId("h" + std::to_string(i));
  notice.ip = "10.0.0." + std::to_string(i + 1);
  notice.zone = ZoneId("z" + std::to_string(i % 3));
  notice.phase = HostPhase::kReady;
  notice.heartbeat = 1;
  return notice;
}

// The view of host `self` among `n` hosts that it hears at `now`.
HostMembers View(int self, int n, Time now) {
  HostMembers members;
  members.self = Notice(self);
  for (int i = 0; i < n; ++i) {
    if (i != self)
      members.others[Notice(i).id] = {Notice(i), now, {}, {}, {}};
  }
  return members;
}

void HearAll(HostMembers& members, Time now) {
  for (auto& [id, member] : members.others)
    member.heard = now;
}

TEST(RelayChoiceTest, AllHostsChooseTheSameRelaysInTwoRegions) {
  std::vector<HostId> first;
  for (int i = 0; i < 18; ++i) {
    const HostMembers members = View(i, 18, kStart);
    const FeedInput input{&members, &kRegions, false, kStart};
    const auto relays = FindRelays(input, {}, kStart);
    ASSERT_EQ(relays.size(), kRelayCount);
    if (first.empty())
      first = relays;
    EXPECT_EQ(relays, first);
  }
  const HostMembers members = View(0, 18, kStart);
  const auto zone = [&](const HostId& id) {
    return id == members.self.id ? members.self.zone
                                 : members.others.at(id).notice.zone;
  };
  EXPECT_NE(kRegions.at(zone(first[0])), kRegions.at(zone(first[1])));
}

TEST(RelayChoiceTest, OnlyRelaysFollowTheStore) {
  int at_store = 0;
  for (int i = 0; i < 18; ++i) {
    HostMembers members = View(i, 18, kStart);
    const FeedInput input{&members, &kRegions, false, kStart};
    FeedChoice choice;
    UpdateFeedChoice(choice, input, kStart);
    at_store += choice.source == FeedSource::kStore;
  }
  EXPECT_EQ(at_store, static_cast<int>(kRelayCount));
}

// Most hosts are small; every tenth one is large.
HostMembers ViewOfMixedHosts(int self, int n) {
  HostMembers members = View(self, n, kStart);
  const auto set_capacity = [](HostNotice& it) {
    const bool is_large = it.id.value().back() == '0';
    it.cpu_share = is_large ? 0.5 : 0.07;
    it.link_mbps = is_large ? 200 : 10;
  };
  set_capacity(members.self);
  for (auto& [id, member] : members.others)
    set_capacity(member.notice);
  return members;
}

const HostNotice& NoticeOf(const HostMembers& members, const HostId& id) {
  return id == members.self.id ? members.self : members.others.at(id).notice;
}

TEST(RelayChoiceTest, LargeHostsAreRelaysAsLongAsAnyReachesTheStore) {
  struct Case {
    const char* name;
    std::function<void(HostNotice&)> change_large_host;
    bool is_large;
  };
  const std::vector<Case> cases = {
      {"all reach the store", [](HostNotice&) {}, true},
      {"one large host reaches the store",
       [](HostNotice& it) { it.reaches_store = it.id == HostId("h40"); }, true},
      {"no large host reaches the store",
       [](HostNotice& it) { it.reaches_store = false; }, false},
      {"all large hosts leave",
       [](HostNotice& it) { it.phase = HostPhase::kLeaving; }, false},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    HostMembers members = ViewOfMixedHosts(1, 147);
    for (auto& [id, member] : members.others) {
      if (member.notice.cpu_share > 0.1)
        it.change_large_host(member.notice);
    }
    const FeedInput input{&members, &kRegions, false, kStart};
    const auto relays = FindRelays(input, {}, kStart);
    ASSERT_EQ(relays.size(), kRelayCount);
    EXPECT_EQ(NoticeOf(members, relays[0]).cpu_share > 0.1, it.is_large);
    EXPECT_NE(kRegions.at(NoticeOf(members, relays[0]).zone),
              kRegions.at(NoticeOf(members, relays[1]).zone));
  }
}

// One zone's endpoints are lost while others start to drain. Every host must
// know within a third of the shortest time after which an endpoint may get no
// new requests, so that the relays' own processing and a lost push fit into the
// rest.
TEST(RelayChoiceTest, RelaysSendChangesOfAZoneToAllHostsInTime) {
  constexpr int kHosts = 150;
  constexpr int kEndpoints = 264;
  constexpr int kChanges = 64;
  constexpr double kMaxSeconds = 2.0 / 3;
  constexpr char kRecord[] =
      R"({"service":"s","address":"10.0.0.1:8000","zone":"erongo-a",)"
      R"("version":"v1","slots":6,"state":"draining","cold-remaining-s":0.0,)"
      R"("sequence":1000,"born":1234567890123})";
  const HostMembers members = ViewOfMixedHosts(1, kHosts);
  StoreCache cache = MakeStoreCache({"endpoints"});
  StoreChange all{{}, true, {0, 1}};
  for (int i = 0; i < kEndpoints; ++i)
    all.objects.push_back(
        {"endpoints", "i-0123456" + std::to_string(i), 1, kRecord});
  ApplyStoreChange(cache, "endpoints", all);
  const CacheFollow known = PositionsOf(cache);
  StoreChange changes{{}, false, {0, 2}};
  for (int i = 0; i < kChanges; ++i) {
    changes.objects.push_back(all.objects[static_cast<size_t>(i)]);
    changes.objects.back().revision = 2;
  }
  ApplyStoreChange(cache, "endpoints", changes);
  const size_t bytes =
      EncodeMessage(MakePush(cache, known, Duration(0))).size();
  const FeedInput input{&members, &kRegions, false, kStart};
  for (const HostId& it : FindRelays(input, {}, kStart)) {
    const double bits_per_second = NoticeOf(members, it).link_mbps * 1e6;
    EXPECT_LT(static_cast<double>(bytes) * 8 * kHosts / bits_per_second,
              kMaxSeconds)
        << it.value();
  }
}

// Regression test: the store answered one relay late, and the relay received a
// configuration 3.7 s after the store had acknowledged it.
TEST(RelayChoiceTest, RelaysFollowEachOtherAndTheStore) {
  const auto view = View(0, 18, kStart);
  const auto relays = FindRelays({&view, &kRegions, false, kStart}, {}, kStart);
  for (int i = 0; i < 18; ++i) {
    const HostMembers members = View(i, 18, kStart);
    FeedChoice choice;
    UpdateFeedChoice(choice, {&members, &kRegions, false, kStart}, kStart);
    const bool is_relay = choice.source == FeedSource::kStore;
    EXPECT_EQ(choice.relays.size(), is_relay ? kRelayCount - 1 : kRelayCount);
    EXPECT_EQ(choice.relays.count(members.self.id), 0U);
    for (const auto& [id, relay] : choice.relays)
      EXPECT_NE(std::find(relays.begin(), relays.end(), id), relays.end());
  }
}

// Returns the number of a host that is not a relay.
int Follower() {
  const HostMembers members = View(0, 18, kStart);
  const FeedInput input{&members, &kRegions, false, kStart};
  const auto relays = FindRelays(input, {}, kStart);
  for (int i = 0; i < 18; ++i) {
    if (std::find(relays.begin(), relays.end(), Notice(i).id) == relays.end())
      return i;
  }
  return -1;
}

TEST(RelayChoiceTest, RelayThatLosesTheStoreIsReplaced) {
  HostMembers members = View(Follower(), 18, kStart);
  const FeedInput input{&members, &kRegions, false, kStart};
  const auto before = FindRelays(input, {}, kStart);
  members.others[before[0]].notice.reaches_store = false;
  const auto after = FindRelays(input, {}, kStart);
  ASSERT_EQ(after.size(), kRelayCount);
  EXPECT_EQ(std::count(after.begin(), after.end(), before[0]), 0);
}

// Regression test: a host that started while no host reached the store found
// no relay to follow and never became ready.
TEST(RelayChoiceTest, RelaysWithoutTheStoreAreUsedIfThereAreNoOthers) {
  HostMembers members = View(Follower(), 18, kStart);
  members.self.reaches_store = false;
  for (auto& [id, member] : members.others)
    member.notice.reaches_store = false;
  const FeedInput input{&members, &kRegions, false, kStart};
  FeedChoice choice;
  UpdateFeedChoice(choice, input, kStart);
  EXPECT_EQ(choice.source, FeedSource::kRelays);
  EXPECT_EQ(choice.relays.size(), kRelayCount);
}

// Regression test: a host that had just started chose itself as a relay.
TEST(RelayChoiceTest, StartingHostIsNoRelay) {
  HostMembers members = View(Follower(), 18, kStart);
  const FeedInput input{&members, &kRegions, false, kStart};
  const auto before = FindRelays(input, {}, kStart);
  members.others[before[0]].notice.phase = HostPhase::kStarting;
  const auto after = FindRelays(input, {}, kStart);
  EXPECT_EQ(std::count(after.begin(), after.end(), before[0]), 0);
}

TEST(RelayChoiceTest, SilentRelayIsReplacedAndTheOtherKept) {
  HostMembers members = View(Follower(), 18, kStart);
  const FeedInput input{&members, &kRegions, false, kStart};
  FeedChoice choice;
  UpdateFeedChoice(choice, input, kStart);
  ASSERT_EQ(choice.relays.size(), kRelayCount);
  const HostId silent = choice.relays.begin()->first;
  const HostId other = choice.relays.rbegin()->first;
  Time now = kStart;
  while (now - kStart <= kRelayTimeout + kGossipPeriod) {
    now += kGossipPeriod;
    HearAll(members, now);
    OnRelayHeard(choice, other, Duration(0), Duration(0), now);
    UpdateFeedChoice(choice, input, now);
  }
  EXPECT_EQ(choice.source, FeedSource::kRelays);
  EXPECT_EQ(choice.relays.size(), kRelayCount);
  EXPECT_EQ(choice.relays.count(silent), 0U);
  EXPECT_EQ(choice.relays.count(other), 1U);
}

TEST(RelayChoiceTest, HostWithSilentRelaysFollowsTheStoreInTime) {
  HostMembers members = View(Follower(), 18, kStart);
  const FeedInput input{&members, &kRegions, false, kStart};
  FeedChoice choice;
  UpdateFeedChoice(choice, input, kStart);
  Time now = kStart;
  while (choice.source == FeedSource::kRelays) {
    now += kGossipPeriod;
    HearAll(members, now);
    UpdateFeedChoice(choice, input, now);
  }
  // A configuration must be in force everywhere within 2 s.
  EXPECT_LE(now - kStart, milliseconds(1800));
}

// Incident 034. The relays are silent from any time of a round on. A version
// must be in force everywhere within 2 s; connecting to the store in another
// region and its answer, on a busy host, get a quarter of that.
TEST(RelayChoiceTest, HostWithSilentRelaysDoesNotWaitForARound) {
  for (milliseconds heard_at{0}; heard_at < kGossipPeriod;
       heard_at += milliseconds(50)) {
    SCOPED_TRACE(heard_at.count());
    HostMembers members = View(Follower(), 18, kStart);
    const FeedInput input{&members, &kRegions, false, kStart};
    FeedChoice choice;
    EXPECT_FALSE(TimeUntilCutOff(choice, kStart));
    UpdateFeedChoice(choice, input, kStart);
    const Time last_heard = kStart + heard_at;
    const std::map<HostId, FollowedRelay> relays = choice.relays;
    for (const auto& [id, relay] : relays)
      OnRelayHeard(choice, id, Duration(0), Duration(0), last_heard);
    Time now = kStart;
    while (choice.source == FeedSource::kRelays) {
      const auto cut_off = TimeUntilCutOff(choice, now);
      ASSERT_TRUE(cut_off);
      now += std::min<Duration>(*cut_off, kGossipPeriod);
      HearAll(members, now);
      UpdateFeedChoice(choice, input, now);
    }
    EXPECT_LE(now - last_heard, milliseconds(1500));
    EXPECT_FALSE(TimeUntilCutOff(choice, now));
  }
}

// How long a host goes on by its relays if each of them, at its messages, had
// its last answer of the store `store_age` ago.
Duration TimeUntilStoreIsFollowed(
    const std::function<Duration(Time now)>& store_age) {
  HostMembers members = View(Follower(), 18, kStart);
  const FeedInput input{&members, &kRegions, false, kStart};
  FeedChoice choice;
  UpdateFeedChoice(choice, input, kStart);
  Time now = kStart;
  while (choice.source == FeedSource::kRelays && now - kStart < seconds(9)) {
    now += kGossipPeriod;
    HearAll(members, now);
    for (const HostId& it : FindRelays(input, choice, now))
      OnRelayHeard(choice, it, store_age(now), Duration(0), now);
    UpdateFeedChoice(choice, input, now);
  }
  EXPECT_EQ(choice.source, FeedSource::kStore);
  return now - kStart;
}

// Regression test: six hosts that became relays one after the other were cut
// off from the store. Their followers still received messages from them and
// used an old configuration for five seconds.
TEST(RelayChoiceTest, RelaysWithOldStoreAnswersTimeOut) {
  EXPECT_LE(TimeUntilStoreIsFollowed([](Time) { return seconds(2); }),
            milliseconds(1800));
}

// Incident 030. The store answered all relays last at the start.
TEST(RelayChoiceTest, HostWhoseRelaysLoseTheStoreFollowsItInTime) {
  EXPECT_LE(TimeUntilStoreIsFollowed([](Time now) { return now - kStart; }),
            milliseconds(1800));
}

// Regression test: the store rejected a third of the hosts, those first that
// other hosts choose as relays. Each choice of relays that had lost the store
// renewed the time after which a host follows the store itself.
TEST(RelayChoiceTest, RelaysThatLoseTheStoreInTurnDoNotDelayIt) {
  // From when the store last answered a relay until one says that it is lost.
  constexpr milliseconds kDetection{1000};
  HostMembers members = View(Follower(), 18, kStart);
  const FeedInput input{&members, &kRegions, false, kStart};
  FeedChoice choice;
  UpdateFeedChoice(choice, input, kStart);
  Time now = kStart;
  std::map<HostId, Time> chosen_at;
  while (choice.source == FeedSource::kRelays && now - kStart < seconds(9)) {
    for (const auto& [id, relay] : choice.relays)
      chosen_at.try_emplace(id, now);
    now += kGossipPeriod;
    HearAll(members, now);
    for (const auto& [id, at] : chosen_at) {
      OnRelayHeard(choice, id, now - kStart, Duration(0), now);
      if (now - at >= kDetection)
        members.others[id].notice.reaches_store = false;
    }
    UpdateFeedChoice(choice, input, now);
  }
  EXPECT_LE(now - kStart, milliseconds(1800));
}

// Regression test: one of the two relays worked, while six hosts that replaced
// the other relay in turn were all cut off. Then the working relay was killed.
TEST(RelayChoiceTest, ConsecutiveRelayFailuresAddRelays) {
  HostMembers members = View(Follower(), 40, kStart);
  const FeedInput input{&members, &kRegions, false, kStart};
  FeedChoice choice;
  UpdateFeedChoice(choice, input, kStart);
  ASSERT_EQ(choice.relays.size(), kRelayCount);
  const HostId working = choice.relays.begin()->first;
  std::set<HostId> followed;
  Time now = kStart;
  while (now - kStart < seconds(6)) {
    now += kGossipPeriod;
    HearAll(members, now);
    OnRelayHeard(choice, working, Duration(0), Duration(0), now);
    UpdateFeedChoice(choice, input, now);
    for (const auto& [id, relay] : choice.relays)
      followed.insert(id);
  }
  // With a third of the hosts cut off, all of eight relays are with a
  // probability of about 1 in 6,000.
  EXPECT_GE(followed.size(), 9U);
  EXPECT_LE(choice.relays.size(), kRelayCount + kMaxExtraRelays);
}

// A relay that was disconnected alone returns and cannot distinguish lapsed
// records from removed ones. The other relay can, and endpoints that have left
// must not be kept in use.
TEST(RelayChoiceTest, OneUnreliableRelayDoesNotMakeTheStoreUnreliable) {
  HostMembers members = View(Follower(), 18, kStart);
  const FeedInput input{&members, &kRegions, false, kStart};
  FeedChoice choice;
  UpdateFeedChoice(choice, input, kStart);
  const HostId one = choice.relays.begin()->first;
  const HostId other = choice.relays.rbegin()->first;
  OnRelayHeard(choice, one, Duration(0), seconds(2), kStart);
  EXPECT_EQ(MinUnreliableFor(choice, kStart), seconds(2));
  OnRelayHeard(choice, other, Duration(0), Duration(0), kStart);
  EXPECT_EQ(MinUnreliableFor(choice, kStart), Duration(0));
  OnRelayHeard(choice, other, Duration(0), seconds(1), kStart);
  EXPECT_EQ(MinUnreliableFor(choice, kStart), seconds(1));
}

TEST(RelayChoiceTest, EachRelayIsAskedAgainAtMostOnceInAnInterval) {
  HostMembers members = View(Follower(), 18, kStart);
  FeedChoice choice;
  UpdateFeedChoice(choice, {&members, &kRegions, false, kStart}, kStart);
  const HostId one = choice.relays.begin()->first;
  const HostId other = choice.relays.rbegin()->first;
  EXPECT_TRUE(MayAskAgain(choice, one, kStart));
  EXPECT_FALSE(MayAskAgain(choice, one, kStart + milliseconds(10)));
  EXPECT_TRUE(MayAskAgain(choice, other, kStart + milliseconds(10)));
  EXPECT_TRUE(MayAskAgain(choice, one, kStart + kMinAskAgainInterval));
  EXPECT_FALSE(MayAskAgain(choice, HostId("not a relay"), kStart));
}

TEST(RelayChoiceTest, HostWithFollowersFollowsTheStore) {
  HostMembers members = View(Follower(), 18, kStart);
  FeedInput input{&members, &kRegions, false, kStart};
  FeedChoice choice;
  UpdateFeedChoice(choice, input, kStart);
  ASSERT_EQ(choice.source, FeedSource::kRelays);
  input.has_followers = true;
  UpdateFeedChoice(choice, input, kStart);
  EXPECT_EQ(choice.source, FeedSource::kStore);
}

TEST(RelayChoiceTest, FirstChoiceWaitsForOtherHosts) {
  HostMembers members = View(0, 1, kStart);
  const FeedInput input{&members, &kRegions, false, kStart};
  FeedChoice choice;
  EXPECT_FALSE(UpdateFeedChoice(choice, input, kStart));
  EXPECT_EQ(choice.source, FeedSource::kNone);
  EXPECT_TRUE(UpdateFeedChoice(choice, input, kStart + kStartupWait));
  EXPECT_EQ(choice.source, FeedSource::kStore);
}

}  // namespace
}  // namespace sassafras
