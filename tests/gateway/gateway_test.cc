// Tests gateway processes against stand-ins of the platform, by what callers
// and endpoints receive.

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

TEST_F(GatewayTest, AnswerIsForwardedUnchanged) {
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
  endpoints_[0]->set_work_time(milliseconds(120));
  caller->Send(text);
  ASSERT_TRUE(WaitAnswers(*caller, 9));
  for (size_t i = 0; i < 9; ++i)
    EXPECT_EQ(caller->answers()[i].body, "answer to p" + std::to_string(i));
}

struct MisbehaviorCase {
  const char* name;
  StandinBehavior act;
  int read_status;
  size_t read_runs;
  int charge_status;
  size_t charge_runs;
};

// Both endpoints misbehave in the same way. A read is tried on both, a
// charge runs at most once, and a status that implies "not run" is answered
// only if no endpoint ran the request.
TEST_F(GatewayTest, MisbehavingEndpointsAreHandled) {
  StartOne(2);
  WaitUntilHostsAreKnown();
  const std::vector<MisbehaviorCase> cases = {
      {"shed", StandinBehavior::kShed, 503, 0, 503, 0},
      {"misdirected", StandinBehavior::kMisdirected, 503, 0, 503, 0},
      {"no answer", StandinBehavior::kCloseWithoutAnswer, 502, 2, 502, 1},
      {"truncated answer", StandinBehavior::kTruncatedBody, 502, 2, 502, 1},
      {"unsigned", StandinBehavior::kUnsigned, 502, 2, 502, 1},
      {"own 500", StandinBehavior::kServerError, 500, 2, 500, 1},
      {"503 without proof", StandinBehavior::kUnprovenRefusal, 502, 2, 502, 1},
      {"answer to another request first", StandinBehavior::kForeignAnswerFirst,
       200, 1, 200, 1},
      {"answer without length", StandinBehavior::kUnframed, 200, 1, 200, 1},
  };
  int n = 0;
  for (const MisbehaviorCase& it : cases) {
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
    SetAct(StandinBehavior::kAnswer);
    // Waits until the ejections have ended.
    world_.RunUntil(milliseconds(1200), [] { return false; });
  }
}

// An address that another endpoint has taken over gets no further requests, as
// each costs a retry, and the retries of all hosts are limited.
TEST_F(GatewayTest, MisdirectedRequestsAreFew) {
  StartOne(3);
  WaitUntilHostsAreKnown();
  endpoints_[0]->set_behavior(StandinBehavior::kMisdirected);
  for (int i = 0; i < 30; ++i) {
    const std::string n = std::to_string(i);
    EXPECT_EQ(Status(RequestText("POST", "/charge/" + n, "t" + n,
                                 "Cookie: Affinity-Key=" + n + "\r\n")),
              200);
  }
  EXPECT_LE(endpoints_[0]->arrivals(), 1);
}

// The first try may have run, and there is no endpoint for a second one. The
// caller must not get a status that implies that the request did not run.
TEST_F(GatewayTest, NoEndpointForSecondTryDoesNotImplyNotRun) {
  StartOne(1);
  int n = 0;
  for (const StandinBehavior act :
       {StandinBehavior::kCloseWithoutAnswer, StandinBehavior::kTruncatedBody,
        StandinBehavior::kUnsigned, StandinBehavior::kUnprovenRefusal}) {
    SCOPED_TRACE(static_cast<int>(act));
    SetAct(act);
    const size_t before = CountRuns();
    EXPECT_EQ(Status(RequestText("GET", "/read/1", "n" + std::to_string(++n))),
              502);
    EXPECT_EQ(CountRuns() - before, 1U);
    SetAct(StandinBehavior::kAnswer);
    // Waits until the ejection has ended.
    world_.RunUntil(milliseconds(1200), [] { return false; });
  }
}

