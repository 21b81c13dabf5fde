// When versions of the configuration, records of endpoints and evacuations take
// effect, tested with gateway processes and judged by requests sent to each
// host.

#include <gtest/gtest.h>
#include <signal.h>

#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include "gateway/gateway_fixture.h"
#include "platform/platform.h"
#include "routing/relay_choice.h"
#include "soak/fault_proxy.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Json = nlohmann::json;

constexpr int kHosts = 4;
constexpr uint16_t kProxyPort = 8150;
// The shortest limits that the platform's documentation states for any
// deployment: for a version at hosts without a disturbance, and for a host to
// count as undisturbed after one.
constexpr milliseconds kApplyTime{2000};
constexpr milliseconds kStableWindow{3000};
// From a host's start until it follows the store or a relay.
constexpr milliseconds kFirstFollow{1200};
// Until hosts that start together have chosen their relays for good.
constexpr seconds kSettleTime{6};

class ConfigVersionsTest : public GatewayTest {
 protected:
  // Starts the hosts, each with a proxy of its own before the store.
  void StartHosts(int hosts = kHosts) {
    PutNextVersion();
    endpoints_.push_back(&world_.AddEndpoint("rondas", "cuyo-a"));
    endpoints_.push_back(&world_.AddEndpoint("rondas", "pampa-a"));
    for (int i = 1; i <= hosts; ++i) {
      const Address listen = world_.HostAddress(i, kProxyPort);
      store_proxies_.push_back(std::make_unique<FaultProxy>(
          world_.loop(), listen, world_.StoreAddress()));
      world_.SetStoreAddress(i, listen);
      world_.StartGateway(i);
      alive_.insert(i);
    }
    for (const int it : alive_)
      ASSERT_TRUE(world_.WaitReady(it)) << it;
    FindRelays();
  }

  // Waits until only the relays follow the store.
  void FindRelays() {
    Wait(kSettleTime);
    ASSERT_TRUE(world_.Eventually(kSettleTime, [&] {
      relays_.clear();
      for (const int it : alive_) {
        if (StateOf(it)["source"]["feed"] == "store")
          relays_.insert(it);
      }
      return relays_.size() == std::min(alive_.size(), kRelayCount);
    }));
  }

  FaultProxy& StoreProxyOf(int host) {
    return *store_proxies_[static_cast<size_t>(host - 1)];
  }

  // Ends the run of a host, or suspends it.
  void Disable(int host, int signal) {
    world_.Signal(host, signal);
    if (signal == SIGKILL) {
      ASSERT_TRUE(world_.WaitEnd(host, seconds(3)));
    }
    alive_.erase(host);
  }

  void Restart(int host) {
    Disable(host, SIGKILL);
    world_.StartGateway(host);
    ASSERT_TRUE(world_.WaitReady(host));
    alive_.insert(host);
  }

  int AnyFollower() const {
    for (const int it : alive_) {
      if (relays_.count(it) == 0)
        return it;
    }
    return 0;
  }

  // Each version has a route of its own, with the prefix RouteOf(version).
  void PutNextVersion() {
    ++version_;
    world_.PutConfig(version_, RouteOf(version_));
  }
  static std::string RouteOf(int version) {
    return "/v" + std::to_string(version) + "/";
  }

  Json StateOf(int host) {
    PlatformStandinCaller caller(world_.loop(), world_.OperatorAddressOf(host));
    caller.Send("GET /state HTTP/1.1\r\nHost: h\r\n\r\n");
    world_.RunUntil(milliseconds(500),
                    [&] { return !caller.answers().empty(); });
    return caller.answers().empty()
               ? Json::object()
               : Json::parse(caller.answers()[0].body, nullptr, false);
  }

  // Whether the newest version is in effect at all hosts that are alive,
  // `limit` from now at the latest.
  bool IsInEffectWithin(milliseconds limit) {
    const Time start = world_.loop().Now();
    bool in_effect = world_.Eventually(limit, [&] { return ServesNewest(); });
    std::cout << "version " << version_ << ": "
              << Millis(world_.loop().Now() - start) << " ms\n";
    if (!in_effect) {
      for (const int it : alive_)
        std::cout << "host " << it << ": " << StateOf(it)["source"] << '\n';
    }
    return in_effect;
  }

