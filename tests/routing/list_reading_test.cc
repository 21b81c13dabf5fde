#include "routing/list_reading.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

ListPage Page(const std::string& name, uint64_t revision, uint64_t as_of) {
  return {{{"k", name, revision, "{}"}}, name, true, {0, as_of}};
}

TEST(ListReadingTest, WholeListHasThePositionOfItsOldestPage) {
  ListReading list;
  EXPECT_EQ(OnPage(list, Page("a", 3, 9), ListFreshness::kCurrent),
            ListStep::kReadOn);
  EXPECT_EQ(list.after, "a");
  ListPage last = Page("b", 4, 8);
  last.has_more = false;
  EXPECT_EQ(OnPage(list, last, ListFreshness::kCurrent), ListStep::kWhole);
  EXPECT_EQ(list.objects.size(), 2U);
  EXPECT_EQ(list.as_of, StorePosition(0, 8));
}

TEST(ListReadingTest, PageThatMayBeStaleIsAsNewAsItsNewestObject) {
  ListReading list;
  OnPage(list, Page("a", 3, 9), ListFreshness::kMayBeStale);
  EXPECT_EQ(list.as_of, StorePosition(0, 3));
}

TEST(ListReadingTest, PageWithoutARevisionIsAsNewAsItsNewestObject) {
  ListReading list;
  OnPage(list, Page("a", 3, 0), ListFreshness::kCurrent);
  EXPECT_EQ(list.as_of, StorePosition(0, 3));
}

// Incident 031. Else the watch that follows could be refused for good.
TEST(ListReadingTest, PageWithoutARevisionIsAsNewAsTheListsBegin) {
  ListReading list;
  list.begun_at = {0, 7};
  OnPage(list, Page("a", 3, 0), ListFreshness::kCurrent);
  EXPECT_EQ(list.as_of, StorePosition(0, 7));
  OnPage(list, Page("b", 3, 9), ListFreshness::kCurrent);
  EXPECT_EQ(list.as_of, StorePosition(0, 7));
  EXPECT_EQ(list.newest_as_of, StorePosition(0, 9));
}

// Incident 031. Such a list was read without end, or taken for whole.
TEST(ListReadingTest, ListThatCannotGoOnIsPartial) {
  ListReading circle;
  EXPECT_EQ(OnPage(circle, Page("a", 3, 9), ListFreshness::kCurrent),
            ListStep::kReadOn);
  EXPECT_EQ(OnPage(circle, Page("b", 3, 9), ListFreshness::kCurrent),
            ListStep::kReadOn);
  EXPECT_EQ(OnPage(circle, Page("a", 3, 9), ListFreshness::kCurrent),
            ListStep::kPartial);
  ListReading nameless;
  EXPECT_EQ(OnPage(nameless, {{}, "", true, {0, 9}}, ListFreshness::kCurrent),
            ListStep::kPartial);
}

TEST(ListReadingTest, UnreadablePageEndsAListThatHasBegun) {
  ListReading list;
  EXPECT_EQ(OnUnreadablePage(list), ListStep::kFailed);
  OnPage(list, Page("a", 3, 9), ListFreshness::kCurrent);
  EXPECT_EQ(OnUnreadablePage(list), ListStep::kPartial);
  EXPECT_EQ(list.objects.size(), 1U);
}

// Incident 031. A page that fails for good must not keep the others unused.
TEST(ListReadingTest, PageIsTriedAgainAFewTimes) {
  ListReading list;
  for (int i = 0; i < 2 * kMaxFailedPageCalls; ++i)
    EXPECT_EQ(OnFailedPageCall(list), ListStep::kFailed);
  OnPage(list, Page("a", 3, 9), ListFreshness::kCurrent);
  for (int i = 1; i < kMaxFailedPageCalls; ++i)
    EXPECT_EQ(OnFailedPageCall(list), ListStep::kFailed);
  EXPECT_EQ(OnFailedPageCall(list), ListStep::kPartial);
}

}  // namespace
}  // namespace sassafras
