// A descriptor that is closed with its owner.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace dispatcher::transport {

class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    if (this != &other) {
      reset();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  ~Descriptor() { reset(); }

  static Descriptor copy_of(int fd) { return Descriptor(::fcntl(fd, F_DUPFD_CLOEXEC, 0)); }
  explicit operator bool() const { return fd_ >= 0; }
  int get() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }

 private:
  void reset() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
  }
  int fd_ = -1;
};

}  // namespace dispatcher::transport
