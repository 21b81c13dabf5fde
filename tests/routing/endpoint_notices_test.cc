// Tests what a host does with the notices of endpoints, on a virtual clock.
#include "routing/endpoint_notices.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <random>

#include "base/hash.h"
#include "routing/endpoint_set.h"
#include "routing/placement.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const Time kStart{seconds(1000)};
const ServiceId kService("s");
constexpr int kSlots = 4;

EndpointRecord MakeRecord(const std::string& id, int64_t started_at_ms = 1) {
  EndpointRecord record;
  record.id = EndpointId(id);
  record.service = kService;
  record.address = {"10.0.0.1", 80};
  record.zone = ZoneId("z");
  record.slots = kSlots;
  record.started_at_ms = started_at_ms;
  return record;
}

EndpointPtr Find(const EndpointSet& set, const std::string& id) {
  const auto it = set.by_id.find(EndpointId(id));
  return it == set.by_id.end() ? nullptr : it->second;
}

Eligibility EligibilityAt(const EndpointSet& set,
                          const std::string& id,
                          Time now) {
  const EndpointPtr endpoint = Find(set, id);
  return endpoint ? EligibilityOf(set, *endpoint, now) : Eligibility::kGone;
}

Placement PlaceOn(const EndpointSet& set, const RequestRoute& route, Time now) {
  PlacementRequest request;
  request.service = &kService;
  request.route = &route;
  request.homes = HomesOfRoute(route);
  return PlaceRequest(set, PlacementContext(), request, now);
}

// What the registry says after an endpoint has said that it is leaving.
TEST(EndpointNoticesTest,
     LeavingHoldsForTheIncarnationWhateverTheRegistrySays) {
  struct Case {
    const char* name;
    std::function<void(EndpointSet&)> registry;
    Eligibility eligibility;
  };
  const Time later = kStart + seconds(30);
  const std::vector<Case> cases = {
      {"silent", [](EndpointSet&) {}, Eligibility::kLeaving},
      {"ready, written again",
       [&](EndpointSet& set) { ApplyRecord(set, MakeRecord("a"), later); },
       Eligibility::kLeaving},
      {"removed and written again",
       [&](EndpointSet& set) {
         ApplyRemoval(set, EndpointId("a"), later);
         ApplyRecord(set, MakeRecord("a"), later);
       },
       Eligibility::kLeaving},
      {"removed while it recovers",
       [&](EndpointSet& set) {
         OnSuccess(*Find(set, "a"), later);
         MarkRegistryUnreliable(set, later);
         ApplyRemoval(set, EndpointId("a"), later);
       },
       Eligibility::kLeaving},
      {"draining",
       [&](EndpointSet& set) {
         EndpointRecord record = MakeRecord("a");
         record.draining = true;
         ApplyRecord(set, record, later);
       },
       Eligibility::kDraining},
      {"older incarnation",
       [&](EndpointSet& set) { ApplyRecord(set, MakeRecord("a", 0), later); },
       Eligibility::kLeaving},
      {"new incarnation",
       [&](EndpointSet& set) { ApplyRecord(set, MakeRecord("a", 2), later); },
       Eligibility::kEligible},
      {"evacuated zone",
       [&](EndpointSet& set) { SetEvacuated(set, ZoneId("z")); },
       Eligibility::kLeaving},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    EndpointSet set;
    ApplyRecord(set, MakeRecord("a"), kStart);
    ASSERT_EQ(EligibilityAt(set, "a", kStart), Eligibility::kEligible);
    EXPECT_TRUE(OnLeaving(set, Find(set, "a")->incarnation, kStart, kStart));
    EXPECT_FALSE(OnLeaving(set, Find(set, "a")->incarnation, kStart, kStart));
    EXPECT_EQ(EligibilityAt(set, "a", kStart), Eligibility::kLeaving);
    EXPECT_FALSE(CountsAsCapacity(set, *Find(set, "a")));
    it.registry(set);
    ExpireNotices(set, later);
    EXPECT_EQ(NameOf(EligibilityAt(set, "a", later)), NameOf(it.eligibility));
  }
}

