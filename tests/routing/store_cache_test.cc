#include "routing/store_cache.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>

#include "peers/peers.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{seconds(1000)};
const HostId kFollower("f");

StorePosition At(uint64_t revision) {
  return {0, revision};
}

StoreChange List(std::vector<StoreObject> objects, uint64_t as_of) {
  return {std::move(objects), true, At(as_of)};
}

StoreChange Change(StoreObject object, uint64_t as_of) {
  return {{std::move(object)}, false, At(as_of)};
}

TEST(StoreCacheTest, ListRemovesMissingObjects) {
  StoreCache cache = MakeStoreCache({"k"});
  ApplyStoreChange(cache, "k",
                   List({{"k", "a", 5, "1"}, {"k", "b", 6, "2"}}, 6));
  const auto applied =
      ApplyStoreChange(cache, "k", List({{"k", "b", 6, "2"}}, 9));
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_TRUE(applied[0].removed);
  EXPECT_EQ(applied[0].name, "a");
}

TEST(StoreCacheTest, ListOfALaggingReplicaRevertsNothing) {
  StoreCache cache = MakeStoreCache({"k"});
  ApplyStoreChange(cache, "k", List({{"k", "a", 5, "new"}}, 8));
  EXPECT_TRUE(
      ApplyStoreChange(cache, "k", List({{"k", "a", 3, "old"}}, 4)).empty());
  EXPECT_EQ(cache.kinds["k"].objects["a"].value, "new");
  EXPECT_EQ(cache.kinds["k"].as_of, At(8));
}

// Incident 030.
TEST(StoreCacheTest, ListDoesNotRemoveObjectsThatAreNewerThanItself) {
  StoreCache cache = MakeStoreCache({"k"});
  ApplyStoreChange(cache, "k",
                   List({{"k", "a", 5, "1"}, {"k", "b", 9, "2"}}, 5));
  const auto applied =
      ApplyStoreChange(cache, "k", List({{"k", "c", 7, "3"}}, 7));
  ASSERT_EQ(applied.size(), 2U);
  EXPECT_EQ(cache.kinds["k"].objects.count("a"), 0U);
  EXPECT_EQ(cache.kinds["k"].objects.count("b"), 1U);
}

TEST(StoreCacheTest, FollowerGetsAllThenChanges) {
  StoreCache relay = MakeStoreCache({"k"});
  StoreCache host = MakeStoreCache({"k"});
  CacheFollowers followers;
  ApplyStoreChange(relay, "k", List({{"k", "a", 5, "1"}}, 5));
  const CachePush all =
      OnFollow(followers, relay, kFollower, {}, Duration(0), kStart);
  ASSERT_EQ(all.spans.size(), 1U);
  EXPECT_EQ(all.spans[0].from, At(0));
  EXPECT_EQ(ApplyPush(host, all).size(), 1U);
  ApplyStoreChange(relay, "k", Change({"k", "a", 6, "2"}, 6));
  const auto pushes = PushToAll(followers, relay, Duration(0), kStart);
  ASSERT_EQ(pushes.size(), 1U);
  EXPECT_EQ(pushes[0].push.spans[0].from, At(5));
  EXPECT_EQ(ApplyPush(host, pushes[0].push).size(), 1U);
  EXPECT_EQ(host.kinds["k"].objects["a"].value, "2");
  EXPECT_TRUE(IsComplete(host));
}

// A change is encoded once for all followers that know the same state.
TEST(StoreCacheTest, FollowersAtTheSamePositionShareAPush) {
  StoreCache relay = MakeStoreCache({"k"});
  CacheFollowers followers;
  ApplyStoreChange(relay, "k", List({{"k", "a", 5, "1"}}, 5));
  for (int i = 0; i < 150; ++i) {
    OnFollow(followers, relay, HostId("h" + std::to_string(i)),
             PositionsOf(relay), Duration(0), kStart);
  }
  ApplyStoreChange(relay, "k", Change({"k", "a", 6, "2"}, 6));
  auto pushes = PushToAll(followers, relay, Duration(0), kStart);
  ASSERT_EQ(pushes.size(), 1U);
  EXPECT_EQ(pushes[0].to.size(), 150U);
  // A follower that has just started gets everything, the others the change.
  OnFollow(followers, relay, HostId("h7"), {}, Duration(0), kStart);
  followers[HostId("h7")].sent = {};
  ApplyStoreChange(relay, "k", Change({"k", "b", 7, "3"}, 7));
  pushes = PushToAll(followers, relay, Duration(0), kStart);
  ASSERT_EQ(pushes.size(), 2U);
  for (const AddressedPush& it : pushes)
    EXPECT_EQ(it.push.items.size(), it.to.size() == 1 ? 2U : 1U);
}

