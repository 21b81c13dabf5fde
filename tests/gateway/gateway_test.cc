// Gateway processes against stand-ins of the platform: what callers and
// endpoints see.

#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>
#include <set>
#include <sstream>

#include "gateway/gateway_fixture.h"
#include "platform/platform.h"
#include "soak/fault_proxy.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_F(GatewayTest, AnswerIsHandedOnUnchanged) {
  StartOne();
  const auto caller = Connect();
  caller->Send(RequestText("GET", "/read/1?q=2", "a1", "X-More: y\r\n"));
  ASSERT_TRUE(WaitAnswers(*caller, 1));
  const auto& answer = caller->answers()[0];
  EXPECT_EQ(answer.head.status, 200);
  EXPECT_EQ(answer.body, "answer to a1");
  EXPECT_EQ(*FindField(answer.head.fields, "Server-Seal"), "seal-a1");
  ASSERT_EQ(endpoints_[0]->runs().size(), 1U);
  const HttpHead& seen = endpoints_[0]->runs()[0].head;
  EXPECT_EQ(seen.target, "/read/1?q=2");
  EXPECT_EQ(*FindField(seen.fields, "X-More"), "y");
  EXPECT_EQ(*FindField(seen.fields, "Target-Instance"), "i-1");
  EXPECT_LE(std::stoi(*FindField(seen.fields, "Deadline-Ms")), 2000);
}

TEST_F(GatewayTest, BodiesOfAnySizeAndFramingArrive) {
  StartOne();
  const std::vector<size_t> sizes = {1, 1000, 300 << 10, 3 << 20};
  for (const size_t size : sizes) {
    SCOPED_TRACE(size);
    std::string body(size, 'x');
    for (size_t i = 0; i < size; i += 97)
      body[i] = static_cast<char>('a' + i % 26);
    const std::string id = "u" + std::to_string(size);
    EXPECT_EQ(Status(RequestText("POST", "/upload/1", id, "", body)), 200);
    ASSERT_FALSE(endpoints_[0]->runs().empty());
    EXPECT_EQ(endpoints_[0]->runs().back().body, body);

    const std::string chunked =
        RequestText("POST", "/upload/1", id + "c",
                    "Transfer-Encoding: chunked\r\n") +
        FormatChunk(body.substr(0, size / 2 + 1)) +
        (size > 1 ? FormatChunk(body.substr(size / 2 + 1)) : "") +
        std::string(kLastChunk);
    EXPECT_EQ(Status(chunked), 200);
    EXPECT_EQ(endpoints_[0]->runs().back().body, body);
  }
}

TEST_F(GatewayTest, PipelinedRequestsAreAnsweredInOrder) {
  StartOne(3);
  const auto caller = Connect();
  std::string text;
  for (int i = 0; i < 9; ++i) {
    text += RequestText("GET", "/read/" + std::to_string(i),
                        "p" + std::to_string(i),
                        "Cookie: Affinity-Key=" + std::to_string(i) + "\r\n");
  }
  endpoints_[0]->set_work(milliseconds(120));
  caller->Send(text);
  ASSERT_TRUE(WaitAnswers(*caller, 9));
  for (size_t i = 0; i < 9; ++i)
    EXPECT_EQ(caller->answers()[i].body, "answer to p" + std::to_string(i));
}

struct ActCase {
  const char* name;
  StandinAct act;
  int read_status;
  size_t read_runs;
  int charge_status;
  size_t charge_runs;
};

