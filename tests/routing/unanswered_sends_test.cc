#include "routing/unanswered_sends.h"

#include <gtest/gtest.h>

#include <deque>

#include "routing/attempt.h"
#include "routing/crash_history.h"
#include "routing/endpoint_set.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{seconds(1000)};
constexpr uint64_t kRequest = 7;
constexpr uint32_t kEndpoint = 3;

UnansweredSend SendAt(Time sent_at, Time ended_at) {
  return {kRequest, "id", sent_at, ended_at};
}

TEST(UnansweredSendsTest, OnlyAnEndWithoutAnswersBeforeItIsACrash) {
  struct Case {
    const char* name;
    bool answers_other;
    Duration end_after;  // From the end of the send to the endpoint's end.
    size_t crashes;
  };
  const std::vector<Case> cases = {
      {"ends at once", false, seconds(0), 1},
      {"is back after a few seconds", false, milliseconds(4500), 1},
      {"has answered another request since", true, milliseconds(4500), 0},
      {"ends much later", false, kUnansweredSendLifetime, 0},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    UnansweredSends sends;
    OnUnanswered(sends, kEndpoint, SendAt(kStart - seconds(2), kStart));
    if (it.answers_other)
      OnEndpointAnswered(sends, kEndpoint);
    EXPECT_TRUE(TakeCrashedSends(sends, kEndpoint + 1, kStart).empty());
    const Time end = kStart + it.end_after;
    EXPECT_EQ(TakeCrashedSends(sends, kEndpoint, end).size(), it.crashes);
    EXPECT_TRUE(TakeCrashedSends(sends, kEndpoint, end).empty());
  }
}

TEST(UnansweredSendsTest, SendsAreBoundedAndExpire) {
  UnansweredSends sends;
  for (size_t i = 0; i < 3 * kMaxUnansweredSendsPerEndpoint; ++i)
    OnUnanswered(sends, kEndpoint, SendAt(kStart, kStart));
  EXPECT_EQ(sends.by_endpoint[kEndpoint].size(),
            kMaxUnansweredSendsPerEndpoint);
  ExpireUnansweredSends(sends, kStart + kUnansweredSendLifetime);
  EXPECT_TRUE(sends.by_endpoint.empty());
}

TEST(UnansweredSendsTest, AnAnswerOfAnotherEndpointAtTheAddressProvesNothing) {
  EXPECT_TRUE(ProvesAlive(TryOutcome::kAnswered, 200));
  EXPECT_TRUE(ProvesAlive(TryOutcome::kFailed, 500));
  EXPECT_TRUE(ProvesAlive(TryOutcome::kNotRun, 503));
  EXPECT_FALSE(ProvesAlive(TryOutcome::kNotRun, 421));
  for (const TryOutcome it : {TryOutcome::kNotSent, TryOutcome::kBroken,
                              TryOutcome::kBadAnswer, TryOutcome::kTimedOut})
    EXPECT_FALSE(ProvesAlive(it, 0)) << NameOf(it);
}

// Times of a request that silences each endpoint that begins to run it.
struct SilentCrashCase {
  const char* name;
  Duration period;      // Between two arrivals, at the hosts in turn.
  Duration time_limit;  // After which a host gives up a send.
  Duration down;        // From a crash until the registry shows it.
};

// Plays the request on hosts that tell each other at once what they know.
// Returns the number of sends later than the platform's stable window after the
// third crash.
size_t CountLateSends(const SilentCrashCase& it) {
  constexpr size_t kHosts = 4;
  constexpr Duration kStableWindow = seconds(4);
  struct Event {
    Time at;
    size_t host;
    uint32_t endpoint;
    Time sent_at;
  };
  std::vector<CrashHistory> histories(kHosts);
  std::vector<UnansweredSends> unanswered(kHosts);
  std::deque<Event> timeouts;
  std::deque<Event> ends;
  std::vector<Time> sends;
  uint32_t endpoint = 0;
  size_t arrivals = 0;
  Time next = kStart;
  for (Time now = kStart; now < kStart + seconds(90); now += milliseconds(50)) {
    for (; !timeouts.empty() && timeouts.front().at <= now;
         timeouts.pop_front()) {
      const Event& e = timeouts.front();
      OnUnanswered(unanswered[e.host], e.endpoint, SendAt(e.sent_at, now));
    }
    for (; !ends.empty() && ends.front().at <= now; ends.pop_front()) {
      const Event& e = ends.front();
      for (const UnansweredSend& send :
           TakeCrashedSends(unanswered[e.host], e.endpoint, now)) {
        OnCrash(histories[e.host], send.request, e.endpoint,
                {send.sent_at, send.ended_at}, now);
      }
      for (const CrashNotice& notice :
           CollectCrashNotices(histories[e.host], now)) {
        for (CrashHistory& history : histories)
          OnCrashNotice(history, notice, now);
      }
    }
    if (now < next)
      continue;
    next += it.period;
    const size_t host = arrivals++ % kHosts;
    if (OnArrival(histories[host], kRequest, host == 0, now).verdict ==
        ArrivalVerdict::kHold)
      continue;
    ++endpoint;
    sends.push_back(now);
    timeouts.push_back({now + it.time_limit, host, endpoint, now});
    ends.push_back({now + std::max(it.down, it.time_limit) + milliseconds(50),
                    host, endpoint, now});
  }
  size_t late = 0;
  for (size_t i = 3; i < sends.size(); ++i)
    late += sends[i] > sends[2] + kStableWindow;
  return late;
}

// The platform allows three sends later than its stable window after the third
// crash. Guards against counting only broken connections as crashes.
TEST(UnansweredSendsTest, HostsStopSendingARequestThatSilencesEndpoints) {
  const std::vector<SilentCrashCase> cases = {
      {"comes again after its time limit", milliseconds(2500), seconds(2),
       milliseconds(4500)},
      {"long time limit", milliseconds(6500), seconds(6), milliseconds(4500)},
      {"comes again rarely", seconds(8), seconds(2), milliseconds(4500)},
      {"callers leave early", milliseconds(2500), milliseconds(300),
       milliseconds(4500)},
      {"endpoints are back early", milliseconds(2500), seconds(2),
       milliseconds(1000)},
  };
  for (const SilentCrashCase& it : cases) {
    SCOPED_TRACE(it.name);
    EXPECT_LE(CountLateSends(it), 3U);
  }
}

}  // namespace
}  // namespace sassafras
