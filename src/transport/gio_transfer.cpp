// Reading and writing of GioNetwork's connections.
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "transport/gio_network.h"

namespace dispatcher::transport {
namespace {

// If more bytes than this are unsent, the peer is assumed to have stopped reading and the
// connection is closed, unless it is a bulk connection. The limit has room for the longest response
// and the remainder of another one.
constexpr std::size_t kMaxUnsentBytes = 160 << 10;
constexpr std::size_t kMaxReadBytesPerCall = 16 << 10;
constexpr std::size_t kMaxReadBytesPerTurn = 64 << 10;  // per connection
constexpr std::size_t kMaxSlicesPerWrite = 64;

}  // namespace

std::size_t GioNetwork::on_readable(SlotRef ref) {
  std::size_t total = 0;
  while (total < kMaxReadBytesPerTurn) {
    Connection* connection = table_.find(ref);
    if (!connection || connection->reading_paused)
      break;
    // Ordinary connections are read in smaller pieces, because the head of a long body turns the
    // connection into a bulk connection.
    std::size_t piece = connection->bulk ? kMaxReadBytesPerTurn : kMaxReadBytesPerCall;
    std::size_t limit = std::min({connection->read_allowance, kMaxReadBytesPerTurn - total, piece});
    GlibError error;
    gssize received = g_socket_receive(connection->socket.get(), read_buffer_.data(), limit,
                                       nullptr, error.out());
    if (received < 0 && error.is(G_IO_ERROR_WOULD_BLOCK))
      break;
    if (received <= 0) {
      report_closed(ref);
      break;
    }
    auto bytes = static_cast<std::size_t>(received);
    total += bytes;
    if (connection->state != State::Open)
      break;  // the input is discarded, one piece per turn
    if (connection->read_allowance != SIZE_MAX) {
      connection->read_allowance -= bytes;
      if (connection->read_allowance == 0)
        set_reading_paused(ref, *connection, true);
    }
    connection->handler->on_bytes(ref, {read_buffer_.data(), bytes});
    if (bytes < limit)
      break;
  }
  return total;
}

void GioNetwork::on_writable(SlotRef ref) {
  Connection* connection = table_.find(ref);
  if (!connection)
    return;
  if (connection->state == State::Connecting) {
    GlibError error;
    if (!g_socket_check_connect_result(connection->socket.get(), error.out()))
      return report_closed(ref);
    connection->state = State::Open;
    watch(ref, *connection);
    connection->handler->on_connected(ref);
    connection = table_.find(ref);
    if (!connection || connection->unsent.empty())
      return;
  }
  std::size_t unsent_before = connection->unsent.size();
  flush(ref, *connection);
  if (connection->state == State::Open && connection->unsent.size() < unsent_before)
    connection->handler->on_written(ref);
}

void GioNetwork::send(SlotRef ref, std::string bytes) {
  Connection* connection = table_.find(ref);
  if (!connection || connection->state == State::Lingering)
    return;
  std::size_t written = 0;
  // Most messages are written immediately and need no buffer.
  if (connection->unsent.empty() && connection->state == State::Open) {
    GlibError error;
    gssize result =
        g_socket_send(connection->socket.get(), bytes.data(), bytes.size(), nullptr, error.out());
    bool failed = result < 0 && !error.is(G_IO_ERROR_WOULD_BLOCK);
    written = result < 0 ? 0 : static_cast<std::size_t>(result);
    total_written_bytes_ += written;
    if (written == bytes.size())
      return;
    if (failed) {
      // Buffered nevertheless, so that on_closed() reports that not all bytes were written.
      connection->unsent.push(std::move(bytes));
      return report_closed_later(ref, *connection);
    }
  }
  connection->unsent.push(std::move(bytes), written);
  if (connection->state != State::Connecting)
    flush(ref, *connection);
}

void GioNetwork::send(SlotRef ref, Slice bytes) {
  Connection* connection = table_.find(ref);
  if (!connection || connection->state == State::Lingering)
    return;
  connection->unsent.push(std::move(bytes));
  if (connection->state != State::Connecting)
    flush(ref, *connection);
}

std::size_t GioNetwork::unsent_bytes(SlotRef ref) {
  Connection* connection = table_.find(ref);
  return connection ? connection->unsent.size() : 0;
}

// Never calls the handler; a failure is reported in the next turn.
void GioNetwork::flush(SlotRef ref, Connection& connection) {
  while (!connection.unsent.empty()) {
    GlibError error;
    std::size_t offered = 0;
    gssize result = write_gathered(connection, offered, error);
    if (result < 0 && !error.is(G_IO_ERROR_WOULD_BLOCK))
      return report_closed_later(ref, connection);
    if (result < 0)
      break;
    auto written = static_cast<std::size_t>(result);
    connection.unsent.consume(written);
    total_written_bytes_ += written;
    if (written < offered)
      break;  // the socket's buffer is full
  }
  if (!connection.bulk && connection.unsent.size() > kMaxUnsentBytes)
    return report_closed_later(ref, connection);
  if (connection.unsent.empty() && connection.state == State::Flushing) {
    connection.state = State::Lingering;
    g_socket_shutdown(connection.socket.get(), FALSE, TRUE, nullptr);
  }
  watch(ref, connection);
}

// Writes the first slices in one system call. Sets `offered` to their total size.
gssize GioNetwork::write_gathered(Connection& connection, std::size_t& offered, GlibError& error) {
  std::array<GOutputVector, kMaxSlicesPerWrite> slices{};
  int count = 0;
  connection.unsent.visit_first(slices.size(), [&](std::string_view bytes) {
    slices[static_cast<std::size_t>(count)] = {bytes.data(), bytes.size()};
    ++count;
    offered += bytes.size();
  });
  GSocket* socket = connection.socket.get();
  if (count == 1) {
    return g_socket_send(socket, static_cast<const char*>(slices[0].buffer), offered, nullptr,
                         error.out());
  }
  return g_socket_send_message(socket, nullptr, slices.data(), count, nullptr, 0, 0, nullptr,
                               error.out());
}

bool GioNetwork::has_unread(SlotRef ref) {
  Connection* connection = table_.find(ref);
  return connection && (g_socket_condition_check(connection->socket.get(), G_IO_IN) & G_IO_IN) != 0;
}

// A client may send further requests and then disconnect. The end of its connection is reported
// although that input is unread.
void GioNetwork::pause_reading(SlotRef ref, bool paused) {
  if (Connection* connection = table_.find(ref))
    connection->reports_end_while_paused = paused && connection->is_accepted() && !connection->bulk;
  permit_reading(ref, paused ? 0 : SIZE_MAX);
}

void GioNetwork::permit_reading(SlotRef ref, std::size_t bytes) {
  Connection* connection = table_.find(ref);
  if (!connection || connection->state == State::Connecting ||
      (bytes == 0 && connection->state != State::Open))
    return;
  connection->read_allowance = bytes;
  set_reading_paused(ref, *connection, bytes == 0);
}

void GioNetwork::set_reading_paused(SlotRef ref, Connection& connection, bool paused) {
  if (connection.reading_paused == paused)
    return;
  connection.reading_paused = paused;
  watch(ref, connection);
}

void GioNetwork::set_bulk(SlotRef ref, bool bulk) {
  if (Connection* connection = table_.find(ref))
    connection->bulk = bulk;
}

void GioNetwork::schedule_on_written(SlotRef ref) {
  Connection* connection = table_.find(ref);
  if (!connection)
    return;
  connection->on_written_scheduled = true;
  enqueue_bulk(ref, *connection);
}

}  // namespace dispatcher::transport
