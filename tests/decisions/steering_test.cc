// Histories 14 to 22 and 28 to 30: documents never revert to older versions,
// plans stay within their shift caps, the work of lost zones moves within
// failover budgets, and a planned stop fails no request.

#include <gtest/gtest.h>

#include <cmath>

#include "decisions/fake_world.h"
#include "decisions/json_forms.h"
#include "decisions/planner.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr double kCapPerMinute = 0.1;

class SteeringTest : public ::testing::Test {
 protected:
  SteeringTest() : world_(WorldConfig{}) { world_.StartAndWaitUntilServing(); }
  ~SteeringTest() override {
    for (const std::string& it : world_.violations)
      ADD_FAILURE() << it;
  }

  // An intent with all work of the service in the zones of one region.
  Intent IntentInOneRegion(const std::string& region) {
    Intent intent;
    ServiceIntent& it = intent.services[world_.service()];
    for (const Zone& zone : world_.topology().zones)
      it.shares[zone.id] = zone.region == RegionId(region) ? 0.5 : 0.0;
    it.shift_cap_per_minute = kCapPerMinute;
    for (const RegionId& it2 : world_.topology().regions)
      intent.headroom[it2] = 0.1;
    return intent;
  }

  bool AllHave(Version version) {
    for (const Host& it : world_.hosts()) {
      if (world_.IsUp(it.id) && world_.entry(it.id).intent.version != version)
        return false;
    }
    return true;
  }

  // Runs the simulation for `time` and fails if the stored plan moves more than
  // the cap within any minute.
  void ExpectMovesWithinCap(Duration time) {
    struct Sample {
      Time at;
      ServicePlan plan;
    };
    std::vector<Sample> samples;
    const Time end = world_.now() + time;
    while (world_.now() < end) {
      world_.Run(milliseconds(500));
      const auto plan = world_.StoredPlan();
      if (!plan)
        continue;
      if (samples.empty() || samples.back().plan.version != plan->version)
        samples.push_back({world_.now(), *plan});
      for (const Sample& it : samples) {
        if (world_.now() - it.at > minutes(1))
          continue;
        EXPECT_LE(MovedShare(it.plan, *plan), kCapPerMinute + 1e-9);
      }
    }
  }

  World world_;
};

TEST_F(SteeringTest, CommittedIntentReachesAllHostsWithinSeconds) {
  const Version version = world_.LoadIntent(IntentInOneRegion("cuyo"));
  EXPECT_TRUE(world_.RunUntil(seconds(3), [&] { return AllHave(version); }));
}

// History 14: all hosts but one are restarted while the store is down, then
// the store is restored to its state before the load.
TEST_F(SteeringTest, NewestIntentSurvivesRestartsAndRestoredStore) {
  const FakeStore old = world_.store();
  const Version version = world_.LoadIntent(IntentInOneRegion("cuyo"));
  ASSERT_TRUE(world_.RunUntil(seconds(3), [&] { return AllHave(version); }));
  world_.store().down = true;
  const HostId keeper = world_.hosts().back().id;
  for (const Host& it : world_.hosts()) {
    if (it.id == keeper)
      continue;
    world_.Restart(it.id);
    world_.Run(seconds(3));
  }
  world_.Run(seconds(10));
  EXPECT_TRUE(AllHave(version));
  // The store comes back with its content from before the load.
  const uint64_t revision = world_.store().revision;
  world_.store() = old;
  world_.store().revision = revision + 100;
  world_.Run(seconds(60));
  EXPECT_TRUE(AllHave(version));
  const auto stored = TryReadPayload<Intent>(
      world_.store().objects.at({"intent", kSoleDocument}).value);
  EXPECT_EQ(stored->version, version);
}

