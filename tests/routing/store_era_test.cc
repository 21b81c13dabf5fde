// Stores that come back from an older copy: what happens in the caches of
// hosts and relays, without a network.
#include <gtest/gtest.h>

#include <random>

#include "decisions/json_forms.h"
#include "routing/list_reading.h"
#include "routing/restored_state.h"
#include "routing/store_cache.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{seconds(1000)};
const HostId kFollower("f");

StoreChange List(std::vector<StoreObject> objects,
                 uint64_t era,
                 uint64_t revision) {
  return {std::move(objects), true, {era, revision}};
}

StoreChange Change(StoreObject object, uint64_t era, uint64_t revision) {
  return {{std::move(object)}, false, {era, revision}};
}

TEST(StorePositionTest, LaterErasAreNewerWhateverTheirRevisions) {
  EXPECT_LT(StorePosition(0, 500), StorePosition(1, 3));
  EXPECT_LT(StorePosition(1, 3), StorePosition(1, 4));
  EXPECT_LT(StorePosition(), StorePosition(0, 1));
  EXPECT_FALSE(StorePosition(3, 0).is_known());
}

// Incident 032.
TEST(StoreEraTest, ListOfANewEraReplacesWhatIsCached) {
  StoreCache cache = MakeStoreCache({"k"});
  ApplyStoreChange(cache, "k",
                   List({{"k", "same", 5, "1"},
                         {"k", "changed", 90, "new"},
                         {"k", "added", 95, "1"}},
                        0, 100));
  const auto applied = ApplyStoreChange(
      cache, "k",
      List({{"k", "same", 5, "1"}, {"k", "changed", 40, "old"}}, 1, 60));
  ASSERT_EQ(applied.size(), 2U);
  EXPECT_EQ(applied[0].value, "old");
  EXPECT_TRUE(applied[0].is_restored);
  EXPECT_EQ(applied[1].name, "added");
  EXPECT_TRUE(applied[1].removed && applied[1].is_restored);
  EXPECT_EQ(cache.kinds["k"].as_of, StorePosition(1, 60));
  // What is written from then on is no copy.
  const auto written =
      ApplyStoreChange(cache, "k", Change({"k", "added", 61, "1"}, 1, 61));
  ASSERT_EQ(written.size(), 1U);
  EXPECT_FALSE(written[0].is_restored);
}

// Incident 032.
TEST(StoreEraTest, ChangesAfterTheListOfANewEraAreNoCopies) {
  StoreCache relay = MakeStoreCache({"k"});
  StoreCache host = MakeStoreCache({"k"});
  CacheFollowers followers;
  const auto follow = [&] {
    return ApplyPush(host, OnFollow(followers, relay, kFollower,
                                    PositionsOf(host), Duration(0), kStart));
  };
  ApplyStoreChange(relay, "k", List({{"k", "a", 90, "1"}}, 0, 100));
  follow();
  ApplyStoreChange(relay, "k", List({{"k", "a", 40, "0"}}, 1, 60));
  const auto copied = follow();
  ASSERT_EQ(copied.size(), 1U);
  EXPECT_TRUE(copied[0].is_restored);
  ApplyStoreChange(relay, "k", Change({"k", "b", 61, "1"}, 1, 61));
  ApplyStoreChange(relay, "k", Change({"k", "a", 0, ""}, 1, 62));
  const auto written = follow();
  ASSERT_EQ(written.size(), 2U);
  for (const CacheItem& it : written)
    EXPECT_FALSE(it.is_restored) << it.name;
}

// Incident 032.
TEST(StoreEraTest, LateAnswersOfAnEarlierEraChangeNothing) {
  StoreCache cache = MakeStoreCache({"k"});
  ApplyStoreChange(cache, "k", List({{"k", "a", 5, "1"}}, 1, 60));
  EXPECT_TRUE(ApplyStoreChange(cache, "k", List({{"k", "b", 90, "1"}}, 0, 100))
                  .empty());
  EXPECT_TRUE(
      ApplyStoreChange(cache, "k", Change({"k", "a", 99, "2"}, 0, 99)).empty());
  EXPECT_EQ(cache.kinds["k"].as_of, StorePosition(1, 60));
}

