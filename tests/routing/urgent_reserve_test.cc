#include "routing/urgent_reserve.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "routing/admission.h"
#include "routing/placement.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{seconds(1000)};
const ServiceId kService("s");

RequestRoute MakeRoute(int priority, Duration target) {
  RequestRoute route;
  route.name = "r" + std::to_string(priority);
  route.priority = priority;
  route.target_latency = target;
  route.sticky = true;
  route.traffic_shares = {{kService, 1.0}};
  return route;
}

// Makes endpoints in regions "a", "b", ...; `in_regions` is the number in each.
EndpointSet MakeSet(const std::vector<int>& in_regions,
                    Duration warmup = Duration(0)) {
  EndpointSet set;
  for (size_t region = 0; region < in_regions.size(); ++region) {
    const std::string name(1, static_cast<char>('a' + region));
    for (int i = 0; i < in_regions[region]; ++i) {
      EndpointRecord record;
      record.id = EndpointId(name + std::to_string(i));
      record.service = kService;
      record.address = {"10.0.0.1", 80};
      record.zone = ZoneId(name + "-1");
      record.region = RegionId(name);
      record.slots = 3;
      record.warmup_left = warmup;
      ApplyRecord(set, record, kStart);
    }
  }
  return set;
}

std::set<EndpointId> Ids(const std::vector<EndpointPtr>& endpoints) {
  std::set<EndpointId> ids;
  for (const EndpointPtr& it : endpoints)
    ids.insert(it->record.id);
  return ids;
}

TEST(UrgentReserveTest, ServicesAreSplitAtTheWidestGapOfTargets) {
  struct Case {
    const char* name;
    std::vector<RequestRoute> routes;
    int long_rank;  // -1: the service is not split.
  };
  const std::vector<Case> cases = {
      {"one route", {MakeRoute(0, seconds(1))}, -1},
      {"similar targets",
       {MakeRoute(0, milliseconds(500)), MakeRoute(1, seconds(1))},
       -1},
      {"short targets more urgent than long ones",
       {MakeRoute(1, milliseconds(600)), MakeRoute(2, seconds(3))},
       2},
      {"long targets more urgent than short ones",
       {MakeRoute(0, seconds(3)), MakeRoute(1, milliseconds(500))},
       -1},
      {"two gaps",
       {MakeRoute(0, milliseconds(100)), MakeRoute(1, milliseconds(300)),
        MakeRoute(2, seconds(3))},
       2},
      {"short targets at the lowest priority too",
       {MakeRoute(0, milliseconds(500)), MakeRoute(1, seconds(3)),
        MakeRoute(2, milliseconds(500))},
       -1},
      {"same priority",
       {MakeRoute(1, milliseconds(500)), MakeRoute(1, seconds(3))},
       -1},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    SteeringConfig config;
    config.hosts["h"] = it.routes;
    FindLongWorkPriorities(config);
    const auto rank = config.long_work_priorities.find(kService);
    EXPECT_EQ(rank == config.long_work_priorities.end() ? -1 : rank->second,
              it.long_rank);
  }
}

TEST(UrgentReserveTest, ZeroWeightInATrafficSplitIsIgnored) {
  SteeringConfig config;
  RequestRoute idle = MakeRoute(0, milliseconds(100));
  idle.traffic_shares = {{kService, 0.0}, {ServiceId("other"), 1.0}};
  config.hosts["h"] = {idle, MakeRoute(2, seconds(3))};
  FindLongWorkPriorities(config);
  EXPECT_TRUE(config.long_work_priorities.empty());
}

TEST(UrgentReserveTest, DemandIsWorkPerTime) {
  ServiceDemand demand;
  const RequestRoute route = MakeRoute(0, milliseconds(500));
  Time now = kStart;
  for (int i = 0; i < 400; ++i, now += milliseconds(100))
    OnDemand(demand, route, false, milliseconds(200), now);
  // 10 requests per second of 0.2 s each occupy 2 slots.
  EXPECT_NEAR(DemandedSlots(demand.urgent, now), 2.0, 0.1);
  EXPECT_EQ(DemandedSlots(demand.long_work, now), 0.0);
  EXPECT_LT(DemandedSlots(demand.urgent, now + seconds(60)), 0.2);
}

TEST(UrgentReserveTest, TimeBeyondTheTargetDoesNotCountAsWork) {
  ServiceDemand slow;
  ServiceDemand in_target;
  const RequestRoute route = MakeRoute(0, milliseconds(500));
  OnDemand(slow, route, false, seconds(4), kStart);
  OnDemand(in_target, route, false, milliseconds(500), kStart);
  EXPECT_EQ(slow.urgent.seconds, in_target.urgent.seconds);
}

