#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include "base/log.h"
#include "base/socket.h"
#include "peers/peers.h"

namespace sassafras {

namespace {

using WsServer = websocketpp::server<websocketpp::config::core>;
using WsClient = websocketpp::client<websocketpp::config::core_client>;
using websocketpp::connection_hdl;

constexpr char kHostHeader[] = "Sassafras-Host";
constexpr char kDeploymentHeader[] = "Sassafras-Deployment";
constexpr char kKeyHeader[] = "Sassafras-Key";
constexpr size_t kReadBytes = 64 << 10;
constexpr size_t kMaxQueuedBytes = 8 << 20;
constexpr size_t kMaxMessageBytes = 32 << 20;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

// Compares in constant time for texts of equal length, so that the response
// time does not reveal how much of a guessed key is right.
bool SameSecret(const std::string& a, const std::string& b) {
  unsigned char difference = a.size() == b.size() ? 0 : 1;
  for (size_t n = 0; n < std::min(a.size(), b.size()); ++n)
    difference = static_cast<unsigned char>(difference | (a[n] ^ b[n]));
  return difference == 0;
}

// Moves bytes between a non-blocking socket and a WebSocket connection of
// websocketpp. MeshImpl owns those of incoming connections, Link its own.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  struct Handlers {
    std::function<void(const char*, size_t)> on_bytes;
    std::function<void()> on_closed;
  };

  Stream(Loop& loop, Socket socket) : loop_(loop), socket_(std::move(socket)) {}

  void Start(Handlers handlers) {
    handlers_ = std::move(handlers);
    Arm();
  }

  void Write(const char* data, size_t size) {
    if (!socket_.valid())
      return;
    out_.append(data, size);
    // One write per iteration of the event loop, so that small messages share
    // a packet.
    if (flush_posted_)
      return;
    flush_posted_ = true;
    loop_.Post([self = shared_from_this()] {
      self->flush_posted_ = false;
      self->Flush();
    });
  }

  size_t queued() const { return out_.size(); }

  void Close() {
    watch_.reset();
    socket_.Close();
    handlers_ = {};
  }

 private:
  void Arm() {
    const bool write = !out_.empty();
    watch_ =
        loop_.OnSocket(socket_.fd(), write ? Ready::kReadWrite : Ready::kRead,
                       [weak = weak_from_this()](bool readable, bool) {
                         const auto self = weak.lock();
                         if (!self)
                           return;
                         if (readable)
                           self->Read();
                         self->Flush();
                       });
    watches_write_ = write;
  }

  void Read() {
    char buf[kReadBytes];
    const ssize_t n = ::read(socket_.fd(), buf, sizeof(buf));
    if (n > 0) {
      // The callback may call Close(), which destroys `handlers_`.
      const auto on_bytes = handlers_.on_bytes;
      on_bytes(buf, static_cast<size_t>(n));
      return;
    }
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    Fail();
  }

  void Flush() {
    if (!socket_.valid())
      return;
    while (!out_.empty()) {
      const ssize_t n =
          ::send(socket_.fd(), out_.data(), out_.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        if (n < 0 && errno != EAGAIN && errno != EINTR)
          Fail();
        break;
      }
      out_.erase(0, static_cast<size_t>(n));
    }
    if (socket_.valid() && watches_write_ == out_.empty())
      Arm();
  }

  void Fail() {
    const auto on_closed = handlers_.on_closed;
    Close();
    if (on_closed)
      on_closed();
  }

  Loop& loop_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  bool watches_write_ = false;
  bool flush_posted_ = false;
  std::string out_;
  Handlers handlers_;
};

template <typename Endpoint>
void ConfigureWebSocket(Endpoint& endpoint) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.set_max_message_size(kMaxMessageBytes);
}

class MeshImpl;

// The outgoing connection to one peer, with the messages that wait for it.
// Connects on demand. After a failure it waits with exponential backoff.
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(MeshImpl& mesh, HostId to) : mesh_(mesh), to_(std::move(to)) {}
  ~Link() { Disconnect(); }

  void Send(std::string frame);
  bool is_open() const { return open_; }
  void Disconnect();

 private:
  void Connect();
  void OnConnected(Socket socket);
  void OnOpen();
  void OnFailed();

  MeshImpl& mesh_;
  HostId to_;
  Address address_;
  bool open_ = false;
  bool connecting_ = false;
  Time next_attempt_;
  Duration backoff_ = kInitialBackoff;
  std::deque<std::string> queue_;
  size_t queued_bytes_ = 0;
  std::unique_ptr<Watch> connect_watch_;
  std::shared_ptr<Stream> stream_;
  WsClient::connection_ptr connection_;
};

