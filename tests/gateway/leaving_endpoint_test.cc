// Endpoints that say in their answers that they are leaving, tested with
// gateway processes. What the store says meanwhile does not matter.

#include <gtest/gtest.h>
#include <signal.h>

#include <set>

#include "gateway/gateway_fixture.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LeavingEndpointTest : public GatewayTest {
 protected:
  std::string NextId() { return "n" + std::to_string(++requests_); }

  int SendOne(const std::string& method,
              const std::string& prefix,
              int object) {
    const std::string key = std::to_string(object);
    return Status(RequestText(method, prefix + key, NextId(),
                              "Cookie: Affinity-Key=" + key + "\r\n",
                              method == "POST" ? "amount=1" : ""));
  }

  // Sends requests of different objects until `endpoint` has received one more.
  bool ReachEndpoint(const PlatformStandinEndpoint& endpoint,
                     const std::string& method,
                     const std::string& prefix) {
    const int before = endpoint.arrivals();
    for (int i = 0; i < 60 && endpoint.arrivals() == before; ++i)
      SendOne(method, prefix, i);
    return endpoint.arrivals() > before;
  }

  // Sends reads and charges of `n` objects in turn and returns how many of them
  // were not answered 200.
  int CountUnserved(int n) {
    int unserved = 0;
    for (int i = 0; i < n; ++i) {
      const bool is_read = i % 2 == 0;
      unserved += SendOne(is_read ? "GET" : "POST",
                          is_read ? "/read/" : "/charge/", i) != 200;
    }
    return unserved;
  }

  // Waits until the new incarnation of `endpoint` gets requests.
  void ExpectRequestsAgain(const PlatformStandinEndpoint& endpoint) {
    EXPECT_TRUE(world_.Eventually(
        seconds(6), [&] { return ReachEndpoint(endpoint, "GET", "/read/"); }));
  }

  int requests_ = 0;
};

// Incident 028.
TEST_F(LeavingEndpointTest, LeaverGetsNoRequestsWhateverTheStoreSays) {
  struct Case {
    const char* name;
    const char* method;
    const char* prefix;
    StandinBehavior behavior;
    bool uses_trailer;
  };
  const std::vector<Case> cases = {
      {"read", "GET", "/read/", StandinBehavior::kAnswer, false},
      {"charge", "POST", "/charge/", StandinBehavior::kAnswer, false},
      {"upload", "POST", "/upload/", StandinBehavior::kAnswer, false},
      {"download", "GET", "/download/", StandinBehavior::kAnswer, false},
      {"last part of a stream", "GET", "/read/", StandinBehavior::kAnswer,
       true},
      {"not found", "GET", "/read/", StandinBehavior::kNotFound, false},
      {"server error", "POST", "/charge/", StandinBehavior::kServerError,
       false},
      {"timeout", "POST", "/charge/", StandinBehavior::kTimeout, false},
      {"refusal", "POST", "/charge/", StandinBehavior::kShed, false},
      {"refusal, 429", "GET", "/read/", StandinBehavior::kShedTooMany, false},
      {"no length", "GET", "/read/", StandinBehavior::kUnframed, false},
  };
  constexpr int kRequestsAfter = 20;
  StartOne(3);
  PlatformStandinEndpoint& leaver = *endpoints_[0];
  for (const Case& it : cases) {
    for (const bool is_store_down : {false, true}) {
      SCOPED_TRACE(std::string(it.name) +
                   (is_store_down ? ", store down" : ""));
      leaver.set_leaving(true);
      leaver.set_behavior(it.behavior);
      leaver.set_uses_trailer(it.uses_trailer);
      world_.store().set_down(is_store_down);
      ASSERT_TRUE(ReachEndpoint(leaver, it.method, it.prefix));
      const int before = leaver.arrivals();
      EXPECT_EQ(CountUnserved(kRequestsAfter), 0);
      // The store's record says that it is ready.
      world_.Register(leaver, "rondas");
      EXPECT_EQ(CountUnserved(kRequestsAfter), 0);
      EXPECT_EQ(leaver.arrivals(), before);
      world_.store().set_down(false);
      leaver.set_behavior(StandinBehavior::kAnswer);
      leaver.set_uses_trailer(false);
      leaver.Restart();
      ExpectRequestsAgain(leaver);
    }
  }
}

TEST_F(LeavingEndpointTest, RecordThatLapsesAndReturnsDoesNotBringItBack) {
  StartOne(2);
  PlatformStandinEndpoint& leaver = *endpoints_[0];
  leaver.set_leaving(true);
  ASSERT_TRUE(ReachEndpoint(leaver, "GET", "/read/"));
  // Says it once and no more.
  leaver.set_leaving(false);
  const int before = leaver.arrivals();
  for (const bool is_store_down : {false, true}) {
    SCOPED_TRACE(is_store_down ? "lapses while the store is down" : "lapses");
    world_.store().set_down(is_store_down);
    world_.store().Delete("servers", "i-1");
    Wait(milliseconds(500));
    world_.store().set_down(false);
    Wait(milliseconds(500));
    world_.Register(leaver, "rondas");
    Wait(milliseconds(500));
    EXPECT_EQ(CountUnserved(20), 0);
    EXPECT_EQ(leaver.arrivals(), before);
  }
  leaver.Restart();
  ExpectRequestsAgain(leaver);
}

