#include "routing/request_buffers.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

using std::chrono::seconds;

constexpr uint64_t kMegabyte = 1 << 20;

CallerHold MakeHold(CallerStage stage, size_t bytes, int progress) {
  return {stage, bytes, Time(seconds(progress))};
}

TEST(RequestBuffersTest, BytesAreCountedUntilTheirHolderIsDestroyed) {
  RequestBuffers buffers;
  {
    BufferedBytes a(buffers);
    BufferedBytes b(buffers);
    a.Set(1000);
    b.Set(300);
    a.Set(200);
    EXPECT_EQ(buffers.bytes, 500U);
    EXPECT_EQ(buffers.peak, 1300U);
  }
  EXPECT_EQ(buffers.bytes, 0U);
}

TEST(RequestBuffersTest, MemoryIsTrimmedAfterMuchWasReleased) {
  RequestBuffers buffers;
  buffers.peak = 20 * kMegabyte;
  buffers.bytes = 15 * kMegabyte;
  EXPECT_FALSE(ShouldTrim(buffers, 160 * kMegabyte));
  buffers.bytes = 5 * kMegabyte;
  EXPECT_TRUE(ShouldTrim(buffers, 160 * kMegabyte));
}

TEST(RequestBuffersTest, ReceiveBuffersShareAPartOfTheMemory) {
  struct Case {
    uint64_t memory_bytes;
    size_t connections;
    size_t bytes;
  };
  const std::vector<Case> cases = {
      {182 * kMegabyte, 0, 64 << 10},    {182 * kMegabyte, 728, 64 << 10},
      {182 * kMegabyte, 729, 56 << 10},  {182 * kMegabyte, 1024, 40 << 10},
      {182 * kMegabyte, 5000, 32 << 10}, {64 * kMegabyte, 512, 32 << 10},
  };
  for (const Case& it : cases)
    EXPECT_EQ(ReceiveBufferBytes(it.memory_bytes, it.connections), it.bytes)
        << it.connections;
}

TEST(RequestBuffersTest, SomeSocketsAreNotForCallers) {
  EXPECT_EQ(MaxCallerConnections(2670), 2136U);
  EXPECT_EQ(MaxCallerConnections(250), 200U);
  EXPECT_EQ(MaxCallerConnections(0), 1U);
}

TEST(RequestBuffersTest, CallersWithoutProgressReleaseBytesFirst) {
  const std::vector<CallerHold> holds = {
      MakeHold(CallerStage::kReceiving, 100, 30),
      MakeHold(CallerStage::kWaiting, 100, 1),
      MakeHold(CallerStage::kReceiving, 100, 10),
      MakeHold(CallerStage::kIdle, 0, 2),
      MakeHold(CallerStage::kClosing, 50, 3),
      MakeHold(CallerStage::kReceiving, 100, 20),
      MakeHold(CallerStage::kWaiting, 100, 40),
  };
  EXPECT_EQ(ChooseForBytes(holds, 0), std::vector<size_t>({}));
  EXPECT_EQ(ChooseForBytes(holds, 1), std::vector<size_t>({2}));
  EXPECT_EQ(ChooseForBytes(holds, 150), std::vector<size_t>({2, 5}));
  EXPECT_EQ(ChooseForBytes(holds, 350), std::vector<size_t>({2, 5, 0, 6}));
  EXPECT_EQ(ChooseForBytes(holds, 9000), std::vector<size_t>({2, 5, 0, 6, 1}));
}

TEST(RequestBuffersTest, IdleAndStalledCallersLeaveTheirConnectionsFirst) {
  const std::vector<CallerHold> holds = {
      MakeHold(CallerStage::kReceiving, 100, 30),
      MakeHold(CallerStage::kWaiting, 100, 1),
      MakeHold(CallerStage::kIdle, 0, 20),
      MakeHold(CallerStage::kClosing, 0, 50),
      MakeHold(CallerStage::kReceiving, 100, 10),
  };
  EXPECT_EQ(ChooseForConnections(holds, 1), std::vector<size_t>({3}));
  EXPECT_EQ(ChooseForConnections(holds, 3), std::vector<size_t>({3, 4, 2}));
  EXPECT_EQ(ChooseForConnections(holds, 9), std::vector<size_t>({3, 4, 2, 0}));
}

}  // namespace
}  // namespace sassafras