// Two endpoints that misbehave alike: a read is tried on both, a charge runs
// once at most, and "not run" is said only if it is true.
TEST_F(GatewayTest, EndpointsThatMisbehave) {
  StartOne(2);
  WaitUntilHostsAreKnown();
  const std::vector<ActCase> cases = {
      {"shed", StandinAct::kShed, 503, 0, 503, 0},
      {"misdirected", StandinAct::kMisdirected, 503, 0, 503, 0},
      {"break", StandinAct::kBreak, 502, 2, 502, 1},
      {"half an answer", StandinAct::kHalfAnswer, 502, 2, 502, 1},
      {"unsigned", StandinAct::kUnsigned, 502, 2, 502, 1},
      {"own failure", StandinAct::kFail, 500, 2, 500, 1},
      {"503 without proof", StandinAct::kUnproven, 502, 2, 502, 1},
      {"another's answer first", StandinAct::kForeign, 200, 1, 200, 1},
      {"no length", StandinAct::kUnframed, 200, 1, 200, 1},
  };
  int n = 0;
  for (const ActCase& it : cases) {
    SCOPED_TRACE(it.name);
    SetAct(it.act);
    const size_t before = CountRuns();
    EXPECT_EQ(Status(RequestText("GET", "/read/1", "m" + std::to_string(++n))),
              it.read_status);
    EXPECT_EQ(CountRuns() - before, it.read_runs);
    const size_t between = CountRuns();
    EXPECT_EQ(Status(RequestText("POST", "/charge/1", "m" + std::to_string(++n),
                                 "", "amount=1")),
              it.charge_status);
    EXPECT_EQ(CountRuns() - between, it.charge_runs);
    SetAct(StandinAct::kAnswer);
    // Ejected endpoints come back.
    world_.RunUntil(milliseconds(1200), [] { return false; });
  }
}

// The first try may have run, and there is no endpoint for a second one: the
// caller is not told that the request has not run.
TEST_F(GatewayTest, NoPlaceForAnotherTryIsNoProofOfNotRunning) {
  StartOne(1);
  int n = 0;
  for (const StandinAct act : {StandinAct::kBreak, StandinAct::kHalfAnswer,
                               StandinAct::kUnsigned, StandinAct::kUnproven}) {
    SCOPED_TRACE(static_cast<int>(act));
    SetAct(act);
    const size_t before = CountRuns();
    EXPECT_EQ(Status(RequestText("GET", "/read/1", "n" + std::to_string(++n))),
              502);
    EXPECT_EQ(CountRuns() - before, 1U);
    SetAct(StandinAct::kAnswer);
    // The ejected endpoint comes back.
    world_.RunUntil(milliseconds(1200), [] { return false; });
  }
}

// Bytes that are no answer and never end: the caller gets a true end of its
// own, the connection is closed, and memory stays bounded.
TEST_F(GatewayTest, AnswersWithoutEndAreGivenUp) {
  StartOne(2);
  struct Case {
    const char* name;
    StandinAct act;
    int status;  // 0: the answer breaks off.
    milliseconds time;
  };
  // The route's timeout is 2 s; what is no answer is given up before.
  constexpr milliseconds kSoon{1000};
  constexpr milliseconds kTimeout{2500};
  const std::vector<Case> cases = {
      {"noise", StandinAct::kEndlessNoise, 502, kSoon},
      {"head", StandinAct::kEndlessHead, 502, kSoon},
      {"interim answers", StandinAct::kEndlessInterim, 502, kSoon},
      {"another's answer", StandinAct::kEndlessForeign, 502, kSoon},
      {"not run", StandinAct::kEndlessShed, 503, kSoon},
      {"trailers", StandinAct::kEndlessTrailer, 502, kSoon},
      {"body", StandinAct::kEndlessBody, 0, kTimeout},
  };
  constexpr size_t kMostGrowth = 16 << 20;
  // What the smallest hosts (0.07 of a core) have within kSoon.
  constexpr milliseconds kMostProcessor{70};
  const size_t before = world_.MemoryOf(1);
  int n = 0;
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    SetAct(it.act);
    const Duration used = world_.ProcessorTimeOf(1);
    const auto caller = Connect();
    caller->Send(RequestText("GET", "/read/1", "e" + std::to_string(++n)));
    EXPECT_TRUE(world_.RunUntil(it.time, [&] {
      return !caller->answers().empty() || caller->is_closed();
    }));
    if (it.time == kSoon) {
      EXPECT_LE(Millis(world_.ProcessorTimeOf(1) - used),
                kMostProcessor.count());
    }
    EXPECT_EQ(caller->answers().empty() ? 0 : caller->answers()[0].head.status,
              it.status);
    EXPECT_TRUE(world_.RunUntil(milliseconds(500), [&] {
      return !endpoints_[0]->is_sending_endlessly() &&
             !endpoints_[1]->is_sending_endlessly();
    }));
    EXPECT_LT(world_.MemoryOf(1), before + kMostGrowth);
    SetAct(StandinAct::kAnswer);
    // Ejected endpoints come back.
    world_.RunUntil(milliseconds(1200), [] { return false; });
  }
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "e99")), 200);
}

