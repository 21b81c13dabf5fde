// Requests that crash each endpoint that runs them, tested with several gateway
// processes and stand-ins of callers and endpoints.

#include <gtest/gtest.h>
#include <signal.h>

#include "gateway/gateway_fixture.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 4;
constexpr int kEndpoints = 8;
constexpr size_t kCrashesBeforeStop = 3;
// Sends of the crashing request that the platform allows after kSettleTime.
constexpr size_t kMaxLateSends = 3;
// Longer than the platform's stable window of 4 s.
constexpr milliseconds kSettleTime{5000};
// At most this many provoke the first crashes; this many follow afterwards.
constexpr int kCrashingRequests = 12;
constexpr milliseconds kRequestPause{300};
// After this, a caller leaves a request that is not answered.
constexpr milliseconds kPatience{200};

constexpr char kCrashingId[] = "crash-";
constexpr char kOtherCaller[] = "Cookie: Affinity-Key=7; session=other\r\n";
constexpr char kSameCaller[] = "Cookie: Affinity-Key=7; session=own\r\n";

// A request that does not crash endpoints.
struct OtherRequest {
  const char* method;
  const char* path;
  const char* fields;
  const char* body;
  // Differs from the crashing request in what the hosts compare, so it must be
  // served.
  bool is_distinct;
};

struct CrashScenario {
  const char* method;
  const char* path;
  const char* body;
  std::vector<OtherRequest> others;
  bool starts_host = false;
  bool restarts_hosts = false;
  StandinCrash crash = StandinCrash::kClosesConnections;
  // The callers disconnect kPatience after sending.
  bool callers_leave = false;
};

class CrashingRequestTest : public GatewayTest {
 protected:
  void Start() {
    world_.PutConfig(1);
    for (int i = 0; i < kEndpoints; ++i) {
      endpoints_.push_back(&world_.AddEndpoint("rondas"));
      endpoints_.back()->set_crash_rule(
          [](const HttpHead& head, const std::string&) {
            const std::string* id = FindField(head.fields, "Request-Id");
            return id && id->rfind(kCrashingId, 0) == 0;
          });
    }
    for (int i = 1; i <= kHosts; ++i)
      world_.StartGateway(i);
    for (int i = 1; i <= kHosts; ++i)
      ASSERT_TRUE(world_.WaitReady(i)) << i;
    Wait(kSettleTime);
  }

  // Sends the crashing request to the next host in turn; returns the status, or
  // 0 if the caller left.
  int SendCrashingRequest(const CrashScenario& it) {
    return SendCrashingRequestTo(1 + crashing_requests_sent_ % kHosts, it);
  }

  int SendCrashingRequestTo(int host, const CrashScenario& it) {
    const std::string text =
        RequestText(it.method, it.path,
                    kCrashingId + std::to_string(++crashing_requests_sent_),
                    kSameCaller, it.body);
    if (!it.callers_leave)
      return StatusAt(host, text);
    PlatformStandinCaller caller(world_.loop(), world_.CallerAddressOf(host));
    caller.Send(text);
    world_.RunUntil(kPatience, [&] { return !caller.answers().empty(); });
    caller.Disconnect();
    return caller.answers().empty() ? 0 : caller.answers()[0].head.status;
  }

  void Restart(int host) {
    world_.Signal(host, SIGKILL);
    ASSERT_TRUE(world_.WaitEnd(host, seconds(2)));
    world_.StartGateway(host);
    ASSERT_TRUE(world_.WaitReady(host));
  }

  // Sends other requests, which must be served unless they are equal to the
  // crashing one.
  void SendOthers(const CrashScenario& it, int round) {
    const int host = 1 + round % kHosts;
    const std::string id = std::to_string(round);
    const int status = StatusAt(host, RequestText("GET", "/read/2", "a" + id));
    // An endpoint that has just fallen silent cannot answer it.
    const bool is_lost =
        it.crash != StandinCrash::kClosesConnections && status == 504;
    EXPECT_TRUE(status == 200 || is_lost) << id << ": " << status;
    for (const OtherRequest& other : it.others) {
      const int other_status =
          StatusAt(host, RequestText(other.method, other.path, "b" + id,
                                     other.fields, other.body));
      if (other.is_distinct) {
        EXPECT_EQ(other_status, 200) << id;
      }
    }
  }

