#include "routing/endpoint_set.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{seconds(1000)};

EndpointRecord MakeRecord(const std::string& id, int64_t started_at_ms = 1) {
  EndpointRecord record;
  record.id = EndpointId(id);
  record.service = ServiceId("s");
  record.address = {"10.0.0.1", 80};
  record.zone = ZoneId("z");
  record.slots = 4;
  record.started_at_ms = started_at_ms;
  return record;
}

EndpointPtr Find(const EndpointSet& set, const std::string& id) {
  const auto it = set.by_id.find(EndpointId(id));
  return it == set.by_id.end() ? nullptr : it->second;
}

TEST(EndpointSetTest, DrainingEndpointGetsNoNewRequests) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  ASSERT_TRUE(IsEligible(set, *Find(set, "a"), kStart));
  EndpointRecord record = MakeRecord("a");
  record.draining = true;
  ApplyRecord(set, record, kStart);
  EXPECT_FALSE(IsEligible(set, *Find(set, "a"), kStart));
}

TEST(EndpointSetTest, RecordRemovedByAReliableRegistryMeansGone) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  const EndpointPtr endpoint = Find(set, "a");
  OnSuccess(*endpoint, kStart);
  ApplyRemoval(set, EndpointId("a"), kStart);
  EXPECT_EQ(endpoint->state, EndpointState::kGone);
  EXPECT_FALSE(IsEligible(set, *endpoint, kStart));
  EXPECT_TRUE(set.by_service[ServiceId("s")].empty());
}

// Guards against taking planned ends, or records that an outage of the registry
// removed, for crashes.
TEST(EndpointSetTest, OnlyUnplannedEndsAreAbrupt) {
  struct Case {
    const char* name;
    bool drains;
    bool is_registry_reliable;
    int64_t new_start_ms;  // Of the record that follows; 0: it is removed.
    bool ended_abruptly;
  };
  const std::vector<Case> cases = {
      {"back with a new start", false, true, 2, true},
      {"removed", false, true, 0, true},
      {"back after it drained", true, true, 2, false},
      {"removed after it drained", true, true, 0, false},
      {"back while the registry recovers", false, false, 2, true},
      {"removed while the registry recovers", false, false, 0, false},
      {"record written again", false, true, 1, false},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    EndpointSet set;
    EndpointRecord record = MakeRecord("a");
    record.draining = it.drains;
    ApplyRecord(set, record, kStart);
    if (!it.is_registry_reliable)
      MarkRegistryUnreliable(set, kStart);
    const EndpointPtr endpoint = Find(set, "a");
    if (it.new_start_ms == 0)
      ApplyRemoval(set, record.id, kStart);
    else
      ApplyRecord(set, MakeRecord("a", it.new_start_ms), kStart);
    EXPECT_EQ(endpoint->ended_abruptly, it.ended_abruptly);
    const EndpointPtr next = Find(set, "a");
    EXPECT_FALSE(next && next != endpoint && next->ended_abruptly);
  }
}

TEST(EndpointSetTest, EndpointWithMissingRecordIsKeptWhileTheRegistryRecovers) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  const EndpointPtr endpoint = Find(set, "a");
  OnSuccess(*endpoint, kStart);
  MarkRegistryUnreliable(set, kStart);
  ApplyRemoval(set, EndpointId("a"), kStart + milliseconds(10));
  EXPECT_TRUE(IsEligible(set, *endpoint, kStart + milliseconds(20)));

  // The record returns in time.
  ApplyRecord(set, MakeRecord("a"), kStart + seconds(1));
  EXPECT_EQ(endpoint->state, EndpointState::kReady);
  EXPECT_TRUE(DropMissing(set, kStart + seconds(5)).empty());

  // The record does not return.
  OnSuccess(*endpoint, kStart + seconds(6));
  MarkRegistryUnreliable(set, kStart + seconds(6));
  ApplyRemoval(set, EndpointId("a"), kStart + seconds(6));
  EXPECT_TRUE(
      DropMissing(set, kStart + seconds(6) + milliseconds(100)).empty());
  EXPECT_EQ(
      DropMissing(set, kStart + seconds(6) + kMissingRecordGracePeriod).size(),
      1U);
  EXPECT_EQ(endpoint->state, EndpointState::kGone);
}

