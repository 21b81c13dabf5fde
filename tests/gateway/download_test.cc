// Tests downloads: answers with large bodies, of requests that may be repeated.

#include <gtest/gtest.h>
#include <signal.h>

#include "gateway/gateway_fixture.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kSmallAnswerBytes = 8 << 10;
constexpr size_t kLargeAnswerBytes = 4 << 20;

// As long as the caller has received no byte of the answer, another endpoint
// can answer; after that, it must see that the answer is incomplete.
TEST_F(GatewayTest, BrokenDownloadIsRepeatedOnlyBeforeItsFirstByte) {
  StartOne(2);
  WaitUntilHostsAreKnown();
  struct Case {
    const char* name;
    StandinBehavior act;
    size_t answer_bytes;
    int status;  // 0: the answer is truncated.
    size_t runs;
  };
  const std::vector<Case> cases = {
      {"no answer", StandinBehavior::kCloseWithoutAnswer, kSmallAnswerBytes,
       502, 2},
      {"breaks before the first forwarded byte",
       StandinBehavior::kTruncatedBody, kSmallAnswerBytes, 502, 2},
      {"breaks after the first forwarded byte", StandinBehavior::kTruncatedBody,
       kLargeAnswerBytes, 0, 1},
      {"whole", StandinBehavior::kAnswer, kLargeAnswerBytes, 200, 1},
  };
  int n = 0;
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    SetAct(it.act);
    for (PlatformStandinEndpoint* endpoint : endpoints_)
      endpoint->set_answer_bytes(it.answer_bytes);
    const size_t before = CountRuns();
    const auto caller = Connect();
    const std::string id = "d" + std::to_string(++n);
    caller->Send(RequestText("GET", "/download/" + id, id));
    world_.RunUntil(kAnswerTimeout, [&] {
      return !caller->answers().empty() || caller->is_closed();
    });
    EXPECT_EQ(caller->answers().empty() ? 0 : caller->answers()[0].head.status,
              it.status);
    if (it.status == 0) {
      EXPECT_TRUE(caller->is_closed());
      EXPECT_TRUE(caller->has_partial_answer());
    } else if (it.status == 200) {
      EXPECT_EQ(caller->answers()[0].body.size(), it.answer_bytes);
    }
    EXPECT_EQ(CountRuns() - before, it.runs);
    SetAct(StandinBehavior::kAnswer);
    // Waits until the ejections have ended.
    Wait(milliseconds(1200));
  }
}

// A broken download is answered by the other endpoint.
TEST_F(GatewayTest, DownloadIsAnsweredByAnotherEndpoint) {
  StartOne(2);
  WaitUntilHostsAreKnown();
  endpoints_[0]->set_behavior(StandinBehavior::kCloseWithoutAnswer);
  for (int i = 0; i < 4; ++i) {
    const std::string id = "o" + std::to_string(i);
    EXPECT_EQ(Status(RequestText("GET", "/download/" + id, id)), 200);
  }
  EXPECT_EQ(endpoints_[1]->runs().size(), 4U);
}

// A caller that reads late gets its whole answer, although the host has closed
// the connection after it or stops meanwhile. With one of these sizes, the
// buffers of the connection are full when the answer is complete at the host.
TEST_F(GatewayTest, CompleteAnswersReachSlowCallers) {
  constexpr size_t kCallers = 24;
  constexpr size_t kStepBytes = 250'000;
  // Longer than the host waits for a caller that has received everything.
  constexpr milliseconds kPause{1300};
  for (const bool stops : {false, true}) {
    SCOPED_TRACE(stops);
    if (stops)
      world_.Signal(1, SIGKILL);
    StartOne(4);
    std::vector<std::unique_ptr<PlatformStandinCaller>> callers;
    for (size_t i = 0; i < kCallers; ++i) {
      for (PlatformStandinEndpoint* it : endpoints_)
        it->set_answer_bytes((i + 1) * kStepBytes);
      const std::string id = (stops ? "s" : "c") + std::to_string(i);
      callers.push_back(Connect());
      callers.back()->PauseReading();
      callers.back()->Send(
          RequestText("GET", "/download/" + id, id, "Connection: close\r\n"));
      Wait(milliseconds(15));
    }
    if (stops)
      world_.Signal(1, SIGTERM);
    Wait(kPause);
    for (const auto& it : callers)
      it->ResumeReading();
    for (size_t i = 0; i < kCallers; ++i) {
      ASSERT_TRUE(WaitAnswers(*callers[i], 1)) << i;
      EXPECT_EQ(callers[i]->answers()[0].head.status, 200);
      EXPECT_EQ(callers[i]->answers()[0].body.size(), (i + 1) * kStepBytes);
    }
  }
  EXPECT_TRUE(world_.WaitEnd(1, seconds(3)));
}

// Callers that do not read a large answer hold a bounded part of it in memory,
// and requests of other callers are answered meanwhile.
TEST_F(GatewayTest, UnreadDownloadsHoldBoundedMemory) {
  constexpr size_t kCallers = 8;
  // The largest buffers of a connection: what the caller has not read, and what
  // one turn of the loop reads from the endpoint.
  constexpr size_t kMaxBytesPerCaller = 1 << 20;
  StartOne();
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "u0")), 200);
  const size_t before = world_.ResidentMemoryOf(1);
  endpoints_[0]->set_answer_bytes(8 * kLargeAnswerBytes);
  std::vector<std::unique_ptr<PlatformStandinCaller>> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    const std::string id = "u" + std::to_string(i + 1);
    callers.push_back(Connect());
    callers.back()->PauseReading();
    callers.back()->Send(RequestText("GET", "/download/" + id, id));
  }
  Wait(seconds(1));
  EXPECT_LT(world_.ResidentMemoryOf(1), before + kCallers * kMaxBytesPerCaller);
  endpoints_[0]->set_answer_bytes(0);
  const Time sent = world_.loop().Now();
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "u99")), 200);
  EXPECT_LT(world_.loop().Now() - sent, milliseconds(500));
}

}  // namespace
}  // namespace sassafras
