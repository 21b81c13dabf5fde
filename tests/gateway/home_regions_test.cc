// Routes with home regions, tested with gateway processes. Judged at the
// endpoints, by the region in which each of them stands.

#include <gtest/gtest.h>
#include <signal.h>

#include <map>
#include <set>

#include "gateway/gateway_fixture.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time for a change of the settings file, or of a record in the store, to reach
// a host.
constexpr milliseconds kPropagation{600};
// Time from a host's start until it follows the store or a relay. Before, it
// refuses requests with homes.
constexpr milliseconds kFirstFollow{1200};

class HomeRoutingTest : public GatewayTest {
 protected:
  HomeRoutingTest() { world_.UseAllZones(); }

  PlatformStandinEndpoint& AddEndpointIn(const std::string& zone) {
    endpoints_.push_back(&world_.AddEndpoint("rondas", zone));
    return *endpoints_.back();
  }

  // Writes the next version of the configuration. All routes to which requests
  // of these tests go have `homes`.
  void PutHomes(const std::vector<std::string>& homes) {
    for (const char* it : {"/read/", "/charge/", "/upload/"})
      world_.SetHomes(it, homes);
    world_.PutConfig(++version_);
  }

  // Starts host 1 with one endpoint in each of cuyo and pampa, and waits for
  // `wait` once it is ready.
  void StartWithHomes(const std::vector<std::string>& homes,
                      milliseconds wait = kFirstFollow) {
    in_cuyo_ = &AddEndpointIn("cuyo-a");
    in_pampa_ = &AddEndpointIn("pampa-a");
    PutHomes(homes);
    address_ = world_.StartGateway(1);
    ASSERT_TRUE(world_.WaitReady(1));
    Wait(wait);
  }

  std::string NextId() { return "h" + std::to_string(++requests_); }

  // Version of the configuration that the host has in effect; -1 if it does not
  // say.
  int VersionAt(int host) {
    PlatformStandinCaller caller(world_.loop(), world_.OperatorAddressOf(host));
    caller.Send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    world_.RunUntil(milliseconds(500),
                    [&] { return !caller.answers().empty(); });
    if (caller.answers().empty())
      return -1;
    const std::string name = "gateway_config_version ";
    const std::string& text = caller.answers()[0].body;
    const size_t at = text.find(name);
    return at == std::string::npos ? -1
                                   : std::atoi(text.c_str() + at + name.size());
  }

  bool WaitUntilApplied(int host = 1) {
    return world_.Eventually(seconds(3),
                             [&] { return VersionAt(host) == version_; });
  }

  // Regions of the endpoints that have received the request, by their zones in
  // the settings.
  std::multiset<std::string> RegionsReachedBy(const std::string& id) const {
    std::multiset<std::string> out;
    for (const PlatformStandinEndpoint* endpoint : endpoints_) {
      for (const auto& it : endpoint->all_arrivals()) {
        if (it.request_id == id)
          out.insert(RegionOf(endpoint->zone()));
      }
    }
    return out;
  }

  static std::string RegionOf(const std::string& zone) {
    for (const StandinZone& it : kStandinZones) {
      if (zone == it.zone)
        return it.region;
    }
    return "";
  }

  // Sends reads of different objects, one each on a new connection, for `time`.
  // Returns how many were answered 200.
  int SendReads(milliseconds time, const std::string& prefix = "/read/") {
    std::vector<std::unique_ptr<PlatformStandinCaller>> callers;
    const auto timer = world_.loop().Every(milliseconds(10), [&] {
      const std::string id = NextId();
      callers.push_back(Connect());
      callers.back()->Send(RequestText("GET", prefix + id, id,
                                       "Cookie: Affinity-Key=" + id + "\r\n"));
    });
    Wait(time);
    int served = 0;
    for (const auto& it : callers)
      served += !it->answers().empty() && it->answers()[0].head.status == 200;
    return served;
  }

  // Moves the homes from cuyo to pampa while host 1 hears neither `others` nor
  // the store, and expects that it refuses requests until it knows them.
  void ExpectNothingInCuyoWhileCutOffFrom(const std::vector<int>& others) {
    WaitUntilHostsAreKnown();
    for (const int it : others)
      world_.Signal(it, SIGSTOP);
    world_.store().set_down(true);
    PutHomes({"pampa"});
    Wait(seconds(4));
    const int before = in_cuyo_->arrivals();
    EXPECT_EQ(SendReads(seconds(1)), 0);
    EXPECT_EQ(in_cuyo_->arrivals(), before);
    world_.store().set_down(false);
    for (const int it : others)
      world_.Signal(it, SIGCONT);
    ASSERT_TRUE(WaitUntilApplied());
    EXPECT_GT(SendReads(seconds(1)), 50);
    EXPECT_EQ(in_cuyo_->arrivals(), before);
  }

