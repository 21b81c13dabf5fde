#include "routing/list_reading.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

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
  // No name that is tried shows others.
  ListReading nameless;
  const ListPage page = {{}, "", true, {0, 9}};
  ListStep step = OnPage(nameless, page, ListFreshness::kCurrent);
  while (step == ListStep::kReadOn && nameless.pages < 10)
    step = OnPage(nameless, page, ListFreshness::kCurrent);
  EXPECT_EQ(step, ListStep::kPartial);
}

// A page with these names that is not the last one.
ListPage PageOf(const std::vector<std::string>& names) {
  ListPage page;
  for (const std::string& it : names)
    page.objects.push_back({"k", it, 3, "{}"});
  page.last_name = names.back();
  page.has_more = true;
  page.as_of = {0, 9};
  return page;
}

ListPage LastPageOf(const std::vector<std::string>& names) {
  ListPage page = PageOf(names);
  page.has_more = false;
  return page;
}

StoreReply Found(const std::string& name, uint64_t revision) {
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.objects.push_back({"k", name, revision, "{}"});
  return reply;
}

StoreReply Gone() {
  StoreReply reply;
  reply.status = StoreStatus::kNotFound;
  return reply;
}

ListStep Add(ListReading& list, const ListPage& page) {
  return OnPage(list, page, ListFreshness::kCurrent);
}

// Incident 031.
TEST(ListReadingTest, ListGoesOnAfterTheLastPlainNameOfAPage) {
  ListReading list;
  EXPECT_EQ(Add(list, PageOf({"i-1", "i-2", "i-2&", "i-2 x"})),
            ListStep::kReadOn);
  EXPECT_EQ(list.after, "i-2");
  EXPECT_EQ(Add(list, LastPageOf({"i-2&", "i-2 x", "i-3", "z%"})),
            ListStep::kWhole);
}

// Incident 031.
TEST(ListReadingTest, ListSkipsToTheNextPlainNameBehindAPageWithoutAny) {
  ListReading list;
  EXPECT_EQ(Add(list, PageOf({"a b", "i-1/2"})), ListStep::kReadObject);
  // The next page begins behind this object.
  EXPECT_EQ(list.after, "i-10");
  EXPECT_EQ(list.next_object, "i-10");
  EXPECT_EQ(OnObject(list, Found("i-10", 4)), ListStep::kReadOn);
  EXPECT_EQ(Add(list, PageOf({"i-11", "i-2"})), ListStep::kReadOn);
  EXPECT_EQ(Add(list, LastPageOf({"i-3"})), ListStep::kWhole);
  EXPECT_EQ(list.objects.size(), 6U);
}

// A list with these known names that has skipped names, before its last page.
ListReading SkippingList(std::set<std::string> known_names) {
  ListReading list;
  list.known_names = std::move(known_names);
  EXPECT_EQ(Add(list, PageOf({"a&"})), ListStep::kReadObject);
  EXPECT_EQ(OnObject(list, Gone()), ListStep::kReadOn);
  return list;
}

// Incident 031.
TEST(ListReadingTest, SkippingListIsWholeIfTheKnownObjectsItLacksAreGone) {
  ListReading list = SkippingList({"a&", "b+", "i-1", "i-2", "i-3", "i-4"});
  EXPECT_EQ(Add(list, LastPageOf({"i-1", "i-2"})), ListStep::kReadObject);
  EXPECT_EQ(list.next_object, "i-3");
  EXPECT_EQ(OnObject(list, Gone()), ListStep::kReadObject);
  EXPECT_EQ(list.next_object, "i-4");
  // This one was created after the list was read.
  EXPECT_EQ(OnObject(list, Found("i-4", 10)), ListStep::kWhole);
  EXPECT_EQ(list.objects.size(), 4U);
}

// Incident 031. As with a store whose names are in another order.
TEST(ListReadingTest, SkippingListThatLacksAnObjectIsPartial) {
  ListReading exists = SkippingList({"i-3", "i-4"});
  EXPECT_EQ(Add(exists, LastPageOf({"i-5"})), ListStep::kReadObject);
  EXPECT_EQ(OnObject(exists, Found("i-3", 9)), ListStep::kPartial);
  EXPECT_EQ(exists.objects.back().name, "i-3");

  ListReading unknown = SkippingList({"i-3", "i-4"});
  EXPECT_EQ(Add(unknown, LastPageOf({"i-5"})), ListStep::kReadObject);
  EXPECT_EQ(OnObject(unknown, {}), ListStep::kPartial);

  ListReading skipped;
  EXPECT_EQ(Add(skipped, PageOf({"a&"})), ListStep::kReadObject);
  EXPECT_EQ(OnObject(skipped, {}), ListStep::kReadOn);
  EXPECT_EQ(Add(skipped, LastPageOf({"i-5"})), ListStep::kPartial);

  ListReading disorder = SkippingList({});
  EXPECT_EQ(Add(disorder, LastPageOf({"i-5", "i-4"})), ListStep::kPartial);

  std::set<std::string> many;
  for (size_t i = 0; i <= kMaxMissingObjectsRead; ++i)
    many.insert("i-" + std::to_string(i));
  ListReading lacks_many = SkippingList(many);
  EXPECT_EQ(Add(lacks_many, LastPageOf({"j"})), ListStep::kPartial);
}

