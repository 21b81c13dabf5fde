// Hosts whose store comes back from an older copy, tested with gateway
// processes and judged by requests sent to each host.

#include <gtest/gtest.h>

#include "gateway/gateway_fixture.h"
#include "platform/platform.h"
#include "routing/restored_state.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Json = nlohmann::json;

constexpr int kHosts = 4;
// From the return of the store until a version must be in force, by the
// shortest limit that the platform's documentation states.
constexpr seconds kStableWindow{3};
// Until hosts that start together have chosen their relays.
constexpr seconds kSettleTime{4};
constexpr milliseconds kDownTime{1000};
constexpr int kReads = 30;

class RestoredStoreTest : public GatewayTest {
 protected:
  void StartHosts() {
    world_.PutConfig(1);
    for (const char* zone : {"cuyo-a", "pampa-a", "litoral-a"})
      endpoints_.push_back(&world_.AddEndpoint("rondas", zone));
    for (int i = 1; i <= kHosts; ++i)
      world_.StartGateway(i);
    for (int i = 1; i <= kHosts; ++i)
      ASSERT_TRUE(world_.WaitReady(i));
    Wait(kSettleTime);
  }

  // Other writers' changes, which the hosts follow.
  void WriteOthers(int n) {
    for (int i = 0; i < n; ++i)
      world_.store().Put("evacuations", "other", Json{{"n", ++writes_}});
    Wait(milliseconds(600));
  }

  // The store is away and comes back from its copy; `rewrite` is what the
  // owners of lost objects write before the hosts are served.
  void ComeBack(const std::function<void()>& rewrite = [] {}) {
    world_.store().set_down(true);
    Wait(kDownTime);
    world_.store().ComeBackFromCopy();
    rewrite();
    world_.store().set_down(false);
  }

  bool AllServe(const std::string& prefix) {
    for (int i = 1; i <= kHosts; ++i) {
      const std::string id = "v" + std::to_string(++requests_);
      if (StatusAt(i, RequestText("GET", prefix + "1", id)) != 200)
        return false;
    }
    return true;
  }

  // Sends reads of different objects to all hosts, one after the other.
  void SendReads() {
    for (int i = 0; i < kReads; ++i) {
      const std::string id = "o" + std::to_string(++requests_);
      EXPECT_EQ(StatusAt(1 + i % kHosts,
                         RequestText("GET", "/read/" + id, id,
                                     "Cookie: Affinity-Key=" + id + "\r\n")),
                200);
    }
  }

  void ExpectUnusedFor(const PlatformStandinEndpoint& endpoint, seconds time) {
    const Time end = world_.loop().Now() + time;
    const int before = endpoint.arrivals();
    while (world_.loop().Now() < end) {
      SendReads();
      Wait(milliseconds(200));
    }
    EXPECT_EQ(endpoint.arrivals(), before);
  }

  int writes_ = 0;
  int requests_ = 0;
};

// Incident 032.
TEST_F(RestoredStoreTest, VersionThatIsWrittenAgainIsInForce) {
  StartHosts();
  for (const int others : {5, 40}) {
    SCOPED_TRACE(others);
    const std::string prefix = "/v" + std::to_string(others) + "/";
    world_.store().TakeCopy();
    WriteOthers(others);
    ComeBack([&] { world_.PutConfig(1 + others, prefix); });
    EXPECT_TRUE(
        world_.Eventually(kStableWindow, [&] { return AllServe(prefix); }));
  }
}

// Incident 032. The store's revisions have passed those that the hosts know.
TEST_F(RestoredStoreTest, VersionBehindRevisionsThatCameAgainIsInForce) {
  StartHosts();
  world_.store().TakeCopy();
  WriteOthers(10);
  ComeBack([&] {
    world_.PutConfig(2, "/v2/");
    for (int i = 0; i < 40; ++i)
      world_.store().Put("evacuations", "other", Json{{"n", ++writes_}});
  });
  EXPECT_TRUE(
      world_.Eventually(kStableWindow, [&] { return AllServe("/v2/"); }));
}

// Incident 032.
TEST_F(RestoredStoreTest, HostThatStartsAfterwardsHasTheVersion) {
  StartHosts();
  world_.store().TakeCopy();
  WriteOthers(40);
  ComeBack([&] { world_.PutConfig(2, "/v2/"); });
  world_.Signal(kHosts, SIGKILL);
  ASSERT_TRUE(world_.WaitEnd(kHosts, seconds(3)));
  world_.StartGateway(kHosts);
  ASSERT_TRUE(world_.WaitReady(kHosts));
  EXPECT_TRUE(
      world_.Eventually(kStableWindow, [&] { return AllServe("/v2/"); }));
}