// History 15: a stale replica of the store lists an older intent.
TEST_F(SteeringTest, OlderVersionFromAStaleListIsIgnored) {
  const HostId host = world_.hosts().front().id;
  const StoreObject old = world_.store().objects.at({"intent", kSoleDocument});
  const Version version = world_.LoadIntent(IntentInOneRegion("cuyo"));
  ASSERT_TRUE(world_.RunUntil(seconds(3), [&] { return AllHave(version); }));
  Handle(world_.entry(host), StoreObjects{DocumentKind::kIntent, {old}, true},
         world_.now());
  EXPECT_EQ(world_.entry(host).intent.version, version);
}

TEST_F(SteeringTest, NewHostIsNotReadyBeforeItHasTheIntent) {
  const HostId host = world_.hosts().front().id;
  world_.store().down = true;
  world_.Restart(host);
  EXPECT_FALSE(IsReady(world_.entry(host)));
  EXPECT_TRUE(
      world_.RunUntil(seconds(8), [&] { return IsReady(world_.entry(host)); }));
  EXPECT_EQ(world_.entry(host).intent.version, Version(1));
}

TEST_F(SteeringTest, PlannedShiftStaysUnderItsCap) {
  world_.LoadIntent(IntentInOneRegion("cuyo"));
  ExpectMovesWithinCap(minutes(3));
  const auto plan = world_.StoredPlan();
  ASSERT_TRUE(plan);
  // The shift runs at no less than 80 % of the cap.
  const double moved = plan->zones.at(ZoneId("cuyo-a")).share +
                       plan->zones.at(ZoneId("cuyo-b")).share - 1.0 / 3;
  EXPECT_GT(moved, 0.8 * 3 * kCapPerMinute);
}

// History 16: a leader is paused, another one takes over, and the first one
// resumes with its old state.
TEST_F(SteeringTest, ResumedLeaderCannotOverwriteItsSuccessor) {
  world_.LoadIntent(IntentInOneRegion("cuyo"));
  world_.Run(seconds(5));
  const HostId first = world_.Leader();
  ASSERT_FALSE(first.empty());
  world_.Freeze(first);
  ASSERT_TRUE(world_.RunUntil(seconds(30), [&] {
    return !world_.Leader().empty() && world_.Leader() != first;
  }));
  world_.Run(seconds(10));
  const Version before = world_.StoredPlan()->version;
  world_.Wake(first);
  ExpectMovesWithinCap(minutes(2));
  EXPECT_GT(world_.StoredPlan()->version, before);
}

TEST_F(SteeringTest, StaleWriteOfAnOldLeaderIsRefused) {
  StorePut put;
  put.kind = "plan";
  put.name = world_.service().value();
  const StoreObject object = world_.store().objects.at({put.kind, put.name});
  put.expected_revision = object.revision;
  put.value = object.value;
  world_.LoadIntent(IntentInOneRegion("cuyo"));
  world_.Run(seconds(10));
  EXPECT_EQ(world_.store().Put(put).status, StoreStatus::kConflict);
}

// History 17: the lease changes its holder every second. Each leader must count
// the moves of its predecessors against the cap.
TEST_F(SteeringTest, LeaderChangesDoNotExceedTheCap) {
  world_.LoadIntent(IntentInOneRegion("cuyo"));
  const Time end = world_.now() + minutes(2);
  std::function<void()> depose = [&] {
    if (world_.now() >= end)
      return;
    // Give the lease to another host.
    StoreObject& lease = world_.store().objects.at({"lease", "planner"});
    Json json = Json::parse(lease.value);
    const auto& hosts = world_.hosts();
    const uint64_t term = json["term"].get<uint64_t>();
    json["holder"] = hosts[term * 7 % hosts.size()].id;
    json["term"] = term + 1;
    lease.value = json.dump();
    lease.revision = ++world_.store().revision;
    world_.At(world_.now() + seconds(1), depose);
  };
  depose();
  ExpectMovesWithinCap(minutes(3));
}

