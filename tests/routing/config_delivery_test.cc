#include "routing/config_delivery.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{seconds(1000)};

TEST(ConfigDeliveryTest, FirstSourceHasTheAgeOfTheStateAndOthersTheirDelay) {
  ConfigDelivery delivery;
  OnNewVersion(delivery, 7, {0, 20}, milliseconds(900), kStart);
  const auto first = OnDelivered(delivery, "h1", {0, 20}, kStart);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].number, 7U);
  EXPECT_TRUE(first[0].is_first);
  EXPECT_EQ(first[0].time, milliseconds(900));
  const auto later =
      OnDelivered(delivery, "h2", {0, 25}, kStart + milliseconds(300));
  ASSERT_EQ(later.size(), 1U);
  EXPECT_FALSE(later[0].is_first);
  EXPECT_EQ(later[0].time, milliseconds(300));
}

TEST(ConfigDeliveryTest, EachSourceIsReportedOnceForEachVersion) {
  ConfigDelivery delivery;
  OnNewVersion(delivery, 7, {0, 20}, seconds(1), kStart);
  OnDelivered(delivery, "h1", {0, 20}, kStart);
  OnNewVersion(delivery, 9, {0, 30}, seconds(1), kStart + seconds(1));
  EXPECT_EQ(OnDelivered(delivery, "h1", {0, 30}, kStart + seconds(1)).size(),
            1U);
  EXPECT_TRUE(OnDelivered(delivery, "h1", {0, 30}, kStart).empty());
  EXPECT_TRUE(OnDelivered(delivery, "h2", {0, 19}, kStart).empty());
  EXPECT_EQ(OnDelivered(delivery, "h2", {0, 30}, kStart + seconds(2)).size(),
            2U);
}

TEST(ConfigDeliveryTest, PositionsOfAnotherEraDeliverNothing) {
  ConfigDelivery delivery;
  OnNewVersion(delivery, 7, {1, 20}, seconds(1), kStart);
  EXPECT_TRUE(OnDelivered(delivery, "h1", {2, 30}, kStart).empty());
}

TEST(ConfigDeliveryTest, OldVersionsAreForgotten) {
  ConfigDelivery delivery;
  for (uint64_t i = 1; i <= 2 * kTrackedVersions; ++i)
    OnNewVersion(delivery, i, {0, i}, seconds(1), kStart);
  const auto delivered =
      OnDelivered(delivery, "h1", {0, 2 * kTrackedVersions}, kStart);
  ASSERT_EQ(delivered.size(), kTrackedVersions);
  EXPECT_EQ(delivered.front().number, kTrackedVersions + 1);
}

}  // namespace
}  // namespace sassafras
