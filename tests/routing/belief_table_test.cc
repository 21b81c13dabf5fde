#include "routing/belief_table.h"

#include <gtest/gtest.h>

#include <random>

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{seconds(1000)};
const HostId kFollower("f");

StoreChange List(std::vector<StoreObject> objects, uint64_t as_of) {
  return {std::move(objects), true, as_of};
}

StoreChange Change(StoreObject object, uint64_t as_of) {
  return {{std::move(object)}, false, as_of};
}

TEST(BeliefTableTest, ListBringsRemovals) {
  BeliefTable table = MakeBeliefTable({"k"});
  ApplyStoreChange(table, "k",
                   List({{"k", "a", 5, "1"}, {"k", "b", 6, "2"}}, 6));
  const auto news = ApplyStoreChange(table, "k", List({{"k", "b", 6, "2"}}, 9));
  ASSERT_EQ(news.size(), 1U);
  EXPECT_TRUE(news[0].removed);
  EXPECT_EQ(news[0].name, "a");
}

TEST(BeliefTableTest, ListOfALaggingReplicaTakesNothingBack) {
  BeliefTable table = MakeBeliefTable({"k"});
  ApplyStoreChange(table, "k", List({{"k", "a", 5, "new"}}, 8));
  EXPECT_TRUE(
      ApplyStoreChange(table, "k", List({{"k", "a", 3, "old"}}, 4)).empty());
  EXPECT_EQ(table.kinds["k"].objects["a"].value, "new");
  EXPECT_EQ(table.kinds["k"].as_of, 8U);
}

TEST(BeliefTableTest, FollowerGetsAllThenChanges) {
  BeliefTable relay = MakeBeliefTable({"k"});
  BeliefTable host = MakeBeliefTable({"k"});
  BeliefFollowers followers;
  ApplyStoreChange(relay, "k", List({{"k", "a", 5, "1"}}, 5));
  const CachePush all =
      OnFollow(followers, relay, kFollower, {}, Duration(0), kStart);
  ASSERT_EQ(all.spans.size(), 1U);
  EXPECT_EQ(all.spans[0].from, 0U);
  EXPECT_EQ(ApplyPush(host, all).size(), 1U);
  ApplyStoreChange(relay, "k", Change({"k", "a", 6, "2"}, 6));
  const auto pushes = PushToAll(followers, relay, Duration(0), kStart);
  ASSERT_EQ(pushes.size(), 1U);
  EXPECT_EQ(pushes[0].push.spans[0].from, 5U);
  EXPECT_EQ(ApplyPush(host, pushes[0].push).size(), 1U);
  EXPECT_EQ(host.kinds["k"].objects["a"].value, "2");
  EXPECT_TRUE(IsComplete(host));
}

TEST(BeliefTableTest, LostPushIsSentAgain) {
  BeliefTable relay = MakeBeliefTable({"k"});
  BeliefFollowers followers;
  ApplyStoreChange(relay, "k", List({{"k", "a", 5, "1"}}, 5));
  const CacheFollow at = PositionsOf(relay);
  OnFollow(followers, relay, kFollower, at, Duration(0), kStart);
  ApplyStoreChange(relay, "k", Change({"k", "a", 6, "2"}, 6));
  PushToAll(followers, relay, Duration(0), kStart);
  // The push was lost: the follower's sign of life still shows the old place.
  const CachePush soon = OnFollow(followers, relay, kFollower, at, Duration(0),
                                  kStart + milliseconds(100));
  EXPECT_TRUE(soon.items.empty());
  const CachePush later = OnFollow(followers, relay, kFollower, at, Duration(0),
                                   kStart + milliseconds(100) + kPushRepeat);
  ASSERT_EQ(later.items.size(), 1U);
  EXPECT_EQ(later.items[0].value, "2");
}

// Seen on the grown site: endpoints were released one after the other, a host
// restarted meanwhile, and its relay took the changes for answers to it.
TEST(BeliefTableTest, FollowerCatchesUpThoughChangesNeverPause) {
  struct Case {
    const char* name;
    bool restarts;  // Else one push is lost.
  };
  for (const Case& it : {Case{"restart", true}, Case{"lost push", false}}) {
    SCOPED_TRACE(it.name);
    BeliefTable relay = MakeBeliefTable({"k"});
    BeliefTable host = MakeBeliefTable({"k"});
    BeliefFollowers followers;
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
      host = MakeBeliefTable({"k"});
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

// A follower of two relays, one of which lags, ends with the newest state
// whatever the order and whatever is lost.
TEST(BeliefTableTest, FollowerOfTwoRelaysEndsWithTheNewest) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    std::vector<BeliefTable> relays = {MakeBeliefTable({"k"}),
                                       MakeBeliefTable({"k"})};
    std::vector<BeliefFollowers> followers(2);
    BeliefTable host = MakeBeliefTable({"k"});
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
    for (BeliefTable& it : relays)
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
      now += kPushRepeat;
      step(0, false, now);
      step(1, false, now);
    }
    EXPECT_EQ(host.kinds["k"].objects.size(), store.size());
    for (const auto& [name, object] : store)
      EXPECT_EQ(host.kinds["k"].objects[name].value, object.value);
  }
}