TEST_F(GatewayTest, BadRequestsReachNoEndpoint) {
  StartOne();
  struct Case {
    const char* name;
    std::string text;
    int status;
  };
  const std::vector<Case> cases = {
      {"no HTTP", "hello there\r\n\r\n", 400},
      {"large head",
       RequestText("GET", "/read/1", "b1",
                   "X: " + std::string(5000, 'x') + "\r\n"),
       431},
      {"large body",
       "POST /upload/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: b2\r\n"
       "Content-Length: 99999999\r\n\r\n",
       413},
      {"no route", RequestText("GET", "/other/1", "b3"), 404},
      {"length and chunks",
       "POST /upload/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: b4\r\n"
       "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400},
      {"slow head", "GET /read/1 HTTP/1.1\r\nHost: h.exa", 408},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    EXPECT_EQ(Status(it.text), it.status);
  }
  EXPECT_EQ(endpoints_[0]->arrivals(), 0);
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "b9")), 200);
}

// A request that is answered at once and closes its connection, with its body
// still to come (seen: the process ended with a segmentation fault).
TEST_F(GatewayTest, RefusedRequestThatClosesItsConnection) {
  StartOne();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Status(RequestText("POST", "/other/1", "c" + std::to_string(i),
                                 "Connection: close\r\n", "body")),
              404);
  }
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "c99")), 200);
}

TEST_F(GatewayTest, CallerThatLeavesCancelsRepeatableWork) {
  StartOne();
  endpoints_[0]->set_work(seconds(1));
  const auto caller = Connect();
  caller->Send(RequestText("GET", "/read/1", "l1"));
  ASSERT_TRUE(world_.RunUntil(
      kAnswerTimeout, [&] { return endpoints_[0]->runs().size() == 1; }));
  caller->Leave();
  EXPECT_TRUE(world_.RunUntil(milliseconds(400),
                              [&] { return endpoints_[0]->cancelled() == 1; }));
}

// Seen on the grown site: a charge whose caller had left was shed by its first
// endpoint and then sent to a second one.
TEST_F(GatewayTest, NoTryFollowsOnceTheCallerHasLeft) {
  StartOne(2);
  SetAct(StandinAct::kShed);
  for (PlatformStandinEndpoint* it : endpoints_)
    it->set_work(milliseconds(300));
  const auto caller = Connect();
  caller->Send(RequestText("POST", "/charge/1", "l2", "", "amount=1"));
  const auto arrivals = [&] {
    return endpoints_[0]->arrivals() + endpoints_[1]->arrivals();
  };
  ASSERT_TRUE(world_.RunUntil(kAnswerTimeout, [&] { return arrivals() == 1; }));
  caller->Leave();
  world_.RunUntil(milliseconds(900), [&] { return arrivals() > 1; });
  EXPECT_EQ(arrivals(), 1);
}

TEST_F(GatewayTest, TimeoutOfTheRouteIsKept) {
  StartOne();
  endpoints_[0]->set_work(seconds(10));
  const Time before = world_.loop().Now();
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "t1")), 504);
  const Duration took = world_.loop().Now() - before;
  EXPECT_GE(took, milliseconds(1950));
  EXPECT_LE(took, milliseconds(2250));
}

