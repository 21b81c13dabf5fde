// Tests crowds of callers that hold memory and descriptors: bodies that stop
// short of their end, chunks of one byte, bodies over the limit, and more
// connections than the host has descriptors for.

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <iostream>

#include "base/socket.h"
#include "gateway/gateway_fixture.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMemoryMegabytes = 64;
constexpr size_t kMemoryBytes = kMemoryMegabytes << 20;
// Of resident memory, above that before the crowd, once it has gone.
constexpr size_t kMaxKeptBytes = kMemoryBytes / 8;
constexpr size_t kMaxDescriptors = 450;
// Those that are not reserved for files.
constexpr size_t kMaxSockets = kMaxDescriptors - 200;
constexpr size_t kCrowd = 500;
constexpr size_t kLargeBodyBytes = 250'000;
constexpr size_t kOneByteChunks = 120'000;
// Above the limit of the stand-in's configuration.
constexpr size_t kBodyOverLimitBytes = 10 << 20;
constexpr size_t kPieceBytes = 8 << 10;
constexpr milliseconds kTurn{2};
// Bounds a test that hangs; far above what any machine takes.
constexpr seconds kPatience{120};

// What each caller of a crowd sends: `begin`, then `rest` as many bytes as
// given at a time. Sends nothing more and stays open afterwards.
struct CrowdText {
  std::string begin;
  std::string rest;
  size_t bytes_per_turn = 256 << 10;
};

class Crowd {
 public:
  Crowd(Loop& loop, const Address& to, size_t n, CrowdText text)
      : text_(std::move(text)) {
    for (size_t i = 0; i < n; ++i) {
      auto socket = StartConnect(to, "");
      if (!socket)
        std::abort();
      members_.push_back({std::move(socket.value())});
    }
    timer_ = loop.Every(kTurn, [this] { RunTurn(); });
  }

  // Whether each caller has sent all its text or was cut off.
  bool IsDone() const {
    return std::all_of(members_.begin(), members_.end(), [&](const Member& it) {
      return it.is_closed || it.sent == text_.begin.size() + text_.rest.size();
    });
  }
  // Whether no caller has sent anything lately: it is done, or its input is not
  // read any more.
  bool IsSettled() const { return IsDone() || idle_turns_ > kSettledTurns; }
  size_t CountOpen() const {
    return static_cast<size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [](const Member& it) { return !it.is_closed; }));
  }

 private:
  static constexpr int kSettledTurns = 200;

  struct Member {
    Socket socket;
    size_t sent = 0;
    bool is_closed = false;
  };

  void RunTurn() {
    ++idle_turns_;
    for (Member& it : members_) {
      if (!it.is_closed)
        RunTurn(it);
    }
  }

  void RunTurn(Member& it) {
    const std::string& begin = text_.begin;
    const bool at_begin = it.sent < begin.size();
    const std::string_view all = at_begin ? begin : text_.rest;
    const std::string_view left =
        all.substr(at_begin ? it.sent : it.sent - begin.size());
    if (!left.empty()) {
      const ssize_t n = ::send(it.socket.fd(), left.data(),
                               std::min(left.size(), text_.bytes_per_turn),
                               MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        it.sent += static_cast<size_t>(n);
        idle_turns_ = 0;
      }
    }
    char buf[4096];
    const ssize_t n = ::recv(it.socket.fd(), buf, sizeof(buf), MSG_DONTWAIT);
    const bool is_waiting =
        n < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN);
    if (n <= 0 && !is_waiting) {
      it.is_closed = true;
      it.socket.Close();
    }
  }

  CrowdText text_;
  std::vector<Member> members_;
  int idle_turns_ = 0;
  std::unique_ptr<Watch> timer_;
};

// One byte less than announced.
CrowdText AnnouncedBody(size_t bytes) {
  CrowdText out;
  out.begin = RequestText("POST", "/upload/1", "crowd",
                          "Content-Length: " + std::to_string(bytes) + "\r\n");
  out.rest = std::string(bytes - 1, 'b');
  return out;
}

// Without the last chunk.
CrowdText ChunkedBody(size_t bytes, size_t chunk_bytes) {
  CrowdText out;
  out.begin = RequestText("POST", "/upload/1", "crowd",
                          "Transfer-Encoding: chunked\r\n");
  for (size_t at = 0; at < bytes; at += chunk_bytes)
    out.rest +=
        FormatChunk(std::string(std::min(chunk_bytes, bytes - at), 'b'));
  return out;
}

class ClientCrowdTest : public GatewayTest {
 protected:
  void Start(const std::string& more = "") {
    world_.set_more_settings(
        "limits.memory-mb=" + std::to_string(kMemoryMegabytes) + "\n" + more);
    StartOne(2);
    WaitUntilHostsAreKnown();
    ExpectOrdinaryRequestsAreAnswered("before");
    before_ = world_.ResidentMemoryOf(1);
    watch_ = world_.loop().Every(milliseconds(20), [this] { Sample(); });
  }

  void Sample() {
    peak_ =
        std::max(peak_, world_.ResidentMemoryOf(1) + world_.UnreadBytesOf(1));
    sockets_ = std::max(sockets_, world_.OpenSocketsOf(1));
  }

  // Each with a few attempts, as callers make them.
  void ExpectOrdinaryRequestsAreAnswered(const std::string& when) {
    SCOPED_TRACE(when);
    ExpectAnswered(RequestText("GET", "/read/1", "o"));
    ExpectAnswered(RequestText("POST", "/upload/2", "p", "",
                               std::string(kLargeBodyBytes, 'p')));
  }

