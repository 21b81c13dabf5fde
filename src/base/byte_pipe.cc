#include "base/byte_pipe.h"

#include <algorithm>
#include <cstring>

namespace sassafras {

namespace {

// Bytes that were read are erased from the front of the buffer only once there
// are this many of them, because each erase moves the rest.
constexpr size_t kCompactThresholdBytes = 64 << 10;

}  // namespace

size_t BytePipe::Write(const char* data, size_t size) {
  if (aborted_)
    return size;  // The reader is gone: accept and discard.
  const size_t space = is_full() ? 0 : capacity_ - held();
  const size_t n = std::min(size, space);
  if (n > 0)
    WriteAll(data, n);
  return n;
}

void BytePipe::WriteAll(const char* data, size_t size) {
  if (aborted_)
    return;
  buffer_.append(data, size);
  NotifyData();
}

void BytePipe::End() {
  ended_ = true;
  NotifyData();
}

void BytePipe::Abort() {
  if (aborted_)
    return;
  aborted_ = true;
  buffer_.clear();
  read_offset_ = 0;
  NotifyData();
  if (on_space_)
    on_space_();
}

size_t BytePipe::Read(char* out, size_t size) {
  const bool was_full = is_full();
  const size_t n = std::min(size, held());
  std::memcpy(out, buffer_.data() + read_offset_, n);
  read_offset_ += n;
  if (read_offset_ == buffer_.size()) {
    buffer_.clear();
    read_offset_ = 0;
  } else if (read_offset_ >= kCompactThresholdBytes) {
    buffer_.erase(0, read_offset_);
    read_offset_ = 0;
  }
  if (was_full && !is_full() && on_space_)
    on_space_();
  return n;
}

void BytePipe::NotifyData() {
  if (on_data_)
    on_data_();
}

}  // namespace sassafras