  bool ServesNewest() {
    for (const int it : alive_) {
      const std::string id = "v" + std::to_string(++requests_);
      if (StatusAt(it, RequestText("GET", RouteOf(version_) + "1", id)) != 200)
        return false;
    }
    return true;
  }

  // Sends reads of different objects to the host. Returns how many were
  // answered 200.
  int SendReads(int host, int n) {
    int served = 0;
    for (int i = 0; i < n; ++i) {
      const std::string id = "o" + std::to_string(++requests_);
      served +=
          StatusAt(host, RequestText("GET", "/read/" + id, id,
                                     "Cookie: Affinity-Key=" + id + "\r\n")) ==
          200;
    }
    return served;
  }

  // Expects that reads sent to the host are answered, and none by endpoint 1.
  void ExpectFirstEndpointUnused(int host) {
    constexpr int kReads = 30;
    const int before = endpoints_[0]->arrivals();
    EXPECT_EQ(SendReads(host, kReads), kReads);
    EXPECT_EQ(endpoints_[0]->arrivals(), before);
  }

  void DrainFirstEndpoint() {
    Json record = endpoints_[0]->Record("rondas", "cuyo-a");
    record["state"] = "draining";
    world_.store().Put("servers", "i-1", record);
  }

  std::vector<std::unique_ptr<FaultProxy>> store_proxies_;
  std::set<int> alive_;
  std::set<int> relays_;  // Hosts that followed the store when all had settled.
  int version_ = 0;
  int requests_ = 0;
};

class StaleListsTest : public ConfigVersionsTest,
                       public testing::WithParamInterface<bool> {
 protected:
  void SetStaleLists() {
    world_.store().set_stale_lists_name_present_revision(GetParam());
    world_.store().set_stale_lists(true);
  }
};

INSTANTIATE_TEST_SUITE_P(AsOf,
                         StaleListsTest,
                         testing::Bool(),
                         [](const auto& it) {
                           return it.param ? "PresentRevision" : "OldRevision";
                         });

// Incident 030.
TEST_P(StaleListsTest, HostThatTurnsToTheStoreMissesNoVersion) {
  StartHosts();
  SetStaleLists();
  for (const int it : relays_)
    Disable(it, SIGKILL);
  PutNextVersion();
  EXPECT_TRUE(IsInEffectWithin(kApplyTime));
}

// Incident 030.
TEST_P(StaleListsTest,
       HostThatTurnsToTheStoreKeepsEndpointsThatHaveJustJoined) {
  StartHosts();
  SetStaleLists();
  PlatformStandinEndpoint& joined = world_.AddEndpoint("rondas", "cuyo-a");
  Wait(seconds(1));
  for (const int it : relays_)
    Disable(it, SIGKILL);
  Wait(kApplyTime);
  const int host = AnyFollower();
  const int before = joined.arrivals();
  EXPECT_EQ(SendReads(host, 30), 30);
  EXPECT_GT(joined.arrivals(), before);
}

// Incident 030.
TEST_P(StaleListsTest, HostThatStartsHeedsAnEvacuationOfTheLastSeconds) {
  StartHosts();
  SetStaleLists();
  world_.store().Put("evacuations", "cuyo-a", Json::object());
  Restart(AnyFollower());
  Wait(kStableWindow);
  ExpectFirstEndpointUnused(AnyFollower());
}

// Incident 030.
TEST_P(StaleListsTest, HostThatStartsHeedsADrainingOfTheLastSeconds) {
  StartHosts();
  SetStaleLists();
  DrainFirstEndpoint();
  Restart(AnyFollower());
  Wait(kStableWindow);
  ExpectFirstEndpointUnused(AnyFollower());
}

