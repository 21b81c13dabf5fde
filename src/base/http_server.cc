#include "base/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace sassafras {

namespace {

constexpr size_t kStreamBlockBytes = 32 << 10;
constexpr size_t kConnectionMemoryBytes = 32 << 10;

class ServerImpl;

class SessionImpl : public HttpSession,
                    public std::enable_shared_from_this<SessionImpl> {
 public:
  SessionImpl(ServerImpl& server,
              MHD_Connection* connection,
              std::string target,
              const char* url,
              const char* method);

  const std::string& method() const override { return method_; }
  const std::string& target() const override { return target_; }
  const std::string& path() const override { return path_; }
  std::optional<std::string> Argument(const std::string& name) const override {
    return Lookup(MHD_GET_ARGUMENT_KIND, name);
  }
  std::optional<std::string> Header(const std::string& name) const override {
    return Lookup(MHD_HEADER_KIND, name);
  }
  HttpHeaders Headers() const override;
  std::string client_ip() const override;
  bool has_body() const override;
  std::optional<uint64_t> content_length() const override;
  void ReadBody(size_t limit,
                std::function<void(std::optional<std::string>)> done) override;
  std::shared_ptr<BytePipe> StreamBody(size_t buffer_bytes,
                                       uint64_t limit) override;
  void Respond(int status,
               const HttpHeaders& headers,
               std::string body) override;
  void RespondStream(int status,
                     const HttpHeaders& headers,
                     std::optional<uint64_t> length,
                     std::shared_ptr<BytePipe> body) override;
  void AbortConnection() override;
  void set_on_disconnect(std::function<void()> fn) override {
    on_disconnect_ = std::move(fn);
  }

  // Callbacks of libmicrohttpd.
  MHD_Result OnCall(const char* data, size_t* size);
  void OnCompleted(bool completed_ok);
  ssize_t ReadResponseBody(char* buf, size_t max);

 private:
  enum class BodyMode { kUndecided, kBuffered, kStreamed };

  std::optional<std::string> Lookup(MHD_ValueKind kind,
                                    const std::string& name) const;
  int Fd() const;
  void Suspend();
  void Resume();
  void WatchClient();
  void HandleDisconnect();
  MHD_Result ReceiveBody(const char* data, size_t* size);
  MHD_Result QueueResponse();
  void SetResponse(int status,
                   MHD_Response* response,
                   const HttpHeaders& headers);

  ServerImpl& server_;
  MHD_Connection* connection_;  // Null after OnCompleted().
  std::string method_;
  std::string target_;
  std::string path_;
  bool suspended_ = false;
  bool dispatched_ = false;
  bool aborted_ = false;
  bool expects_repeated_header_call_ = false;
  bool body_ended_ = false;
  BodyMode body_mode_ = BodyMode::kUndecided;
  size_t body_limit_bytes_ = 0;
  uint64_t body_bytes_received_ = 0;
  std::string body_;
  std::function<void(std::optional<std::string>)> on_body_read_;
  std::shared_ptr<BytePipe> body_stream_;
  std::shared_ptr<BytePipe> response_stream_;
  MHD_Response* response_ = nullptr;
  int status_ = 0;
  bool response_queued_ = false;
  std::function<void()> on_disconnect_;
  std::unique_ptr<Watch> client_watch_;
};

class ServerImpl : public HttpServer {
 public:
  ServerImpl(Loop& loop, OnRequest on_request)
      : loop_(loop),
        on_request_(std::move(on_request)),
        alive_(std::make_shared<bool>(true)) {}

  ~ServerImpl() override {
    *alive_ = false;
    epoll_watch_.reset();
    if (daemon_)
      MHD_stop_daemon(daemon_);
  }

  Result<void> Start(const HttpServerConfig& config);

  void DispatchRequest(std::shared_ptr<SessionImpl> session) {
    on_request_(std::move(session));
  }
  Loop& loop() { return loop_; }
  // Schedules Run() for a later iteration of the loop.
  void Wake() {
    if (wake_posted_)
      return;
    wake_posted_ = true;
    loop_.Post([this, alive = alive_] {
      if (!*alive)
        return;
      wake_posted_ = false;
      Run();
    });
  }