TEST(StoreCacheTest, LostPushIsSentAgain) {
  StoreCache relay = MakeStoreCache({"k"});
  CacheFollowers followers;
  ApplyStoreChange(relay, "k", List({{"k", "a", 5, "1"}}, 5));
  const CacheFollow at = PositionsOf(relay);
  OnFollow(followers, relay, kFollower, at, Duration(0), kStart);
  ApplyStoreChange(relay, "k", Change({"k", "a", 6, "2"}, 6));
  PushToAll(followers, relay, Duration(0), kStart);
  // The push was lost: the follow message still has the old position.
  const CachePush soon = OnFollow(followers, relay, kFollower, at, Duration(0),
                                  kStart + milliseconds(100));
  EXPECT_TRUE(soon.items.empty());
  const CachePush later =
      OnFollow(followers, relay, kFollower, at, Duration(0),
               kStart + milliseconds(100) + kPushRetryDelay);
  ASSERT_EQ(later.items.size(), 1U);
  EXPECT_EQ(later.items[0].value, "2");
}

// Incident 032.
TEST(StoreCacheTest, LostPushIsSentAgainWhileOtherKindsMove) {
  StoreCache relay = MakeStoreCache({"config", "endpoints"});
  StoreCache host = MakeStoreCache({"config", "endpoints"});
  CacheFollowers followers;
  uint64_t revision = 10;
  Time now = kStart;
  const auto put = [&](const char* kind) {
    ++revision;
    ApplyStoreChange(relay, kind, Change({kind, "a", revision, "v"}, revision));
  };
  const auto follow = [&] {
    ApplyPush(host, OnFollow(followers, relay, kFollower, PositionsOf(host),
                             Duration(0), now));
  };
  put("config");
  put("endpoints");
  follow();
  follow();
  put("config");
  const uint64_t wanted = revision;
  PushToAll(followers, relay, Duration(0), now);  // Lost.
  const Time lost_at = now;
  while (host.kinds["config"].as_of < At(wanted) &&
         now - lost_at < seconds(20)) {
    now += milliseconds(100);
    put("endpoints");
    for (const AddressedPush& it :
         PushToAll(followers, relay, Duration(0), now))
      ApplyPush(host, it.push);
    if ((now - lost_at) % milliseconds(400) == Duration(0))
      follow();
  }
  // Two follow messages after the push counts as lost.
  EXPECT_LE(now - lost_at, kPushRetryDelay + milliseconds(800));
}

TEST(StoreCacheTest, FollowMessageTellsOfALostPush) {
  StoreCache relay = MakeStoreCache({"config", "endpoints"});
  StoreCache host = MakeStoreCache({"config", "endpoints"});
  ApplyStoreChange(relay, "config", List({{"config", "a", 5, "1"}}, 5));
  ApplyStoreChange(relay, "endpoints", List({{"endpoints", "e", 5, "1"}}, 5));
  // A host that knows nothing yet has lost nothing.
  EXPECT_FALSE(FollowAfterLoss(
      host, MakePush(relay, {{{"config", At(5)}, {"endpoints", At(5)}}}, {})));
  ApplyPush(host, MakePush(relay, {}, Duration(0)));
  ApplyStoreChange(relay, "config", Change({"config", "a", 7, "2"}, 7));
  const auto follow = FollowAfterLoss(
      host, MakePush(relay, {{{"config", At(6)}, {"endpoints", At(5)}}}, {}));
  ASSERT_TRUE(follow);
  const auto sent = DecodeMessage(EncodeMessage(*follow));
  ASSERT_TRUE(sent);
  const auto* received = std::get_if<CacheFollow>(&sent.value());
  ASSERT_TRUE(received);
  for (const CachePosition& it : received->positions) {
    EXPECT_EQ(it.as_of, At(5));
    EXPECT_EQ(it.has_lost_push, it.kind == "config");
  }
}