  void Run(const CrashScenario& it);

  size_t CountCrashes() const {
    size_t n = 0;
    for (const PlatformStandinEndpoint* it : endpoints_)
      n += static_cast<size_t>(it->crashes());
    return n;
  }

  int crashing_requests_sent_ = 0;
};

// After the third crash and the stable window, all hosts together send the
// request at most three more times, however often it arrives.
void CrashingRequestTest::Run(const CrashScenario& it) {
  Start();
  for (PlatformStandinEndpoint* endpoint : endpoints_)
    endpoint->set_crash(it.crash);
  while (CountCrashes() < kCrashesBeforeStop &&
         crashing_requests_sent_ < kCrashingRequests) {
    SendCrashingRequest(it);
    if (it.callers_leave)
      Wait(kRequestPause);
  }
  ASSERT_GE(CountCrashes(), kCrashesBeforeStop);
  if (it.starts_host)
    world_.StartGateway(kHosts + 1);
  Wait(kSettleTime);
  const size_t before = CountCrashes();
  std::string statuses;
  for (int i = 0; i < kCrashingRequests; ++i) {
    if (it.starts_host && i % 2 == 0)
      SendCrashingRequestTo(kHosts + 1, it);
    if (it.restarts_hosts && i % 3 == 0)
      Restart(1 + i / 3 % kHosts);
    statuses += std::to_string(SendCrashingRequest(it)) + " ";
    SendOthers(it, i);
    Wait(kRequestPause);
  }
  EXPECT_LE(CountCrashes() - before, kMaxLateSends)
      << "statuses of the crashing requests: " << statuses;
}

TEST_F(CrashingRequestTest, ReadIsNotSentOnEachArrival) {
  Run({"GET", "/read/1", "", {}});
}

TEST_F(CrashingRequestTest, ChargeIsNotSentOnEachArrival) {
  Run({"POST", "/charge/1", "amount=1", {}});
}

TEST_F(CrashingRequestTest, ChargesWithOtherBodiesDoNotClearSuspicion) {
  Run({"POST",
       "/charge/1",
       "amount=1",
       {{"POST", "/charge/1", kSameCaller, "amount=2", true}}});
}

TEST_F(CrashingRequestTest, ReadsOfOtherCallersDoNotClearSuspicion) {
  Run({"GET", "/read/1", "", {{"GET", "/read/1", kOtherCaller, "", true}}});
}

TEST_F(CrashingRequestTest, EqualReadsDoNotClearSuspicion) {
  Run({"GET", "/read/1", "", {{"GET", "/read/1", kSameCaller, "", false}}});
}

TEST_F(CrashingRequestTest, StartingHostLearnsOfSuspect) {
  CrashScenario it{"GET", "/read/1", "", {}};
  it.starts_host = true;
  Run(it);
}

TEST_F(CrashingRequestTest, RestartedHostsLearnOfSuspect) {
  CrashScenario it{"POST", "/charge/1", "amount=1", {}};
  it.restarts_hosts = true;
  Run(it);
}

// Guards against counting only connections that break as crashes: an endpoint
// that falls silent ends a request by its time limit, which counted as nothing.
TEST_F(CrashingRequestTest, ReadThatSilencesEndpointsIsNotSentOnEachArrival) {
  CrashScenario it{"GET", "/read/1", "", {}};
  it.crash = StandinCrash::kSilent;
  Run(it);
}

TEST_F(CrashingRequestTest, ChargeThatSilencesEndpointsIsNotSentOnEachArrival) {
  CrashScenario it{"POST", "/charge/1", "amount=1", {}};
  it.crash = StandinCrash::kSilent;
  Run(it);
}

// The host closes the connection when the caller leaves, and then does not see
// it break.
TEST_F(CrashingRequestTest, CallersThatLeaveDoNotHideSilentCrashes) {
  CrashScenario it{"GET", "/read/1", "", {}};
  it.crash = StandinCrash::kSilent;
  it.callers_leave = true;
  Run(it);
}

// The registry shows the restart before the request's time limit, and nothing
// follows that could show it again.
TEST_F(CrashingRequestTest, SilenceAfterARestartCountsAsACrash) {
  CrashScenario it{"GET", "/read/1", "", {}};
  it.crash = StandinCrash::kSilentForGood;
  Run(it);
}

}  // namespace
}  // namespace sassafras
