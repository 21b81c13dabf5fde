#include "gateway/stream.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace sassafras {

namespace {

constexpr size_t kReadBufferBytes = 32 << 10;
// Capacity that an empty send buffer keeps.
constexpr size_t kMaxKeptSendBytes = 8 << 10;
// Reads per turn of the event loop, so that one connection cannot block it.
constexpr int kMaxReadsPerTurn = 4;
// How long CloseGracefully() waits for the peer to close its side, after all
// data was sent.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// How long CloseGracefully() waits for a peer that accepts no more data.
constexpr Duration kMaxUnsentTime = std::chrono::seconds(15);

bool IsTransient(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

Stream::Stream(Loop& loop, Socket socket, bool connected)
    : loop_(loop), socket_(std::move(socket)), connected_(connected) {}

std::shared_ptr<Stream> Stream::Adopt(Loop& loop, Socket socket) {
  return std::make_shared<Stream>(loop, std::move(socket), true);
}

Result<std::shared_ptr<Stream>> Stream::Connect(Loop& loop,
                                                const Address& address,
                                                const std::string& from_ip) {
  BOOST_LEAF_AUTO(socket, StartConnect(address, from_ip));
  return std::make_shared<Stream>(loop, std::move(socket), false);
}

void Stream::Start(Handlers handlers) {
  handlers_ = std::move(handlers);
  UpdateWatch();
}

void Stream::UpdateWatch() {
  if (!socket_.valid()) {
    watch_.reset();
    return;
  }
  const bool write = !connected_ || pending() > 0;
  const bool read = connected_ && reading_;
  if (watch_ && write == watches_write_ && read == watches_read_)
    return;
  watches_write_ = write;
  watches_read_ = read;
  // Removes the old watch first: the loop allows one watch per descriptor.
  watch_.reset();
  if (!read && !write)
    return;
  const Ready ready = read && write ? Ready::kReadWrite
                      : read        ? Ready::kRead
                                    : Ready::kWrite;
  watch_ = loop_.OnSocket(socket_.fd(), ready,
                          [weak = weak_from_this()](bool in, bool out) {
                            if (const auto self = weak.lock())
                              self->OnReady(in, out);
                          });
}

void Stream::OnReady(bool readable, bool writable) {
  const auto self = shared_from_this();
  if (!connected_) {
    OnConnectDone();
    return;
  }
  // Reads first: a send that meets a reset takes the socket's error with it, so
  // that a later read could not tell the reset from a regular close.
  if (readable)
    ReadSome();
  if (writable && socket_.valid())
    Flush();
}

void Stream::OnConnectDone() {
  if (!IsConnected(socket_)) {
    End(StreamEnd::kRefused);
    return;
  }
  connected_ = true;
  const auto on_connected = handlers_.on_connected;
  if (on_connected)
    on_connected();
  if (socket_.valid())
    Flush();
}

void Stream::ReadSome() {
  // A shared buffer is safe: the loop has one thread, and no handler calls
  // ReadSome() again.
  static std::array<char, kReadBufferBytes> buf;
  for (int i = 0; i < kMaxReadsPerTurn && socket_.valid() && reading_; ++i) {
    const ssize_t n = ::recv(socket_.fd(), buf.data(), buf.size(), 0);
    if (n < 0 && IsTransient(errno) && !send_failed_)
      return;
    if (n <= 0) {
      End(n < 0 || send_failed_ ? StreamEnd::kReset : StreamEnd::kClosed);
      return;
    }
    if (!closing_ && handlers_.on_data) {
      const auto on_data = handlers_.on_data;
      on_data({buf.data(), static_cast<size_t>(n)});
    }
    // With data to send, reads on to the end of file or the error, if there is
    // one, before the next send can take it.
    if (static_cast<size_t>(n) < buf.size() && pending() == 0)
      return;
  }
}

void Stream::Write(std::string_view data) {
  if (!socket_.valid() || closing_ || send_failed_)
    return;
  send_buffer_.append(data);
  if (connected_)
    Flush();
}

void Stream::Flush() {
  while (pending() > 0) {
    const ssize_t n = ::send(socket_.fd(), send_buffer_.data() + send_offset_,
                             pending(), MSG_NOSIGNAL);
    if (n < 0 && IsTransient(errno))
      break;
    if (n < 0) {
      OnSendFailed();
      return;
    }
    has_sent_ = true;
    send_offset_ += static_cast<size_t>(n);
  }
  if (closing_)
    RestartLinger();
  if (pending() > 0) {
    UpdateWatch();
    return;
  }
  const bool drained = send_offset_ > 0;
  if (send_buffer_.capacity() > kMaxKeptSendBytes)
    send_buffer_ = std::string();
  send_buffer_.clear();
  send_offset_ = 0;
  if (closing_)
    ::shutdown(socket_.fd(), SHUT_WR);
  UpdateWatch();
  const auto on_drained = handlers_.on_drained;
  if (drained && on_drained && !closing_)
    on_drained();
}

// Ends the stream in a later turn, since Write() may be on the call stack. What
// the peer sent before is read first, unless reading is paused.
void Stream::OnSendFailed() {
  send_failed_ = true;
  send_buffer_.clear();
  send_offset_ = 0;
  loop_.Post([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || !self->socket_.valid())
      return;
    self->UpdateWatch();
    if (self->reading_)
      self->ReadSome();
    else
      self->End(StreamEnd::kReset);
  });
}

void Stream::SetReading(bool reading) {
  if (reading == reading_)
    return;
  reading_ = reading;
  UpdateWatch();
}

void Stream::End(StreamEnd end) {
  if (!socket_.valid() || ended_)
    return;
  ended_ = true;
  const auto on_end = std::exchange(handlers_, {}).on_end;
  const bool must_notify = !closing_;
  Close();
  if (must_notify && on_end)
    on_end(end);
}

void Stream::Close() {
  handlers_ = {};
  watch_.reset();
  linger_.reset();
  socket_.Close();
  if (const auto on_closed = std::exchange(on_closed_, nullptr))
    on_closed();
}

void Stream::CloseGracefully(std::function<void()> on_closed) {
  if (!socket_.valid() || closing_)
    return;
  closing_ = true;
  reading_ = true;
  handlers_ = {};
  on_closed_ = std::move(on_closed);
  RestartLinger();
  if (connected_)
    Flush();
}

void Stream::RestartLinger() {
  // The timer owns this stream until the peer closes or the time is up.
  linger_ = loop_.After(pending() > 0 ? kMaxUnsentTime : kLingerTime,
                        [self = shared_from_this()] { self->Close(); });
}

}  // namespace sassafras
