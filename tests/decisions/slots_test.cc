// Fault histories 23 to 27: priorities and fairness on shared slots, endpoint
// health, and requests that crash endpoints.

#include <gtest/gtest.h>

#include <algorithm>

#include "decisions/fake_world.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SlotsTest : public ::testing::Test {
 protected:
  SlotsTest() : world_(Config()) { world_.StartAndWaitUntilServing(); }
  ~SlotsTest() override {
    for (const std::string& it : world_.violations)
      ADD_FAILURE() << it;
  }

  // One region with two zones and 18 slots in total.
  static WorldConfig Config() {
    WorldConfig config;
    config.regions = {"cuyo"};
    return config;
  }

  HostId HostAt(size_t n) {
    return world_.hosts()[n % world_.hosts().size()].id;
  }

  // Sends `per_second` requests of each class for `time`, from 97 callers.
  // Returns the calls that began in the second half.
  PerPriority<std::vector<size_t>> Send(const PerPriority<double>& per_second,
                                        Duration time,
                                        Duration timeout = seconds(2)) {
    PerPriority<std::vector<size_t>> calls;
    PerPriority<double> owed{};
    const Time begin = world_.now();
    constexpr Duration kStep = milliseconds(1);
    uint64_t n = 0;
    while (world_.now() < begin + time) {
      for (const Priority p : kAllPriorities) {
        owed[IndexOf(p)] += per_second[IndexOf(p)] * Seconds(kStep);
        for (; owed[IndexOf(p)] >= 1; owed[IndexOf(p)] -= 1) {
          CallSpec spec;
          spec.priority = p;
          spec.timeout = timeout;
          spec.caller = "caller-" + std::to_string(++n % 97);
          const size_t call = world_.Call(HostAt(n), spec);
          if (world_.now() > begin + time / 2)
            calls[IndexOf(p)].push_back(call);
        }
      }
      world_.Run(kStep);
    }
    world_.Run(timeout + seconds(1));
    return calls;
  }

  double Answered(const std::vector<size_t>& calls) {
    if (calls.empty())
      return 0;
    const auto n = std::count_if(calls.begin(), calls.end(), [&](size_t it) {
      return world_.call(it).state == CallRecord::State::kAnswered;
    });
    return static_cast<double>(n) / static_cast<double>(calls.size());
  }

  double LatencyMs(const std::vector<size_t>& calls, double part) {
    std::vector<double> out;
    for (const size_t it : calls) {
      const CallRecord& call = world_.call(it);
      if (call.state == CallRecord::State::kAnswered)
        out.push_back(Seconds(call.ended - call.begun) * 1e3);
    }
    if (out.empty())
      return 0;
    std::sort(out.begin(), out.end());
    return out[static_cast<size_t>(static_cast<double>(out.size() - 1) * part)];
  }

  World world_;
};

// Requests per second that 18 slots serve at 20 ms each.
constexpr double kCapacity = 900;

TEST_F(SlotsTest, UrgentRequestsKeepTheirLatencyInFloodsOfOtherClasses) {
  const auto quiet = Send({100, 100, 100}, seconds(4));
  const double usual = LatencyMs(quiet[0], 0.99);
  const auto low = Send({100, 100, 5 * kCapacity}, seconds(4));
  EXPECT_EQ(Answered(low[0]), 1.0);
  EXPECT_LE(LatencyMs(low[0], 0.99), 1.5 * usual);
  const auto normal = Send({100, 5 * kCapacity, 100}, seconds(4));
  EXPECT_EQ(Answered(normal[0]), 1.0);
  EXPECT_LE(LatencyMs(normal[0], 0.99), 1.5 * usual);
}

TEST_F(SlotsTest, OtherClassesKeepTheirMinimumSharesInAFloodOfUrgentRequests) {
  const auto flood = Send({5 * kCapacity, 400, 200}, seconds(8));
  // The second half has 4 s of 900 requests per second. The minimum shares are
  // 15 % and 5 %.
  const double normal =
      Answered(flood[1]) * static_cast<double>(flood[1].size());
  const double low = Answered(flood[2]) * static_cast<double>(flood[2].size());
  EXPECT_GE(normal, 0.95 * 0.15 * kCapacity * 4);
  EXPECT_GE(low, 0.95 * 0.05 * kCapacity * 4);
  const double urgent =
      Answered(flood[0]) * static_cast<double>(flood[0].size());
  EXPECT_GE(urgent + normal + low, 0.95 * kCapacity * 4);
}

// History 23.
TEST_F(SlotsTest, FastFailingEndpointAttractsNoTraffic) {
  auto& failing = world_.endpoints().begin()->second;
  failing.fails = true;
  Send({0, 0, 300}, seconds(4));
  const int before = failing.runs;
  Send({0, 0, 300}, seconds(10));
  // An equal share of the 3,000 requests would be 500.
  EXPECT_LT(failing.runs - before, 60);
}

