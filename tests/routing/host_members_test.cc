#include "routing/host_members.h"

#include <gtest/gtest.h>

#include <map>

#include "routing/directory.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{seconds(1000)};

const std::map<ZoneId, RegionId> kZones = {{ZoneId("a"), RegionId("ra")},
                                           {ZoneId("b"), RegionId("rb")}};

// Hosts that gossip with each other under a virtual clock; datagrams arrive
// at once or not at all.
struct World {
  std::map<std::string, HostMembers> hosts;  // By IP number.
  std::map<std::string, bool> is_down;
  std::mt19937 random{5};
  double loss = 0;

  explicit World(int n) {
    for (int i = 0; i < n; ++i) {
      HostMembers members;
      members.self.id = HostId("h" + std::to_string(i));
      members.self.ip = "10.0.0." + std::to_string(i);
      members.self.caller_port = 80;
      members.self.zone = ZoneId(i % 2 ? "a" : "b");
      members.self.incarnation = 1;
      members.self.phase = HostPhase::kReady;
      members.random.seed(static_cast<unsigned>(i));
      hosts[members.self.ip] = members;
    }
  }

  void DeliverTo(const std::string& ip,
                 const GossipMessage& message,
                 Time now) {
    const bool lost = std::uniform_real_distribution<double>()(random) < loss;
    if (is_down[ip] || lost)
      return;
    const GossipNews news = OnGossip(hosts[ip], message, now);
    if (news.is_sender_new)
      DeliverTo(message.notices.front().ip, WholeMessage(hosts[ip], now), now);
  }

  void Deliver(const GossipRound& round, Time now) {
    for (const std::string& ip : round.to_ips)
      DeliverTo(ip, round.message, now);
    if (!round.whole_to_ip.empty())
      DeliverTo(round.whole_to_ip, round.whole, now);
  }

  void Run(Time& now, Duration time) {
    const Time end = now + time;
    while (now < end) {
      now += kGossipPeriod;
      for (auto& [ip, members] : hosts) {
        if (!is_down[ip])
          Deliver(NextRound(members, {"10.0.0.0", "10.0.0.1"}, kZones, now),
                  now);
      }
    }
  }
};

TEST(HostMembersTest, AllHostsLearnOfEachOtherWithinSeconds) {
  for (const int n : {2, 18, 120}) {
    SCOPED_TRACE(n);
    World world(n);
    world.loss = 0.05;
    Time now = kStart;
    world.Run(now, seconds(3));
    for (const auto& [ip, members] : world.hosts)
      EXPECT_EQ(CountAlive(members, now), static_cast<size_t>(n)) << ip;
  }
}

TEST(HostMembersTest, KilledHostLeavesAllAnswersInTime) {
  World world(18);
  Time now = kStart;
  world.Run(now, seconds(3));
  world.is_down["10.0.0.7"] = true;
  // The pages allow stable-window-s + 3 s, 6 s at the least.
  world.Run(now, seconds(6));
  const std::map<ZoneId, RegionId> regions = {{ZoneId("a"), RegionId("r")},
                                              {ZoneId("b"), RegionId("r")}};
  for (const auto& [ip, members] : world.hosts) {
    if (world.is_down[ip])
      continue;
    for (const char* zone : {"a", "b"}) {
      for (const Address& it :
           FindHosts({&members, &regions}, {RegionId("r"), ZoneId(zone)}, now))
        EXPECT_NE(it.ip, "10.0.0.7");
    }
  }
}

TEST(HostMembersTest, NoHostIsLostToLossyLinks) {
  World world(18);
  Time now = kStart;
  world.Run(now, seconds(3));
  world.loss = 0.1;
  for (int i = 0; i < 40; ++i) {
    world.Run(now, seconds(1));
    for (const auto& [ip, members] : world.hosts)
      ASSERT_EQ(CountAlive(members, now), 18U) << ip;
  }
}

TEST(HostMembersTest, LeavingHostIsOutOfTheAnswersAtOnce) {
  World world(18);
  Time now = kStart;
  world.Run(now, seconds(3));
  HostMembers& leaving = world.hosts["10.0.0.4"];
  leaving.self.phase = HostPhase::kLeaving;
  world.Deliver(UrgentRound(leaving, now), now);
  const std::map<ZoneId, RegionId> regions = {{ZoneId("a"), RegionId("r")},
                                              {ZoneId("b"), RegionId("r")}};
  for (const auto& [ip, members] : world.hosts) {
    const auto found =
        FindHosts({&members, &regions}, {RegionId("r"), ZoneId("b")}, now);
    EXPECT_FALSE(found.empty());
    for (const Address& it : found)
      EXPECT_NE(it.ip, "10.0.0.4");
  }
}

TEST(HostMembersTest, RestartedHostIsBackWithItsNewIncarnation) {
  World world(4);
  Time now = kStart;
  world.Run(now, seconds(3));
  world.is_down["10.0.0.2"] = true;
  world.Run(now, seconds(5));
  HostMembers& back = world.hosts["10.0.0.2"];
  back.others.clear();
  back.self.incarnation = 2;
  back.self.beat = 0;
  world.is_down["10.0.0.2"] = false;
  world.Run(now, seconds(2));
  for (const auto& [ip, members] : world.hosts)
    EXPECT_EQ(CountAlive(members, now), 4U) << ip;
}

TEST(DirectoryTest, ZoneWithFewHostsIsNotLeftAlone) {
  HostMembers members;
  const auto add = [&](int i, const char* zone) {
    HostNotice notice;
    notice.id = HostId("h" + std::to_string(i));
    notice.ip = "10.0.0." + std::to_string(i);
    notice.caller_port = 80;
    notice.zone = ZoneId(zone);
    notice.phase = HostPhase::kReady;
    members.others[notice.id] = {notice, kStart};
  };
  add(1, "a");
  add(2, "a");
  add(3, "b");
  add(4, "c");
  const std::map<ZoneId, RegionId> regions = {{ZoneId("a"), RegionId("r")},
                                              {ZoneId("b"), RegionId("r")},
                                              {ZoneId("c"), RegionId("q")}};
  const DirectoryView view{&members, &regions};
  EXPECT_EQ(FindHosts(view, {RegionId("r"), ZoneId("a")}, kStart).size(), 2U);
  EXPECT_EQ(FindHosts(view, {RegionId("r"), ZoneId("b")}, kStart).size(), 3U);
  EXPECT_EQ(FindHosts(view, {RegionId("q"), ZoneId("c")}, kStart).size(), 1U);
  EXPECT_EQ(FindHosts(view, {RegionId("x"), ZoneId("x")}, kStart).size(), 4U);
}

}  // namespace
}  // namespace sassafras