// Incident 031.
TEST(ListReadingTest, PageFullOfOtherNamesBehindAPlainOneIsSkipped) {
  ListReading list;
  EXPECT_EQ(Add(list, PageOf({"i-1", "i-1&"})), ListStep::kReadOn);
  EXPECT_EQ(Add(list, PageOf({"i-1&", "i-1+"})), ListStep::kReadObject);
  EXPECT_EQ(list.after, "i-1-");
}

// Incident 031.
TEST(ListReadingTest, ListEndsIfNoPlainNameCanFollow) {
  ListReading list;
  EXPECT_EQ(Add(list, PageOf({"~~", "~~\xc3\xa9"})), ListStep::kReadOn);
  EXPECT_EQ(Add(list, PageOf({"~~\xc3\xa9", "\xff"})), ListStep::kWhole);
  EXPECT_EQ(list.skips, 1U);
}

// Incident 031. As in a store whose names are in another order.
TEST(ListReadingTest, ListEndsIfAllWaysLeadBack) {
  ListReading list;
  EXPECT_EQ(Add(list, PageOf({"i-1&"})), ListStep::kReadObject);
  EXPECT_EQ(OnObject(list, Gone()), ListStep::kReadOn);
  EXPECT_EQ(Add(list, PageOf({"i-1&"})), ListStep::kReadOn);
  EXPECT_EQ(list.after, "i-1&");
  EXPECT_EQ(list.skips, 0U);
  EXPECT_EQ(Add(list, PageOf({"i-1&"})), ListStep::kPartial);
}

// A list that the store does not continue after `a-`, which no object has.
ListReading RefusedList(PageFailure failure) {
  ListReading list;
  EXPECT_EQ(Add(list, PageOf({"a&"})), ListStep::kReadObject);
  EXPECT_EQ(OnObject(list, Gone()), ListStep::kReadOn);
  EXPECT_TRUE(IsGuess(list));
  EXPECT_EQ(OnFailedPageCall(list, failure), ListStep::kReadOn);
  EXPECT_EQ(list.after, "a&");
  return list;
}

// Incident 031.
TEST(ListReadingTest, ListGoesOnAfterAnOddNameIfTheStoreRefusesTheNextOne) {
  ListReading list = RefusedList(PageFailure::kUnavailable);
  EXPECT_EQ(Add(list, PageOf({"b&"})), ListStep::kReadObject);
  EXPECT_EQ(OnObject(list, Gone()), ListStep::kReadOn);
  EXPECT_EQ(OnUnreadablePage(list), ListStep::kReadOn);
  EXPECT_EQ(list.after, "b&");
  EXPECT_EQ(Add(list, PageOf({"c&"})), ListStep::kReadOn);
  EXPECT_EQ(list.after, "c&");
  EXPECT_EQ(Add(list, LastPageOf({"d"})), ListStep::kWhole);
}

// Incident 031. Else each such name would cost the time of a lost call.
TEST(ListReadingTest, WayWhoseCallIsLostIsNotTakenForEachName) {
  ListReading list = RefusedList(PageFailure::kLost);
  EXPECT_EQ(Add(list, PageOf({"b&"})), ListStep::kReadOn);
  EXPECT_EQ(list.after, "b&");
  // If the other way fails, it is tried again.
  EXPECT_EQ(OnUnreadablePage(list), ListStep::kReadObject);
  EXPECT_EQ(list.after, "b-");
}

// Incident 031. Such an answer says nothing about the name.
TEST(ListReadingTest, CallThatExceedsTheRateIsRepeated) {
  ListReading list;
  Add(list, PageOf({"a&"}));
  OnObject(list, Gone());
  EXPECT_EQ(OnFailedPageCall(list, PageFailure::kRateLimited),
            ListStep::kFailed);
  EXPECT_EQ(list.after, "a-");
  EXPECT_EQ(Add(list, LastPageOf({"d"})), ListStep::kWhole);
}

// Incident 031. The page before it said that there are others.
TEST(ListReadingTest, EndWithoutOtherObjectsIsNoEnd) {
  ListReading list;
  Add(list, PageOf({"a&"}));
  OnObject(list, Gone());
  ListPage empty;
  empty.as_of = {0, 9};
  EXPECT_EQ(Add(list, empty), ListStep::kReadOn);
  EXPECT_EQ(list.after, "a&");
  EXPECT_EQ(Add(list, empty), ListStep::kPartial);
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
