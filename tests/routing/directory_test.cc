#include "routing/directory.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

using std::chrono::seconds;

const Time kStart = Time() + std::chrono::hours(1);
const Time kNow = kStart + seconds(100);
const RegionId kA("a");
const RegionId kB("b");
const RegionId kC("c");

// What a host knows: itself in region b, and further hosts.
class DirectoryHomesTest : public testing::Test {
 protected:
  DirectoryHomesTest() {
    members_.self.id = HostId("self");
    members_.self.ip = "self";
    members_.self.zone = ZoneId("b-1");
    members_.self.phase = HostPhase::kReady;
  }

  // `id` begins with the region; its zone is the first one of the region.
  void Add(const std::string& id,
           HostPhase phase = HostPhase::kReady,
           std::chrono::seconds silent_for = std::chrono::seconds(0)) {
    HostNotice notice;
    notice.id = HostId(id);
    notice.ip = id;
    notice.zone = ZoneId(id.substr(0, 1) + "-1");
    notice.phase = phase;
    notice.heartbeat = 1;
    const Time heard = kNow - silent_for;
    members_.others[notice.id] = {notice, heard, heard, {}, {}};
  }

  void SetHomes(const std::vector<std::vector<RegionId>>& homes_by_route) {
    std::vector<RequestRoute> routes(homes_by_route.size());
    for (size_t i = 0; i < routes.size(); ++i)
      routes[i].home_regions = homes_by_route[i];
    config_.hosts["h"] = routes;
  }

  // Ids of the hosts that callers of region a are told, in order.
  std::string Find(const RegionId& region = kA,
                   const ZoneId& zone = ZoneId("a-1")) {
    DirectoryView view{&members_, &regions_, &config_, knows_hosts_};
    std::string out;
    for (const Address& it : FindHosts(view, {region, zone, "h"}, kNow))
      out += it.ip + " ";
    return out;
  }

  HostMembers members_;
  SteeringConfig config_;
  bool knows_hosts_ = true;
  const std::map<ZoneId, RegionId> regions_ = {{ZoneId("a-1"), kA},
                                               {ZoneId("b-1"), kB},
                                               {ZoneId("c-1"), kC}};
};

TEST_F(DirectoryHomesTest, RegionWithoutHostsIsToldThoseOfTheHomes) {
  Add("b1");
  Add("c1");
  EXPECT_EQ(Find(), "b1 c1 self ");
  SetHomes({{}, {kA, kC}, {kC, kB}});
  EXPECT_EQ(Find(), "c1 ");
  SetHomes({{kA, kB}});
  EXPECT_EQ(Find(), "b1 self ");
  // Without a common one, those of any.
  SetHomes({{kA}, {kC}});
  EXPECT_EQ(Find(), "c1 ");
  Add("a1");
  EXPECT_EQ(Find(), "a1 ");
}

TEST_F(DirectoryHomesTest, RegionWhoseHostsAreAwayForAMomentIsToldNoOthers) {
  Add("c1");
  SetHomes({{kA}});
  struct Case {
    HostPhase phase;
    seconds silent_for;
    const char* expected;
  };
  // Without hosts in any home, callers are better off with some.
  const std::vector<Case> cases = {
      {HostPhase::kLeaving, seconds(0), ""},
      {HostPhase::kLeaving, seconds(9), ""},
      {HostPhase::kLeaving, seconds(11), "c1 self "},
      {HostPhase::kStarting, seconds(0), ""},
      {HostPhase::kReady, seconds(9), "c1 self "},
  };
  for (const Case& it : cases) {
    Add("a1", it.phase, it.silent_for);
    EXPECT_EQ(Find(), it.expected)
        << NameOf(it.phase) << ", silent for " << it.silent_for.count() << " s";
  }
  // Known by its record only.
  Add("a1", HostPhase::kStarting);
  members_.others[HostId("a1")].notice.heartbeat = 0;
  EXPECT_EQ(Find(), "c1 self ");
  SetHomes({});
  Add("a1", HostPhase::kLeaving);
  EXPECT_EQ(Find(), "c1 self ");
}

TEST_F(DirectoryHomesTest, HostThatHasJustStartedNamesNoOtherRegionsHosts) {
  knows_hosts_ = false;
  Add("c1");
  // Without homes, any host is better than none.
  EXPECT_EQ(Find(), "c1 self ");
  SetHomes({{kB}});
  EXPECT_EQ(Find(), "");
  Add("a1");
  EXPECT_EQ(Find(), "a1 ");
  // To callers that do not say where they are, it names what it knows.
  EXPECT_EQ(Find(RegionId(), ZoneId()), "self ");
  SetHomes({});
  EXPECT_EQ(Find(RegionId(), ZoneId()), "a1 c1 self ");
}

}  // namespace
}  // namespace sassafras