// Incident 030.
TEST_P(StaleListsTest, StaleListHasThePositionOfItsOldestPage) {
  constexpr int kObjects = 5;
  std::vector<uint64_t> positions;
  const auto store =
      platform::ConnectStore(world_.loop(), world_.StoreAddress());
  const auto read_list = [&](ListFreshness freshness) {
    const size_t before = positions.size();
    store->List({"k", {}, freshness}, [&](const StoreReply& it) {
      EXPECT_EQ(it.objects.size(), static_cast<size_t>(kObjects));
      positions.push_back(it.as_of.revision());
    });
    return world_.RunUntil(kAnswerTimeout,
                           [&] { return positions.size() > before; });
  };
  world_.store().set_page_size(2);
  // Revisions 2 to 6.
  for (int i = kObjects; i > 0; --i)
    world_.store().Put("k", "o" + std::to_string(i), Json::object());
  SetStaleLists();
  world_.store().Put("k", "o3", Json::object());
  ASSERT_TRUE(read_list(ListFreshness::kMayBeStale));
  ASSERT_TRUE(read_list(ListFreshness::kCurrent));
  EXPECT_EQ(positions, (std::vector<uint64_t>{2, 7}));
}

// Incident 030.
TEST_F(ConfigVersionsTest, VersionAppliesInTimeWhenAllRelaysLoseTheStore) {
  StartHosts();
  for (const ProxyMode mode :
       {ProxyMode::kSilent, ProxyMode::kCutBackward, ProxyMode::kRefuse}) {
    SCOPED_TRACE(static_cast<int>(mode));
    for (const int it : relays_) {
      StoreProxyOf(it).set_mode(mode);
      if (mode == ProxyMode::kRefuse)
        StoreProxyOf(it).ResetAll();
      alive_.erase(it);  // Not judged while they are cut off.
    }
    PutNextVersion();
    EXPECT_TRUE(IsInEffectWithin(kApplyTime));
    for (const int it : relays_) {
      StoreProxyOf(it).set_mode(ProxyMode::kPass);
      alive_.insert(it);
    }
    EXPECT_TRUE(IsInEffectWithin(kStableWindow));
    FindRelays();
  }
}

// Incident 030.
TEST_F(ConfigVersionsTest, VersionAppliesInTimeWhenAllRelaysAreSuspended) {
  StartHosts();
  for (const int it : relays_)
    Disable(it, SIGSTOP);
  PutNextVersion();
  EXPECT_TRUE(IsInEffectWithin(kApplyTime));
  for (const int it : relays_) {
    world_.Signal(it, SIGCONT);
    alive_.insert(it);
  }
  EXPECT_TRUE(IsInEffectWithin(kStableWindow));
}

// Incident 030.
TEST_F(ConfigVersionsTest, VersionAppliesInTimeWhenAllRelaysAreKilled) {
  StartHosts();
  for (const int it : relays_)
    Disable(it, SIGKILL);
  PutNextVersion();
  EXPECT_TRUE(IsInEffectWithin(kApplyTime));
}

// Incident 030. The connections on which answers were lost stay silent.
TEST_F(ConfigVersionsTest, VersionAppliesInTimeAfterAnswersOfTheStoreWereLost) {
  StartHosts();
  for (const milliseconds lost :
       {milliseconds(300), milliseconds(1000), milliseconds(1700),
        milliseconds(2400), milliseconds(4000), milliseconds(7000)}) {
    SCOPED_TRACE(lost.count());
    for (const auto& it : store_proxies_)
      it->set_mode(ProxyMode::kCutBackward);
    Wait(lost);
    PutNextVersion();
    for (const auto& it : store_proxies_)
      it->set_mode(ProxyMode::kPass);
    EXPECT_TRUE(IsInEffectWithin(kStableWindow));
    Wait(seconds(2));
  }
}

// Incident 030.
TEST_F(ConfigVersionsTest, VersionAppliesInTimeAfterTheStoreWasDown) {
  StartHosts();
  for (const int status : {503, 429}) {
    SCOPED_TRACE(status);
    for (const milliseconds down :
         {milliseconds(300), milliseconds(1500), milliseconds(6000)}) {
      SCOPED_TRACE(down.count());
      world_.store().set_down(true, status);
      world_.store().EndWatches();
      Wait(down);
      PutNextVersion();
      world_.store().set_down(false);
      EXPECT_TRUE(IsInEffectWithin(kStableWindow));
      Wait(seconds(2));
    }
  }
}

