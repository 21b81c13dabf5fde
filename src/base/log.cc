#include "base/log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

INITIALIZE_EASYLOGGINGPP

namespace sassafras {

namespace {

// A pipe that polls as writable accepts at least this many bytes (PIPE_BUF on
// Linux) without blocking.
constexpr size_t kWriteChunkBytes = 4096;

LogLevel g_level = LogLevel::kInfo;

// Lines that wait to be written to standard output.
struct LogBuffer {
  std::string text;
  size_t written = 0;  // Bytes of `text` already written.
  uint64_t dropped = 0;
  // Value of `dropped` in the last log line about it.
  uint64_t reported_dropped = 0;
};

// Never destroyed: FlushLog() runs at exit, after static objects are gone.
LogBuffer& Buffer() {
  static LogBuffer& buffer = *new LogBuffer;
  return buffer;
}

bool IsOutputReady() {
  pollfd fd{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&fd, 1, 0) == 1 && (fd.revents & POLLOUT) != 0;
}

void Append(const std::string& line) {
  LogBuffer& buffer = Buffer();
  if (buffer.text.size() - buffer.written + line.size() > kMaxLogBufferBytes) {
    ++buffer.dropped;
    return;
  }
  if (buffer.dropped > buffer.reported_dropped) {
    buffer.text +=
        "[log] Lines were dropped. total=" + std::to_string(buffer.dropped) +
        "\n";
    buffer.reported_dropped = buffer.dropped;
  }
  buffer.text += line;
  if (buffer.text.size() - buffer.written >= kWriteChunkBytes)
    FlushLog();
}

// Redirects lines formatted by easylogging++ into the buffer.
class BufferedDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    Append(message->logger()->logBuilder()->build(
        message,
        data->dispatchAction() == el::base::DispatchAction::NormalLog));
  }
};

}  // namespace

void FlushLog() {
  LogBuffer& buffer = Buffer();
  while (buffer.written < buffer.text.size() && IsOutputReady()) {
    const size_t size =
        std::min(kWriteChunkBytes, buffer.text.size() - buffer.written);
    const ssize_t n =
        ::write(STDOUT_FILENO, buffer.text.data() + buffer.written, size);
    if (n <= 0)
      break;
    buffer.written += static_cast<size_t>(n);
  }
  buffer.text.erase(0, buffer.written);
  buffer.written = 0;
}

uint64_t DroppedLogLines() {
  return Buffer().dropped;
}

void InitLog(LogLevel level) {
  g_level = level;
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  conf.setGlobally(el::ConfigurationType::Format,
                   "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  el::Loggers::reconfigureAllLoggers(conf);
  el::Helpers::installLogDispatchCallback<BufferedDispatch>("buffered");
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  std::atexit(&FlushLog);
}

void WriteLog(LogLevel level, std::string_view part, const std::string& text) {
  if (level < g_level)
    return;
  const std::string line = "[" + std::string(part) + "] " + text;
  switch (level) {
    case LogLevel::kDebug:
    case LogLevel::kInfo:
      LOG(INFO) << line;
      return;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      return;
    case LogLevel::kError:
      LOG(ERROR) << line;
      // The process may end before the next flush.
      FlushLog();
      return;
  }
}

}  // namespace sassafras