// A host that restarts, or that has not read the record yet, learns of the
// leaving by gossip.
TEST(EndpointNoticesTest, LeavingIsLearntFromOtherHosts) {
  EndpointSet teller;
  ApplyRecord(teller, MakeRecord("a"), kStart);
  OnLeaving(teller, Find(teller, "a")->incarnation, kStart, kStart);
  const Time later = kStart + seconds(60);
  EXPECT_EQ(CollectLeavings(teller.notices, false, kStart).size(), 1U);
  EXPECT_TRUE(CollectLeavings(teller.notices, false, later).empty());
  const auto all = CollectLeavings(teller.notices, true, later);
  ASSERT_EQ(all.size(), 1U);
  EXPECT_EQ(all[0].age, later - kStart);

  EndpointSet restarted;
  EXPECT_TRUE(
      OnLeaving(restarted, all[0].incarnation, later - all[0].age, later));
  ApplyRecord(restarted, MakeRecord("a"), later);
  EXPECT_EQ(EligibilityAt(restarted, "a", later), Eligibility::kLeaving);
  ApplyRecord(restarted, MakeRecord("a", 2), later);
  EXPECT_EQ(EligibilityAt(restarted, "a", later), Eligibility::kEligible);
}

TEST(EndpointNoticesTest, BackoffEndsLaterThanAskedAndNeverEarlier) {
  struct Case {
    const char* name;
    Duration retry_after;
    double random;
    Duration resumes_after;
  };
  const std::vector<Case> cases = {
      {"no jitter", seconds(2), 0.0, seconds(2)},
      {"half of the jitter", seconds(2), 0.5, milliseconds(2250)},
      {"jitter of a long time", seconds(60), 0.5, milliseconds(60500)},
      {"longer than the limit", minutes(60), 0.0, kMaxBackoff},
      {"zero", seconds(0), 0.5, seconds(0)},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    EndpointSet set;
    ApplyRecord(set, MakeRecord("a"), kStart);
    EndpointView& endpoint = *Find(set, "a");
    const Time end = kStart + it.resumes_after;
    const auto resume_at =
        OnBackoff(set, endpoint.incarnation, it.retry_after, it.random, kStart);
    EXPECT_EQ(resume_at.value_or(kStart), end);
    for (Time now = kStart; now < end; now += it.resumes_after / 10)
      EXPECT_EQ(EligibilityOf(set, endpoint, now), Eligibility::kBackoff);
    EXPECT_EQ(EligibilityOf(set, endpoint, end), Eligibility::kEligible);
    // Short absences do not move the regions' shares.
    EXPECT_TRUE(CountsAsCapacity(set, endpoint));
  }
}

TEST(EndpointNoticesTest, ShorterBackoffDoesNotReplaceALongerOne) {
  const RequestRoute route;
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  EndpointView& endpoint = *Find(set, "a");
  OnBackoff(set, endpoint.incarnation, seconds(10), 0, kStart);
  EXPECT_FALSE(
      OnBackoff(set, endpoint.incarnation, seconds(1), 0, kStart + seconds(1)));
  EXPECT_EQ(endpoint.notice.resume_at, kStart + seconds(10));
  EXPECT_FALSE(OnBackoff(set, endpoint.incarnation, seconds(20), 0,
                         kStart + seconds(1)));
  EXPECT_EQ(endpoint.notice.resume_at, kStart + seconds(21));
  // The record is removed and written again.
  ApplyRemoval(set, EndpointId("a"), kStart + seconds(2));
  ApplyRecord(set, MakeRecord("a"), kStart + seconds(2));
  EXPECT_EQ(EligibilityAt(set, "a", kStart + seconds(20)),
            Eligibility::kBackoff);
  EXPECT_EQ(
      FirstResume(set, kService, HomesOfRoute(route), kStart + seconds(3)),
      kStart + seconds(21));
  EXPECT_FALSE(
      FirstResume(set, kService, HomesOfRoute(route), kStart + seconds(21)));
}

TEST(EndpointNoticesTest, ResumingEndpointGetsOneRequestUntilItAnswers) {
  EndpointSet set;
  const RequestRoute route;
  ApplyRecord(set, MakeRecord("a"), kStart);
  const EndpointPtr endpoint = Find(set, "a");
  OnBackoff(set, endpoint->incarnation, seconds(1), 0, kStart);
  const Time later = kStart + seconds(2);
  EXPECT_EQ(PlaceOn(set, route, later).endpoint, endpoint);
  OnSent(*endpoint);
  EXPECT_FALSE(PlaceOn(set, route, later).endpoint);
  OnSuccess(*endpoint, later);
  EXPECT_EQ(PlaceOn(set, route, later).endpoint, endpoint);
}

