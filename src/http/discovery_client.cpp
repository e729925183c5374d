#include "http/discovery_client.h"

namespace dispatcher::http {
namespace {

// A change must take effect within 6 s after discovery knows it and is reachable. Worst cases:
// - Discovery falls silent just after a poll: the wait (at most 2.5 s, see App), kAnswerGrace and
//   the first backoff (0.5 s in a small fleet, 1.5 s in a large one) leave 2.2 s (1.2 s) for the
//   answer to the next poll, which does not wait.
// - Discovery is down or overloaded and refuses the poll after 2 to 3 s: 3 s and the longest
//   backoff (1.5 s, chosen by the scheduler) leave 1.5 s.
// - A poll gets no answer at all: kAnswerTimeout and the same backoff leave 1 s.

// For the answer to a poll that waits, in addition to its wait.
constexpr transport::Duration kAnswerGrace{800};
// For the answer to any other poll, from the opening of its connection. Longer than a poll may wait
// in discovery's queue: discovery's work is wasted on clients that give up just before their turn.
constexpr transport::Duration kAnswerTimeout{3500};
// Between polls, with Options::retries.
constexpr transport::Duration kRetryDelay{50};
constexpr std::size_t kMaxListBytes = 4 << 20;

}  // namespace

// Continues from the known revision, even after a failure: snapshots are the most expensive answers
// for discovery, and many dispatchers may poll at once.
void DiscoveryClient::watch() {
  if (!polling_)
    poll();
}

// Takes effect at once, even during a poll or a backoff. The first poll of the new address requests
// a snapshot.
void DiscoveryClient::change_address(const std::string& address) {
  if (address == options_.address)
    return;
  options_.address = address;
  close_connection();
  polling_ = false;
  revision_.reset();
  watch();
}

void DiscoveryClient::poll() {
  if (!connection_) {
    connection_ = platform_.network.connect(options_.address, *this, transport::Urgency::High);
    parser_ = protocol::Parser(protocol::Parser::Kind::Response, kMaxListBytes);
  }
  polling_ = true;
  transport::Time now = platform_.clock.now();
  // Reported in the next loop turn, as this may run inside an action of the scheduler.
  if (!connection_) {
    poll_deadline_ =
        platform_.deadlines.add(now, [this] { on_poll_failed("no connection available"); });
    return;
  }
  transport::Duration wait = established_ ? options_.wait : transport::Duration(0);
  poll_deadline_ = platform_.deadlines.add(now + poll_timeout(wait),
                                           [this] { on_poll_failed("no answer in time"); });
  if (trace_)
    trace_("poll " + (revision_ ? std::to_string(*revision_) : "snapshot"));
  platform_.network.send(*connection_, protocol::write_watch(revision_, wait, options_.address));
}

transport::Duration DiscoveryClient::poll_timeout(transport::Duration wait) const {
  bool waits = revision_ && established_;
  return waits ? wait + kAnswerGrace : kAnswerTimeout;
}

void DiscoveryClient::on_bytes(transport::SlotRef connection, std::string_view bytes) {
  if (connection != connection_)
    return;
  parser_.feed(bytes);
  try {
    while (std::optional<protocol::Message> message = parser_.next()) {
      if (message->status / 100 != 1)
        return on_answer(*message);
    }
  } catch (const protocol::HttpError& error) {
    on_poll_failed(std::string("malformed answer: ") + error.what());
  }
}

void DiscoveryClient::on_answer(const protocol::Message& message) {
  if (!polling_)
    return close_connection();
  std::optional<protocol::EndpointUpdate> update = read_update(message);
  if (!update)
    return;
  platform_.deadlines.disarm(poll_deadline_);
  polling_ = false;
  if (failed_polls_ > 0) {
    platform_.log.line("discovery",
                       "answered again after " + std::to_string(failed_polls_) + " failed polls");
  }
  failed_polls_ = 0;
  revision_ = update->revision;
  if (trace_) {
    trace_("list " + std::to_string(update->entries.size()) + " " +
           std::to_string(update->revision));
  }
  established_ = message.keep_alive && parser_.idle();
  if (!established_)
    close_connection();
  poll();  // before the update is handled, as the watch expires if its next poll is late
  on_update_(update->is_snapshot ? scheduling::EndpointUpdateKind::Snapshot
                                 : scheduling::EndpointUpdateKind::Delta,
             *update);
}

std::optional<protocol::EndpointUpdate> DiscoveryClient::read_update(
    const protocol::Message& message) {
  if (message.status != 200) {
    on_poll_failed("answered " + std::to_string(message.status));
    return std::nullopt;
  }
  protocol::EndpointUpdate update;
  try {
    update = protocol::parse_endpoint_update(protocol::parse_json(message.body),
                                             platform_.identifier_tables);
  } catch (const protocol::MessageError& error) {
    revision_.reset();  // updates may have been lost: the next poll requests a snapshot
    on_poll_failed(std::string("malformed list: ") + error.what());
    return std::nullopt;
  }
  if (!revision_ && !update.is_snapshot) {
    on_poll_failed("received a delta although a snapshot was requested");
    return std::nullopt;
  }
  // Discovery has restarted its revision numbers, so the known revision is meaningless.
  if (revision_ && !update.is_snapshot && update.revision < *revision_) {
    revision_.reset();
    on_poll_failed("its revision " + std::to_string(update.revision) +
                   " is older than the one held");
    return std::nullopt;
  }
  return update;
}

void DiscoveryClient::on_closed(transport::SlotRef connection, bool all_written) {
  if (connection != connection_)
    return;
  connection_.reset();
  if (std::optional<protocol::Message> last = parser_.next_at_close())
    return on_answer(*last);
  if (polling_)
    on_poll_failed(all_written ? "the connection ended" : "cannot connect to " + options_.address);
}

void DiscoveryClient::on_poll_failed(const std::string& reason) {
  platform_.log.line("discovery", "a poll failed: " + reason);
  ++failed_polls_;
  close_connection();
  polling_ = false;
  if (options_.retries) {
    poll_deadline_ =
        platform_.deadlines.add(platform_.clock.now() + kRetryDelay, [this] { watch(); });
  }
  on_update_(scheduling::EndpointUpdateKind::Failed, {});
}

void DiscoveryClient::close_connection() {
  established_ = false;
  platform_.deadlines.disarm(poll_deadline_);
  if (connection_)
    platform_.network.close(*connection_);
  connection_.reset();
}

}  // namespace dispatcher::http
