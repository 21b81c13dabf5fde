#include "routing/stop_policy.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("rondas");

RequestRoute MakeRoute(RouteKind kind) {
  RequestRoute route;
  route.name = "r";
  route.kind = kind;
  route.timeout = seconds(5);
  return route;
}

// Alternates between the two times.
AdmissionState Recorded(size_t n, Duration even, Duration odd) {
  AdmissionState state;
  for (size_t i = 0; i < n; ++i)
    OnServiceTime(state, kService, "r", i % 2 == 0 ? even : odd);
  return state;
}

TEST(StopPolicyTest, StepsOfTheStopAreInOrderForAnyTimeout) {
  for (const Duration timeout :
       {Duration(milliseconds(200)), Duration(seconds(3)), Duration(seconds(6)),
        Duration(seconds(10)), Duration(seconds(120))}) {
    const StopSchedule it = MakeStopSchedule(timeout);
    EXPECT_LT(Duration(0), it.no_cuts);
    // The platform excuses no cut of a request that was sent later.
    EXPECT_LE(it.no_cuts, seconds(3));
    EXPECT_LT(it.no_cuts, it.drain);
    EXPECT_LT(it.drain, it.final_answers);
    EXPECT_LT(it.final_answers, it.exit);
    EXPECT_LT(it.exit, timeout);
  }
}

TEST(StopPolicyTest, RequestsThatMayOutlastTheStopAreRefused) {
  struct Case {
    const char* name;
    RouteKind kind;
    StoppingRequest request;
    bool may_start;
  };
  // Mean 300 ms, with a deviation of 200 ms: nearly all within 1.1 s.
  const AdmissionState state =
      Recorded(400, milliseconds(100), milliseconds(500));
  const std::vector<Case> cases = {
      {"charge with time for its deadline",
       RouteKind::kNonIdempotent,
       {seconds(5), milliseconds(5400)},
       true},
      {"charge that usually ends in time",
       RouteKind::kNonIdempotent,
       {seconds(5), milliseconds(5200)},
       false},
      {"charge with a short deadline",
       RouteKind::kNonIdempotent,
       {seconds(1), milliseconds(1400)},
       true},
      {"upload that usually ends in time",
       RouteKind::kUpload,
       {seconds(5), seconds(4)},
       false},
      {"read that ends in time",
       RouteKind::kIdempotent,
       {seconds(5), seconds(2)},
       true},
      {"read that may not end in time",
       RouteKind::kIdempotent,
       {seconds(5), milliseconds(1200)},
       false},
      {"read with a short deadline",
       RouteKind::kIdempotent,
       {milliseconds(500), milliseconds(900)},
       true},
      {"download that ends in time",
       RouteKind::kDownload,
       {seconds(5), seconds(2)},
       true},
      {"after the final answers",
       RouteKind::kIdempotent,
       {seconds(5), milliseconds(-10)},
       false},
      {"late read that usually ends in time",
       RouteKind::kIdempotent,
       {seconds(5), seconds(2), true},
       false},
      {"late download that usually ends in time",
       RouteKind::kDownload,
       {seconds(5), seconds(2), true},
       false},
      {"late read with a short deadline",
       RouteKind::kIdempotent,
       {seconds(1), milliseconds(1400), true},
       true},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    EXPECT_EQ(MayStartWhileStopping(state, MakeRoute(it.kind), it.request),
              it.may_start);
  }
}

// Without recorded times, a read may take as long as its route allows.
TEST(StopPolicyTest, UnknownServiceTimesCountAsTheTimeout) {
  const RequestRoute route = MakeRoute(RouteKind::kIdempotent);
  const AdmissionState few = Recorded(3, milliseconds(5), milliseconds(5));
  EXPECT_FALSE(MayStartWhileStopping(few, route, {seconds(5), seconds(4)}));
  EXPECT_TRUE(MayStartWhileStopping(few, route, {seconds(5), seconds(6)}));
  const AdmissionState many = Recorded(20, milliseconds(5), milliseconds(5));
  EXPECT_TRUE(MayStartWhileStopping(many, route, {seconds(5), seconds(1)}));
}

}  // namespace
}  // namespace sassafras