// Endpoints send endless data. The caller gets an error or a truncated answer,
// the endpoint's connection is closed, and memory and CPU time stay bounded.
TEST_F(GatewayTest, EndlessAnswersAreAborted) {
  StartOne(2);
  struct Case {
    const char* name;
    StandinBehavior act;
    int status;  // 0: the answer is truncated.
    milliseconds time;
  };
  // The route's timeout is 2 s; data that is no answer must fail earlier.
  constexpr milliseconds kGiveUpTime{1000};
  constexpr milliseconds kTimeoutWithMargin{2500};
  const std::vector<Case> cases = {
      {"noise", StandinBehavior::kEndlessGarbage, 502, kGiveUpTime},
      {"head", StandinBehavior::kEndlessHead, 502, kGiveUpTime},
      {"line of the head", StandinBehavior::kEndlessHeadLine, 502, kGiveUpTime},
      {"empty lines", StandinBehavior::kEndlessEmptyLines, 502, kGiveUpTime},
      {"size of a chunk", StandinBehavior::kEndlessChunkSize, 502, kGiveUpTime},
      {"interim answers", StandinBehavior::kEndlessInterim, 502, kGiveUpTime},
      {"answer to another request", StandinBehavior::kEndlessForeignAnswer, 502,
       kGiveUpTime},
      {"not run", StandinBehavior::kEndlessShed, 503, kGiveUpTime},
      {"trailers", StandinBehavior::kEndlessTrailer, 502, kGiveUpTime},
      {"body", StandinBehavior::kEndlessBody, 0, kTimeoutWithMargin},
  };
  constexpr size_t kMaxMemoryGrowthBytes = 16 << 20;
  // CPU time that the smallest hosts (0.07 of a core) have in kGiveUpTime.
  constexpr milliseconds kMaxCpuTime{70};
  const size_t before = world_.ResidentMemoryOf(1);
  int n = 0;
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    SetAct(it.act);
    const Duration used = world_.CpuTimeOf(1);
    const auto caller = Connect();
    caller->Send(RequestText("GET", "/read/1", "e" + std::to_string(++n)));
    EXPECT_TRUE(world_.RunUntil(it.time, [&] {
      return !caller->answers().empty() || caller->is_closed();
    }));
    if (it.time == kGiveUpTime) {
      EXPECT_LE(Millis(world_.CpuTimeOf(1) - used), kMaxCpuTime.count());
    }
    EXPECT_EQ(caller->answers().empty() ? 0 : caller->answers()[0].head.status,
              it.status);
    EXPECT_TRUE(world_.RunUntil(milliseconds(500), [&] {
      return !endpoints_[0]->is_sending_endlessly() &&
             !endpoints_[1]->is_sending_endlessly();
    }));
    EXPECT_LT(world_.ResidentMemoryOf(1), before + kMaxMemoryGrowthBytes);
    SetAct(StandinBehavior::kAnswer);
    // Waits until the ejections have ended.
    world_.RunUntil(milliseconds(1200), [] { return false; });
  }
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "e99")), 200);
}

// Guards against endless answers that are held behind an unanswered request:
// each was held up to the limit for the answer that is being sent, and together
// they exceeded the memory of a host.
TEST_F(GatewayTest, EndlessAnswersBehindASlowOneHoldBoundedMemory) {
  // Half of the smallest hosts' memory; the rest is needed for everything else.
  constexpr size_t kMaxMemoryGrowthBytes = (112 << 20) / 2;
  constexpr int kCallers = 20;
  constexpr int kPipelined = 15;
  // Enough slots for all requests at once.
  constexpr int kEndpoints = 80;
  StartOne(kEndpoints);
  const size_t before = world_.ResidentMemoryOf(1);
  std::vector<std::unique_ptr<PlatformStandinCaller>> callers;
  for (PlatformStandinEndpoint* it : endpoints_)
    it->set_work_time(milliseconds(1700));
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(Connect());
    callers.back()->Send(
        RequestText("GET", "/read/1", "m" + std::to_string(i)));
  }
  ASSERT_TRUE(
      world_.RunUntil(kAnswerTimeout, [&] { return CountRuns() == kCallers; }));
  for (PlatformStandinEndpoint* it : endpoints_)
    it->set_work_time(milliseconds(5));
  SetAct(StandinBehavior::kEndlessBody);
  for (int k = 0; k < kPipelined; ++k) {
    for (int i = 0; i < kCallers; ++i) {
      callers[static_cast<size_t>(i)]->Send(
          RequestText("GET", "/read/" + std::to_string(k),
                      "m" + std::to_string(i) + "-" + std::to_string(k)));
    }
  }
  size_t most = 0;
  world_.RunUntil(milliseconds(1500), [&] {
    most = std::max(most, world_.ResidentMemoryOf(1));
    return false;
  });
  EXPECT_FALSE(world_.HasExited(1));
  EXPECT_LT(most, before + kMaxMemoryGrowthBytes);
}

