// Endpoints that refuse requests and name a time before which they want none,
// tested with a gateway process.

#include <gtest/gtest.h>

#include <algorithm>

#include "gateway/gateway_fixture.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Of the platform's rule on Retry-After: requests that may reach an endpoint
// between the grace after its refusal and the end of the time that it named.
constexpr int64_t kMaxEarlyRequests = 2;
constexpr milliseconds kRefusalGrace{500};

class EndpointBackoffTest : public GatewayTest {
 protected:
  std::string NextId() { return "n" + std::to_string(++requests_); }

  int requests_ = 0;
};

// Incident 028, related paths.
TEST_F(EndpointBackoffTest, FullEndpointsGetNoRequestsBeforeTheTimeTheyName) {
  constexpr milliseconds kRetryAfter{1500};
  constexpr int kCallers = 12;
  StartOne(3);
  for (PlatformStandinEndpoint* it : endpoints_) {
    it->set_max_running(2);
    it->set_work_time(milliseconds(150));
    it->set_retry_after("1.5");
  }
  std::vector<std::unique_ptr<PlatformStandinCaller>> callers;
  callers.reserve(kCallers);
  std::vector<size_t> sent(kCallers);
  for (int i = 0; i < kCallers; ++i)
    callers.push_back(Connect());
  world_.RunUntil(seconds(8), [&] {
    for (size_t i = 0; i < callers.size(); ++i) {
      if (callers[i]->is_closed()) {
        callers[i] = Connect();
        sent[i] = 0;
      }
      if (callers[i]->answers().size() < sent[i])
        continue;
      ++sent[i];
      const bool is_read = i % 2 == 0;
      const std::string id = NextId();
      callers[i]->Send(RequestText(
          is_read ? "GET" : "POST", (is_read ? "/read/" : "/charge/") + id, id,
          "Cookie: Affinity-Key=" + id + "\r\n", is_read ? "" : "amount=1"));
    }
    return false;
  });
  size_t refusals = 0;
  for (const PlatformStandinEndpoint* endpoint : endpoints_) {
    refusals += endpoint->refusals().size();
    for (const auto& refusal : endpoint->refusals()) {
      const auto early = std::count_if(
          endpoint->all_arrivals().begin(), endpoint->all_arrivals().end(),
          [&](const PlatformStandinEndpoint::Arrival& it) {
            return it.at > refusal.at + kRefusalGrace &&
                   it.at < refusal.at + kRetryAfter;
          });
      EXPECT_LE(early, kMaxEarlyRequests);
    }
  }
  EXPECT_GT(refusals, 0U);
  EXPECT_GT(CountRuns(), 0U);
}

TEST_F(EndpointBackoffTest, RefusalWhileAllBackOffNamesTheirReturn) {
  StartOne(1);
  PlatformStandinEndpoint& endpoint = *endpoints_[0];
  endpoint.set_behavior(StandinBehavior::kShed);
  endpoint.set_retry_after("2");
  const Time refused = world_.loop().Now();
  for (int i = 0; i < 5; ++i) {
    const auto caller = Connect();
    caller->Send(RequestText("GET", "/read/1", NextId()));
    ASSERT_TRUE(WaitAnswers(*caller, 1));
    const HttpHead& head = caller->answers()[0].head;
    EXPECT_EQ(head.status, 503);
    const std::string* retry_after = FindField(head.fields, "Retry-After");
    ASSERT_TRUE(retry_after);
    const Time named =
        world_.loop().Now() + FromSeconds(std::stod(*retry_after));
    EXPECT_GE(named, refused + seconds(2));
    // Truthful in the other direction, too: jitter, but no more.
    EXPECT_LE(named, refused + seconds(4));
    Wait(milliseconds(100));
  }
  EXPECT_EQ(endpoint.arrivals(), 1);
  endpoint.set_behavior(StandinBehavior::kAnswer);
  EXPECT_TRUE(world_.Eventually(seconds(4), [&] {
    return Status(RequestText("GET", "/read/1", NextId())) == 200;
  }));
}

}  // namespace
}  // namespace sassafras