TEST(EndpointSetTest, EndpointWithMissingRecordAndNoRecentSuccessIsDropped) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  const EndpointPtr endpoint = Find(set, "a");
  OnSuccess(*endpoint, kStart);
  const Time later = kStart + kRecentSuccessWindow + seconds(1);
  MarkRegistryUnreliable(set, later);
  ApplyRemoval(set, EndpointId("a"), later);
  EXPECT_EQ(endpoint->state, EndpointState::kGone);
}

// The answer of another endpoint at its address is no sign of life.
TEST(EndpointSetTest, MisdirectedRequestShowsThatTheEndpointIsGone) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  const EndpointPtr endpoint = Find(set, "a");
  OnSuccess(*endpoint, kStart);
  OnMisdirected(*endpoint, kStart + seconds(1));
  EXPECT_GE(endpoint->ejected_until, kStart + seconds(5));
  MarkRegistryUnreliable(set, kStart + seconds(1));
  ApplyRemoval(set, EndpointId("a"), kStart + seconds(1));
  EXPECT_EQ(endpoint->state, EndpointState::kGone);

  // Its record was already missing.
  EndpointSet other;
  ApplyRecord(other, MakeRecord("b"), kStart);
  const EndpointPtr missing = Find(other, "b");
  OnSuccess(*missing, kStart);
  MarkRegistryUnreliable(other, kStart);
  ApplyRemoval(other, EndpointId("b"), kStart);
  ASSERT_TRUE(IsEligible(other, *missing, kStart));
  OnMisdirected(*missing, kStart);
  EXPECT_FALSE(IsEligible(other, *missing, kStart));
}

TEST(EndpointSetTest, RestartWithTheSameIdIsANewEndpoint) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a", 1), kStart);
  const EndpointPtr first = Find(set, "a");
  OnSent(*first);
  ApplyRecord(set, MakeRecord("a", 2), kStart);
  const EndpointPtr second = Find(set, "a");
  EXPECT_NE(first, second);
  EXPECT_EQ(first->state, EndpointState::kGone);
  EXPECT_EQ(second->in_flight, 0);
  // The record of the older incarnation arrives again.
  ApplyRecord(set, MakeRecord("a", 1), kStart);
  EXPECT_EQ(Find(set, "a"), second);
}

TEST(EndpointSetTest, AddressThatMovesToAnotherServiceLeavesTheOldService) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  EndpointRecord moved = MakeRecord("a", 2);
  moved.service = ServiceId("t");
  ApplyRecord(set, moved, kStart);
  EXPECT_TRUE(set.by_service[ServiceId("s")].empty());
  EXPECT_EQ(set.by_service[ServiceId("t")].size(), 1U);
}

TEST(EndpointSetTest, EvacuatedZoneGetsNoRequestsAndReturnsCold) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  SetEvacuated(set, ZoneId("z"));
  EXPECT_FALSE(IsEligible(set, *Find(set, "a"), kStart));
  EndEvacuation(set, ZoneId("z"), seconds(3), kStart);
  EXPECT_TRUE(IsEligible(set, *Find(set, "a"), kStart));
  EXPECT_TRUE(IsCold(*Find(set, "a"), kStart + seconds(2)));
  EXPECT_FALSE(IsCold(*Find(set, "a"), kStart + seconds(3)));
}

TEST(EndpointSetTest, ConsecutiveFailuresEjectButOneDoesNot) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  EndpointView& endpoint = *Find(set, "a");
  OnFailure(endpoint, kStart);
  EXPECT_LE(endpoint.ejected_until, kStart);
  OnFailure(endpoint, kStart);
  EXPECT_GT(endpoint.ejected_until, kStart);
  OnSuccess(endpoint, kStart + seconds(1));
  OnFailure(endpoint, kStart + seconds(9));
  EXPECT_LE(endpoint.ejected_until, kStart + seconds(9));
}

TEST(EndpointSetTest, EstimatedLoadAddsOwnRequestsSinceTheReport) {
  EndpointSet set;
  ApplyRecord(set, MakeRecord("a"), kStart);
  EndpointView& endpoint = *Find(set, "a");
  OnReport(endpoint, {3, 2, 4, kStart});
  EXPECT_DOUBLE_EQ(EstimatedLoad(endpoint, kStart), 5.0);
  OnSent(endpoint);
  EXPECT_DOUBLE_EQ(EstimatedLoad(endpoint, kStart), 6.0);
  // An old report no longer counts; this host's own request still does.
  EXPECT_DOUBLE_EQ(EstimatedLoad(endpoint, kStart + seconds(10)), 1.0);
}

}  // namespace
}  // namespace sassafras