// Incident 034. Connections of the relay are reset again and again: the push
// with a version and the first ones that send it again are lost, while other
// kinds move. Each loss must cost less than the follower's message period and a
// half, so that three fit into the shortest time in which a version must be in
// effect, together with the relay's own delay.
TEST(StoreCacheTest, ThreeLostPushesInARowDoNotDelayAVersionForLong) {
  constexpr milliseconds kFollowPeriod{400};
  constexpr milliseconds kMaxDelay{1500};
  // The time between the version and the next follow message.
  for (const milliseconds phase :
       {milliseconds(0), milliseconds(100), milliseconds(300)}) {
    SCOPED_TRACE(phase.count());
    StoreCache relay = MakeStoreCache({"config", "endpoints"});
    StoreCache host = MakeStoreCache({"config", "endpoints"});
    CacheFollowers followers;
    uint64_t revision = 10;
    Time now = kStart;
    const auto put = [&](const char* kind) {
      ++revision;
      ApplyStoreChange(relay, kind,
                       Change({kind, "a", revision, "v"}, revision));
    };
    int losses = 0;
    std::function<void(const CacheFollow&)> send_follow;
    const auto deliver = [&](const CachePush& push) {
      const bool has_version =
          std::any_of(push.items.begin(), push.items.end(),
                      [](const CacheItem& it) { return it.kind == "config"; });
      if (has_version && losses > 0) {
        --losses;
        return;
      }
      ApplyPush(host, push);
      if (const auto again = FollowAfterLoss(host, push))
        send_follow(*again);
    };
    send_follow = [&](const CacheFollow& follow) {
      deliver(OnFollow(followers, relay, kFollower, follow, Duration(0), now));
    };
    put("config");
    put("endpoints");
    send_follow(PositionsOf(host));
    now += kFollowPeriod;
    put("config");
    send_follow(PositionsOf(host));
    losses = 3;
    put("config");
    const uint64_t wanted = revision;
    const Time written_at = now;
    while (host.kinds["config"].as_of < StorePosition(0, wanted) &&
           now - written_at < seconds(20)) {
      if ((now - written_at) % milliseconds(100) == Duration(0)) {
        put("endpoints");
        for (const AddressedPush& it :
             PushToAll(followers, relay, Duration(0), now))
          deliver(it.push);
      }
      now += milliseconds(50);
      if ((now - written_at + phase) % kFollowPeriod == Duration(0))
        send_follow(PositionsOf(host));
    }
    EXPECT_LE(now - written_at, kMaxDelay);
  }
}

// Regression test: a host restarted during a rolling release of endpoints. Its
// relay assumed that the host had received the steady stream of changes, and
// did not send again what the host had lost.
TEST(StoreCacheTest, FollowerCatchesUpDuringSteadyChanges) {
  struct Case {
    const char* name;
    bool restarts;  // Else one push is lost.
  };
  for (const Case& it : {Case{"restart", true}, Case{"lost push", false}}) {
    SCOPED_TRACE(it.name);
    StoreCache relay = MakeStoreCache({"k"});
    StoreCache host = MakeStoreCache({"k"});
    CacheFollowers followers;
    const auto take = [&](const CachePush& push) { ApplyPush(host, push); };
    ApplyStoreChange(relay, "k", List({{"k", "a", 5, "1"}}, 5));
    take(OnFollow(followers, relay, kFollower, PositionsOf(host), Duration(0),
                  kStart));
    uint64_t revision = 5;
    Time now = kStart;
    const auto change = [&](bool is_lost) {
      ++revision;
      ApplyStoreChange(
          relay, "k",
          Change({"k", "a", revision, std::to_string(revision)}, revision));
      for (const AddressedPush& push :
           PushToAll(followers, relay, Duration(0), now)) {
        if (!is_lost)
          take(push.push);
      }
    };
    change(!it.restarts);
    if (it.restarts)
      host = MakeStoreCache({"k"});
    for (int i = 1; i <= 10; ++i) {
      now += milliseconds(200);
      change(false);
      if (i % 2 == 0)
        take(OnFollow(followers, relay, kFollower, PositionsOf(host),
                      Duration(0), now));
    }
    EXPECT_EQ(host.kinds["k"].objects["a"].value, std::to_string(revision));
  }
}