// History 18: a clock jump must not enlarge a step. The planner uses no wall
// clock, only the time since this process first saw the last plan.
TEST(PlannerTest, StepIsBoundedByTheTimeSinceTheLastPlanWasSeen) {
  const PlannerLimits limits;
  struct Case {
    Duration elapsed;
    double max_move;
  };
  const Case cases[] = {
      {-std::chrono::hours(1), 0},
      {seconds(0), 0},
      {seconds(1), kCapPerMinute / 60},
      {std::chrono::hours(1), kCapPerMinute * 5 / 60},
  };
  for (const Case& it : cases)
    EXPECT_LE(AllowedMove(kCapPerMinute, it.elapsed, limits),
              it.max_move + 1e-12);
}

// Planner inputs for three regions with one zone each.
class PlanStepTest : public ::testing::Test {
 protected:
  PlanStepTest() {
    for (const char* it : {"a", "b", "c"}) {
      topology_.regions.emplace_back(it);
      topology_.zones.push_back({ZoneId(it), RegionId(it)});
      intent_.services[service_].shares[ZoneId(it)] = 1.0 / 3;
      intent_.headroom[RegionId(it)] = 0;
      input_.listed_slots[ZoneId(it)] = 30;
      input_.measured[ZoneId(it)] = {30, 21};
    }
    input_.topology = &topology_;
    input_.intent = &intent_;
    input_.service = service_;
    input_.mix = {0.2, 0.3, 0.5};
    input_.measurement_age = seconds(1);
    input_.now = Time(std::chrono::hours(1));
  }

  std::optional<ServicePlan> Next(const std::optional<ServicePlan>& last,
                                  Duration elapsed) {
    input_.last = last ? &*last : nullptr;
    input_.last_seen = input_.now - elapsed;
    return NextPlan(input_, PlannerLimits{});
  }

  const ServiceId service_{"s"};
  Topology topology_;
  Intent intent_;
  PlannerInput input_;
};

// History 19, first half: measurements stop. The shares first stay as they are,
// then return to the intent.
TEST_F(PlanStepTest, SharesHoldWhenMeasurementsStop) {
  input_.measured[ZoneId("a")].healthy_slots = 10;
  auto plan = Next(std::nullopt, seconds(5));
  for (int n = 0; n < 200; ++n) {
    if (auto next = Next(plan, seconds(5)))
      plan = next;
  }
  const double relieved = plan->zones.at(ZoneId("a")).share;
  ASSERT_LT(relieved, 0.2);
  input_.measurement_age = seconds(30);
  const auto held = Next(plan, seconds(5));
  EXPECT_DOUBLE_EQ(held ? held->zones.at(ZoneId("a")).share : relieved,
                   relieved);
  input_.measurement_age = seconds(90);
  const auto decayed = Next(plan, seconds(5));
  ASSERT_TRUE(decayed);
  EXPECT_GT(decayed->zones.at(ZoneId("a")).share, relieved);
  EXPECT_LE(MovedShare(*plan, *decayed), kCapPerMinute * 5 / 60);
}

// Small or lagging changes of the measured load must not make shares oscillate.
TEST_F(PlanStepTest, SmallChangesOfLoadCauseNoPlans) {
  auto plan = Next(std::nullopt, seconds(5));
  int plans = 0;
  for (int n = 0; n < 100; ++n) {
    const double load_factor = 1.0 + 0.08 * std::sin(n);
    input_.measured[ZoneId("a")].offered_slots = 21 * load_factor;
    if (auto next = Next(plan, seconds(5))) {
      plan = next;
      ++plans;
    }
  }
  EXPECT_LE(plans, 2);
}

// The demand per zone determines where work is sent, so changes of it count
// against the cap.
TEST_F(PlanStepTest, DemandChangesWithinTheCap) {
  auto plan = Next(std::nullopt, seconds(5));
  input_.measured[ZoneId("a")].offered_slots = 63;
  input_.measured[ZoneId("b")].offered_slots = 0;
  input_.measured[ZoneId("c")].offered_slots = 0;
  const auto next = Next(plan, seconds(5));
  ASSERT_TRUE(next);
  double moved = 0;
  for (const auto& [zone, it] : next->zones)
    moved += std::max(0.0, it.demand - plan->zones.at(zone).demand);
  EXPECT_GT(moved, 0);
  EXPECT_LE(moved + MovedShare(*plan, *next), kCapPerMinute * 5 / 60);
}