TEST(EndpointNoticesTest, RefusalNamesTheTimeOfTheFirstResume) {
  EndpointSet set;
  RequestRoute route;
  for (const char* it : {"a", "b"})
    ApplyRecord(set, MakeRecord(it), kStart);
  OnBackoff(set, Find(set, "a")->incarnation, seconds(5), 0, kStart);
  EXPECT_EQ(PlaceOn(set, route, kStart).endpoint, Find(set, "b"));
  OnBackoff(set, Find(set, "b")->incarnation, seconds(3), 0, kStart);
  const Placement refused = PlaceOn(set, route, kStart);
  EXPECT_FALSE(refused.endpoint);
  EXPECT_EQ(refused.reason, PlacementReason::kBackoff);
  EXPECT_EQ(FirstResume(set, kService, HomesOfRoute(route), kStart),
            kStart + seconds(3));
  EXPECT_EQ(PlaceOn(set, route, kStart + seconds(3)).endpoint, Find(set, "b"));
  // Of an endpoint that the route does not allow, the time does not matter.
  route.home_regions = {RegionId("other")};
  EXPECT_FALSE(FirstResume(set, kService, HomesOfRoute(route), kStart));
}

// A backoff and a leaving do not replace each other, in either order.
TEST(EndpointNoticesTest, LeaverThatBacksOffKeepsLeaving) {
  for (const bool leaves_first : {false, true}) {
    EndpointSet set;
    ApplyRecord(set, MakeRecord("a"), kStart);
    const uint64_t incarnation = Find(set, "a")->incarnation;
    if (leaves_first)
      OnLeaving(set, incarnation, kStart, kStart);
    OnBackoff(set, incarnation, seconds(2), 0, kStart);
    if (!leaves_first)
      OnLeaving(set, incarnation, kStart, kStart);
    ApplyRemoval(set, EndpointId("a"), kStart);
    ApplyRecord(set, MakeRecord("a"), kStart);
    const Time later = kStart + seconds(5);
    ExpireNotices(set, later);
    EXPECT_EQ(EligibilityAt(set, "a", later), Eligibility::kLeaving);
    EXPECT_EQ(CollectLeavings(set.notices, true, later).size(), 1U);
  }
}

// It is this host's alone.
TEST(EndpointNoticesTest, BackoffIsNotGossipedAndExpires) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  OnBackoff(set, Find(set, "a")->incarnation, seconds(2), 0, kStart);
  EXPECT_TRUE(CollectLeavings(set.notices, true, kStart).empty());
  ExpireNotices(set, kStart + seconds(2));
  EXPECT_TRUE(set.notices.by_incarnation.empty());
}

TEST(EndpointNoticesTest, NothingIsPlacedOnceAllEndpointsLeave) {
  EndpointSet set;
  RequestRoute route;
  for (const char* it : {"a", "b"})
    ApplyRecord(set, MakeRecord(it), kStart);
  OnLeaving(set, Find(set, "a")->incarnation, kStart, kStart);
  EXPECT_EQ(PlaceOn(set, route, kStart).endpoint, Find(set, "b"));
  OnLeaving(set, Find(set, "b")->incarnation, kStart, kStart);
  const Placement none = PlaceOn(set, route, kStart + minutes(60));
  EXPECT_FALSE(none.endpoint);
  EXPECT_EQ(none.reason, PlacementReason::kNoEndpoint);
}

TEST(EndpointNoticesTest, NoticesAreBounded) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  for (uint64_t i = 0; i < 2 * kMaxNotices; ++i)
    OnLeaving(set, i, kStart, kStart);
  EXPECT_EQ(set.notices.by_incarnation.size(), kMaxNotices);
  EXPECT_EQ(CollectLeavings(set.notices, true, kStart).size(),
            kMaxLeavingNotices);
  // An endpoint's own answer counts all the same.
  EXPECT_TRUE(OnLeaving(set, Find(set, "a")->incarnation, kStart, kStart));
  EXPECT_EQ(EligibilityAt(set, "a", kStart), Eligibility::kLeaving);
}

// Otherwise hosts would tell each other of endpoints that ended long ago.
TEST(EndpointNoticesTest, NoticesExpireAlthoughOtherHostsRepeatThem) {
  EndpointSet a;
  EndpointSet b;
  ApplyRecord(a, MakeRecord("a"), kStart);
  const uint64_t incarnation = Find(a, "a")->incarnation;
  OnLeaving(a, incarnation, kStart, kStart);
  const auto exchange = [&](Time now) {
    for (auto& [from, to] : {std::pair(&a, &b), std::pair(&b, &a)}) {
      for (const auto& it : CollectLeavings(from->notices, true, now))
        OnLeaving(*to, it.incarnation, now - it.age, now);
      ExpireNotices(*from, now);
    }
  };
  // A host does not forget it as long as it has the record.
  const Time removed = kStart + minutes(60);
  for (Time now = kStart; now < removed; now += minutes(1))
    exchange(now);
  EXPECT_EQ(EligibilityAt(a, "a", removed), Eligibility::kLeaving);
  ApplyRemoval(a, EndpointId("a"), removed);
  ApplyRecord(a, MakeRecord("a"), removed);
  EXPECT_EQ(EligibilityAt(a, "a", removed), Eligibility::kLeaving);
  ApplyRemoval(a, EndpointId("a"), removed);
  for (Time now = removed; now <= removed + kLeavingLifetime; now += minutes(1))
    exchange(now);
  EXPECT_TRUE(a.notices.by_incarnation.empty());
  EXPECT_TRUE(b.notices.by_incarnation.empty());
}