// Requests wait behind others, are retried, and use kept and new connections.
TEST_F(LeavingEndpointTest, BusyCallersReachItNoMoreOnceOneOfThemHasTheAnswer) {
  constexpr size_t kPipelined = 3;
  constexpr size_t kCallers = 9;
  StartOne(3);
  WaitUntilHostsAreKnown();
  PlatformStandinEndpoint& leaver = *endpoints_[0];
  endpoints_[1]->set_max_running(2);
  for (PlatformStandinEndpoint* it : endpoints_)
    it->set_work_time(milliseconds(40));
  leaver.set_leaving(true);
  std::vector<std::unique_ptr<PlatformStandinCaller>> callers(kCallers);
  std::vector<size_t> sent(kCallers);
  std::set<std::string> sent_after;
  bool is_known = false;
  world_.RunUntil(seconds(5), [&] {
    for (size_t i = 0; i < kCallers; ++i) {
      if (!callers[i] || callers[i]->is_closed()) {
        callers[i] = Connect();
        sent[i] = 0;
      }
      for (const auto& answer : callers[i]->answers())
        is_known = is_known || FindField(answer.head.fields, "Server-Leaving");
      if (callers[i]->answers().size() < sent[i])
        continue;
      for (size_t k = 0; k < kPipelined; ++k) {
        const std::string id = NextId();
        const bool is_read = i % 3 != 0;
        callers[i]->Send(RequestText(is_read ? "GET" : "POST",
                                     (is_read ? "/read/" : "/charge/") + id, id,
                                     "Cookie: Affinity-Key=" + id + "\r\n",
                                     is_read ? "" : "amount=1"));
        ++sent[i];
        if (is_known)
          sent_after.insert(id);
      }
    }
    return false;
  });
  EXPECT_TRUE(is_known);
  EXPECT_GT(sent_after.size(), 100U);
  for (const auto& it : leaver.all_arrivals())
    EXPECT_EQ(sent_after.count(it.request_id), 0U) << it.request_id;
}

TEST_F(LeavingEndpointTest, RequestsAreRefusedAtOnceWhenAllEndpointsLeave) {
  StartOne(2);
  for (PlatformStandinEndpoint* it : endpoints_) {
    it->set_leaving(true);
    ASSERT_TRUE(ReachEndpoint(*it, "GET", "/read/"));
  }
  const int before = endpoints_[0]->arrivals() + endpoints_[1]->arrivals();
  for (int i = 0; i < 10; ++i) {
    const auto caller = Connect();
    const Time sent_at = world_.loop().Now();
    caller->Send(RequestText(i % 2 == 0 ? "GET" : "POST",
                             i % 2 == 0 ? "/read/1" : "/charge/1", NextId()));
    ASSERT_TRUE(WaitAnswers(*caller, 1));
    EXPECT_LT(world_.loop().Now() - sent_at, milliseconds(500));
    EXPECT_EQ(caller->answers()[0].head.status, 503);
    EXPECT_TRUE(FindField(caller->answers()[0].head.fields, "Retry-After"));
  }
  EXPECT_EQ(endpoints_[0]->arrivals() + endpoints_[1]->arrivals(), before);
  endpoints_[1]->Restart();
  ExpectRequestsAgain(*endpoints_[1]);
}

TEST_F(LeavingEndpointTest, FrozenHostRemembersIt) {
  StartOne(2);
  PlatformStandinEndpoint& leaver = *endpoints_[0];
  leaver.set_leaving(true);
  ASSERT_TRUE(ReachEndpoint(leaver, "GET", "/read/"));
  const int before = leaver.arrivals();
  world_.Signal(1, SIGSTOP);
  world_.store().set_down(true);
  Wait(seconds(4));
  world_.Signal(1, SIGCONT);
  EXPECT_TRUE(world_.Eventually(
      seconds(5), [&] { return SendOne("GET", "/read/", 1) == 200; }));
  EXPECT_EQ(CountUnserved(20), 0);
  world_.store().set_down(false);
  Wait(seconds(1));
  EXPECT_EQ(CountUnserved(20), 0);
  EXPECT_EQ(leaver.arrivals(), before);
}

// Also those that start later.
TEST_F(LeavingEndpointTest, OtherHostsLearnOfIt) {
  StartOne(2);
  world_.StartGateway(2);
  ASSERT_TRUE(world_.WaitReady(2));
  WaitUntilHostsAreKnown();
  world_.store().set_down(true);
  PlatformStandinEndpoint& leaver = *endpoints_[0];
  leaver.set_leaving(true);
  ASSERT_TRUE(ReachEndpoint(leaver, "GET", "/read/"));
  Wait(seconds(1));
  const int before = leaver.arrivals();
  address_ = world_.CallerAddressOf(2);
  EXPECT_EQ(CountUnserved(20), 0);
  world_.store().set_down(false);
  world_.StartGateway(3);
  ASSERT_TRUE(world_.WaitReady(3));
  Wait(seconds(3));
  address_ = world_.CallerAddressOf(3);
  EXPECT_EQ(CountUnserved(20), 0);
  EXPECT_EQ(leaver.arrivals(), before);
}

}  // namespace
}  // namespace sassafras