// A follower of two relays that lag behind the store at random ends with the
// newest state, whatever the order of pushes and whichever are lost.
TEST(StoreCacheTest, FollowerOfTwoRelaysEndsWithTheNewestState) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    std::vector<StoreCache> relays = {MakeStoreCache({"k"}),
                                      MakeStoreCache({"k"})};
    std::vector<CacheFollowers> followers(2);
    StoreCache host = MakeStoreCache({"k"});
    std::map<std::string, StoreObject> store;
    std::vector<StoreChange> history;
    std::vector<size_t> seen(2, 0);
    uint64_t revision = 0;
    const auto step = [&](size_t r, bool lossy, Time now) {
      while (seen[r] < history.size() && (!lossy || random() % 2))
        ApplyStoreChange(relays[r], "k", history[seen[r]++]);
      const CachePush push = OnFollow(followers[r], relays[r], kFollower,
                                      PositionsOf(host), Duration(0), now);
      if (lossy && random() % 3 == 0)
        return;
      ApplyPush(host, push);
    };
    for (StoreCache& it : relays)
      ApplyStoreChange(it, "k", List({}, 1));
    revision = 1;
    Time now = kStart;
    for (int i = 0; i < 200; ++i) {
      const std::string name(1, static_cast<char>('a' + random() % 4));
      const bool removes = random() % 4 == 0;
      ++revision;
      if (removes)
        store.erase(name);
      else
        store[name] = {"k", name, revision, std::to_string(revision)};
      history.push_back(Change(
          removes ? StoreObject{"k", name, 0, ""} : store[name], revision));
      now += milliseconds(200);
      step(random() % 2, true, now);
    }
    for (int i = 0; i < 4; ++i) {
      now += kPushRetryDelay;
      step(0, false, now);
      step(1, false, now);
    }
    EXPECT_EQ(host.kinds["k"].objects.size(), store.size());
    for (const auto& [name, object] : store)
      EXPECT_EQ(host.kinds["k"].objects[name].value, object.value);
  }
}

// If a hundred hosts switch relays at once, sending all objects to each of them
// would overload a link of 10 Mbit/s.
TEST(StoreCacheTest, NewRelaySendsOnlyWhatTheFollowerLacks) {
  StoreCache old_relay = MakeStoreCache({"k"});
  StoreCache new_relay = MakeStoreCache({"k"});
  StoreCache host = MakeStoreCache({"k"});
  std::vector<StoreObject> objects;
  for (uint64_t i = 1; i <= 400; ++i)
    objects.push_back({"k", std::to_string(i), i, "value"});
  for (StoreCache* it : {&old_relay, &new_relay})
    ApplyStoreChange(*it, "k", List(objects, 400));
  CacheFollowers followers;
  ApplyPush(host, OnFollow(followers, old_relay, kFollower, PositionsOf(host),
                           Duration(0), kStart));
  ApplyStoreChange(new_relay, "k", Change({"k", "7", 401, "new"}, 401));
  ApplyStoreChange(new_relay, "k", Change({"k", "8", 0, ""}, 402));
  CacheFollowers others;
  const CachePush push = OnFollow(others, new_relay, kFollower,
                                  PositionsOf(host), Duration(0), kStart);
  EXPECT_EQ(push.items.size(), 2U);
  EXPECT_EQ(ApplyPush(host, push).size(), 2U);
  EXPECT_EQ(host.kinds["k"].objects["7"].value, "new");
  EXPECT_EQ(host.kinds["k"].objects.count("8"), 0U);
}

// A relay that started after its followers does not know all removals. It
// sends the changed objects and the names of all objects.
TEST(StoreCacheTest, RelayWithoutOldRemovalsSendsAllNames) {
  StoreCache relay = MakeStoreCache({"k"});
  StoreCache host = MakeStoreCache({"k"});
  std::vector<StoreObject> objects;
  for (uint64_t i = 1; i <= 400; ++i)
    objects.push_back({"k", std::to_string(i), i, "value"});
  ApplyStoreChange(host, "k", List(objects, 400));
  objects.erase(objects.begin() + 6);
  objects.push_back({"k", "new", 410, "value"});
  ApplyStoreChange(relay, "k", List(objects, 410));
  CacheFollowers followers;
  const CachePush push = OnFollow(followers, relay, kFollower,
                                  PositionsOf(host), Duration(0), kStart);
  EXPECT_EQ(push.items.size(), 1U);
  EXPECT_EQ(ApplyPush(host, push).size(), 2U);
  EXPECT_EQ(host.kinds["k"].objects.size(), 400U);
  EXPECT_EQ(host.kinds["k"].objects.count("7"), 0U);
  EXPECT_EQ(host.kinds["k"].objects.count("new"), 1U);
}

