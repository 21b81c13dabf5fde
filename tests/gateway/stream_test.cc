// Tests how a Stream reports the end of its connection, with a plain socket as
// the peer.
#include "gateway/stream.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <string>

namespace sassafras {
namespace {

using std::chrono::milliseconds;

const Address kPeerAddress{"127.119.1.1", 8080};
// More than the socket buffers on the way hold, so that the rest stays unsent.
constexpr size_t kLargeWriteBytes = 16 << 20;
constexpr char kAnswer[] = "part of an answer";

enum class PeerEnd {
  kReset,              // Closes with unread bytes.
  kShutdown,           // Ends its sending side and goes on reading.
  kShutdownThenReset,  // Ends its sending side, then closes with unread bytes.
};

// The accepting side of one connection. Its small segments and receive buffer
// keep the loopback interface from buffering megabytes.
class Peer {
 public:
  Peer() : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int segment_bytes = 1400;
    const int buffer_bytes = 8 << 10;
    const int on = 1;
    setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
               sizeof(segment_bytes));
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(kPeerAddress.port);
    to.sin_addr.s_addr = htonl(0x7f770101);  // kPeerAddress.
    EXPECT_EQ(::bind(listener_, reinterpret_cast<sockaddr*>(&to), sizeof(to)),
              0);
    EXPECT_EQ(::listen(listener_, 1), 0);
  }
  ~Peer() {
    ::close(listener_);
    if (fd_ >= 0)
      ::close(fd_);
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  void Accept() { fd_ = ::accept(listener_, nullptr, nullptr); }
  void Send(const std::string& text) {
    EXPECT_EQ(::send(fd_, text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
  }
  void End(PeerEnd end) {
    if (end != PeerEnd::kReset)
      ::shutdown(fd_, SHUT_WR);
    if (end == PeerEnd::kShutdown)
      return;
    ::close(fd_);
    fd_ = -1;
  }

 private:
  int listener_;
  int fd_ = -1;
};

class StreamTest : public testing::Test {
 protected:
  // Connects `stream_` to `peer_` and waits until the peer has accepted it.
  void Connect() {
    auto stream = Stream::Connect(loop_, kPeerAddress, "");
    ASSERT_TRUE(stream);
    stream_ = stream.value();
    Stream::Handlers handlers;
    handlers.on_data = [this](std::string_view data) { received_ += data; };
    handlers.on_end = [this](StreamEnd end) { end_ = end; };
    stream_->Start(std::move(handlers));
    peer_.Accept();
    Run(milliseconds(20));
    ASSERT_TRUE(stream_->is_connected());
  }

  void Run(milliseconds time) {
    const auto timer = loop_.After(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  Loop loop_;
  Peer peer_;
  std::shared_ptr<Stream> stream_;
  std::string received_;
  std::optional<StreamEnd> end_;
};

// Guards against a reset that is reported as a regular close: send() takes the
// pending error of the socket, after which recv() returns an end of file.
TEST_F(StreamTest, EndIsReportedAsThePeerMadeItWhileBytesAreUnsent) {
  struct Case {
    const char* name;
    size_t bytes;  // Written before; the peer reads none of them.
    PeerEnd peer_end;
    StreamEnd end;
  };
  const std::vector<Case> cases = {
      {"reset, all sent", 1, PeerEnd::kReset, StreamEnd::kReset},
      {"reset", kLargeWriteBytes, PeerEnd::kReset, StreamEnd::kReset},
      {"shutdown", kLargeWriteBytes, PeerEnd::kShutdown, StreamEnd::kClosed},
      {"shutdown, then reset", kLargeWriteBytes, PeerEnd::kShutdownThenReset,
       StreamEnd::kClosed},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    received_.clear();
    end_.reset();
    Connect();
    stream_->Write(std::string(it.bytes, 'u'));
    Run(milliseconds(50));
    ASSERT_EQ(stream_->pending() > 0, it.bytes > 1);
    peer_.Send(kAnswer);
    peer_.End(it.peer_end);
    Run(milliseconds(100));
    EXPECT_EQ(received_, kAnswer);
    ASSERT_TRUE(end_);
    EXPECT_EQ(NameOf(*end_), NameOf(it.end));
    stream_->Close();
  }
}

// As above, where Write() meets the reset before anything is read. What the
// peer had sent must still arrive.
TEST_F(StreamTest, ResetMetByAWriteComesAfterTheReceivedBytes) {
  Connect();
  stream_->Write(std::string(kLargeWriteBytes, 'u'));
  Run(milliseconds(50));
  peer_.Send(kAnswer);
  peer_.End(PeerEnd::kReset);
  // The reset is at the socket, and the loop has not run since.
  ::usleep(20'000);
  stream_->Write("more");
  EXPECT_FALSE(end_);
  Run(milliseconds(100));
  EXPECT_EQ(received_, kAnswer);
  ASSERT_TRUE(end_);
  EXPECT_EQ(NameOf(*end_), NameOf(StreamEnd::kReset));
}

// A stream that is not read from, as under backpressure, must report a reset
// that a write meets all the same.
TEST_F(StreamTest, ResetMetByAWriteIsReportedWhileReadingIsPaused) {
  Connect();
  stream_->SetReading(false);
  stream_->Write(std::string(kLargeWriteBytes, 'u'));
  Run(milliseconds(50));
  peer_.End(PeerEnd::kReset);
  Run(milliseconds(100));
  ASSERT_TRUE(end_);
  EXPECT_EQ(NameOf(*end_), NameOf(StreamEnd::kReset));
}

}  // namespace
}  // namespace sassafras