// History 20, computed: with 70 % utilisation in each region, one region is
// lost and the other two take as much of its work as fits.
TEST_F(PlanStepTest, WorkOfLostRegionMovesWithinBudgetsUrgentFirst) {
  const auto plan = Next(std::nullopt, seconds(5));
  ASSERT_TRUE(plan);
  ZoneTracker tracker;
  UpdateZoneTracker(tracker, *plan, {}, true, input_.now);
  UpdateZoneTracker(tracker, *plan, {ZoneId("c")}, false,
                    input_.now + seconds(10));
  const EffectiveShares shares = ComputeShares(*plan, tracker);
  // The offered load is 63 slots; no zone may take more than its 30.
  for (const char* it : {"a", "b"})
    EXPECT_LE(shares.zones.at(ZoneId(it)) * 63, 30 + 1e-6);
  EXPECT_DOUBLE_EQ(shares.zones.at(ZoneId("c")), 0);
  EXPECT_DOUBLE_EQ(shares.admitted[IndexOf(Priority::kUrgent)], 1.0);
  EXPECT_DOUBLE_EQ(shares.admitted[IndexOf(Priority::kNormal)], 1.0);
  const double low = shares.admitted[IndexOf(Priority::kLow)];
  EXPECT_LT(low, 1.0);
  // 60 of 63 slots are placed; only low requests are refused for the other 3.
  EXPECT_GT(low, 0.8);
}

// History 21: a lost zone returns after five minutes.
TEST_F(PlanStepTest, ReturnedZoneRampsUpWithinTheCap) {
  const auto plan = Next(std::nullopt, seconds(5));
  ZoneTracker tracker;
  Time now = input_.now;
  UpdateZoneTracker(tracker, *plan, {}, true, now);
  now += seconds(10);
  UpdateZoneTracker(tracker, *plan, {ZoneId("c")}, false, now);
  now += minutes(5);
  UpdateZoneTracker(tracker, *plan, {}, false, now);
  double before = ComputeShares(*plan, tracker).zones.at(ZoneId("c"));
  EXPECT_DOUBLE_EQ(before, 0);
  for (int minute = 0; minute < 5; ++minute) {
    for (int n = 0; n < 60; ++n) {
      now += seconds(1);
      UpdateZoneTracker(tracker, *plan, {}, false, now);
    }
    const double after = ComputeShares(*plan, tracker).zones.at(ZoneId("c"));
    EXPECT_LE(after - before, plan->shift_cap_per_minute + 1e-9);
    before = after;
  }
  EXPECT_NEAR(before, 1.0 / 3, 1e-6);
}

// History 22: the network between all regions is partitioned. Each side takes
// the others for lost and must send at most what the budgets allow for its own
// fraction of the demand.
TEST_F(PlanStepTest, PartitionedRegionsStayWithinTheSumOfBudgets) {
  const auto plan = Next(std::nullopt, seconds(5));
  std::map<ZoneId, double> received;
  for (const char* side : {"a", "b", "c"}) {
    std::set<ZoneId> lost;
    for (const Zone& zone : topology_.zones) {
      if (zone.id != ZoneId(side))
        lost.insert(zone.id);
    }
    ZoneTracker tracker;
    UpdateZoneTracker(tracker, *plan, {}, true, input_.now);
    UpdateZoneTracker(tracker, *plan, lost, false, input_.now + seconds(10));
    const EffectiveShares shares = ComputeShares(*plan, tracker);
    const double demand = plan->zones.at(ZoneId(side)).demand;
    for (const auto& [zone, share] : shares.zones)
      received[zone] += share * demand;
  }
  for (const auto& [zone, share] : received) {
    const ZonePlan& it = plan->zones.at(zone);
    EXPECT_LE(share, it.share + it.failover_budget + 1e-9);
  }
}

