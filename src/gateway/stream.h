// A TCP connection on the event loop, as bytes in and bytes out. It keeps what
// the peer does not take yet and tells when that has drained.
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
  kClosed,   // The peer has closed its side in order.
  kReset,    // The connection broke, or the peer fell silent.
  kRefused,  // It was never established.
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
    std::function<void(StreamEnd)> on_end;  // Called once at most.
    std::function<void()> on_drained;       // Nothing is left to be sent.
  };

  // An accepted connection.
  static std::shared_ptr<Stream> Adopt(Loop& loop, Socket socket);
  // A connection to be established; on_connected or on_end follows.
  static Result<std::shared_ptr<Stream>> Connect(Loop& loop,
                                                 const Address& address,
                                                 const std::string& from_ip);

  Stream(Loop& loop, Socket socket, bool connected);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Starts reading, and tells the handlers from now on.
  void Start(Handlers handlers);
  void set_handlers(Handlers handlers) { handlers_ = std::move(handlers); }

  void Write(std::string_view data);
  // Bytes that the peer has not taken yet.
  size_t pending() const { return send_buffer_.size() - send_offset_; }
  // Whether any byte was handed to the connection.
  bool has_sent() const { return has_sent_; }
  bool is_open() const { return socket_.valid(); }
  bool is_connected() const { return connected_; }
  void SetReading(bool reading);

  // Closes at once; the handlers are not called any more.
  void Close();
  // Sends what is pending, then closes in order: what the peer still sends is
  // read and dropped for a while, since a reset would destroy the answer.
  void CloseGracefully();

 private:
  void UpdateWatch();
  void OnReady(bool readable, bool writable);
  void OnConnectDone();
  void ReadSome();
  void Flush();
  void End(StreamEnd end);

  Loop& loop_;
  Socket socket_;
  bool connected_ = false;
  bool reading_ = true;
  bool has_sent_ = false;
  bool closing_ = false;  // CloseGracefully() was called.
  bool ended_ = false;
  std::string send_buffer_;
  size_t send_offset_ = 0;
  Handlers handlers_;
  bool watches_write_ = false;
  bool watches_read_ = false;
  std::unique_ptr<sassafras::Watch> watch_;
  std::unique_ptr<sassafras::Watch> linger_;
};

}  // namespace sassafras

#endif  // GATEWAY_STREAM_H_