 private:
  void Run() {
    MHD_run(daemon_);
    // libmicrohttpd handles its timeouts only inside MHD_run().
    MHD_UNSIGNED_LONG_LONG ms = 0;
    timer_.reset();
    if (MHD_get_timeout(daemon_, &ms) != MHD_YES)
      return;
    if (ms == 0)
      Wake();
    else
      timer_ = loop_.After(std::chrono::milliseconds(ms), [this] { Wake(); });
  }

  static MHD_Result OnAccess(void* self,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char*,
                             const char* data,
                             size_t* size,
                             void** state);
  static void OnCompleted(void*,
                          MHD_Connection*,
                          void** state,
                          MHD_RequestTerminationCode code);

  Loop& loop_;
  OnRequest on_request_;
  MHD_Daemon* daemon_ = nullptr;
  std::unique_ptr<Watch> epoll_watch_;
  std::unique_ptr<Watch> timer_;
  bool wake_posted_ = false;
  std::shared_ptr<bool> alive_;
};

// State that libmicrohttpd keeps per request: the raw target from the start,
// the session once the headers have arrived.
struct RequestState {
  std::string target;
  std::shared_ptr<SessionImpl> session;
};

SessionImpl::SessionImpl(ServerImpl& server,
                         MHD_Connection* connection,
                         std::string target,
                         const char* url,
                         const char* method)
    : server_(server),
      connection_(connection),
      method_(method),
      target_(std::move(target)),
      path_(url) {}

std::optional<std::string> SessionImpl::Lookup(MHD_ValueKind kind,
                                               const std::string& name) const {
  if (!connection_)
    return std::nullopt;
  const char* value =
      MHD_lookup_connection_value(connection_, kind, name.c_str());
  if (!value)
    return std::nullopt;
  return std::string(value);
}

HttpHeaders SessionImpl::Headers() const {
  HttpHeaders out;
  if (!connection_)
    return out;
  const auto collect = [](void* self, MHD_ValueKind, const char* name,
                          const char* value) -> MHD_Result {
    static_cast<HttpHeaders*>(self)->emplace_back(name, value ? value : "");
    return MHD_YES;
  };
  MHD_get_connection_values(connection_, MHD_HEADER_KIND, collect, &out);
  return out;
}

std::string SessionImpl::client_ip() const {
  if (!connection_)
    return "";
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (!info || info->client_addr->sa_family != AF_INET)
    return "";
  const auto* in = reinterpret_cast<const sockaddr_in*>(info->client_addr);
  char buf[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &in->sin_addr, buf, sizeof(buf));
  return buf;
}

bool SessionImpl::has_body() const {
  if (Header("Transfer-Encoding"))
    return true;
  return content_length().value_or(0) > 0;
}

std::optional<uint64_t> SessionImpl::content_length() const {
  const auto text = Header("Content-Length");
  if (!text)
    return std::nullopt;
  uint64_t n = 0;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, n);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return n;
}

int SessionImpl::Fd() const {
  if (!connection_)
    return -1;
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info ? info->connect_fd : -1;
}

void SessionImpl::ReadBody(
    size_t limit,
    std::function<void(std::optional<std::string>)> done) {
  body_mode_ = BodyMode::kBuffered;
  body_limit_bytes_ = limit;
  on_body_read_ = std::move(done);
  Resume();
}

std::shared_ptr<BytePipe> SessionImpl::StreamBody(size_t buffer_bytes,
                                                  uint64_t limit) {
  body_mode_ = BodyMode::kStreamed;
  body_limit_bytes_ = limit;
  body_stream_ = std::make_shared<BytePipe>(buffer_bytes);
  body_stream_->set_on_space([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->Resume();
  });
  if (body_ended_)
    body_stream_->End();
  Resume();
  return body_stream_;
}

void SessionImpl::Respond(int status,
                          const HttpHeaders& headers,
                          std::string body) {
  SetResponse(status,
              MHD_create_response_from_buffer(body.size(), body.data(),
                                              MHD_RESPMEM_MUST_COPY),
              headers);
}