// Incident 032.
TEST(StoreEraTest, RelayOfAnEarlierEraDoesNotCountAsOneThatReachesTheStore) {
  StoreCache host = MakeStoreCache({"k"});
  StoreCache relay = MakeStoreCache({"k"});
  ApplyStoreChange(relay, "k", List({}, 0, 100));
  ApplyStoreChange(host, "k", List({}, 1, 60));
  EXPECT_TRUE(
      IsOfEarlierEra(host, MakePush(relay, PositionsOf(host), Duration(0))));
  ApplyStoreChange(relay, "k", List({}, 1, 60));
  EXPECT_FALSE(
      IsOfEarlierEra(host, MakePush(relay, PositionsOf(host), Duration(0))));
}

// Incident 032. The era was met through a relay.
TEST(StoreEraTest, LateChangeOfAnEarlierEraAddsNothing) {
  StoreCache cache = MakeStoreCache({"k"});
  ApplyStoreChange(cache, "k", {{{"k", "a", 5, "1"}}, true, {1, 5}});
  EXPECT_TRUE(
      ApplyStoreChange(cache, "k", {{{"k", "b", 9, "2"}}, false, {0, 9}})
          .empty());
  EXPECT_EQ(cache.kinds["k"].objects.count("b"), 0U);
}

// Incident 032.
TEST(StoreEraTest, RemovalByTheCopyIsMarkedAfterAPartialList) {
  StoreCache cache = MakeStoreCache({"evacuations"});
  ApplyStoreChange(cache, "evacuations",
                   {{{"evacuations", "zone", 9, "{}"}}, true, {0, 9}});
  ApplyStoreChange(cache, "evacuations", {{}, false, {1, 7}, true});
  const auto applied =
      ApplyStoreChange(cache, "evacuations", {{}, true, {1, 7}});
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_TRUE(applied[0].removed);
  EXPECT_TRUE(applied[0].is_restored);
}

// Incident 032. The list has pages of both eras.
TEST(StoreEraTest, ListThatMeetsANewEraIsReadAnew) {
  ListReading list;
  EXPECT_EQ(OnPage(list, {{{"k", "a", 3, "1"}}, "a", true, {0, 9}},
                   ListFreshness::kCurrent),
            ListStep::kReadOn);
  EXPECT_EQ(OnPage(list, {{{"k", "b", 3, "1"}}, "b", false, {1, 5}},
                   ListFreshness::kCurrent),
            ListStep::kRestart);
  EXPECT_TRUE(list.objects.empty());
  EXPECT_TRUE(list.after.empty());
}

// Hosts of earlier releases know no eras.
TEST(StoreEraTest, MessagesAreUnderstoodByHostsOfEarlierReleases) {
  const Json before = CachePosition{"k", {0, 7}};
  EXPECT_EQ(before, Json({{"kind", "k"}, {"as_of", 7}}));
  EXPECT_EQ(before.get<CachePosition>().as_of, StorePosition(0, 7));
  const Json after = CacheSpan{"k", {0, 7}, {2, 3}, false, {}, false};
  EXPECT_EQ(after.at("from"), 7);
  EXPECT_EQ(after.at("as_of"), 3);
  EXPECT_EQ(after.get<CacheSpan>().as_of, StorePosition(2, 3));
  EXPECT_EQ(after.get<CacheSpan>().from, StorePosition(0, 7));
  const Json item = CacheItem{"k", "a", {2, 3}, false, "1", true};
  EXPECT_EQ(item.get<CacheItem>().position, StorePosition(2, 3));
  EXPECT_FALSE(item.get<CacheItem>().is_restored);
}