// History 20, simulated: a region is lost while the store is down.
TEST_F(SteeringTest, LostRegionWithStoreDownKeepsUrgentWorkAnswered) {
  world_.SetWork(milliseconds(50));
  // 18 slots in each region serve 360 requests/s; 250/s arrive in each.
  const auto send = [&](Duration time, bool count,
                        PerPriority<std::vector<size_t>>& calls) {
    const Time end = world_.now() + time;
    uint64_t n = 0;
    while (world_.now() < end) {
      for (const std::string region : {"cuyo", "pampa", "litoral"}) {
        const auto hosts = world_.HostsOfRegion(region);
        const HostId& host = hosts[n % hosts.size()];
        // Lookup answers direct the callers of a lost region to another one.
        const HostId entry =
            world_.IsUp(host) ? host
                              : world_.HostsOfRegion("cuyo")[n % hosts.size()];
        CallSpec spec;
        const uint64_t kind = n % 10;
        spec.priority = kind < 2   ? Priority::kUrgent
                        : kind < 5 ? Priority::kNormal
                                   : Priority::kLow;
        spec.caller = "caller-" + std::to_string(n % 50);
        spec.timeout = seconds(2);
        const size_t call = world_.Call(entry, spec);
        if (count)
          calls[IndexOf(spec.priority)].push_back(call);
      }
      ++n;
      world_.Run(milliseconds(4));
    }
  };
  PerPriority<std::vector<size_t>> calls;
  send(seconds(20), false, calls);
  world_.store().down = true;
  world_.KillRegion(RegionId("litoral"));
  send(seconds(10), false, calls);
  send(seconds(10), true, calls);
  world_.Run(seconds(4));
  PerPriority<double> answered{};
  for (const Priority p : kAllPriorities) {
    for (const size_t n : calls[IndexOf(p)]) {
      answered[IndexOf(p)] +=
          world_.call(n).state == CallRecord::State::kAnswered ? 1 : 0;
    }
    answered[IndexOf(p)] /= static_cast<double>(calls[IndexOf(p)].size());
  }
  // The offered load is 104 % of the remaining slots; 20 % of it is urgent.
  EXPECT_GT(answered[IndexOf(Priority::kUrgent)], 0.995);
  EXPECT_GE(answered[IndexOf(Priority::kNormal)],
            answered[IndexOf(Priority::kLow)]);
  EXPECT_GT(answered[IndexOf(Priority::kLow)], 0.5);
}

// History 19, second half: a zone reports no load while the others are
// overloaded.
TEST_F(PlanStepTest, RegionIsNeverPlannedOverItsCapacity) {
  auto plan = Next(std::nullopt, seconds(5));
  input_.measured[ZoneId("a")] = {30, 40};
  input_.measured[ZoneId("b")] = {30, 40};
  input_.measured[ZoneId("c")] = {30, 0};
  for (int n = 0; n < 100; ++n) {
    if (auto next = Next(plan, seconds(5)))
      plan = next;
    for (const auto& [zone, it] : plan->zones)
      EXPECT_LE(it.share * 80, 30 + 1e-6);
  }
}

// History 28: a host stops during a long upload.
TEST_F(SteeringTest, StoppingHostFinishesRequestsAndLeavesLookupAnswers) {
  const HostId host = world_.hosts().front().id;
  CallSpec upload;
  upload.priority = Priority::kNormal;
  upload.timeout = seconds(60);
  upload.work = seconds(40);
  const size_t running = world_.Call(host, upload);
  world_.Run(seconds(1));
  world_.Stop(host);
  world_.Run(seconds(2));
  for (const Host& other : world_.hosts()) {
    if (other.id == host)
      continue;
    for (const Host& it :
         world_.entry(other.id).lookup.regions[RegionId("cuyo")].hosts) {
      EXPECT_NE(it.id, host) << "named by " << other.id;
    }
  }
  // Callers with a cached lookup answer still use the stopping host.
  std::vector<size_t> cached;
  for (int n = 0; n < 5; ++n) {
    cached.push_back(world_.Call(host, CallSpec{}));
    world_.Run(seconds(1));
  }
  world_.Run(seconds(50));
  EXPECT_EQ(world_.call(running).state, CallRecord::State::kAnswered);
  for (const size_t n : cached)
    EXPECT_EQ(world_.call(n).state, CallRecord::State::kAnswered);
  EXPECT_EQ(world_.exited.count(host), 1U);
}