void SessionImpl::RespondStream(int status,
                                const HttpHeaders& headers,
                                std::optional<uint64_t> length,
                                std::shared_ptr<BytePipe> body) {
  response_stream_ = std::move(body);
  response_stream_->set_on_data([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->Resume();
  });
  const auto read = [](void* self, uint64_t, char* buf, size_t max) {
    return static_cast<SessionImpl*>(self)->ReadResponseBody(buf, max);
  };
  MHD_Response* response =
      MHD_create_response_from_callback(length ? *length : MHD_SIZE_UNKNOWN,
                                        kStreamBlockBytes, read, this, nullptr);
  SetResponse(status, response, headers);
}

void SessionImpl::SetResponse(int status,
                              MHD_Response* response,
                              const HttpHeaders& headers) {
  if (!connection_ || response_) {
    MHD_destroy_response(response);
    return;
  }
  for (const auto& [name, value] : headers)
    MHD_add_response_header(response, name.c_str(), value.c_str());
  response_ = response;
  status_ = status;
  Resume();
}

void SessionImpl::AbortConnection() {
  aborted_ = true;
  const int fd = Fd();
  if (fd >= 0)
    ::shutdown(fd, SHUT_RDWR);
  Resume();
}

void SessionImpl::Suspend() {
  if (suspended_)
    return;
  suspended_ = true;
  MHD_suspend_connection(connection_);
  WatchClient();
}

void SessionImpl::Resume() {
  if (!suspended_ || !connection_)
    return;
  suspended_ = false;
  client_watch_.reset();
  MHD_resume_connection(connection_);
  server_.Wake();
}

// libmicrohttpd does not poll suspended connections, so a client that
// disconnects during the suspension is detected here.
void SessionImpl::WatchClient() {
  const int fd = Fd();
  if (fd < 0)
    return;
  client_watch_ = server_.loop().OnSocket(
      fd, Ready::kRead, [weak = weak_from_this(), fd](bool, bool) {
        const auto self = weak.lock();
        if (!self)
          return;
        char c = 0;
        const ssize_t n = ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
        self->client_watch_.reset();
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
          self->HandleDisconnect();
      });
}

void SessionImpl::HandleDisconnect() {
  const auto on_disconnect = std::move(on_disconnect_);
  on_disconnect_ = nullptr;
  if (body_stream_)
    body_stream_->Abort();
  if (response_stream_)
    response_stream_->Abort();
  if (on_disconnect)
    on_disconnect();
  AbortConnection();
}

MHD_Result SessionImpl::OnCall(const char* data, size_t* size) {
  // MHD_NO makes libmicrohttpd close the connection. Continuing could suspend
  // it again.
  if (aborted_)
    return MHD_NO;
  if (!dispatched_) {
    dispatched_ = true;
    server_.DispatchRequest(shared_from_this());
    if (response_)
      return QueueResponse();
    // The body is not read until the handler has called ReadBody() or
    // StreamBody().
    if (has_body() && body_mode_ == BodyMode::kUndecided) {
      expects_repeated_header_call_ = true;
      Suspend();
    }
    return MHD_YES;
  }
  if (*size > 0)
    return ReceiveBody(data, size);
  if (response_)
    return QueueResponse();
  if (body_mode_ == BodyMode::kUndecided && has_body()) {
    Suspend();
    return MHD_YES;
  }
  if (expects_repeated_header_call_) {
    // After the suspension libmicrohttpd repeats the call for the headers. It
    // has no data either, but does not mark the end of the body.
    expects_repeated_header_call_ = false;
    return MHD_YES;
  }
  if (!body_ended_) {
    body_ended_ = true;
    if (body_stream_)
      body_stream_->End();
    if (on_body_read_) {
      const auto done = std::move(on_body_read_);
      on_body_read_ = nullptr;
      done(std::move(body_));
    }
  }
  if (response_)
    return QueueResponse();
  Suspend();
  return MHD_YES;
}