TEST(UrgentReserveTest, ShareFollowsTheDemand) {
  struct Case {
    const char* name;
    FleetDemand fleet;
    double least;
    double most;
  };
  const std::vector<Case> cases = {
      {"no urgent work", {0, 50}, 0, 0},
      {"no long work", {50, 0}, 0, 0},
      {"little urgent work", {2, 60}, 0.05, 0.2},
      {"more urgent work than capacity", {60, 20}, 0.5, 0.8},
      {"mostly urgent work", {20, 1}, 0.9, 1.0},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    ServiceDemand demand;
    UpdateReservedShare(demand, it.fleet, 36);
    EXPECT_GE(demand.reserved_share, it.least);
    EXPECT_LE(demand.reserved_share, it.most);
  }
}

TEST(UrgentReserveTest, SmallChangesOfDemandKeepTheShare) {
  ServiceDemand demand;
  EXPECT_TRUE(UpdateReservedShare(demand, {4, 40}, 36));
  EXPECT_FALSE(UpdateReservedShare(demand, {4.5, 36}, 36));
  EXPECT_FALSE(UpdateReservedShare(demand, {3.5, 44}, 36));
  EXPECT_TRUE(UpdateReservedShare(demand, {8, 40}, 36));
}

TEST(UrgentReserveTest, FleetDemandIsExtrapolatedToHostsNotHeard) {
  ServiceDemand own;
  OnDemand(own, MakeRoute(0, seconds(1)), false, seconds(1), kStart);
  const double own_slots = DemandedSlots(own.urgent, kStart);
  HostMembers members;
  for (int i = 0; i < 4; ++i) {
    Member& it = members.others[HostId("h" + std::to_string(i))];
    it.heard = kStart;
    // Host 0 has not reported its demand lately; host 3 is gone, see below.
    it.demands_heard = i == 0 ? kStart - seconds(30) : kStart;
    it.demands = {{ShortHash(kService), 2.0, 3.0},
                  {ShortHash(ServiceId("other")), 9.0, 9.0}};
  }
  members.others[HostId("h3")].heard = kStart - seconds(30);
  const FleetDemand fleet = EstimateFleetDemand(own, kService, members, kStart);
  EXPECT_NEAR(fleet.urgent_slots, (own_slots + 2 * 2.0) * 4 / 3, 1e-6);
  EXPECT_NEAR(fleet.long_slots, 2 * 3.0 * 4 / 3, 1e-6);
}

TEST(UrgentReserveTest, HostNeverHeardCountsAsUnknownSoonAfterBoot) {
  // The steady clock starts at boot, so shortly after it the zero time of a
  // host that was never heard looks recent.
  const Time now{seconds(2)};
  ServiceDemand own;
  OnDemand(own, MakeRoute(0, seconds(1)), false, seconds(1), now);
  HostMembers members;
  members.others[HostId("h1")].heard = now;
  const double own_slots = DemandedSlots(own.urgent, now);
  EXPECT_NEAR(EstimateFleetDemand(own, kService, members, now).urgent_slots,
              2 * own_slots, 1e-6);
}

// Guards against a reserve that stays when a change of configuration ends the
// split of a service: requests then kept preferring the reserved endpoints.
TEST(UrgentReserveTest, ServiceThatIsNoLongerSplitHasNoReserve) {
  const EndpointSet set = MakeSet({6});
  const RequestRoute urgent = MakeRoute(0, milliseconds(500));
  const RequestRoute long_route = MakeRoute(2, seconds(3));
  SteeringConfig config;
  config.hosts["h"] = {urgent, long_route};
  FindLongWorkPriorities(config);
  ServiceDemands demands;
  OnDemand(demands[kService], urgent, false, milliseconds(500), kStart);
  OnDemand(demands[kService], long_route, true, seconds(3), kStart);
  UpdateReserves(demands, config, set, {}, kStart);
  EXPECT_GT(demands[kService].reserved_share, 0);
  EXPECT_EQ(OwnDemands(demands, config, kStart).size(), 1U);
  config.hosts["h"] = {urgent};
  FindLongWorkPriorities(config);
  const auto changes = UpdateReserves(demands, config, set, {}, kStart);
  EXPECT_EQ(changes.size(), 1U);
  EXPECT_EQ(demands[kService].reserved_share, 0);
  EXPECT_TRUE(OwnDemands(demands, config, kStart).empty());
}