TEST_F(GatewayTest, NoConfigurationIsNoReasonToDenyARoute) {
  world_.store().set_down(true);
  address_ = world_.StartGateway(1);
  ASSERT_TRUE(world_.Eventually(seconds(5), [&] {
    return Status(RequestText("GET", "/read/1", "n1")) != 0;
  }));
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "n2")), 503);
}

TEST_F(GatewayTest, NewRouteIsInForceInTime) {
  StartOne();
  EXPECT_EQ(Status(RequestText("GET", "/late/1", "r1")), 404);
  world_.PutConfig(2, "/late/");
  EXPECT_TRUE(world_.Eventually(seconds(2), [&] {
    return Status(RequestText("GET", "/late/1", "r2")) == 200;
  }));
  // An older version never comes back.
  world_.PutConfig(1);
  world_.RunUntil(seconds(1), [] { return false; });
  EXPECT_EQ(Status(RequestText("GET", "/late/1", "r3")), 200);
}

// Seen on days that compact the store: the change was made while watches
// heard nothing, and hosts went on with the old state for eight seconds.
TEST_F(GatewayTest, ChangeThatNoWatchWasToldOfIsFound) {
  StartOne();
  world_.RunUntil(seconds(2), [] { return false; });
  world_.store().DeafenWatches();
  world_.PutConfig(2, "/late/");
  world_.store().DropHistory();
  EXPECT_TRUE(world_.Eventually(milliseconds(3500), [&] {
    return Status(RequestText("GET", "/late/1", "h1")) == 200;
  }));
}

// Seen at 3,000 endpoints (sweep): hosts took a list of several pages for none
// and asked the relays for everything, which ran out of memory.
TEST_F(GatewayTest, ListOfManyPagesIsReadWhole) {
  world_.store().set_page_size(2);
  for (int i = 0; i < 5; ++i)
    world_.AddEndpoint("rondas");
  const auto store =
      platform::ConnectStore(world_.loop(), world_.StoreAddress());
  std::optional<StoreReply> reply;
  store->List({platform::kEndpointKind},
              [&](const StoreReply& it) { reply = it; });
  ASSERT_TRUE(
      world_.RunUntil(kAnswerTimeout, [&] { return reply.has_value(); }));
  EXPECT_EQ(reply->status, StoreStatus::kOk);
  EXPECT_EQ(reply->objects.size(), 5U);
  EXPECT_GT(reply->as_of, 0U);
}

TEST_F(GatewayTest, EndpointThatLeavesGetsNothingNew) {
  StartOne(2);
  nlohmann::json record = endpoints_[0]->Record("rondas", "cuyo-a");
  record["state"] = "draining";
  world_.store().Put("servers", "i-1", record);
  world_.RunUntil(seconds(1), [] { return false; });
  const int before = endpoints_[0]->arrivals();
  for (int i = 0; i < 20; ++i) {
    const std::string n = std::to_string(i);
    EXPECT_EQ(Status(RequestText("GET", "/read/" + n, "d" + n,
                                 "Cookie: Affinity-Key=" + n + "\r\n")),
              200);
  }
  EXPECT_EQ(endpoints_[0]->arrivals(), before);
}

TEST_F(GatewayTest, EvacuatedZoneGetsNothing) {
  StartOne();
  world_.store().Put("evacuations", "cuyo-a", nlohmann::json::object());
  world_.RunUntil(seconds(1), [] { return false; });
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "e1")), 503);
  world_.store().Delete("evacuations", "cuyo-a");
  EXPECT_TRUE(world_.Eventually(seconds(3), [&] {
    return Status(RequestText("GET", "/read/1", "e2")) == 200;
  }));
}

