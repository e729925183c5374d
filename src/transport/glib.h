// RAII wrappers for reference-counted GLib objects and for GError.
#pragma once

#include <gio/gio.h>

#include <memory>

namespace dispatcher::transport {

struct ObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
template <class T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

// Also removes the source from its context, so that its callback is not called any more.
struct SourceDestroy {
  void operator()(GSource* source) const {
    g_source_destroy(source);
    g_source_unref(source);
  }
};
using SourcePtr = std::unique_ptr<GSource, SourceDestroy>;

struct ContextUnref {
  void operator()(GMainContext* context) const { g_main_context_unref(context); }
};
using ContextPtr = std::unique_ptr<GMainContext, ContextUnref>;

// Owns the error of a GLib call, which is passed out(). Can be reused for further calls: out()
// clears the previous error.
class GlibError {
 public:
  GlibError() = default;
  GlibError(const GlibError&) = delete;
  GlibError& operator=(const GlibError&) = delete;
  ~GlibError() { g_clear_error(&error_); }
  GError** out() {
    g_clear_error(&error_);
    return &error_;
  }
  bool is(GIOErrorEnum code) const { return g_error_matches(error_, G_IO_ERROR, code); }
  const char* text() const { return error_ ? error_->message : "no error"; }

 private:
  GError* error_ = nullptr;
};

}  // namespace dispatcher::transport
