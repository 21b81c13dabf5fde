// Cost of the decisions at today's and at the future size, their growth, and
// the bytes that processes exchange. Feeds docs/CAPACITY.md.

#include <chrono>
#include <cmath>
#include <cstdio>
#include <string>

#include "base/hash.h"
#include "bench/bounds.h"
#include "decisions/fake_world.h"
#include "decisions/flow.h"
#include "decisions/json_forms.h"
#include "decisions/planner.h"
#include "peers/peers.h"

namespace sassafras {
namespace {

// Microseconds per call of `fn`, the least of five rounds.
template <typename Fn>
double MicrosPerCall(int calls, Fn&& fn) {
  constexpr int kRounds = 5;
  double best = 1e300;
  for (int round = 0; round < kRounds; ++round) {
    const auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < calls; ++n)
      fn(n);
    const std::chrono::duration<double, std::micro> time =
        std::chrono::steady_clock::now() - begin;
    best = std::min(best, time.count() / calls);
  }
  return best;
}

struct Size {
  const char* name;
  int regions;
  int zones;
  int hosts;
  int blocks;
};

constexpr Size kToday = {"today", 3, 6, 18, 1000};
constexpr Size kHalfway = {"half", 13, 52, 750, 135000};
constexpr Size kFuture = {"future", 27, 104, 1500, 270000};

Topology MakeWorldTopology(const Size& size) {
  Topology topology;
  for (int r = 0; r < size.regions; ++r)
    topology.regions.emplace_back("region-" + std::to_string(r));
  for (int z = 0; z < size.zones; ++z) {
    topology.zones.push_back(
        {ZoneId("zone-" + std::to_string(z)),
         topology.regions[static_cast<size_t>(z % size.regions)]});
  }
  for (int b = 0; b < size.blocks; ++b) {
    topology.client_blocks.push_back(
        {static_cast<uint32_t>(b) << 12, 20,
         topology.regions[static_cast<size_t>(b % size.regions)]});
  }
  SortClientBlocks(topology.client_blocks);
  return topology;
}

Membership MakeMembership(const Size& size,
                          const Topology& topology,
                          Time now) {
  Membership m;
  for (int h = 0; h < size.hosts; ++h) {
    const Zone& zone = topology.zones[static_cast<size_t>(h % size.zones)];
    Host host;
    host.id = HostId("host-" + std::to_string(h));
    host.zone = zone.id;
    host.region = zone.region;
    host.caller_address = {"127.0.0.1", 7000};
    m.listed[host.id] = host;
    m.contacts[host.id].heard = now;
    if (h == 0)
      m.self = host;
    Membership::ZoneRecord& record = m.zones[zone.id];
    record.reported_at = now;
    record.up.insert(host.id);
  }
  return m;
}

double LookupMicros(const Size& size) {
  const Time now{std::chrono::hours(1)};
  const Topology topology = MakeWorldTopology(size);
  const Membership m = MakeMembership(size, topology, now);
  const LookupTable table = BuildLookupTable(m, {}, now);
  uint64_t sum = 0;
  const double micros = MicrosPerCall(20000, [&](int n) {
    const auto ip =
        static_cast<uint32_t>(HashPair(static_cast<uint64_t>(n), 1)) %
        (static_cast<uint32_t>(size.blocks) << 12);
    sum += LookUp(table, topology, ip, static_cast<uint64_t>(n)).hosts.size();
  });
  return sum > 0 ? micros : 1e300;
}

double TableMicros(const Size& size) {
  const Time now{std::chrono::hours(1)};
  const Topology topology = MakeWorldTopology(size);
  const Membership m = MakeMembership(size, topology, now);
  return MicrosPerCall(5, [&](int) { BuildLookupTable(m, {}, now); });
}

ServicePlan MakePlan(const Topology& topology) {
  ServicePlan plan;
  const double part = 1.0 / static_cast<double>(topology.zones.size());
  for (const Zone& it : topology.zones)
    plan.zones[it.id] = {part, part, part};
  plan.mix = {0.2, 0.3, 0.5};
  return plan;
}

double PlanMicros(const Size& size) {
  const Topology topology = MakeWorldTopology(size);
  Intent intent;
  const ServiceId service("s");
  PlannerInput in;
  for (const Zone& it : topology.zones) {
    intent.services[service].shares[it.id] =
        1.0 / static_cast<double>(topology.zones.size());
    in.listed_slots[it.id] = 30;
    in.measured[it.id] = {30, 20};
  }
  const ServicePlan last = MakePlan(topology);
  in.topology = &topology;
  in.intent = &intent;
  in.service = service;
  in.last = &last;
  in.now = Time(std::chrono::hours(1));
  in.last_seen = in.now - std::chrono::seconds(5);
  in.measurement_age = std::chrono::seconds(1);
  in.mix = last.mix;
  return MicrosPerCall(20, [&](int) { NextPlan(in, PlannerLimits{}); });
}

double FlowMicros(const Size& size) {
  const Topology topology = MakeWorldTopology(size);
  const ServicePlan plan = MakePlan(topology);
  ZoneTracker tracker;
  return MicrosPerCall(20, [&](int) {
    const EffectiveShares shares = ComputeShares(plan, tracker);
    ComputeFlow(plan, shares, topology, topology.zones.front().id);
  });
}

double MembershipTickMicros(const Size& size) {
  const Time now{std::chrono::hours(1)};
  const Topology topology = MakeWorldTopology(size);
  const Membership m = MakeMembership(size, topology, now);
  size_t dead = 0;
  return MicrosPerCall(20, [&](int) {
    for (const auto& [id, host] : m.listed)
      dead += StateOf(m, id, now) == HostState::kDead ? 1 : 0;
  });
}

double ViewsMicros(int hosts) {
  RegionViews views;
  views.region = RegionId("r");
  ViewChangeInput input;
  for (int n = 0; n < hosts; ++n) {
    Host host;
    host.id = HostId("host-" + std::to_string(n));
    host.zone = ZoneId(n % 2 == 0 ? "a" : "b");
    input.live.push_back(host);
  }
  views = *ChangeViews(views, input);
  return MicrosPerCall(3, [&](int) { ChangeViews(views, input); });
}

size_t FullBeatBytes(const Size& size, bool lists) {
  const Time now{std::chrono::hours(1)};
  const Topology topology = MakeWorldTopology(size);
  Membership m = MakeMembership(size, topology, now);
  Heartbeat beat;
  beat.incarnation = ~uint64_t{0} >> 32;
  beat.digest = ~uint64_t{0};
  for (ZoneMembership& it : DescribeZones(m, now)) {
    if (lists || it.zone == m.self.zone)
      beat.zones.push_back(std::move(it));
    else
      beat.ages_ms[it.zone] = it.age_ms;
  }
  return EncodeMessage(beat).size();
}

double Exponent(double small, double large, double size_ratio) {
  return std::log(large / small) / std::log(size_ratio);
}

struct SpreadResult {
  double seconds = 0;
  double store_calls_per_second = 0;
  double heaviest_bytes_per_second = 0;
  double heaviest_messages_per_second = 0;
};

// Nodes on a virtual clock: an intent's commit until the last node has it,
// and what a quiet deployment exchanges.
SpreadResult Spread(int hosts_per_zone) {
  WorldConfig config;
  config.hosts_per_zone = hosts_per_zone;
  World world(config);
  world.StartAndWaitUntilServing();
  SpreadResult result;
  std::map<HostId, double> bytes;
  std::map<HostId, double> messages;
  world.drop = [&](const HostId& from, const Envelope& it) {
    const auto size = static_cast<double>(EncodeMessage(it.message).size());
    bytes[from] += size;
    bytes[it.to] += size;
    messages[from] += 1;
    messages[it.to] += 1;
    return false;
  };
  const uint64_t calls = world.store().calls;
  constexpr double kQuietSeconds = 30;
  world.Run(FromSeconds(kQuietSeconds));
  result.store_calls_per_second =
      static_cast<double>(world.store().calls - calls) / kQuietSeconds;
  for (const auto& [host, n] : bytes) {
    result.heaviest_bytes_per_second =
        std::max(result.heaviest_bytes_per_second, n / kQuietSeconds);
    result.heaviest_messages_per_second = std::max(
        result.heaviest_messages_per_second, messages[host] / kQuietSeconds);
  }
  world.drop = nullptr;
  const Time begin = world.now();
  const Version version = world.LoadEvenIntent();
  world.RunUntil(std::chrono::seconds(30), [&] {
    for (const Host& it : world.hosts()) {
      if (world.entry(it.id).intent.version != version)
        return false;
    }
    return true;
  });
  result.seconds = Seconds(world.now() - begin);
  return result;
}

void PrintCosts() {
  std::printf("%-8s %12s %12s %12s %12s %12s %12s %12s\n", "size", "look-up us",
              "table us", "plan us", "flow us", "members us", "beat B",
              "lists B");
  for (const Size& it : {kToday, kHalfway, kFuture}) {
    std::printf("%-8s %12.2f %12.1f %12.1f %12.1f %12.1f %12zu %12zu\n",
                it.name, LookupMicros(it), TableMicros(it), PlanMicros(it),
                FlowMicros(it), MembershipTickMicros(it),
                FullBeatBytes(it, false), FullBeatBytes(it, true));
  }
  std::printf("views of one region: %.1f us at 6 hosts, %.1f us at 56 hosts\n",
              ViewsMicros(6), ViewsMicros(56));
}

void CheckGrowth(Bounds& bounds) {
  const double lookup =
      Exponent(LookupMicros(kHalfway), LookupMicros(kFuture),
               static_cast<double>(kFuture.blocks) / kHalfway.blocks);
  bounds.Check("scale.lookup_exponent_max", lookup);
  const double plan =
      Exponent(PlanMicros(kHalfway), PlanMicros(kFuture),
               static_cast<double>(kFuture.zones) / kHalfway.zones);
  bounds.Check("scale.plan_exponent_max", plan);
}

void CheckSpread(Bounds& bounds) {
  std::printf("%-10s %14s %14s %16s %16s\n", "processes", "spread s",
              "store calls/s", "heaviest B/s", "heaviest msgs/s");
  double first = 0;
  double last = 0;
  for (const int per_zone : {3, 10, 20}) {
    const SpreadResult it = Spread(per_zone);
    std::printf("%-10d %14.3f %14.2f %16.0f %16.1f\n", per_zone * 6, it.seconds,
                it.store_calls_per_second, it.heaviest_bytes_per_second,
                it.heaviest_messages_per_second);
    bounds.Check("scale.spread_seconds_max", it.seconds);
    if (first == 0)
      first = it.store_calls_per_second;
    last = it.store_calls_per_second;
  }
  bounds.Check("scale.store_calls_ratio_max", last / first);
}

}  // namespace
}  // namespace sassafras

int main() {
  sassafras::Bounds bounds(std::string(DATA_DIR) + "/bench_bounds.toml");
  sassafras::PrintCosts();
  sassafras::CheckGrowth(bounds);
  sassafras::CheckSpread(bounds);
  std::printf("%d breaches\n", bounds.breaches());
  return bounds.breaches() == 0 ? 0 : 1;
}