TEST_F(GatewayTest, StopFinishesWhatItHasAndAcceptsUntilTheEnd) {
  StartOne();
  endpoints_[0]->set_work(milliseconds(700));
  const auto open = Connect();
  open->Send(RequestText("POST", "/charge/1", "s1", "", "amount=1"));
  ASSERT_TRUE(world_.RunUntil(
      kAnswerTimeout, [&] { return endpoints_[0]->runs().size() == 1; }));
  world_.Signal(1, SIGTERM);
  world_.RunUntil(milliseconds(100), [] { return false; });
  const auto late = Connect();
  late->Send(RequestText("GET", "/read/1", "s2"));
  ASSERT_TRUE(WaitAnswers(*open, 1));
  EXPECT_EQ(open->answers()[0].head.status, 200);
  ASSERT_TRUE(WaitAnswers(*late, 1));
  EXPECT_EQ(late->answers()[0].head.status, 200);
  EXPECT_EQ(*FindField(late->answers()[0].head.fields, "Connection"), "close");
  EXPECT_TRUE(world_.WaitEnd(1, seconds(4)));
}

// Found by the soak (seed 6) and seen as LOST on the grown akane site: a stop
// closed the connection behind the first answer while the next request was on
// an endpoint.
TEST_F(GatewayTest, StopAnswersPipelinedRequestsThatWereSentOn) {
  StartOne(2);
  for (PlatformStandinEndpoint* it : endpoints_)
    it->set_work(milliseconds(500));
  const auto caller = Connect();
  for (const char* id : {"w1", "w2", "w3"})
    caller->Send(RequestText("GET", "/read/1", id));
  ASSERT_TRUE(
      world_.RunUntil(kAnswerTimeout, [&] { return CountRuns() == 3; }));
  world_.Signal(1, SIGTERM);
  EXPECT_TRUE(WaitAnswers(*caller, 3));
  EXPECT_EQ(CountRuns(), 3U);
  ASSERT_EQ(caller->answers().size(), 3U);
  EXPECT_TRUE(caller->answers()[1].head.keep_alive);
  EXPECT_FALSE(caller->answers()[2].head.keep_alive);
}

// LOST was seen once on the grown rodantes site (scale-2) and not traced; that
// a request which comes late in a stop could be cut follows from the code.
TEST_F(GatewayTest, RequestThatCannotEndBeforeTheStopIsRefusedAtOnce) {
  StartOne();
  endpoints_[0]->set_work(milliseconds(1200));
  const auto caller = Connect();
  caller->Send(RequestText("GET", "/read/1", "x1"));
  ASSERT_TRUE(WaitAnswers(*caller, 1));
  world_.Signal(1, SIGTERM);
  // Three seconds are left at the signal; this answer would take longer.
  world_.RunUntil(milliseconds(1800), [] { return false; });
  const auto late = Connect();
  late->Send(RequestText("GET", "/read/1", "x2"));
  ASSERT_TRUE(world_.RunUntil(milliseconds(300),
                              [&] { return !late->answers().empty(); }));
  EXPECT_EQ(late->answers()[0].head.status, 503);
  EXPECT_TRUE(FindField(late->answers()[0].head.fields, "Retry-After"));
  EXPECT_EQ(endpoints_[0]->runs().size(), 1U);
}