TEST(UrgentReserveTest, EachRegionReservesItsShare) {
  const EndpointSet set = MakeSet({6, 4, 2, 1});
  const auto& endpoints = set.by_service.at(kService);
  const EndpointSplit split = SplitEndpoints(set, endpoints, 0.3, kStart);
  std::map<RegionId, int> urgent;
  for (const EndpointPtr& it : split.urgent)
    ++urgent[it->record.region];
  EXPECT_EQ(urgent[RegionId("a")], 2);
  EXPECT_EQ(urgent[RegionId("b")], 1);
  EXPECT_EQ(urgent[RegionId("c")], 1);
  // The only endpoint of a region serves both kinds of work.
  EXPECT_EQ(urgent[RegionId("d")], 1);
  EXPECT_EQ(Ids(split.long_work).count(EndpointId("d0")), 1U);
  EXPECT_EQ(split.urgent.size() + split.long_work.size(), endpoints.size() + 1);
}

TEST(UrgentReserveTest, EachRegionKeepsAnEndpointForUrgentAndForLongWork) {
  const EndpointSet set = MakeSet({6, 4, 2});
  const auto& endpoints = set.by_service.at(kService);
  for (const double share : {0.01, 0.99}) {
    SCOPED_TRACE(share);
    const EndpointSplit split = SplitEndpoints(set, endpoints, share, kStart);
    for (const char* name : {"a", "b", "c"}) {
      const auto is_there = [&](const EndpointPtr& it) {
        return it->record.region == RegionId(name);
      };
      EXPECT_TRUE(
          std::any_of(split.urgent.begin(), split.urgent.end(), is_there));
      EXPECT_TRUE(std::any_of(split.long_work.begin(), split.long_work.end(),
                              is_there));
    }
  }
}

TEST(UrgentReserveTest, LongRequestUsesTheReserveAfterTryingAllOthers) {
  const EndpointSet set = MakeSet({4});
  const RequestRoute route = MakeRoute(2, seconds(3));
  const EndpointSplit split =
      SplitEndpoints(set, set.by_service.at(kService), 0.25, kStart);
  PlacementRequest request;
  request.service = &kService;
  request.route = &route;
  request.affinity_key = "1";
  request.is_long = true;
  request.reserved_share = 0.25;
  for (const EndpointPtr& it : split.long_work)
    request.tried.push_back(it.get());
  EXPECT_EQ(PlaceRequest(set, {}, request, kStart).endpoint,
            split.urgent.front());
}

TEST(UrgentReserveTest, LargerReservesContainSmallerOnes) {
  const EndpointSet set = MakeSet({20});
  const auto& endpoints = set.by_service.at(kService);
  std::set<EndpointId> smaller;
  for (int tenths = 1; tenths <= 9; ++tenths) {
    SCOPED_TRACE(tenths);
    const auto larger =
        Ids(SplitEndpoints(set, endpoints, tenths / 10.0, kStart).urgent);
    EXPECT_EQ(larger.size(), static_cast<size_t>(2 * tenths));
    for (const EndpointId& it : smaller)
      EXPECT_EQ(larger.count(it), 1U);
    smaller = larger;
  }
}

TEST(UrgentReserveTest, EvacuatedAndColdEndpointsAreNotReserved) {
  EndpointSet set = MakeSet({4});
  EndpointSet cold = MakeSet({4}, seconds(5));
  SetEvacuated(set, ZoneId("a-1"));
  const auto urgent = [](const EndpointSet& it) {
    return SplitEndpoints(it, it.by_service.at(kService), 0.5, kStart).urgent;
  };
  EXPECT_TRUE(urgent(set).empty());
  EXPECT_TRUE(urgent(cold).empty());
}

TEST(UrgentReserveTest, LongRequestsAvoidTheReserveWhileOthersAreUsable) {
  EndpointSet set = MakeSet({4});
  const RequestRoute route = MakeRoute(2, seconds(3));
  const auto reserved = Ids(
      SplitEndpoints(set, set.by_service.at(kService), 0.25, kStart).urgent);
  ASSERT_EQ(reserved.size(), 1U);
  const auto place = [&](const std::string& key, bool is_long) {
    PlacementRequest request;
    request.service = &kService;
    request.route = &route;
    request.affinity_key = key;
    request.is_long = is_long;
    request.reserved_share = 0.25;
    return PlaceRequest(set, {}, request, kStart).endpoint->record.id;
  };
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(reserved.count(place(std::to_string(i), true)), 0U);
    EXPECT_EQ(reserved.count(place(std::to_string(i), false)), 1U);
  }
  for (const auto& [id, endpoint] : set.by_id)
    endpoint->state = reserved.count(id) > 0 ? EndpointState::kReady
                                             : EndpointState::kDraining;
  EXPECT_EQ(reserved.count(place("1", true)), 1U);
}

}  // namespace
}  // namespace sassafras