// History 24.
TEST_F(SlotsTest, SlownessOfAllEndpointsEjectsNone) {
  Send({0, 0, 300}, seconds(4));
  world_.SetWork(milliseconds(200));
  Send({0, 0, 80}, seconds(10), seconds(5));
  for (const Host& host : world_.hosts()) {
    for (const auto& [key, g] : world_.entry(host.id).granters) {
      for (const auto& [id, health] : g.health)
        EXPECT_FALSE(IsEjected(health, world_.now())) << id;
    }
  }
}

// History 25.
TEST_F(SlotsTest, TwoGrantersOversubscribeAtMostTwofoldAndLoseNoUrgentCall) {
  // Heartbeats between two halves of the hosts are dropped, so that both sides
  // grant the same slots.
  const auto side = [](const HostId& host) {
    return host.value().find("-1") != std::string::npos;
  };
  world_.drop = [&](const HostId& from, const Envelope& it) {
    return std::holds_alternative<Heartbeat>(it.message) &&
           side(from) != side(it.to);
  };
  world_.Run(seconds(4));
  const auto calls = Send({300, 0, 600}, seconds(5));
  EXPECT_EQ(Answered(calls[0]), 1.0);
  for (const auto& [id, endpoint] : world_.endpoints())
    EXPECT_LE(endpoint.running.size(), 3U);
}

// History 26.
TEST_F(SlotsTest, FloodingCallerDoesNotStarveOthersOfItsClass) {
  std::vector<size_t> others;
  for (int ms = 0; ms < 4000; ++ms) {
    for (int n = 0; n < 4; ++n) {
      CallSpec spec;
      spec.caller = "flood";
      spec.timeout = seconds(2);
      world_.Call(HostAt(static_cast<size_t>(ms) * 4 + static_cast<size_t>(n)),
                  spec);
    }
    if (ms % 10 == 0) {
      CallSpec spec;
      spec.caller = "other-" + std::to_string(ms % 7);
      spec.timeout = seconds(2);
      const size_t call = world_.Call(HostAt(static_cast<size_t>(ms)), spec);
      if (ms > 1000)
        others.push_back(call);
    }
    world_.Run(milliseconds(1));
  }
  world_.Run(seconds(3));
  EXPECT_EQ(Answered(others), 1.0);
  EXPECT_LT(LatencyMs(others, 0.99), 300);
}

// History 27.
TEST_F(SlotsTest, PoisonRequestCrashesAtMostTwoEndpointsAndQuarantinesNoOther) {
  std::vector<size_t> ordinary;
  uint64_t n = 0;
  for (int again = 0; again < 50; ++again) {
    CallSpec poison;
    poison.poison = true;
    poison.target = 1;
    poison.caller = "unlucky";
    world_.Call(HostAt(static_cast<size_t>(again)), poison);
    for (int ms = 0; ms < 400; ++ms) {
      if (ms % 4 == 0) {
        CallSpec spec;
        spec.caller = "caller-" + std::to_string(++n % 31);
        // Few targets, so that equal requests are repeated often.
        spec.target = 100 + n % 40;
        ordinary.push_back(world_.Call(HostAt(n), spec));
      }
      world_.Run(milliseconds(1));
    }
  }
  world_.Run(seconds(6));
  int crashes = 0;
  for (const auto& [id, endpoint] : world_.endpoints())
    crashes += endpoint.crashes;
  EXPECT_GE(crashes, 1);
  EXPECT_LE(crashes, 2);
  for (const size_t it : ordinary) {
    if (world_.call(it).state == CallRecord::State::kRefused) {
      EXPECT_NE(world_.call(it).problem.code, "quarantined");
    }
  }
  EXPECT_GT(Answered(ordinary), 0.99);
}

TEST_F(SlotsTest, RequestThatCannotMeetItsDeadlineIsRefusedAtOnce) {
  world_.SetWork(seconds(1));
  Send({0, 0, 30}, seconds(4), seconds(4));
  std::vector<size_t> calls;
  for (int n = 0; n < 400; ++n) {
    CallSpec spec;
    spec.priority = Priority::kLow;
    spec.timeout = seconds(3);
    spec.caller = "caller-" + std::to_string(n % 10);
    calls.push_back(world_.Call(HostAt(static_cast<size_t>(n)), spec));
  }
  world_.Run(milliseconds(500));
  size_t refused = 0;
  for (const size_t it : calls) {
    const CallRecord& call = world_.call(it);
    if (call.state != CallRecord::State::kRefused)
      continue;
    ++refused;
    EXPECT_EQ(call.problem.ran, Ran::kNo);
    EXPECT_GT(call.problem.retry_after, Duration::zero());
  }
  // 18 slots finish at most 54 of the 400 requests within 3 s.
  EXPECT_GT(refused, 300U);
  world_.Run(seconds(4));
  for (const size_t it : calls)
    EXPECT_FALSE(world_.IsOpen(it));
}

}  // namespace
}  // namespace sassafras