// A read that breaks each endpoint which runs it is tried twice until the hosts
// know it, and refused at once from then on, whichever host it comes to. Other
// requests keep their second try.
TEST_F(GatewayTest, ReadThatBreaksEndpointsIsNotSentAgainByAnyHost) {
  world_.PutConfig(1);
  for (int i = 0; i < 5; ++i)
    endpoints_.push_back(&world_.AddEndpoint("rondas"));
  for (int i = 1; i <= 2; ++i)
    address_ = world_.StartGateway(i);
  for (int i = 1; i <= 2; ++i)
    ASSERT_TRUE(world_.WaitReady(i)) << i;
  WaitUntilHostsAreKnown();
  SetAct(StandinAct::kBreak);
  address_ = world_.CallersOf(1);
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "c1")), 502);
  EXPECT_EQ(CountRuns(), 2U);
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "c2")), 502);
  // Within the platform's stable window, all hosts know.
  world_.RunUntil(seconds(4), [] { return false; });
  for (int i = 1; i <= 2; ++i) {
    SCOPED_TRACE(i);
    address_ = world_.CallersOf(i);
    const size_t before = CountRuns();
    const auto caller = Connect();
    caller->Send(RequestText("GET", "/read/1", "c3" + std::to_string(i)));
    ASSERT_TRUE(WaitAnswers(*caller, 1));
    const HttpHead& head = caller->answers()[0].head;
    EXPECT_EQ(head.status, 503);
    EXPECT_TRUE(FindField(head.fields, "Retry-After"));
    EXPECT_EQ(CountRuns() - before, 0U);
  }
  const size_t before = CountRuns();
  EXPECT_EQ(Status(RequestText("GET", "/read/2", "c4")), 502);
  EXPECT_EQ(CountRuns() - before, 2U);
}

// Settings are read again after SIGHUP; a faulty file changes nothing, and its
// fault is told by line and field.
TEST_F(GatewayTest, SettingsAreReadAgainAfterASignal) {
  StartOne();
  const auto lookup = [&] {
    PlatformStandinCaller caller(world_.loop(), world_.DirectoryOf(1));
    caller.Send("GET " + std::string(platform::kDirectoryPath) +
                " HTTP/1.1\r\nHost: h\r\n\r\n");
    world_.RunUntil(kAnswerTimeout, [&] { return !caller.answers().empty(); });
    return caller.answers().empty() ? "" : caller.answers()[0].body;
  };
  const auto log = [&] {
    std::ostringstream os;
    os << std::ifstream(world_.LogOf(1)).rdbuf();
    return os.str();
  };
  // The product's own limit is below the platform's.
  EXPECT_NE(lookup().find(":1.5}"), std::string::npos) << lookup();
  world_.set_directory_ttl_s(1);
  world_.WriteSettings(1, "limits.memory-mb=none\n");
  world_.Signal(1, SIGHUP);
  EXPECT_TRUE(world_.RunUntil(seconds(1), [&] {
    return log().find("limits.memory-mb") != std::string::npos;
  })) << log();
  EXPECT_NE(lookup().find(":1.5}"), std::string::npos) << lookup();
  world_.WriteSettings(1, "");
  world_.Signal(1, SIGHUP);
  EXPECT_TRUE(world_.Eventually(seconds(1), [&] {
    return lookup().find(":1.0}") != std::string::npos;
  })) << lookup();
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "s1")), 200);
}

// All hosts lose power at once, the store is away when they are back, and a
// configuration came meanwhile.
TEST_F(GatewayTest, HostsRecoverFromALossOfAllPower) {
  constexpr int kHosts = 4;
  constexpr seconds kRecovery{15};  // From the platform's pages.
  world_.PutConfig(1);
  endpoints_.push_back(&world_.AddEndpoint("rondas"));
  for (int i = 1; i <= kHosts; ++i)
    world_.StartGateway(i);
  for (int i = 1; i <= kHosts; ++i)
    ASSERT_TRUE(world_.WaitReady(i)) << i;
  for (int i = 1; i <= kHosts; ++i)
    world_.Signal(i, SIGKILL);
  for (int i = 1; i <= kHosts; ++i)
    ASSERT_TRUE(world_.WaitEnd(i, seconds(2))) << i;
  world_.PutConfig(2, "/v2/");
  world_.store().set_down(true);
  for (int i = 1; i <= kHosts; ++i)
    world_.StartGateway(i);
  const Time back = world_.loop().Now();
  world_.RunUntil(seconds(1), [] { return false; });
  for (int i = 1; i <= kHosts; ++i) {
    address_ = world_.CallersOf(i);
    EXPECT_EQ(Status(RequestText("GET", "/v2/1", "p" + std::to_string(i))),
              503);
  }
  world_.store().set_down(false);
  for (int i = 1; i <= kHosts; ++i) {
    SCOPED_TRACE(i);
    address_ = world_.CallersOf(i);
    EXPECT_TRUE(world_.Eventually(kRecovery, [&] {
      return Status(RequestText("GET", "/v2/1", "q" + std::to_string(i))) ==
             200;
    }));
  }
  EXPECT_LE(world_.loop().Now() - back, kRecovery);
}

