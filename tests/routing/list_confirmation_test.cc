#include "routing/list_confirmation.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sassafras {
namespace {

ListStep AddPage(ConfirmedList& list,
                 const std::vector<std::string>& names,
                 bool has_more,
                 StorePosition as_of = {0, 9}) {
  ListPage page;
  for (const std::string& it : names)
    page.objects.push_back({"k", it, 3, "{}"});
  page.last_name = names.empty() ? "" : names.back();
  page.has_more = has_more;
  page.as_of = as_of;
  return ConfirmList(
      list, OnPage(list.reading, std::move(page), ListFreshness::kCurrent));
}

ListStep AnswerNotFound(ConfirmedList& list) {
  StoreReply reply;
  reply.status = StoreStatus::kNotFound;
  return ConfirmList(list, OnObject(list.reading, reply));
}

// A list that has passed over names and then shown these.
ConfirmedList ListThatSkipped(const std::vector<std::string>& names) {
  ConfirmedList list = BeginList({}, {});
  EXPECT_EQ(AddPage(list, {"a&"}, true), ListStep::kReadObject);
  EXPECT_EQ(AnswerNotFound(list), ListStep::kReadOn);
  EXPECT_EQ(AddPage(list, names, false), ListStep::kReadAgain);
  EXPECT_EQ(list.reading.after, "");
  return list;
}

std::set<std::string> NamesOf(const ConfirmedList& list) {
  std::set<std::string> names;
  for (const StoreObject& it : list.reading.objects)
    names.insert(it.name);
  return names;
}

// Incident 031.
TEST(ListConfirmationTest, ListIsWholeIfBothReadingsAgree) {
  ConfirmedList list = ListThatSkipped({"b", "c"});
  EXPECT_EQ(list.first->objects.size(), 3U);
  EXPECT_EQ(AddPage(list, {"a&"}, true), ListStep::kReadOn);
  EXPECT_EQ(list.reading.after, "a&");
  EXPECT_EQ(AddPage(list, {"b", "c"}, false, {0, 8}), ListStep::kWhole);
  EXPECT_EQ(list.reading.as_of, StorePosition(0, 8));
}

// Incident 031. As in a store whose order is not that of bytes.
TEST(ListConfirmationTest, SecondReadingThatShowsMoreIsWhole) {
  ConfirmedList list = ListThatSkipped({"c"});
  EXPECT_EQ(AddPage(list, {"a&"}, true), ListStep::kReadOn);
  EXPECT_EQ(AddPage(list, {"B", "c"}, false), ListStep::kWhole);
  EXPECT_EQ(NamesOf(list), (std::set<std::string>{"B", "a&", "c"}));
}

// Incident 031.
TEST(ListConfirmationTest, ReadingsThatEachLackObjectsArePartial) {
  ConfirmedList list = ListThatSkipped({"c"});
  EXPECT_EQ(AddPage(list, {"a&"}, true), ListStep::kReadOn);
  EXPECT_EQ(AddPage(list, {"B"}, false), ListStep::kPartial);
  EXPECT_EQ(NamesOf(list), (std::set<std::string>{"B", "a&", "c"}));
}

// Incident 031. What the first reading has shown is used again.
TEST(ListConfirmationTest, SecondReadingThatCannotBeBegunEndsThePartialList) {
  ConfirmedList list = ListThatSkipped({"c"});
  EXPECT_EQ(ConfirmList(list, OnFailedPageCall(list.reading)),
            ListStep::kPartial);
  EXPECT_EQ(NamesOf(list), (std::set<std::string>{"a&", "c"}));
  EXPECT_EQ(list.reading.as_of, StorePosition(0, 9));
}

// Incident 032. Objects of two eras are no state that the store ever had.
TEST(ListConfirmationTest, ReadingsOfTwoErasAreNotJoined) {
  ConfirmedList list = ListThatSkipped({"c"});
  EXPECT_EQ(AddPage(list, {"b"}, false, {1, 5}), ListStep::kWhole);
  EXPECT_EQ(NamesOf(list), (std::set<std::string>{"b"}));
  EXPECT_EQ(list.reading.as_of, StorePosition(1, 5));
}

// Incident 031.
TEST(ListConfirmationTest, ListWithoutSkippedNamesIsReadOnce) {
  ConfirmedList list = BeginList({}, {});
  EXPECT_EQ(AddPage(list, {"a&", "b"}, true), ListStep::kReadOn);
  EXPECT_EQ(AddPage(list, {"c&"}, false), ListStep::kWhole);
}

}  // namespace
}  // namespace sassafras