// Two relays and a follower, a store that comes back from copies at random and
// gives revisions out again, lost pushes, and late answers. All end with what
// the store has.
TEST(StoreEraTest, HostsEndWithTheStoresStateAfterAnyNumberOfReturns) {
  struct StoreState {
    std::map<std::string, StoreObject> objects;
    uint64_t revision = 1;
  };
  for (unsigned seed = 1; seed <= 100; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    StoreState store;
    StoreState copy = store;
    uint64_t era = 0;
    std::vector<StoreCache> relays(2, MakeStoreCache({"k"}));
    std::vector<CacheFollowers> followers(2);
    StoreCache host = MakeStoreCache({"k"});
    StoreChange late = List({}, 0, 1);
    Time now = kStart;
    const auto list = [&] {
      std::vector<StoreObject> objects;
      for (const auto& [name, it] : store.objects)
        objects.push_back(it);
      return List(objects, era, store.revision);
    };
    const auto follow = [&](size_t r, bool is_lost) {
      const CachePush push = OnFollow(followers[r], relays[r], kFollower,
                                      PositionsOf(host), Duration(0), now);
      if (!is_lost)
        ApplyPush(host, push);
    };
    for (int i = 0; i < 300; ++i) {
      now += milliseconds(100);
      const std::string name(1, static_cast<char>('a' + random() % 4));
      ++store.revision;
      if (random() % 4 == 0)
        store.objects.erase(name);
      else
        store.objects[name] = {"k", name, store.revision,
                               std::to_string(random() % 3)};
      if (random() % 20 == 0)
        copy = store;
      if (random() % 25 == 0) {
        store = copy;
        ++era;
      }
      if (random() % 10 == 0)
        late = list();
      const size_t r = random() % 2;
      if (random() % 2 == 0)
        ApplyStoreChange(relays[r], "k", random() % 5 == 0 ? late : list());
      follow(r, random() % 3 == 0);
    }
    for (size_t r = 0; r < 2; ++r)
      ApplyStoreChange(relays[r], "k", list());
    for (int i = 0; i < 3; ++i) {
      now += kPushRetryDelay;
      follow(0, false);
      follow(1, false);
    }
    EXPECT_EQ(host.kinds["k"].as_of, StorePosition(era, store.revision));
    EXPECT_EQ(host.kinds["k"].objects.size(), store.objects.size());
    for (const auto& [name, object] : store.objects)
      EXPECT_EQ(host.kinds["k"].objects[name].value, object.value);
  }
}

EndpointRecord Record(bool draining) {
  EndpointRecord record;
  record.id = EndpointId("i-1");
  record.service = ServiceId("s");
  record.started_at_ms = 7;
  record.draining = draining;
  return record;
}

// Incident 032.
TEST(RestoredStateTest, CopyDoesNotUndoThatAnEndpointLeaves) {
  EndpointSet set;
  ApplyRecord(set, Record(false), kStart);
  EXPECT_FALSE(UndoesLeaving(set, Record(false)));
  ApplyRecord(set, Record(true), kStart);
  EXPECT_TRUE(UndoesLeaving(set, Record(false)));
  EXPECT_FALSE(UndoesLeaving(set, Record(true)));
  ApplyRemoval(set, EndpointId("i-1"), kStart);
  EXPECT_TRUE(UndoesLeaving(set, Record(true)));
  EndpointRecord restarted = Record(false);
  restarted.started_at_ms = 8;
  EXPECT_FALSE(UndoesLeaving(set, restarted));
  ExpireNotices(set, kStart + kEndedLifetime);
  EXPECT_TRUE(set.ended.empty());
}

// Incident 032. Its record lapsed, which proves nothing then.
TEST(RestoredStateTest, IdleEndpointThatLapsedInAnOutageIsNotTakenForEnded) {
  EndpointSet set;
  EndpointRecord record;
  record.id = EndpointId("a");
  record.service = ServiceId("s");
  record.address = {"10.0.0.1", 80};
  record.zone = ZoneId("z");
  record.slots = 4;
  record.started_at_ms = 1;
  ApplyRecord(set, record, kStart);
  MarkRegistryUnreliable(set, kStart);
  ApplyRemoval(set, record.id, kStart);
  EXPECT_FALSE(UndoesLeaving(set, record));
}

// Incident 032.
TEST(RestoredStateTest, HeldChangeIsDueOnceUnlessItsOwnerWrites) {
  RestoredState state;
  const CacheItem item{"k", "a", {1, 5}, true, "", true};
  HoldItem(state, item, kRestoredHoldTime, kStart);
  EXPECT_TRUE(TakeDueItems(state, kStart + kRestoredHoldTime - milliseconds(1))
                  .empty());
  const auto due = TakeDueItems(state, kStart + kRestoredHoldTime);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_FALSE(due[0].is_restored);
  EXPECT_TRUE(TakeDueItems(state, kStart + seconds(60)).empty());
  HoldItem(state, item, kRestoredHoldTime, kStart);
  DropHeldItem(state, {"k", "a", {1, 6}, false, "1"});
  EXPECT_TRUE(TakeDueItems(state, kStart + seconds(60)).empty());
}

}  // namespace
}  // namespace sassafras