TEST_F(GatewayTest, BadRequestsReachNoEndpoint) {
  StartOne();
  struct Case {
    const char* name;
    std::string text;
    int status;
  };
  const std::vector<Case> cases = {
      {"not HTTP", "hello there\r\n\r\n", 400},
      {"large head",
       RequestText("GET", "/read/1", "b1",
                   "X: " + std::string(5000, 'x') + "\r\n"),
       431},
      {"large body",
       "POST /upload/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: b2\r\n"
       "Content-Length: 99999999\r\n\r\n",
       413},
      {"no route", RequestText("GET", "/other/1", "b3"), 404},
      {"both length and chunked",
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

// Guards against a segmentation fault: a request with `Connection: close` was
// refused before its body was read, which closed the connection.
TEST_F(GatewayTest, EarlyRefusalWithConnectionCloseDoesNotCrash) {
  StartOne();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Status(RequestText("POST", "/other/1", "c" + std::to_string(i),
                                 "Connection: close\r\n", "body")),
              404);
  }
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "c99")), 200);
}

TEST_F(GatewayTest, LeavingCallerCancelsIdempotentWork) {
  StartOne();
  endpoints_[0]->set_work_time(seconds(1));
  const auto caller = Connect();
  caller->Send(RequestText("GET", "/read/1", "l1"));
  ASSERT_TRUE(world_.RunUntil(
      kAnswerTimeout, [&] { return endpoints_[0]->runs().size() == 1; }));
  caller->Disconnect();
  EXPECT_TRUE(world_.RunUntil(milliseconds(400),
                              [&] { return endpoints_[0]->cancelled() == 1; }));
}

// Guards against another try for a caller that has left: a charge was shed by
// its first endpoint and then sent to a second one.
TEST_F(GatewayTest, NoTryFollowsAfterTheCallerLeft) {
  StartOne(2);
  SetAct(StandinBehavior::kShed);
  for (PlatformStandinEndpoint* it : endpoints_)
    it->set_work_time(milliseconds(300));
  const auto caller = Connect();
  caller->Send(RequestText("POST", "/charge/1", "l2", "", "amount=1"));
  const auto arrivals = [&] {
    return endpoints_[0]->arrivals() + endpoints_[1]->arrivals();
  };
  ASSERT_TRUE(world_.RunUntil(kAnswerTimeout, [&] { return arrivals() == 1; }));
  caller->Disconnect();
  world_.RunUntil(milliseconds(900), [&] { return arrivals() > 1; });
  EXPECT_EQ(arrivals(), 1);
}

TEST_F(GatewayTest, RouteTimeoutIsEnforced) {
  StartOne();
  endpoints_[0]->set_work_time(seconds(10));
  const Time before = world_.loop().Now();
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "t1")), 504);
  const Duration took = world_.loop().Now() - before;
  EXPECT_GE(took, milliseconds(1950));
  EXPECT_LE(took, milliseconds(2250));
}

TEST_F(GatewayTest, MissingConfigurationGivesUnavailable) {
  world_.store().set_down(true);
  address_ = world_.StartGateway(1);
  ASSERT_TRUE(world_.Eventually(seconds(5), [&] {
    return Status(RequestText("GET", "/read/1", "n1")) != 0;
  }));
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "n2")), 503);
}