// Incident 030.
TEST_F(ConfigVersionsTest, VersionAppliesInTimeAfterTheStoreWasSlow) {
  constexpr seconds kSlowTime{5};
  StartHosts();
  // In each direction.
  for (const milliseconds delay :
       {milliseconds(200), milliseconds(500), milliseconds(1500)}) {
    SCOPED_TRACE(delay.count());
    for (const auto& it : store_proxies_) {
      it->set_delay(delay);
      it->set_mode(ProxyMode::kDelay);
    }
    Wait(kSlowTime);
    PutNextVersion();
    for (const auto& it : store_proxies_)
      it->set_mode(ProxyMode::kPass);
    EXPECT_TRUE(IsInEffectWithin(kStableWindow));
    Wait(seconds(2));
  }
}

// Incident 030.
TEST_F(ConfigVersionsTest, EvacuationIsHeededInTimeWhenAllRelaysLoseTheStore) {
  constexpr seconds kEvacuationTime{5};  // As the documentation states it.
  StartHosts();
  for (const int it : relays_) {
    StoreProxyOf(it).set_mode(ProxyMode::kSilent);
    alive_.erase(it);  // Not judged while they are cut off.
  }
  world_.store().Put("evacuations", "cuyo-a", Json::object());
  Wait(kEvacuationTime);
  for (const int it : alive_)
    ExpectFirstEndpointUnused(it);
}

// Incident 030.
TEST_F(ConfigVersionsTest, VersionAppliesInTimeAfterConnectionsFellSilent) {
  constexpr int kRounds = 8;
  constexpr milliseconds kStep{170};
  StartHosts();
  for (int round = 0; round < kRounds; ++round) {
    SCOPED_TRACE(round);
    Wait(round * kStep);
    for (const auto& it : store_proxies_)
      it->SilenceAll();
    PutNextVersion();
    EXPECT_TRUE(IsInEffectWithin(kStableWindow));
    Wait(seconds(2));
  }
}

// Incident 030.
TEST_F(ConfigVersionsTest, OnlyHostAppliesAVersionInTimeAfterLostAnswers) {
  StartHosts(1);
  for (const milliseconds lost :
       {milliseconds(600), milliseconds(1000), milliseconds(2200),
        milliseconds(3400), milliseconds(4200), milliseconds(6600)}) {
    SCOPED_TRACE(lost.count());
    StoreProxyOf(1).set_mode(ProxyMode::kCutBackward);
    Wait(lost);
    PutNextVersion();
    StoreProxyOf(1).set_mode(ProxyMode::kPass);
    EXPECT_TRUE(IsInEffectWithin(kStableWindow));
    Wait(seconds(2));
  }
}

// Incident 030.
TEST_F(ConfigVersionsTest, VersionsApplyInTimeWhileHostsRestartInTurn) {
  constexpr int kRestarts = 12;
  StartHosts();
  for (int i = 0; i < kRestarts; ++i) {
    const int host = 1 + i % kHosts;
    SCOPED_TRACE(host);
    world_.Signal(host, i % 2 == 0 ? SIGTERM : SIGKILL);
    alive_.erase(host);
    PutNextVersion();
    EXPECT_TRUE(IsInEffectWithin(kApplyTime));
    ASSERT_TRUE(world_.WaitEnd(host, seconds(4)));
    world_.StartGateway(host);
    ASSERT_TRUE(world_.WaitReady(host));
    alive_.insert(host);
  }
}

// Incident 030. All hosts lose power right after a version.
TEST_P(StaleListsTest, HostsThatStartTogetherServeTheNewestVersion) {
  StartHosts();
  SetStaleLists();
  PutNextVersion();
  const std::set<int> all = alive_;
  for (const int it : all)
    Disable(it, SIGKILL);
  for (const int it : all) {
    world_.StartGateway(it);
    alive_.insert(it);
  }
  EXPECT_TRUE(IsInEffectWithin(kStableWindow));
}

// Incident 030.
TEST_F(ConfigVersionsTest, DrainingIsHeededInTimeWhenAllRelaysAreKilled) {
  StartHosts();
  for (const int it : relays_)
    Disable(it, SIGKILL);
  DrainFirstEndpoint();
  Wait(kApplyTime);
  for (const int it : alive_)
    ExpectFirstEndpointUnused(it);
}