// The store no longer had the history: an object was created and removed
// between two lists of the relay, and the follower received its creation from
// another relay.
TEST(StoreCacheTest, FollowerInsideAGapGetsAFullList) {
  StoreCache relay = MakeStoreCache({"k"});
  StoreCache host = MakeStoreCache({"k"});
  for (StoreCache* it : {&relay, &host})
    ApplyStoreChange(*it, "k", List({{"k", "a", 5, "1"}}, 5));
  ApplyStoreChange(host, "k", Change({"k", "b", 7, "1"}, 7));
  ApplyStoreChange(relay, "k", List({{"k", "a", 5, "1"}}, 9));
  CacheFollowers followers;
  ApplyPush(host, OnFollow(followers, relay, kFollower, PositionsOf(host),
                           Duration(0), kStart));
  EXPECT_EQ(host.kinds["k"].objects.count("b"), 0U);
  EXPECT_EQ(host.kinds["k"].as_of, At(9));
}

// A relay that has just started receives the removal of an object that it never
// had cached; its follower may have it.
TEST(StoreCacheTest, RemovalOfAnUnknownObjectIsPassedOn) {
  StoreCache relay = MakeStoreCache({"k"});
  StoreCache host = MakeStoreCache({"k"});
  ApplyStoreChange(host, "k", List({{"k", "a", 5, "1"}}, 6));
  ApplyStoreChange(relay, "k", List({}, 6));
  ApplyStoreChange(relay, "k", Change({"k", "a", 0, ""}, 8));
  CacheFollowers followers;
  ApplyPush(host, OnFollow(followers, relay, kFollower, PositionsOf(host),
                           Duration(0), kStart));
  EXPECT_EQ(host.kinds["k"].objects.count("a"), 0U);
}

StoreChange PartialList(std::vector<StoreObject> objects, uint64_t as_of) {
  return {std::move(objects), false, At(as_of), true};
}

// Incident 031.
TEST(StoreCacheTest, PartialListRemovesNothing) {
  StoreCache cache = MakeStoreCache({"k"});
  ApplyStoreChange(cache, "k",
                   List({{"k", "a", 5, "1"}, {"k", "b", 6, "2"}}, 6));
  const auto applied =
      ApplyStoreChange(cache, "k", PartialList({{"k", "a", 8, "3"}}, 9));
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_EQ(applied[0].value, "3");
  EXPECT_EQ(cache.kinds["k"].objects.count("b"), 1U);
  // Nor do hosts that follow this one remove anything.
  StoreCache host = MakeStoreCache({"k"});
  ApplyStoreChange(host, "k",
                   List({{"k", "b", 6, "2"}, {"k", "c", 4, "4"}}, 7));
  ApplyPush(host, MakePush(cache, PositionsOf(host), {}));
  EXPECT_EQ(host.kinds["k"].objects.size(), 3U);
  EXPECT_TRUE(host.kinds["k"].is_partial);
}

// Incident 031. A host that starts has only what the list showed.
TEST(StoreCacheTest, HostWithAPartialListGetsTheRestFromARelay) {
  StoreCache relay = MakeStoreCache({"k"});
  ApplyStoreChange(relay, "k",
                   List({{"k", "a", 5, "1"}, {"k", "b", 6, "2"}}, 7));
  for (const uint64_t position : {0, 6, 7}) {
    SCOPED_TRACE(position);
    StoreCache host = MakeStoreCache({"k"});
    CacheFollowers followers;
    // The relay has removed "c" meanwhile.
    ApplyStoreChange(
        host, "k",
        PartialList({{"k", "a", 5, "1"}, {"k", "c", 3, "4"}}, position));
    EXPECT_TRUE(IsComplete(host));
    for (int i = 0; i < 2; ++i)
      ApplyPush(host, OnFollow(followers, relay, kFollower, PositionsOf(host),
                               {}, kStart));
    EXPECT_EQ(host.kinds["k"].as_of, At(7));
    EXPECT_FALSE(host.kinds["k"].is_partial);
    EXPECT_EQ(host.kinds["k"].objects.count("b"), 1U);
    EXPECT_EQ(host.kinds["k"].objects.count("c"), 0U);
  }
}