TEST_F(SteeringTest, StoppingHostHandsOverItsShards) {
  const HostId host = world_.View("cuyo", 7).primary;
  CallSpec spec;
  spec.key = KeyPrefix(RegionId("cuyo"), 7, Generation(1)) + "order";
  const size_t first = world_.Call(host, spec);
  world_.Run(seconds(2));
  ASSERT_EQ(world_.call(first).state, CallRecord::State::kAnswered);
  world_.Stop(host);
  ASSERT_TRUE(world_.RunUntil(seconds(60),
                              [&] { return world_.exited.count(host) > 0; }));
  EXPECT_EQ(world_.View("cuyo", 7).generation, Generation(1));
  HostId other;
  for (const HostId& it : world_.HostsOfRegion("cuyo")) {
    if (world_.IsUp(it))
      other = it;
  }
  const size_t again = world_.Call(other, spec);
  world_.Run(seconds(3));
  EXPECT_EQ(world_.call(again).state, CallRecord::State::kAnswered);
  EXPECT_EQ(world_.RunsOfKey(spec.key), 1);
}

// History 29: the platform's list gives an endpoint another address.
TEST_F(SteeringTest, MovedEndpointIsReachedAtItsNewAddress) {
  auto& endpoint = world_.endpoints().begin()->second;
  endpoint.listed.address = Address{"127.0.0.9", 1};
  world_.PublishLists();
  world_.Run(seconds(3));
  bool seen = false;
  for (const Host& it : world_.hosts()) {
    for (const auto& [key, g] : world_.entry(it.id).granters) {
      const auto state = g.endpoints.find(endpoint.listed.id);
      if (state == g.endpoints.end())
        continue;
      seen = true;
      EXPECT_EQ(state->second.endpoint.address, endpoint.listed.address);
    }
  }
  EXPECT_TRUE(seen);
}

TEST_F(SteeringTest, LeavingEndpointGetsNoNewWorkWithinSeconds) {
  Intent intent;
  ServiceIntent& it = intent.services[world_.service()];
  for (const Zone& zone : world_.topology().zones)
    it.shares[zone.id] = 1.0 / 6;
  auto& leaving = world_.endpoints().begin()->second;
  intent.leaving = {{leaving.listed.id, 0}};
  world_.LoadIntent(intent);
  world_.Run(seconds(3));
  const int before = leaving.runs;
  for (int n = 0; n < 300; ++n) {
    CallSpec spec;
    spec.caller = "caller-" + std::to_string(n);
    world_.Call(world_.hosts()[static_cast<size_t>(n) % 18].id, spec);
    world_.Run(milliseconds(5));
  }
  world_.Run(seconds(6));
  EXPECT_EQ(leaving.runs, before);
}

// History 30: a host dies without leaving.
TEST_F(SteeringTest, DeadHostLeavesLookupAnswersWithinSeconds) {
  const HostId host = world_.hosts().front().id;
  world_.Kill(host);
  world_.Run(seconds(7));
  for (const Host& other : world_.hosts()) {
    if (other.id == host)
      continue;
    EXPECT_EQ(StateOf(world_.entry(other.id).membership, host, world_.now()),
              HostState::kDead)
        << other.id;
    for (const Host& it :
         world_.entry(other.id).lookup.regions[RegionId("cuyo")].hosts) {
      EXPECT_NE(it.id, host) << "named by " << other.id;
    }
  }
}

}  // namespace
}  // namespace sassafras