class MeshImpl : public Mesh {
 public:
  MeshImpl(Loop& loop,
           MeshConfig config,
           Socket listener,
           Resolve resolve,
           OnMessage on_message)
      : loop_(loop),
        config_(std::move(config)),
        listener_(std::move(listener)),
        resolve_(std::move(resolve)),
        on_message_(std::move(on_message)) {
    ConfigureWebSocket(server_);
    ConfigureWebSocket(client_);
    server_.set_validate_handler(
        [this](connection_hdl hdl) { return Validate(hdl); });
    server_.set_message_handler(
        [this](connection_hdl hdl, WsServer::message_ptr message) {
          Receive(hdl, message->get_payload());
        });
    accept_watch_ = loop_.OnSocket(listener_.fd(), Ready::kRead,
                                   [this](bool, bool) { Accept(); });
  }

  ~MeshImpl() override {
    for (const auto& [id, link] : links_)
      link->Disconnect();
    for (const auto& stream : inbound_)
      stream->Close();
  }

  void Send(const HostId& to, const Message& message) override {
    SendToAll({to}, message);
  }

  void SendToAll(const std::vector<HostId>& to,
                 const Message& message) override {
    const std::string frame = EncodeMessage(message);
    for (const HostId& it : to) {
      std::shared_ptr<Link>& link = links_[it];
      if (!link)
        link = std::make_shared<Link>(*this, it);
      bytes_sent_ += frame.size();
      link->Send(frame);
    }
  }

  size_t ConnectedCount() const override {
    return static_cast<size_t>(
        std::count_if(links_.begin(), links_.end(),
                      [](const auto& it) { return it.second->is_open(); }));
  }

  uint64_t BytesSent() const override { return bytes_sent_; }
  uint64_t BytesReceived() const override { return bytes_received_; }

  Loop& loop() { return loop_; }
  WsClient& client() { return client_; }
  const MeshConfig& config() const { return config_; }
  std::optional<Address> AddressOf(const HostId& id) { return resolve_(id); }

 private:
  void Accept() {
    while (true) {
      Socket socket = AcceptConnection(listener_);
      if (!socket.valid())
        return;
      Serve(std::move(socket));
    }
  }

  void Serve(Socket socket) {
    auto stream = std::make_shared<Stream>(loop_, std::move(socket));
    const WsServer::connection_ptr con = server_.get_connection();
    if (!con)
      return;
    const std::weak_ptr<Stream> weak = stream;
    con->set_write_handler(
        [weak](connection_hdl, const char* data, size_t size) {
          if (const auto it = weak.lock())
            it->Write(data, size);
          return websocketpp::lib::error_code();
        });
    con->set_shutdown_handler([this, weak](connection_hdl) {
      loop_.Post([this, weak] { RemoveInbound(weak); });
      return websocketpp::lib::error_code();
    });
    inbound_.insert(stream);
    stream->Start(
        {[con](const char* data, size_t size) { con->read_all(data, size); },
         [this, con, weak] {
           con->eof();
           RemoveInbound(weak);
         }});
    con->start();
  }

  void RemoveInbound(const std::weak_ptr<Stream>& weak) {
    const auto stream = weak.lock();
    if (!stream)
      return;
    stream->Close();
    inbound_.erase(stream);
  }

  bool Validate(connection_hdl hdl) {
    const auto con = server_.get_con_from_hdl(hdl);
    const std::string deployment = con->get_request_header(kDeploymentHeader);
    const bool accepted =
        deployment == config_.deployment &&
        SameSecret(con->get_request_header(kKeyHeader), config_.key);
    if (!accepted) {
      LogLine(LogLevel::kWarning, "peers",
              "Refused a peer: deployment or key differs.")
          .With("host", con->get_request_header(kHostHeader))
          .With("deployment", deployment);
    }
    return accepted;
  }

  void Receive(connection_hdl hdl, const std::string& payload) {
    bytes_received_ += payload.size();
    const auto con = server_.get_con_from_hdl(hdl);
    const HostId from(con->get_request_header(kHostHeader));
    TryOr(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(message, DecodeMessage(payload));
          on_message_(from, std::move(message));
          return {};
        },
        [&](const Error& e) {
          LogLine(LogLevel::kWarning, "peers",
                  "Dropped a malformed message of a peer.")
              .With("host", from)
              .With("reason", e.reason);
        });
  }

  Loop& loop_;
  MeshConfig config_;
  Socket listener_;
  Resolve resolve_;
  OnMessage on_message_;
  WsServer server_;
  WsClient client_;
  std::unique_ptr<Watch> accept_watch_;
  std::set<std::shared_ptr<Stream>> inbound_;
  std::map<HostId, std::shared_ptr<Link>> links_;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
};