  void ExpectAnswered(const std::string& text) {
    EXPECT_TRUE(
        world_.Eventually(kPatience, [&] { return Status(text) == 200; }));
  }

  // Sends what the crowd sends, lets it stay and leave.
  void RunCrowd(size_t n, CrowdText text) {
    auto crowd =
        std::make_unique<Crowd>(world_.loop(), address_, n, std::move(text));
    EXPECT_TRUE(world_.RunUntil(kPatience, [&] { return crowd->IsSettled(); }));
    ASSERT_FALSE(world_.HasExited(1)) << world_.last_exit();
    ExpectOrdinaryRequestsAreAnswered("during");
    const size_t open = crowd->CountOpen();
    crowd.reset();
    ExpectOrdinaryRequestsAreAnswered("after");
    ASSERT_FALSE(world_.HasExited(1)) << world_.last_exit();
    EXPECT_TRUE(world_.RunUntil(seconds(30), [&] {
      return world_.ResidentMemoryOf(1) < before_ + kMaxKeptBytes;
    }));
    const size_t peak = std::max(peak_, world_.PeakMemoryOf(1));
    std::cout << "before_kb=" << before_ / 1024 << " peak_kb=" << peak / 1024
              << " resident_peak_kb=" << world_.PeakMemoryOf(1) / 1024
              << " after_kb=" << world_.ResidentMemoryOf(1) / 1024
              << " sockets=" << sockets_ << " open=" << open << "\n";
    EXPECT_LT(peak, kMemoryBytes);
  }

  size_t before_ = 0;
  size_t peak_ = 0;
  size_t sockets_ = 0;
  std::unique_ptr<Watch> watch_;
};

TEST_F(ClientCrowdTest, LargeBodiesThatStopShortStayWithinMemory) {
  Start();
  RunCrowd(kCrowd, AnnouncedBody(kLargeBodyBytes));
}

TEST_F(ClientCrowdTest, LargeBodiesInPiecesThatStopShortStayWithinMemory) {
  Start();
  CrowdText text = AnnouncedBody(kLargeBodyBytes);
  text.bytes_per_turn = kPieceBytes;
  RunCrowd(kCrowd, std::move(text));
}

TEST_F(ClientCrowdTest, LargeChunksThatStopShortStayWithinMemory) {
  Start();
  RunCrowd(kCrowd, ChunkedBody(kLargeBodyBytes, 64 << 10));
}

TEST_F(ClientCrowdTest, OneByteChunksThatStopShortStayWithinMemory) {
  Start();
  RunCrowd(kCrowd, ChunkedBody(kOneByteChunks, 1));
}

TEST_F(ClientCrowdTest, BodiesBehindShortRequestsStayWithinMemory) {
  constexpr int kShortRequests = 15;
  Start();
  CrowdText text = AnnouncedBody(kLargeBodyBytes);
  std::string before;
  for (int i = 0; i < kShortRequests; ++i)
    before += RequestText("GET", "/read/" + std::to_string(i), "short");
  text.begin = before + text.begin;
  RunCrowd(kCrowd, std::move(text));
}

TEST_F(ClientCrowdTest, BodiesOverTheLimitStayWithinMemory) {
  constexpr size_t kOversized = 60;
  Start();
  RunCrowd(kOversized, AnnouncedBody(kBodyOverLimitBytes));
  RunCrowd(kOversized, ChunkedBody(kBodyOverLimitBytes, 64 << 10));
}

// Most of the bodies are small, so that memory is not the bound.
TEST_F(ClientCrowdTest, MoreCallersThanDescriptorsLeaveSomeForOthers) {
  Start("limits.max-fds=" + std::to_string(kMaxDescriptors) + "\n");
  RunCrowd(kCrowd, AnnouncedBody(1000));
  EXPECT_LE(sockets_, kMaxSockets);
}

TEST_F(ClientCrowdTest, MoreIdleCallersThanDescriptorsLeaveSomeForOthers) {
  Start("limits.max-fds=" + std::to_string(kMaxDescriptors) + "\n");
  RunCrowd(kCrowd, {});
  EXPECT_LE(sockets_, kMaxSockets);
}

// Fewer descriptors than the settings say: what the platform enforces holds.
TEST_F(ClientCrowdTest, HostOutOfDescriptorsServesOthersWithoutSpinning) {
  constexpr rlim_t kDescriptors = 100;
  Start();
  world_.SetDescriptorLimit(1, kDescriptors);
  Crowd crowd(world_.loop(), address_, kCrowd, {});
  Wait(seconds(1));
  const Duration before = world_.CpuTimeOf(1);
  Wait(seconds(2));
  // A process that spins uses all of that time.
  EXPECT_LT(world_.CpuTimeOf(1) - before, seconds(1));
  ExpectOrdinaryRequestsAreAnswered("during");
  EXPECT_GT(crowd.CountOpen(), 0U);
  EXPECT_FALSE(world_.HasExited(1)) << world_.last_exit();
}

// The requests before one that cannot be read wait for their turn and are
// answered; then the connection closes.
TEST_F(ClientCrowdTest, RequestsBeforeAMalformedOneAreAnswered) {
  Start();
  for (PlatformStandinEndpoint* it : endpoints_)
    it->set_work_time(milliseconds(200));
  const auto caller = Connect();
  caller->Send(RequestText("GET", "/read/1", "m1") +
               RequestText("POST", "/charge/1", "m2", "", "body") +
               "malformed\r\n\r\n");
  EXPECT_TRUE(
      world_.RunUntil(seconds(30), [&] { return caller->is_closed(); }));
  EXPECT_EQ(caller->answers().size(), 2U);
}

}  // namespace
}  // namespace sassafras