// Incident 031. The relay had not followed the store for long when the host
// asked it.
TEST(StoreCacheTest, HostWithAPartialListGetsTheRestFromAnOlderState) {
  StoreCache relay = MakeStoreCache({"k"});
  ApplyStoreChange(relay, "k",
                   List({{"k", "a", 2, "1"}, {"k", "b", 3, "2"}}, 3));
  StoreCache host = MakeStoreCache({"k"});
  const CachePush push = MakePush(relay, PositionsOf(host), {});
  ApplyStoreChange(host, "k", PartialList({{"k", "a", 5, "5"}}, 13));
  // Not before the list: its position is that of the list.
  const auto applied = ApplyPush(host, push);
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_EQ(applied[0].name, "b");
  EXPECT_EQ(host.kinds["k"].objects["a"].value, "5");
  EXPECT_EQ(host.kinds["k"].as_of, At(13));
  EXPECT_TRUE(host.kinds["k"].is_partial);
  // What is known to be gone does not come back.
  ApplyStoreChange(host, "k", Change({"k", "b", 0, ""}, 14));
  EXPECT_TRUE(ApplyPush(host, push).empty());
  EXPECT_EQ(host.kinds["k"].objects.count("b"), 0U);
}

// Incident 031. Two hosts follow each other as relays. Else both would count as
// partial and neither would send what the other one lacks.
TEST(StoreCacheTest, PartialCacheDoesNotSpreadToHostsThatFollowTheStore) {
  StoreCache relay = MakeStoreCache({"k"});
  ApplyStoreChange(relay, "k",
                   List({{"k", "a", 2, "1"}, {"k", "b", 3, "2"}}, 3));
  StoreCache host = MakeStoreCache({"k"});
  ApplyStoreChange(host, "k",
                   PartialList({{"k", "a", 2, "1"}, {"k", "c", 12, "3"}}, 13));
  ApplyPush(relay, MakePush(host, PositionsOf(relay), {}), CacheSource::kStore);
  EXPECT_FALSE(relay.kinds["k"].is_partial);
  EXPECT_EQ(relay.kinds["k"].as_of, At(3));
  EXPECT_EQ(relay.kinds["k"].objects.count("c"), 1U);
  // Its own watch.
  ApplyStoreChange(relay, "k", Change({"k", "d", 13, "4"}, 13));
  EXPECT_EQ(relay.kinds["k"].as_of, At(13));
  CacheFollowers followers;
  for (int i = 0; i < 2; ++i)
    ApplyPush(host, OnFollow(followers, relay, kFollower, PositionsOf(host), {},
                             kStart));
  EXPECT_FALSE(host.kinds["k"].is_partial);
  EXPECT_EQ(host.kinds["k"].objects.size(), 4U);
}

// Incident 031.
TEST(StoreCacheTest, WholeListAfterAPartialOneReachesFollowers) {
  StoreCache relay = MakeStoreCache({"k"});
  StoreCache host = MakeStoreCache({"k"});
  CacheFollowers followers;
  const auto follow = [&] {
    ApplyPush(host, OnFollow(followers, relay, kFollower, PositionsOf(host), {},
                             kStart));
  };
  ApplyStoreChange(relay, "k", PartialList({{"k", "a", 5, "1"}}, 7));
  follow();
  EXPECT_EQ(host.kinds["k"].objects.size(), 1U);
  EXPECT_TRUE(host.kinds["k"].is_partial);
  ApplyStoreChange(relay, "k",
                   List({{"k", "a", 5, "1"}, {"k", "b", 6, "2"}}, 7));
  follow();
  follow();
  EXPECT_EQ(host.kinds["k"].objects.size(), 2U);
  EXPECT_FALSE(host.kinds["k"].is_partial);
}

}  // namespace
}  // namespace sassafras