// A release of a large deployment that endpoints announce only in their
// answers. Hosts tell each other with a delay and lose some messages.
TEST(EndpointNoticesTest, AnnouncedReleaseReachesNoLeaverAndKeepsLoadEven) {
  constexpr size_t kHosts = 200;
  constexpr int kEndpoints = 900;
  constexpr int kLeavers = 300;
  constexpr int kObjects = 4000;
  constexpr Duration kTick = milliseconds(50);
  constexpr int kRequestsPerTick = 45;
  constexpr Duration kWork = milliseconds(500);
  constexpr Duration kLeaveInterval = milliseconds(50);
  constexpr Duration kGossipDelay = milliseconds(100);
  constexpr double kLoss = 0.05;
  // The platform's bound for requests that a host sends to a leaver.
  constexpr Duration kDrainTime = milliseconds(2500);
  struct Sent {
    Time ends;
    size_t host;
    EndpointPtr endpoint;
    int number;
  };
  struct Heard {
    Time at;
    size_t host;
    uint64_t incarnation;
  };
  std::mt19937_64 random(5);
  std::vector<EndpointSet> sets(kHosts);
  std::vector<PlacementContext> contexts(kHosts);
  for (size_t i = 0; i < kHosts; ++i) {
    contexts[i].own_hash = HashText("h" + std::to_string(i));
    for (int n = 0; n < kEndpoints; ++n)
      ApplyRecord(sets[i], MakeRecord("e" + std::to_string(n)), kStart);
  }
  RequestRoute route;
  route.sticky = true;
  std::vector<std::string> keys;
  keys.reserve(kObjects);
  for (int i = 0; i < kObjects; ++i)
    keys.push_back(std::to_string(i));
  std::vector<int> running(kEndpoints);
  std::vector<std::map<int, Time>> knows(kHosts);
  std::deque<Sent> open;
  std::deque<Heard> gossip;
  size_t late = 0;
  size_t refused = 0;
  int most_running = 0;
  const Time end = kStart + kLeaveInterval * kLeavers + seconds(5);
  for (Time now = kStart; now < end; now += kTick) {
    const int leavers = std::min<int>(
        kLeavers, static_cast<int>((now - kStart) / kLeaveInterval));
    for (; !gossip.empty() && gossip.front().at <= now; gossip.pop_front())
      OnLeaving(sets[gossip.front().host], gossip.front().incarnation,
                gossip.front().at - kGossipDelay, now);
    for (; !open.empty() && open.front().ends <= now; open.pop_front()) {
      const Sent& it = open.front();
      OnEnded(*it.endpoint);
      OnSuccess(*it.endpoint, now);
      OnReport(*it.endpoint,
               {running[static_cast<size_t>(it.number)] - 1, 0, kSlots, now});
      --running[static_cast<size_t>(it.number)];
      if (it.number >= leavers)
        continue;
      knows[it.host].try_emplace(it.number, now);
      if (!OnLeaving(sets[it.host], it.endpoint->incarnation, now, now))
        continue;
      for (size_t host = 0; host < kHosts; ++host) {
        if (std::uniform_real_distribution<double>()(random) >= kLoss)
          gossip.push_back(
              {now + kGossipDelay, host, it.endpoint->incarnation});
      }
    }
    for (int i = 0; i < kRequestsPerTick; ++i) {
      const size_t host = random() % kHosts;
      const std::string& key = keys[random() % keys.size()];
      PlacementRequest request;
      request.service = &kService;
      request.route = &route;
      request.affinity_key = key;
      request.objects = kObjects;
      request.random = random();
      const EndpointPtr endpoint =
          PlaceRequest(sets[host], contexts[host], request, now).endpoint;
      if (!endpoint) {
        ++refused;
        continue;
      }
      const int number = std::stoi(endpoint->record.id.value().substr(1));
      const auto known = knows[host].find(number);
      late += known != knows[host].end() && now > known->second + kDrainTime;
      OnSent(*endpoint);
      most_running =
          std::max(most_running, ++running[static_cast<size_t>(number)]);
      open.push_back({now + kWork, host, endpoint, number});
    }
  }
  EXPECT_EQ(late, 0U);
  EXPECT_EQ(refused, 0U);
  // No endpoint gets more than its slots and as many queued.
  EXPECT_LE(most_running, 2 * kSlots);
}

}  // namespace
}  // namespace sassafras