  int version_ = 0;
  int requests_ = 0;
  PlatformStandinEndpoint* in_cuyo_ = nullptr;
  PlatformStandinEndpoint* in_pampa_ = nullptr;
};

// Incident 029. The first request of each case keeps the second one waiting.
TEST_F(HomeRoutingTest, PendingRequestGoesToTheHomesOfTheNewestVersion) {
  constexpr milliseconds kWork{900};
  const std::string body(2000, 'x');
  StartWithHomes({"cuyo"});
  AddEndpointIn("cuyo-a");
  WaitUntilHostsAreKnown();
  for (const char* pending :
       {"charge behind a charge", "charge behind a read",
        "upload whose body is still coming", "read about to be retried"}) {
    SCOPED_TRACE(pending);
    const std::string name(pending);
    for (PlatformStandinEndpoint* it : endpoints_)
      it->set_work_time(kWork);
    const bool is_retry = name == "read about to be retried";
    const bool is_upload = name == "upload whose body is still coming";
    const std::string first = NextId();
    const std::string second = is_retry || is_upload ? first : NextId();
    const auto caller = Connect();
    if (is_upload) {
      const std::string text =
          RequestText("POST", "/upload/1", first, "", body);
      caller->Send(text.substr(0, text.size() - body.size() / 2));
    } else {
      const bool is_read = is_retry || name == "charge behind a read";
      caller->Send(RequestText(is_read ? "GET" : "POST",
                               is_read ? "/read/1" : "/charge/1", first, "",
                               is_read ? "" : "amount=1"));
    }
    if (second != first)
      caller->Send(RequestText("POST", "/charge/2", second, "", "amount=2"));
    Wait(milliseconds(100));
    for (PlatformStandinEndpoint* it : endpoints_)
      it->set_behavior(is_retry && it != in_pampa_
                           ? StandinBehavior::kCloseWithoutAnswer
                           : StandinBehavior::kAnswer);
    PutHomes({"pampa"});
    ASSERT_TRUE(WaitUntilApplied());
    in_pampa_->set_work_time(milliseconds(5));
    if (is_upload)
      caller->Send(body.substr(body.size() / 2));
    ASSERT_TRUE(WaitAnswers(*caller, second == first ? 1 : 2));
    EXPECT_EQ(caller->answers().back().head.status, 200);
    const auto reached = RegionsReachedBy(second);
    EXPECT_EQ(reached.count("pampa"), 1U);
    EXPECT_EQ(reached.count("cuyo"), is_retry ? 1U : 0U);
    PutHomes({"cuyo"});
    ASSERT_TRUE(WaitUntilApplied());
  }
}

// Under load. Between the write of a version and its use by the host, either
// version's homes are right.
TEST_F(HomeRoutingTest, VersionsThatMoveTheHomesAreFollowedUnderLoad) {
  constexpr size_t kCallers = 8;
  constexpr size_t kPipelined = 3;
  // From the host's decision to the endpoint's receipt.
  constexpr milliseconds kTransit{50};
  StartWithHomes({"cuyo"});
  for (PlatformStandinEndpoint* it : endpoints_)
    it->set_work_time(milliseconds(150));
  std::vector<std::unique_ptr<PlatformStandinCaller>> callers(kCallers);
  std::vector<size_t> sent(kCallers);
  const auto timer = world_.loop().Every(milliseconds(5), [&] {
    for (size_t i = 0; i < kCallers; ++i) {
      if (!callers[i] || callers[i]->is_closed()) {
        callers[i] = Connect();
        sent[i] = 0;
      }
      if (callers[i]->answers().size() < sent[i])
        continue;
      for (size_t k = 0; k < kPipelined; ++k, ++sent[i]) {
        const bool is_read = i % 4 == 0;
        callers[i]->Send(RequestText(is_read ? "GET" : "POST",
                                     is_read ? "/read/1" : "/charge/1",
                                     NextId(), "", is_read ? "" : "amount=1"));
      }
    }
  });
  for (int i = 0; i < 8; ++i) {
    PutHomes({i % 2 == 0 ? "pampa" : "cuyo"});
    ASSERT_TRUE(WaitUntilApplied());
    Wait(kTransit);
    PlatformStandinEndpoint& outside = i % 2 == 0 ? *in_cuyo_ : *in_pampa_;
    const int before = outside.arrivals();
    Wait(milliseconds(300));
    EXPECT_EQ(outside.arrivals(), before) << "version " << version_;
  }
}

