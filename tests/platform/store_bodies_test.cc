#include "platform/store_bodies.h"

#include <gtest/gtest.h>

namespace sassafras::platform {
namespace {

constexpr char kFirst[] =
    R"({"metadata":{"name":"a","revision":3},"specification":{}})";

// Incident 031. The text of one object must not hide the list's others.
TEST(StoreBodiesTest, PageEndsWhereItsSyntaxDoes) {
  const std::string odd =
      R"({"metadata":{"name":"b","revision":4},"specification":{"x":1)";
  for (const char* rest : {"}{", "", "}}]", ",,", "}}},{\"metadata\":"}) {
    SCOPED_TRACE(rest);
    const auto page = ReadPageBody(
        "k", R"({"as-of":9,"items":[)" + std::string(kFirst) + "," + odd + rest,
        2);
    ASSERT_TRUE(page);
    ASSERT_GE(page->objects.size(), 1U);
    EXPECT_EQ(page->objects[0].name, "a");
    EXPECT_EQ(page->last_name, "b");
    EXPECT_TRUE(page->has_more);
    EXPECT_EQ(page->as_of, StorePosition(2, 9));
  }
}

TEST(StoreBodiesTest, PartOfAnObjectIsNotTakenForTheObject) {
  const auto page =
      ReadPageBody("k",
                   R"({"items":[{"metadata":{"name":"b","revision":4},)"
                   R"("specification":{"service":"s"},}]})",
                   2);
  ASSERT_TRUE(page);
  EXPECT_TRUE(page->objects.empty());
  EXPECT_EQ(page->last_name, "b");
}

TEST(StoreBodiesTest, LastReadableNameContinuesTheList) {
  const auto page = ReadPageBody(
      "k",
      R"({"as-of":9,"has-more":true,"items":[)" + std::string(kFirst) +
          R"(,{"metadata":{"name":7}},{"metadata":null},5]})",
      2);
  ASSERT_TRUE(page);
  EXPECT_EQ(page->objects.size(), 1U);
  EXPECT_EQ(page->last_name, "a");
}

TEST(StoreBodiesTest, TruncatedEventsHaveNoPosition) {
  const std::string event =
      R"({"deleted":false,"object":)" + std::string(kFirst) + "}";
  const auto events = ReadEventsBody(
      "k", R"({"as-of":9,"events":[)" + event + "," + event.substr(0, 60), 2);
  ASSERT_TRUE(events);
  EXPECT_TRUE(events->is_truncated);
  EXPECT_EQ(events->objects.size(), 1U);
  const auto whole =
      ReadEventsBody("k", R"({"as-of":9,"events":[)" + event + "]}", 2);
  ASSERT_TRUE(whole);
  EXPECT_FALSE(whole->is_truncated);
  EXPECT_EQ(whole->as_of, StorePosition(2, 9));
}

// Incident 031. As review/9.
TEST(StoreBodiesTest, ObjectWhoseValueIsNoTextExists) {
  const auto object = ReadObjectBody(
      "k", R"({"metadata":{"name":"a","revision":3},"specification":")"
           "\xff\"}");
  ASSERT_TRUE(object);
  EXPECT_EQ(object->name, "a");
  EXPECT_EQ(object->value, "");
}

TEST(StoreBodiesTest, OtherBodiesAreNoPage) {
  for (const char* body : {"", "7", "[]", "{}", R"({"items":{}})"}) {
    EXPECT_FALSE(ReadPageBody("k", body, 2)) << body;
    EXPECT_FALSE(ReadEventsBody("k", body, 2)) << body;
  }
}

}  // namespace
}  // namespace sassafras::platform
