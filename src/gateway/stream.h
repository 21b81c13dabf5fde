// A non-blocking TCP connection on the event loop.
//
// Buffers data that the socket does not accept yet and reports when the buffer
// has drained, so that users can limit what they write to a slow peer.
#ifndef GATEWAY_STREAM_H_
#define GATEWAY_STREAM_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/loop.h"
#include "base/names_table.h"
#include "base/socket.h"

namespace sassafras {

enum class StreamEnd {
  kClosed,   // The peer closed its side (end of file).
  kReset,    // The connection failed, or the peer stopped responding.
  kRefused,  // The connection could not be established.
};

template <>
struct NamesTable<StreamEnd> {
  static constexpr EnumName<StreamEnd> kNames[] = {
      {StreamEnd::kClosed, "closed"},
      {StreamEnd::kReset, "reset"},
      {StreamEnd::kRefused, "refused"},
  };
};

class Stream : public std::enable_shared_from_this<Stream> {
 public:
  struct Handlers {
    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_data;
    std::function<void(StreamEnd)> on_end;  // Called at most once.
    std::function<void()> on_drained;       // All buffered data was sent.
  };

  // Wraps an accepted connection.
  static std::shared_ptr<Stream> Adopt(Loop& loop, Socket socket);
  // Starts to connect from `from_ip`; on_connected or on_end follows. An error
  // means that the attempt could not be started.
  static Result<std::shared_ptr<Stream>> Connect(Loop& loop,
                                                 const Address& address,
                                                 const std::string& from_ip);

  Stream(Loop& loop, Socket socket, bool connected);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Starts reading and calling the handlers.
  void Start(Handlers handlers);
  void set_handlers(Handlers handlers) { handlers_ = std::move(handlers); }

  // Sends `data`, or buffers what the socket does not accept. A failure is
  // reported by on_end as a reset on a later turn of the loop, after on_data
  // has been called with what the peer had sent before.
  void Write(std::string_view data);
  // Bytes in the send buffer.
  size_t pending() const { return send_buffer_.size() - send_offset_; }
  // Whether any byte was passed to the socket.
  bool has_sent() const { return has_sent_; }
  bool is_open() const { return socket_.valid(); }
  // Whether Write() still has an effect: the stream is open and no send failed.
  bool can_send() const { return socket_.valid() && !send_failed_; }
  bool is_connected() const { return connected_; }
  // Starts or stops reading, to apply backpressure to the peer.
  void SetReading(bool reading);

  // Closes at once; no handler is called afterwards.
  void Close();
  // Sends the buffered data, shuts down the sending side, and closes once the
  // peer does so or after a timeout; `on_closed` is called then. Data received
  // meanwhile is discarded: closing with unread data sends a reset, which can
  // destroy the answer before the peer has read it.
  void CloseGracefully(std::function<void()> on_closed = nullptr);

 private:
  void UpdateWatch();
  void OnReady(bool readable, bool writable);
  void OnConnectDone();
  void ReadSome();
  void Flush();
  void OnSendFailed();
  void RestartLinger();
  void End(StreamEnd end);

  Loop& loop_;
  Socket socket_;
  bool connected_ = false;
  bool reading_ = true;
  bool has_sent_ = false;
  bool closing_ = false;  // CloseGracefully() was called.
  bool ended_ = false;
  bool send_failed_ = false;
  std::string send_buffer_;
  size_t send_offset_ = 0;
  Handlers handlers_;
  bool watches_write_ = false;
  bool watches_read_ = false;
  std::unique_ptr<sassafras::Watch> watch_;
  std::unique_ptr<sassafras::Watch> linger_;
  std::function<void()> on_closed_;  // See CloseGracefully().
};

}  // namespace sassafras

#endif  // GATEWAY_STREAM_H_