void Link::Send(std::string frame) {
  const std::optional<Address> address = mesh_.AddressOf(to_);
  if (!address)
    return;
  // A host that restarted under the same name may have a new address.
  if (*address != address_ && (open_ || connecting_))
    Disconnect();
  address_ = *address;
  const size_t waiting =
      queued_bytes_ + (stream_ ? stream_->queued() : size_t{0});
  if (waiting + frame.size() > kMaxQueuedBytes)
    return;
  if (open_) {
    connection_->send(frame, websocketpp::frame::opcode::binary);
    return;
  }
  if (!connecting_ && mesh_.loop().Now() < next_attempt_)
    return;
  queued_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
  if (!connecting_)
    Connect();
}

void Link::Connect() {
  connecting_ = true;
  TryOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(socket,
                        StartConnect(address_, mesh_.config().listen.ip));
        auto shared = std::make_shared<Socket>(std::move(socket));
        connect_watch_ = mesh_.loop().OnSocket(
            shared->fd(), Ready::kWrite,
            [weak = weak_from_this(), shared](bool, bool) {
              if (const auto self = weak.lock())
                self->OnConnected(std::move(*shared));
            });
        return {};
      },
      [&](const Error&) { OnFailed(); });
}

void Link::OnConnected(Socket socket) {
  connect_watch_.reset();
  if (!IsConnected(socket)) {
    OnFailed();
    return;
  }
  stream_ = std::make_shared<Stream>(mesh_.loop(), std::move(socket));
  websocketpp::lib::error_code ec;
  connection_ =
      mesh_.client().get_connection("ws://" + address_.ToString() + "/", ec);
  if (ec) {
    OnFailed();
    return;
  }
  connection_->append_header(kHostHeader, mesh_.config().self.value());
  connection_->append_header(kDeploymentHeader, mesh_.config().deployment);
  connection_->append_header(kKeyHeader, mesh_.config().key);
  const std::weak_ptr<Link> weak = weak_from_this();
  const std::weak_ptr<Stream> stream = stream_;
  connection_->set_write_handler(
      [stream](connection_hdl, const char* data, size_t size) {
        if (const auto it = stream.lock())
          it->Write(data, size);
        return websocketpp::lib::error_code();
      });
  connection_->set_open_handler([weak](connection_hdl) {
    if (const auto self = weak.lock())
      self->OnOpen();
  });
  connection_->set_fail_handler([weak](connection_hdl) {
    if (const auto self = weak.lock())
      self->mesh_.loop().Post([weak] {
        if (const auto it = weak.lock())
          it->OnFailed();
      });
  });
  const auto con = connection_;
  stream_->Start(
      {[con](const char* data, size_t size) { con->read_all(data, size); },
       [weak] {
         if (const auto self = weak.lock())
           self->OnFailed();
       }});
  mesh_.client().connect(connection_);
}

void Link::OnOpen() {
  open_ = true;
  connecting_ = false;
  backoff_ = kInitialBackoff;
  for (const std::string& it : queue_)
    connection_->send(it, websocketpp::frame::opcode::binary);
  queue_.clear();
  queued_bytes_ = 0;
}

void Link::OnFailed() {
  Disconnect();
  next_attempt_ = mesh_.loop().Now() + backoff_;
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

void Link::Disconnect() {
  open_ = false;
  connecting_ = false;
  connect_watch_.reset();
  queue_.clear();
  queued_bytes_ = 0;
  if (stream_)
    stream_->Close();
  stream_.reset();
  if (connection_) {
    const auto con = std::move(connection_);
    connection_ = nullptr;
    con->eof();
  }
}

}  // namespace

Result<std::unique_ptr<Mesh>> StartMesh(Loop& loop,
                                        const MeshConfig& config,
                                        Mesh::Resolve resolve,
                                        Mesh::OnMessage on_message) {
  BOOST_LEAF_AUTO(listener, Listen(config.listen));
  return std::unique_ptr<Mesh>(
      std::make_unique<MeshImpl>(loop, config, std::move(listener),
                                 std::move(resolve), std::move(on_message)));
}

}  // namespace sassafras