TEST_F(HomeRoutingTest, StartingHostSendsNothingByAnOlderVersion) {
  StartWithHomes({"cuyo"});
  world_.StartGateway(2);
  ASSERT_TRUE(world_.WaitReady(2));
  world_.store().set_stale_lists(true);
  PutHomes({"pampa"});
  ASSERT_TRUE(WaitUntilApplied());
  for (const int alone : {0, 1}) {
    SCOPED_TRACE(alone ? "alone" : "beside another host");
    if (alone) {
      world_.Signal(2, SIGKILL);
      ASSERT_TRUE(world_.WaitEnd(2, seconds(3)));
    }
    world_.Signal(1, SIGKILL);
    ASSERT_TRUE(world_.WaitEnd(1, seconds(3)));
    world_.StartGateway(1);
    const int before = in_cuyo_->arrivals();
    EXPECT_GT(SendReads(seconds(3)), 50);
    EXPECT_EQ(in_cuyo_->arrivals(), before);
  }
}

TEST_F(HomeRoutingTest, StartingHostSendsNothingByAnOlderZoneOfAnEndpoint) {
  StartWithHomes({"pampa"});
  world_.Signal(1, SIGKILL);
  ASSERT_TRUE(world_.WaitEnd(1, seconds(3)));
  PlatformStandinEndpoint& moves = AddEndpointIn("pampa-a");
  world_.store().set_stale_lists(true);
  moves.set_zone("litoral-a");
  world_.Register(moves, "rondas");
  world_.StartGateway(1);
  EXPECT_GT(SendReads(seconds(3)), 50);
  EXPECT_EQ(moves.arrivals(), 0);
}

TEST_F(HomeRoutingTest, ReloadedZonesPutEndpointsIntoOtherRegions) {
  StartWithHomes({"cuyo"});
  PlatformStandinEndpoint& in_litoral = AddEndpointIn("litoral-a");
  Wait(kPropagation);
  EXPECT_GT(SendReads(milliseconds(500)), 20);
  EXPECT_EQ(in_litoral.arrivals(), 0);
  world_.WriteSettings(1, "zones.cuyo-a=litoral\nzones.litoral-a=cuyo\n");
  world_.Signal(1, SIGHUP);
  Wait(kPropagation);
  const int before = in_cuyo_->arrivals();
  EXPECT_GT(SendReads(milliseconds(500)), 20);
  EXPECT_EQ(in_cuyo_->arrivals(), before);
  EXPECT_GT(in_litoral.arrivals(), 20);
}

TEST_F(HomeRoutingTest, EndpointGetsRequestsByTheZoneOfItsNewestRecord) {
  StartWithHomes({"pampa"});
  PlatformStandinEndpoint& moves = AddEndpointIn("pampa-a");
  Wait(kPropagation);
  struct Case {
    const char* name;
    const char* zone;
    bool restarts;
    bool is_home;
  };
  const std::vector<Case> cases = {
      {"another zone, same start", "cuyo-a", false, false},
      {"back, same start", "pampa-a", false, true},
      {"another zone, another start", "litoral-a", true, false},
      {"a zone that the settings do not name", "elsewhere-a", false, false},
      {"back, another start", "pampa-a", true, true},
      {"an unnamed zone", "", true, false},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    moves.set_zone(it.zone);
    if (it.restarts)
      moves.Restart();
    else
      world_.Register(moves, "rondas");
    Wait(kPropagation);
    const int before = moves.arrivals();
    EXPECT_GT(SendReads(milliseconds(500)), 20);
    EXPECT_EQ(moves.arrivals() > before, it.is_home);
  }
  EXPECT_EQ(in_cuyo_->arrivals(), 0);
}