// A hundred hosts that change their relay at once must not each be sent
// everything over a link of 10 Mbit/s.
TEST(BeliefTableTest, NewRelaySendsOnlyWhatTheFollowerLacks) {
  BeliefTable old_relay = MakeBeliefTable({"k"});
  BeliefTable new_relay = MakeBeliefTable({"k"});
  BeliefTable host = MakeBeliefTable({"k"});
  std::vector<StoreObject> objects;
  for (uint64_t i = 1; i <= 400; ++i)
    objects.push_back({"k", std::to_string(i), i, "value"});
  for (BeliefTable* it : {&old_relay, &new_relay})
    ApplyStoreChange(*it, "k", List(objects, 400));
  BeliefFollowers followers;
  ApplyPush(host, OnFollow(followers, old_relay, kFollower, PositionsOf(host),
                           Duration(0), kStart));
  ApplyStoreChange(new_relay, "k", Change({"k", "7", 401, "new"}, 401));
  ApplyStoreChange(new_relay, "k", Change({"k", "8", 0, ""}, 402));
  BeliefFollowers others;
  const CachePush push = OnFollow(others, new_relay, kFollower,
                                  PositionsOf(host), Duration(0), kStart);
  EXPECT_EQ(push.items.size(), 2U);
  EXPECT_EQ(ApplyPush(host, push).size(), 2U);
  EXPECT_EQ(host.kinds["k"].objects["7"].value, "new");
  EXPECT_EQ(host.kinds["k"].objects.count("8"), 0U);
}

// A relay that started later than its followers does not know all removals;
// it sends what has changed and the names of all.
TEST(BeliefTableTest, YoungRelaySendsNamesOfWhatIsKnown) {
  BeliefTable relay = MakeBeliefTable({"k"});
  BeliefTable host = MakeBeliefTable({"k"});
  std::vector<StoreObject> objects;
  for (uint64_t i = 1; i <= 400; ++i)
    objects.push_back({"k", std::to_string(i), i, "value"});
  ApplyStoreChange(host, "k", List(objects, 400));
  objects.erase(objects.begin() + 6);
  objects.push_back({"k", "new", 410, "value"});
  ApplyStoreChange(relay, "k", List(objects, 410));
  BeliefFollowers followers;
  const CachePush push = OnFollow(followers, relay, kFollower,
                                  PositionsOf(host), Duration(0), kStart);
  EXPECT_EQ(push.items.size(), 1U);
  EXPECT_EQ(ApplyPush(host, push).size(), 2U);
  EXPECT_EQ(host.kinds["k"].objects.size(), 400U);
  EXPECT_EQ(host.kinds["k"].objects.count("7"), 0U);
  EXPECT_EQ(host.kinds["k"].objects.count("new"), 1U);
}

// The store forgot its history: an object came and went while the relay saw
// nothing, and the follower learned of it from another relay.
TEST(BeliefTableTest, FollowerInsideAGapGetsTheWholeKind) {
  BeliefTable relay = MakeBeliefTable({"k"});
  BeliefTable host = MakeBeliefTable({"k"});
  for (BeliefTable* it : {&relay, &host})
    ApplyStoreChange(*it, "k", List({{"k", "a", 5, "1"}}, 5));
  ApplyStoreChange(host, "k", Change({"k", "b", 7, "1"}, 7));
  ApplyStoreChange(relay, "k", List({{"k", "a", 5, "1"}}, 9));
  BeliefFollowers followers;
  ApplyPush(host, OnFollow(followers, relay, kFollower, PositionsOf(host),
                           Duration(0), kStart));
  EXPECT_EQ(host.kinds["k"].objects.count("b"), 0U);
  EXPECT_EQ(host.kinds["k"].as_of, 9U);
}

// A relay that has just started hears of the removal of an object that it
// never knew.
TEST(BeliefTableTest, RemovalOfAnUnknownObjectIsPassedOn) {
  BeliefTable relay = MakeBeliefTable({"k"});
  BeliefTable host = MakeBeliefTable({"k"});
  ApplyStoreChange(host, "k", List({{"k", "a", 5, "1"}}, 6));
  ApplyStoreChange(relay, "k", List({}, 6));
  ApplyStoreChange(relay, "k", Change({"k", "a", 0, ""}, 8));
  BeliefFollowers followers;
  ApplyPush(host, OnFollow(followers, relay, kFollower, PositionsOf(host),
                           Duration(0), kStart));
  EXPECT_EQ(host.kinds["k"].objects.count("a"), 0U);
}

}  // namespace
}  // namespace sassafras