TEST_F(GatewayTest, NewRouteAppliesInTime) {
  StartOne();
  EXPECT_EQ(Status(RequestText("GET", "/late/1", "r1")), 404);
  world_.PutConfig(2, "/late/");
  EXPECT_TRUE(world_.Eventually(seconds(2), [&] {
    return Status(RequestText("GET", "/late/1", "r2")) == 200;
  }));
  // An older version in the store must not be applied.
  world_.PutConfig(1);
  world_.RunUntil(seconds(1), [] { return false; });
  EXPECT_EQ(Status(RequestText("GET", "/late/1", "r3")), 200);
}

// Guards against stale state after the store compacts its history: watches
// missed a change, and hosts used the old state for eight seconds.
TEST_F(GatewayTest, ChangeMissedByWatchesIsFound) {
  StartOne();
  world_.RunUntil(seconds(2), [] { return false; });
  world_.store().DropWatchEvents();
  world_.PutConfig(2, "/late/");
  world_.store().DropHistory();
  EXPECT_TRUE(world_.Eventually(milliseconds(3500), [&] {
    return Status(RequestText("GET", "/late/1", "h1")) == 200;
  }));
}

// Guards against an out-of-memory failure seen with 3,000 endpoints: hosts took
// a list of several pages for an empty one and requested all objects from the
// relays, which ran out of memory.
TEST_F(GatewayTest, ListOfSeveralPagesIsReadCompletely) {
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
  EXPECT_TRUE(reply->as_of.is_known());
}

TEST_F(GatewayTest, DrainingEndpointGetsNoNewRequests) {
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

TEST_F(GatewayTest, EvacuatedZoneGetsNoRequests) {
  StartOne();
  world_.store().Put("evacuations", "cuyo-a", nlohmann::json::object());
  world_.RunUntil(seconds(1), [] { return false; });
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "e1")), 503);
  world_.store().Delete("evacuations", "cuyo-a");
  EXPECT_TRUE(world_.Eventually(seconds(3), [&] {
    return Status(RequestText("GET", "/read/1", "e2")) == 200;
  }));
}