TEST_F(HomeRoutingTest, RequestIsRefusedAtOnceIfNoEndpointOfItsHomesMayGetIt) {
  StartWithHomes({"pampa"});
  struct Case {
    const char* name;
    std::function<void()> begin;
    std::function<void()> end;
  };
  const std::vector<Case> cases = {
      {"evacuated",
       [&] {
         world_.store().Put("evacuations", "pampa-a", nlohmann::json::object());
       },
       [&] { world_.store().Delete("evacuations", "pampa-a"); }},
      {"full", [&] { in_pampa_->set_behavior(StandinBehavior::kShed); },
       [&] { in_pampa_->set_behavior(StandinBehavior::kAnswer); }},
      {"backing off",
       [&] {
         in_pampa_->set_retry_after("2");
         in_pampa_->set_behavior(StandinBehavior::kShed);
         Status(RequestText("GET", "/read/1", NextId()));
       },
       [&] {
         in_pampa_->set_retry_after("");
         in_pampa_->set_behavior(StandinBehavior::kAnswer);
       }},
      {"leaving",
       [&] {
         in_pampa_->set_leaving(true);
         Status(RequestText("GET", "/read/1", NextId()));
       },
       [&] { in_pampa_->Restart(); }},
      {"gone", [&] { world_.store().Delete("servers", "i-2"); },
       [&] { world_.Register(*in_pampa_, "rondas"); }},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    it.begin();
    Wait(kPropagation);
    for (const bool is_read : {true, false}) {
      const Time sent_at = world_.loop().Now();
      EXPECT_EQ(Status(RequestText(is_read ? "GET" : "POST",
                                   is_read ? "/read/1" : "/charge/1", NextId(),
                                   "", is_read ? "" : "amount=1")),
                503);
      EXPECT_LT(world_.loop().Now() - sent_at, milliseconds(300));
    }
    it.end();
    EXPECT_TRUE(world_.Eventually(seconds(6), [&] {
      return Status(RequestText("GET", "/read/1", NextId())) == 200;
    }));
  }
  EXPECT_EQ(in_cuyo_->arrivals(), 0);
}

TEST_F(HomeRoutingTest, PathIsBoundByTheHomesOfEachRouteThatItMayMean) {
  in_cuyo_ = &AddEndpointIn("cuyo-a");
  in_pampa_ = &AddEndpointIn("pampa-a");
  world_.SetHomes("/read/eu/", {"pampa"});
  world_.PutConfig(++version_, "/read/eu/");
  address_ = world_.StartGateway(1);
  ASSERT_TRUE(world_.WaitReady(1));
  Wait(kFirstFollow);
  struct Case {
    const char* prefix;
    bool is_bound;
  };
  const std::vector<Case> cases = {
      {"/read/eu/", true},
      {"/read/eu/?x=/read/", true},
      {"/read//eu/", true},
      {"/read/./eu/", true},
      {"/read/x/../eu/", true},
      {"/read/%65u/", true},
      {"/read/e%55/", false},
      {"/read/e%75/", true},
      {"/read/eu%2f", true},
      {"/read%2Feu/", true},
      {"/read/%2E%2e/read/eu/", true},
      {"/read/x//../eu/", true},
      {"/read/europe/", false},
      {"/read/x?y=/read/eu/", false},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.prefix);
    const int before = in_cuyo_->arrivals();
    const int served = SendReads(milliseconds(400), it.prefix);
    // Not the beginning of any prefix as it is written.
    const bool has_route = std::string(it.prefix).rfind("/read/", 0) == 0;
    EXPECT_EQ(served > 10, has_route);
    EXPECT_EQ(in_cuyo_->arrivals() == before, it.is_bound);
  }
}

TEST_F(HomeRoutingTest, HostThatWasFrozenSendsNothingToEarlierHomes) {
  StartWithHomes({"cuyo"});
  world_.StartGateway(2);
  ASSERT_TRUE(world_.WaitReady(2));
  for (const int alone : {0, 1}) {
    SCOPED_TRACE(alone ? "alone" : "beside another host");
    if (alone) {
      world_.Signal(2, SIGKILL);
      ASSERT_TRUE(world_.WaitEnd(2, seconds(3)));
    }
    PutHomes({"cuyo"});
    ASSERT_TRUE(WaitUntilApplied());
    world_.Signal(1, SIGSTOP);
    PutHomes({"pampa"});
    Wait(seconds(4));
    const int before = in_cuyo_->arrivals();
    const auto caller = Connect();
    for (int i = 0; i < 5; ++i)
      caller->Send(RequestText("GET", "/read/1", NextId()));
    Wait(milliseconds(100));
    world_.Signal(1, SIGCONT);
    EXPECT_GT(SendReads(seconds(2)), 50);
    EXPECT_EQ(in_cuyo_->arrivals(), before);
  }
}

TEST_F(HomeRoutingTest, HostThatIsCutOffSendsNothingToEarlierHomes) {
  StartWithHomes({"cuyo"});
  world_.StartGateway(2);
  ASSERT_TRUE(world_.WaitReady(2));
  ExpectNothingInCuyoWhileCutOffFrom({2});
}

TEST_F(HomeRoutingTest, HostsThatAreCutOffTogetherSendNothingToEarlierHomes) {
  StartWithHomes({"cuyo"});
  for (const int it : {2, 3, 4, 5}) {
    world_.StartGateway(it);
    ASSERT_TRUE(world_.WaitReady(it));
  }
  // Hosts 1 and 4 hear each other.
  ExpectNothingInCuyoWhileCutOffFrom({2, 3, 5});
}