MHD_Result SessionImpl::ReceiveBody(const char* data, size_t* size) {
  if (body_mode_ == BodyMode::kBuffered) {
    body_.append(data, std::min(*size, body_limit_bytes_ + 1 - body_.size()));
    *size = 0;
    if (body_.size() > body_limit_bytes_ && on_body_read_) {
      const auto done = std::move(on_body_read_);
      on_body_read_ = nullptr;
      done(std::nullopt);
    }
    return MHD_YES;
  }
  if (!body_stream_ || body_stream_->is_aborted())
    return MHD_NO;
  const size_t n = body_stream_->Write(data, *size);
  body_bytes_received_ += n;
  *size -= n;
  if (body_bytes_received_ > body_limit_bytes_) {
    body_stream_->Abort();
    return MHD_NO;
  }
  if (*size > 0)
    Suspend();
  return MHD_YES;
}

MHD_Result SessionImpl::QueueResponse() {
  if (response_queued_)
    return MHD_YES;
  response_queued_ = true;
  return MHD_queue_response(connection_, static_cast<unsigned>(status_),
                            response_);
}

ssize_t SessionImpl::ReadResponseBody(char* buf, size_t max) {
  if (response_stream_->is_aborted())
    return MHD_CONTENT_READER_END_WITH_ERROR;
  const size_t n = response_stream_->Read(buf, max);
  if (n > 0)
    return static_cast<ssize_t>(n);
  if (response_stream_->is_ended())
    return MHD_CONTENT_READER_END_OF_STREAM;
  Suspend();
  return 0;
}

void SessionImpl::OnCompleted(bool completed_ok) {
  client_watch_.reset();
  connection_ = nullptr;
  if (response_)
    MHD_destroy_response(response_);
  if (body_stream_)
    body_stream_->set_on_space(nullptr);
  if (response_stream_)
    response_stream_->set_on_data(nullptr);
  if (!completed_ok)
    HandleDisconnect();
  on_disconnect_ = nullptr;
}

MHD_Result ServerImpl::OnAccess(void* self,
                                MHD_Connection* connection,
                                const char* url,
                                const char* method,
                                const char*,
                                const char* data,
                                size_t* size,
                                void** state) {
  auto* request = static_cast<RequestState*>(*state);
  if (!request)
    return MHD_NO;
  if (!request->session) {
    request->session =
        std::make_shared<SessionImpl>(*static_cast<ServerImpl*>(self),
                                      connection, request->target, url, method);
  }
  const auto session = request->session;
  return session->OnCall(data, size);
}

void ServerImpl::OnCompleted(void*,
                             MHD_Connection*,
                             void** state,
                             MHD_RequestTerminationCode code) {
  auto* request = static_cast<RequestState*>(*state);
  *state = nullptr;
  if (!request)
    return;
  if (request->session)
    request->session->OnCompleted(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  delete request;
}

Result<void> ServerImpl::Start(const HttpServerConfig& config) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(config.listen.port);
  inet_pton(AF_INET, config.listen.ip.c_str(), &address.sin_addr);
  const auto on_uri = [](void*, const char* uri, MHD_Connection*) -> void* {
    return new RequestState{uri, nullptr};
  };
  daemon_ = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, config.listen.port, nullptr,
      nullptr, &ServerImpl::OnAccess, this, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_CONNECTION_LIMIT, config.max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(config.idle_timeout.count()),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_URI_LOG_CALLBACK,
      static_cast<void* (*)(void*, const char*, MHD_Connection*)>(on_uri),
      nullptr, MHD_OPTION_NOTIFY_COMPLETED, &ServerImpl::OnCompleted, nullptr,
      MHD_OPTION_END);
  if (!daemon_) {
    return leaf::new_error(Error{ErrorCode::kUnavailable, "listen",
                                 config.listen.ToString(),
                                 std::strerror(errno)});
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
  epoll_watch_ = loop_.OnSocket(info->epoll_fd, Ready::kRead,
                                [this](bool, bool) { Run(); });
  return {};
}

}  // namespace

Result<std::unique_ptr<HttpServer>> StartHttpServer(
    Loop& loop,
    const HttpServerConfig& config,
    HttpServer::OnRequest on_request) {
  auto server = std::make_unique<ServerImpl>(loop, std::move(on_request));
  BOOST_LEAF_CHECK(server->Start(config));
  return std::unique_ptr<HttpServer>(std::move(server));
}

}  // namespace sassafras
