// RAII ownership of a file descriptor.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace dispatcher::transport {

// Closes its descriptor when it is destroyed.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int descriptor) : descriptor_(descriptor) {}
  Descriptor(Descriptor&& other) noexcept : descriptor_(other.release()) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    if (this != &other) {
      reset();
      descriptor_ = other.release();
    }
    return *this;
  }
  ~Descriptor() { reset(); }

  // Returns a duplicate with close-on-exec, or an empty object if no descriptor is available.
  static Descriptor copy_of(int descriptor) {
    return Descriptor(::fcntl(descriptor, F_DUPFD_CLOEXEC, 0));
  }
  explicit operator bool() const { return descriptor_ >= 0; }
  int get() const { return descriptor_; }
  // Gives up ownership without closing the descriptor.
  int release() { return std::exchange(descriptor_, -1); }

 private:
  void reset() {
    if (descriptor_ >= 0)
      ::close(descriptor_);
    descriptor_ = -1;
  }
  int descriptor_ = -1;
};

}  // namespace dispatcher::transport
