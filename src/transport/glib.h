// Owners for what GLib counts by hand.
#pragma once

#include <gio/gio.h>

#include <memory>

namespace dispatcher::transport {

struct ObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
template <class T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

// Also removes the source from its context, so that it never fires again.
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

// The error of a GLib call, which fills it through out(). May be used for several calls in turn.
class Error {
 public:
  Error() = default;
  Error(const Error&) = delete;
  Error& operator=(const Error&) = delete;
  ~Error() { g_clear_error(&error_); }
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