TEST_F(GatewayTest, StopFinishesOpenRequestsAndAcceptsUntilExit) {
  StartOne();
  endpoints_[0]->set_work_time(milliseconds(700));
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

// Guards against lost requests, found by the soak test with seed 6 and seen on
// the akane site: a stopping host closed the connection after the first answer
// while the next request was running at an endpoint.
TEST_F(GatewayTest, StopAnswersDispatchedPipelinedRequests) {
  StartOne(2);
  for (PlatformStandinEndpoint* it : endpoints_)
    it->set_work_time(milliseconds(500));
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

// Guards against a request that arrives late in a stop and is cut off by the
// exit of the process, which the code allowed. One request was lost on the
// rodantes site (run scale-2); its cause was not found.
TEST_F(GatewayTest, RequestTooLongForTheStopIsRefusedAtOnce) {
  StartOne();
  endpoints_[0]->set_work_time(milliseconds(1200));
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

// A read that crashes each endpoint that runs it is tried twice until the hosts
// have learned of it. From then on, every host refuses it at once. Other
// requests keep their second try.
TEST_F(GatewayTest, CrashingReadIsNotSentAgainByAnyHost) {
  world_.PutConfig(1);
  for (int i = 0; i < 5; ++i)
    endpoints_.push_back(&world_.AddEndpoint("rondas"));
  for (int i = 1; i <= 2; ++i)
    address_ = world_.StartGateway(i);
  for (int i = 1; i <= 2; ++i)
    ASSERT_TRUE(world_.WaitReady(i)) << i;
  WaitUntilHostsAreKnown();
  SetAct(StandinBehavior::kCloseWithoutAnswer);
  address_ = world_.CallerAddressOf(1);
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "c1")), 502);
  EXPECT_EQ(CountRuns(), 2U);
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "c2")), 502);
  // The platform's stable window, within which all hosts must learn of it.
  world_.RunUntil(seconds(4), [] { return false; });
  for (int i = 1; i <= 2; ++i) {
    SCOPED_TRACE(i);
    address_ = world_.CallerAddressOf(i);
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

// SIGHUP reloads the settings. An invalid file changes nothing, and the log
// names the line and the field.
TEST_F(GatewayTest, SettingsAreReloadedAfterSighup) {
  StartOne();
  const auto lookup = [&] {
    PlatformStandinCaller caller(world_.loop(), world_.DirectoryAddressOf(1));
    caller.Send("GET " + std::string(platform::kDirectoryPath) +
                " HTTP/1.1\r\nHost: h\r\n\r\n");
    world_.RunUntil(kAnswerTimeout, [&] { return !caller.answers().empty(); });
    return caller.answers().empty() ? "" : caller.answers()[0].body;
  };
  const auto log = [&] {
    std::ostringstream os;
    os << std::ifstream(world_.LogPathOf(1)).rdbuf();
    return os.str();
  };
  // The gateway's own limit of the TTL is lower than the platform's.
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

// All hosts are killed at once. When they start again, the store is unavailable
// and holds a new configuration.
TEST_F(GatewayTest, HostsRecoverFromSimultaneousPowerLoss) {
  constexpr int kHosts = 4;
  constexpr seconds kRecovery{15};  // Required by the platform's documentation.
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
    address_ = world_.CallerAddressOf(i);
    EXPECT_EQ(Status(RequestText("GET", "/v2/1", "p" + std::to_string(i))),
              503);
  }
  world_.store().set_down(false);
  for (int i = 1; i <= kHosts; ++i) {
    SCOPED_TRACE(i);
    address_ = world_.CallerAddressOf(i);
    EXPECT_TRUE(world_.Eventually(kRecovery, [&] {
      return Status(RequestText("GET", "/v2/1", "q" + std::to_string(i))) ==
             200;
    }));
  }
  EXPECT_LE(world_.loop().Now() - back, kRecovery);
}

// A host without a connection to the store learns of changes from its peers in
// time, whether it is a relay or not.
TEST_F(GatewayTest, HostWithoutStoreLearnsFromPeers) {
  constexpr int kHosts = 4;
  constexpr uint16_t kProxyPort = 8150;
  constexpr milliseconds kApplyTime{2000};  // The shortest limit of all sites.
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
    address_ = world_.CallerAddressOf(i);
    EXPECT_TRUE(world_.Eventually(kApplyTime, [&] {
      return Status(RequestText("GET", prefix + "1", "k" + prefix)) == 200;
    }));
    proxy.set_mode(ProxyMode::kPass);
    proxy.ResetAll();
    Wait(seconds(3));
  }
}

// A frozen host must not delay the others, also if it is a relay that they
// follow. A host that is killed and starts again while the store is unavailable
// learns from its peers.
TEST_F(GatewayTest, HostsFollowRelaysDespiteHostFailures) {
  world_.PutConfig(1);
  endpoints_.push_back(&world_.AddEndpoint("rondas"));
  constexpr int kHosts = 5;
  for (int i = 1; i <= kHosts; ++i)
    world_.StartGateway(i);
  for (int i = 1; i <= kHosts; ++i)
    ASSERT_TRUE(world_.WaitReady(i)) << i;
  world_.RunUntil(seconds(6), [] { return false; });
  const auto is_applied = [&](const std::string& path, int except) {
    return world_.Eventually(seconds(2), [&] {
      for (int i = 1; i <= kHosts; ++i) {
        address_ = world_.CallerAddressOf(i);
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
    EXPECT_TRUE(is_applied(prefix + "1", frozen));
    world_.Signal(frozen, SIGCONT);
    EXPECT_TRUE(is_applied(prefix + "1", 0));
  }
  world_.store().set_down(true);
  world_.Signal(2, SIGKILL);
  ASSERT_TRUE(world_.WaitEnd(2, seconds(2)));
  world_.StartGateway(2);
  EXPECT_TRUE(world_.WaitReady(2));
}

}  // namespace
}  // namespace sassafras