// A host that is cut off from the store learns of changes from the others in
// time, whether it is a relay or not.
TEST_F(GatewayTest, HostThatLosesTheStoreHearsTheOthers) {
  constexpr int kHosts = 4;
  constexpr uint16_t kProxyPort = 8150;
  constexpr milliseconds kApplyTime{2000};  // The shortest of the sites.
  world_.PutConfig(1);
  endpoints_.push_back(&world_.AddEndpoint("rondas"));
  std::vector<std::unique_ptr<FaultProxy>> proxies;
  for (int i = 1; i <= kHosts; ++i) {
    const Address listen = world_.HostAddress(i, kProxyPort);
    proxies.push_back(std::make_unique<FaultProxy>(world_.loop(), listen,
                                                   world_.StoreAddress()));
    world_.SetStoreAddress(i, listen);
    world_.StartGateway(i);
  }
  for (int i = 1; i <= kHosts; ++i)
    ASSERT_TRUE(world_.WaitReady(i)) << i;
  Wait(seconds(6));
  for (int i = 1; i <= kHosts; ++i) {
    SCOPED_TRACE(i);
    FaultProxy& proxy = *proxies[static_cast<size_t>(i - 1)];
    proxy.set_mode(ProxyMode::kSilent);
    const std::string prefix = "/v" + std::to_string(i) + "/";
    world_.PutConfig(1 + i, prefix);
    address_ = world_.CallersOf(i);
    EXPECT_TRUE(world_.Eventually(kApplyTime, [&] {
      return Status(RequestText("GET", prefix + "1", "k" + prefix)) == 200;
    }));
    proxy.set_mode(ProxyMode::kPass);
    proxy.ResetAll();
    Wait(seconds(3));
  }
}

// Hosts that follow relays: one that is killed, frozen or restarted delays no
// other, and a host that starts while the store is away learns from its peers.
TEST_F(GatewayTest, HostsFollowRelaysThroughLosses) {
  world_.PutConfig(1);
  endpoints_.push_back(&world_.AddEndpoint("rondas"));
  constexpr int kHosts = 5;
  for (int i = 1; i <= kHosts; ++i)
    world_.StartGateway(i);
  for (int i = 1; i <= kHosts; ++i)
    ASSERT_TRUE(world_.WaitReady(i)) << i;
  world_.RunUntil(seconds(6), [] { return false; });
  const auto in_force = [&](const std::string& path, int except) {
    return world_.Eventually(seconds(2), [&] {
      for (int i = 1; i <= kHosts; ++i) {
        address_ = world_.CallersOf(i);
        if (i != except && Status(RequestText("GET", path, "f" + path)) != 200)
          return false;
      }
      return true;
    });
  };
  for (int frozen = 1; frozen <= kHosts; ++frozen) {
    SCOPED_TRACE(frozen);
    world_.Signal(frozen, SIGSTOP);
    const std::string prefix = "/v" + std::to_string(frozen) + "/";
    world_.PutConfig(1 + frozen, prefix);
    EXPECT_TRUE(in_force(prefix + "1", frozen));
    world_.Signal(frozen, SIGCONT);
    EXPECT_TRUE(in_force(prefix + "1", 0));
  }
  world_.store().set_down(true);
  world_.Signal(2, SIGKILL);
  ASSERT_TRUE(world_.WaitEnd(2, seconds(2)));
  world_.StartGateway(2);
  EXPECT_TRUE(world_.WaitReady(2));
}

}  // namespace
}  // namespace sassafras
