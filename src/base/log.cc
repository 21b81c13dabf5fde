#include "base/log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

INITIALIZE_EASYLOGGINGPP

namespace sassafras {

namespace {

// A pipe that polls as writable takes this much without blocking.
constexpr size_t kWriteChunkBytes = 4096;

LogLevel g_level = LogLevel::kInfo;

// Lines on their way to standard output.
struct LogBuffer {
  std::string text;
  size_t written = 0;  // Bytes of `text` that are out already.
  uint64_t dropped = 0;
  uint64_t reported_dropped =
      0;  // Of `dropped`, those that a line has told of.
};

LogBuffer& Buffer() {
  static LogBuffer buffer;
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

// Takes the lines that the logging library has formatted.
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
      // The next line may never come.
      FlushLog();
      return;
  }
}

}  // namespace sassafras