// Incident 030.
TEST_F(ConfigVersionsTest, NewestOfManyVersionsIsInEffectAndNoOlderOneAgain) {
  constexpr int kVersions = 30;
  constexpr milliseconds kPeriod{60};
  StartHosts();
  const int first = version_;
  std::map<int, int> shown;  // By host, the newest version that it has served.
  for (int i = 0; i < kVersions; ++i) {
    PutNextVersion();
    if (i == kVersions / 2)
      Disable(*relays_.begin(), SIGKILL);
    Wait(kPeriod);
    for (const int host : alive_) {
      for (int it = std::max(first, version_ - 4); it <= version_; ++it) {
        const std::string id = "m" + std::to_string(++requests_);
        if (StatusAt(host, RequestText("GET", RouteOf(it) + "1", id)) != 200)
          continue;
        EXPECT_GE(it, shown[host]) << host;
        shown[host] = std::max(shown[host], it);
      }
    }
  }
  EXPECT_TRUE(IsInEffectWithin(kApplyTime));
}

// Incident 034. Only the connections of watches fall silent, each time just
// after a watch has begun; other calls are answered. A watch whose answer is
// lost must be repeated within the time after which a host counts as
// undisturbed, less a third of it to pass the change on.
TEST_F(ConfigVersionsTest, WatchesWhoseConnectionsFallSilentAreRepeatedInTime) {
  constexpr int kSilences = 4;
  constexpr milliseconds kMaxPause = 2 * kStableWindow / 3 + milliseconds(100);
  const auto store =
      platform::ConnectStore(world_.loop(), world_.StoreAddress());
  world_.store().Put("k", "o", Json::object());
  size_t changes = 0;
  const auto watch =
      store->Follow("k", {}, [&](const StoreChange&) { ++changes; });
  ASSERT_TRUE(world_.RunUntil(kAnswerTimeout, [&] { return changes > 0; }));
  const auto probe = world_.loop().Every(milliseconds(400), [&] {
    store->List({"probed", {}, ListFreshness::kMayBeStale},
                [](const StoreReply&) {});
  });
  for (int i = 0; i < kSilences; ++i) {
    SCOPED_TRACE(i);
    const Time begun = world_.loop().Now();
    EXPECT_TRUE(world_.RunUntil(kAnswerTimeout + kAnswerTimeout, [&] {
      return world_.store().SilenceWatches() > 0;
    }));
    const Duration pause = world_.loop().Now() - begun;
    std::cout << "watch after " << Millis(pause) << " ms\n";
    EXPECT_LE(pause, kMaxPause);
  }
}

// Incident 034. Without it, nothing tells which source of a host was late.
TEST_F(ConfigVersionsTest, HostTellsHowLongEachSourceTookToDeliverAVersion) {
  StartHosts();
  PutNextVersion();
  ASSERT_TRUE(IsInEffectWithin(kApplyTime));
  Wait(kFirstFollow);
  const auto has = [&](int host, const std::string& series) {
    PlatformStandinCaller caller(world_.loop(), world_.OperatorAddressOf(host));
    caller.Send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    world_.RunUntil(milliseconds(500),
                    [&] { return !caller.answers().empty(); });
    return !caller.answers().empty() &&
           caller.answers()[0].body.find("gateway_config_delivery_seconds_" +
                                         series) != std::string::npos;
  };
  EXPECT_TRUE(has(*relays_.begin(), R"(count{source="store")"));
  EXPECT_TRUE(has(AnyFollower(), R"(count{source="relay",order="first"})"));
  EXPECT_TRUE(has(AnyFollower(), R"(count{source="relay",order="later"})"));
}