// Incident 032.
TEST_F(RestoredStoreTest, VersionIsNotReplacedByTheCopysOlderOne) {
  StartHosts();
  world_.store().TakeCopy();
  world_.PutConfig(2, "/v2/");
  ASSERT_TRUE(
      world_.Eventually(kStableWindow, [&] { return AllServe("/v2/"); }));
  ComeBack();
  const Time end = world_.loop().Now() + kStableWindow;
  while (world_.loop().Now() < end) {
    EXPECT_TRUE(AllServe("/v2/"));
    Wait(milliseconds(200));
  }
}

// Incident 032.
TEST_F(RestoredStoreTest, EndpointThatLeavesDoesNotComeBackByTheCopy) {
  StartHosts();
  world_.store().TakeCopy();
  Json draining = endpoints_[0]->Record("rondas", "cuyo-a");
  draining["state"] = "draining";
  world_.store().Put("servers", "i-1", draining);
  world_.store().Delete("servers", "i-2");
  WriteOthers(10);
  ComeBack();
  const int before = endpoints_[0]->arrivals();
  ExpectUnusedFor(*endpoints_[1], seconds(5));
  EXPECT_EQ(endpoints_[0]->arrivals(), before);
}

// Incident 032.
TEST_F(RestoredStoreTest, EvacuationHoldsUntilItIsWrittenAgain) {
  StartHosts();
  world_.store().TakeCopy();
  world_.store().Put("evacuations", "pampa-a", Json::object());
  WriteOthers(10);
  ComeBack();
  ExpectUnusedFor(*endpoints_[1], seconds(3));
  // Nobody writes it again.
  Wait(std::chrono::duration_cast<milliseconds>(kRestoredHoldTime));
  const int before = endpoints_[1]->arrivals();
  EXPECT_TRUE(world_.Eventually(kStableWindow, [&] {
    SendReads();
    return endpoints_[1]->arrivals() > before;
  }));
}

// Incident 032.
TEST_F(RestoredStoreTest, EndpointThatJoinedIsUsedUntilItIsWrittenAgain) {
  StartHosts();
  world_.store().TakeCopy();
  PlatformStandinEndpoint& joined = world_.AddEndpoint("rondas", "cuyo-a");
  WriteOthers(10);
  SendReads();
  ComeBack();
  Wait(milliseconds(500));
  world_.Register(joined, "rondas");
  Wait(kStableWindow);
  const int before = joined.arrivals();
  SendReads();
  EXPECT_GT(joined.arrivals(), before);
}

// Incident 032. Followers of the store waited for it to be back.
TEST_F(RestoredStoreTest, AllKindsAreReadAnewAtTheFirstAnswerOfAnEra) {
  const auto store =
      platform::ConnectStore(world_.loop(), world_.StoreAddress());
  const std::vector<std::string> kinds = {"ka", "kb", "kc"};
  std::map<std::string, std::string> values;
  std::map<std::string, Time> seen;
  std::vector<std::unique_ptr<Watch>> watches;
  watches.reserve(kinds.size());
  for (const std::string& kind : kinds)
    world_.store().Put(kind, "o", Json("first"));
  for (const std::string& kind : kinds) {
    watches.push_back(
        store->Follow(kind, {}, [&, kind](const StoreChange& change) {
          for (const StoreObject& it : change.objects) {
            values[kind] = it.value;
            if (it.value == "\"again\"" && seen.count(kind) == 0)
              seen[kind] = world_.loop().Now();
          }
        }));
  }
  ASSERT_TRUE(world_.RunUntil(seconds(2), [&] { return values.size() == 3; }));
  world_.store().TakeCopy();
  for (int i = 0; i < 5; ++i) {
    for (const std::string& kind : kinds)
      world_.store().Put(kind, "other", Json(i));
  }
  Wait(milliseconds(2000));
  world_.store().set_down(true);
  world_.store().EndWatches();
  Wait(milliseconds(1500));
  world_.store().ComeBackFromCopy();
  for (const std::string& kind : kinds)
    world_.store().Put(kind, "o", Json("again"));
  for (int i = 0; i < 60; ++i)
    world_.store().Put("elsewhere", "other", Json(i));
  world_.store().set_down(false);
  // As StoreCacheFeed::ProbeStore().
  bool is_probed = false;
  store->List({"probe", {}, ListFreshness::kMayBeStale},
              [&](const StoreReply&) { is_probed = true; });
  ASSERT_TRUE(world_.RunUntil(seconds(1), [&] { return is_probed; }));
  const Time probed = world_.loop().Now();
  ASSERT_TRUE(world_.RunUntil(seconds(5), [&] { return seen.size() == 3; }));
  for (const auto& [kind, at] : seen) {
    std::cout << kind << " " << Millis(at - probed) << " ms\n";
    EXPECT_LE(Millis(at - probed), 800) << kind;
  }
}

}  // namespace
}  // namespace sassafras