TEST_F(HomeRoutingTest, OnlyHostThatWasFrozenSendsNothingToEarlierHomes) {
  StartWithHomes({"cuyo"});
  for (int i = 0; i < 3; ++i) {
    PutHomes({"cuyo"});
    ASSERT_TRUE(WaitUntilApplied());
    world_.Signal(1, SIGSTOP);
    PutHomes({"pampa"});
    Wait(milliseconds(2800 + 400 * i));
    const int before = in_cuyo_->arrivals();
    world_.Signal(1, SIGCONT);
    EXPECT_GT(SendReads(seconds(2)), 50);
    EXPECT_EQ(in_cuyo_->arrivals(), before);
  }
}

// The store alone is no reason to refuse.
TEST_F(HomeRoutingTest, HomesAreServedWhileTheStoreIsDown) {
  // Also if it goes down before the host has followed it.
  StartWithHomes({"cuyo"}, milliseconds(0));
  world_.store().set_down(true);
  Wait(seconds(4));
  EXPECT_GT(SendReads(seconds(1)), 50);
  world_.store().set_down(false);
  world_.StartGateway(2);
  ASSERT_TRUE(world_.WaitReady(2));
  WaitUntilHostsAreKnown();
  world_.store().set_down(true);
  Wait(seconds(4));
  EXPECT_GT(SendReads(seconds(1)), 50);
  EXPECT_EQ(in_pampa_->arrivals(), 0);
}

class HomeDirectoryTest : public HomeRoutingTest {
 protected:
  // Addresses of callers' ports that host `asked` names to callers of `zone`.
  std::set<std::string> Lookup(int asked, const std::string& zone) {
    PlatformStandinCaller caller(world_.loop(),
                                 world_.DirectoryAddressOf(asked));
    caller.Send("GET /resolution?name=h.example&region=" + RegionOf(zone) +
                "&zone=" + zone + " HTTP/1.1\r\nHost: h\r\n\r\n");
    world_.RunUntil(milliseconds(500),
                    [&] { return !caller.answers().empty(); });
    std::set<std::string> out;
    if (caller.answers().empty() || caller.answers()[0].head.status != 200)
      return out;
    const auto json = nlohmann::json::parse(caller.answers()[0].body);
    for (const auto& it : json["addresses"])
      out.insert(it.get<std::string>());
    return out;
  }

  std::set<std::string> CallersOf(const std::vector<int>& hosts) const {
    std::set<std::string> out;
    for (const int it : hosts)
      out.insert(world_.CallerAddressOf(it).ToString());
    return out;
  }
};

// Hosts 3 and 6 are in cuyo, 1 and 4 in pampa, 2 in litoral.
TEST_F(HomeDirectoryTest, RegionWhoseHostsStopIsSentToHostsOfTheHomes) {
  StartWithHomes({"pampa"});
  for (const int it : {2, 3, 4, 6}) {
    world_.StartGateway(it);
    ASSERT_TRUE(world_.WaitReady(it));
  }
  WaitUntilHostsAreKnown();
  EXPECT_EQ(Lookup(2, "cuyo-a"), CallersOf({3, 6}));
  world_.Signal(3, SIGTERM);
  world_.Signal(6, SIGTERM);
  for (int i = 0; i < 10; ++i) {
    Wait(milliseconds(500));
    EXPECT_EQ(Lookup(1, "cuyo-a"), CallersOf({1, 4})) << i;
    EXPECT_EQ(Lookup(2, "cuyo-a"), CallersOf({1, 4})) << i;
  }
  PutHomes({});
  ASSERT_TRUE(WaitUntilApplied());
  EXPECT_EQ(Lookup(1, "cuyo-a"), CallersOf({1, 2, 4}));
}

TEST_F(HomeDirectoryTest, HostThatHasJustStartedNamesNoOtherRegionsHosts) {
  StartWithHomes({"pampa"});
  for (const int it : {3, 4, 6}) {
    world_.StartGateway(it);
    ASSERT_TRUE(world_.WaitReady(it));
  }
  WaitUntilHostsAreKnown();
  world_.StartGateway(2);
  const auto cuyo = CallersOf({3, 6});
  bool is_answered = false;
  for (int i = 0; i < 100 && !is_answered; ++i) {
    const auto named = Lookup(2, "cuyo-a");
    for (const std::string& it : named)
      EXPECT_EQ(cuyo.count(it), 1U) << it;
    is_answered = named == cuyo;
    Wait(milliseconds(20));
  }
  EXPECT_TRUE(is_answered);
}

}  // namespace
}  // namespace sassafras