// Incident 030. On a kept connection, after the version has applied.
TEST_F(GatewayTest, KeptConnectionFollowsVersionsThatMoveAddAndDropRoutes) {
  PlatformStandinEndpoint& other = world_.AddEndpoint("bitacora", "cuyo-a");
  StartOne();
  Wait(kFirstFollow);
  const auto caller = Connect();
  size_t answers = 0;
  const auto status = [&](const std::string& path) {
    caller->Send(RequestText("GET", path, "k" + std::to_string(++answers)));
    return WaitAnswers(*caller, answers) ? caller->answers().back().head.status
                                         : 0;
  };
  EXPECT_EQ(status("/read/inner/1"), 200);
  EXPECT_EQ(other.arrivals(), 0);
  Json config = world_.ConfigJson(2, "/read/inner/");
  Json& paths = config["hosts"][0]["paths"];
  paths.back()["service"] = "bitacora";  // A route inside of /read/.
  ASSERT_EQ(paths[1]["path-prefix"], "/charge/");
  paths.erase(1);
  config["services"].push_back({{"name", "bitacora"}});
  world_.store().Put("config", "main", config);
  Wait(kApplyTime);
  EXPECT_EQ(status("/read/inner/2"), 200);
  EXPECT_EQ(other.arrivals(), 1);
  EXPECT_EQ(status("/read/2"), 200);
  EXPECT_EQ(other.arrivals(), 1);
  EXPECT_EQ(status("/charge/2"), 404);
}

// Incident 030.
TEST_F(GatewayTest, AddedRouteOfANewServiceIsServed) {
  StartOne();
  Wait(kFirstFollow);
  int version = 1;
  for (const milliseconds joins :
       {milliseconds(-500), milliseconds(0), milliseconds(500)}) {
    SCOPED_TRACE(joins.count());
    const std::string service = "s" + std::to_string(++version);
    const std::string prefix = "/" + service + "/";
    if (joins < milliseconds(0)) {
      world_.AddEndpoint(service);
      Wait(-joins);
    }
    Json config = world_.ConfigJson(version, prefix);
    config["hosts"][0]["paths"].back()["service"] = service;
    config["services"].push_back({{"name", service}});
    world_.store().Put("config", "main", config);
    Wait(joins);
    if (joins >= milliseconds(0))
      world_.AddEndpoint(service);
    EXPECT_TRUE(world_.Eventually(kApplyTime, [&] {
      return Status(RequestText("GET", prefix + "1", "j" + prefix)) == 200;
    }));
  }
}

// Incident 030. The requests that wait are of other services.
TEST_F(GatewayTest, AddedRouteOfANewServiceIsServedByAFullHost) {
  constexpr int kWaiting = 60;
  StartOne();
  Wait(kFirstFollow);
  endpoints_[0]->set_work_time(milliseconds(1800));
  endpoints_[0]->set_max_running(4);
  std::vector<std::unique_ptr<PlatformStandinCaller>> callers;
  for (int i = 0; i < kWaiting; ++i) {
    callers.push_back(Connect());
    callers.back()->Send(
        RequestText("GET", "/read/1", "f" + std::to_string(i)));
  }
  Json config = world_.ConfigJson(2, "/added/");
  config["hosts"][0]["paths"].back()["service"] = "bitacora";
  config["services"].push_back({{"name", "bitacora"}});
  world_.store().Put("config", "main", config);
  world_.AddEndpoint("bitacora");
  EXPECT_TRUE(world_.Eventually(kApplyTime, [&] {
    return Status(RequestText("GET", "/added/1", "full")) == 200;
  }));
}

// Incident 030.
TEST_F(GatewayTest, PartsOfASplitGetTheSharesOfTheNewestVersion) {
  constexpr int kRequests = 300;
  constexpr double kMaxShareError = 0.1;
  PlatformStandinEndpoint& other = world_.AddEndpoint("bitacora", "cuyo-a");
  StartOne();
  Wait(kFirstFollow);
  int version = 1;
  int requests = 0;
  for (const double share : {0.3, 0.9, 0.0, 0.5}) {
    SCOPED_TRACE(share);
    Json config = world_.ConfigJson(++version, "");
    config["services"].push_back({{"name", "bitacora"}});
    config["hosts"][0]["paths"][0]["traffic-split"] =
        Json::array({{{"service", "rondas"}, {"weight", 1 - share}},
                     {{"service", "bitacora"}, {"weight", share}}});
    world_.store().Put("config", "main", config);
    Wait(kApplyTime);
    const int before = other.arrivals();
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = "w" + std::to_string(++requests);
      EXPECT_EQ(Status(RequestText("GET", "/read/" + id, id)), 200);
    }
    EXPECT_NEAR(static_cast<double>(other.arrivals() - before) / kRequests,
                share, kMaxShareError);
  }
}

}  // namespace
}  // namespace sassafras
