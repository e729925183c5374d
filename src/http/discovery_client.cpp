#include "http/discovery_client.h"

namespace dispatcher::http {
namespace {

// A change counts as told 6 s after discovery had it and could be reached, whatever became of the
// calls until then. The longest ways there, as sums of what bounds each step:
//   a watch falls silent just after it was opened: its wait (2.5 s at most, App) + kGrace + the
//   first pause after a failure (0.5 s where dispatchers are few, 1.5 s where they are many)
//   leave 2.2 s (1.2 s) for discovery's answer to the next call, which does not wait; a call that
//   finds discovery down or too busy is refused after the 2 to 3 s that it lets one wait: 3 s + the
//   longest pause (1.5 s, Logic::list_answered()) leave 1.5 s; one that nobody answers: kAnswer +
//   that pause leave 1 s.
// kAnswer must stay over the time that discovery lets a call wait: who hangs up just before its
// turn has it work for nobody, and where many do so it serves next to none.
constexpr transport::Duration kGrace{800};  // past the wait of a watch that stands
constexpr transport::Duration kAnswer{
    3500};  // for any other call, from the opening of its connection
constexpr transport::Duration kPause{
    50};  // where lists are pushed: what the agent has counts at once
constexpr std::size_t kMostList = 4 << 20;

}  // namespace

// From the revision that is held, after a start that of the `known` list: what has changed since
// comes first, and where nothing has, the watch just stands. Guards a discovery that many
// dispatchers ask at once, after a release or a break: whole lists are what it works on longest,
// and asking for them again and again keeps it overbooked. Only who holds no list, or one that
// discovery cannot go on from, asks for all of it.
void DiscoveryClient::watch() {
  if (!asking_)
    ask();
}

// At once, and whether or not a call is out or a pause after a failed one runs: what the new
// address has to tell counts as told soon. Its first whole list replaces what the old one told, as
// after any break.
void DiscoveryClient::move(const std::string& address) {
  if (address == options_.address)
    return;
  options_.address = address;
  hang_up();
  asking_ = false;
  revision_.reset();
  watch();
}

void DiscoveryClient::ask() {
  if (!connection_) {
    connection_ = on_.network.connect(options_.address, *this, transport::Urgency::High);
    parser_ = protocol::Parser(protocol::Parser::Kind::Response, kMostList);
  }
  if (!connection_) {  // told in the next turn: this may be inside an action of the scheduler
    asking_ = true;
    late_ = on_.deadlines.add(on_.clock.now(), [this] { fail("no connection to be had"); });
    return;
  }
  asking_ = true;
  transport::Duration wait = stands_ ? options_.wait : transport::Duration(0);
  transport::Duration longest = revision_ && stands_ ? wait + kGrace : kAnswer;
  late_ = on_.deadlines.add(on_.clock.now() + longest, [this] { fail("no answer in time"); });
  if (trace_)
    trace_("call " + (revision_ ? std::to_string(*revision_) : "whole"));
  on_.network.send(*connection_, protocol::write_watch(revision_, wait, options_.address));
}

void DiscoveryClient::on_bytes(transport::SlotRef at, std::string_view bytes) {
  if (at != connection_)
    return;
  parser_.feed(bytes);
  try {
    while (auto message = parser_.next()) {
      if (message->status / 100 != 1)
        return answered(*message);
    }
  } catch (const protocol::HttpError& e) {
    fail(std::string("malformed answer: ") + e.what());
  }
}

void DiscoveryClient::answered(const protocol::Message& m) {
  if (!asking_)
    return hang_up();
  if (m.status != 200)
    return fail("answered " + std::to_string(m.status));
  protocol::EndpointUpdate list;
  try {
    list = protocol::parse_endpoint_update(protocol::parse_json(m.body), on_.words);
  } catch (const protocol::MessageError& e) {
    revision_.reset();  // whoever writes that may have lost more: begin anew
    return fail(std::string("malformed list: ") + e.what());
  }
  if (!revision_ && !list.whole)
    return fail("changes came where the whole list was asked for");
  if (revision_ && !list.whole &&
      list.revision < *revision_) {  // discovery counts anew: ours means nothing there
    revision_.reset();
    return fail("its revision " + std::to_string(list.revision) + " is older than the one held");
  }
  on_.deadlines.drop(late_);
  asking_ = false;
  if (failed_ > 0)
    on_.log.line("names", "heard after " + std::to_string(failed_) + " failed calls");
  failed_ = 0;
  revision_ = list.revision;
  if (trace_)
    trace_("list " + std::to_string(list.entries.size()) + " " + std::to_string(list.revision));
  stands_ = m.keep_alive && parser_.idle();
  if (!stands_)
    hang_up();
  ask();  // first: a watch ends when its next call is late
  changed_(
      list.whole ? scheduling::EndpointUpdateKind::Snapshot : scheduling::EndpointUpdateKind::Delta,
      list);
}

void DiscoveryClient::on_closed(transport::SlotRef at, bool all_written) {
  if (at != connection_)
    return;
  connection_.reset();
  if (auto last = parser_.at_end())
    return answered(*last);
  if (asking_)
    fail(all_written ? "the connection ended" : "no connection to " + options_.address);
}

void DiscoveryClient::fail(const std::string& why) {
  on_.log.line("names", "a call to discovery failed: " + why);
  ++failed_;
  hang_up();
  asking_ = false;
  if (options_.retries)
    late_ = on_.deadlines.add(on_.clock.now() + kPause, [this] { watch(); });
  changed_(scheduling::EndpointUpdateKind::Failed, {});
}

void DiscoveryClient::hang_up() {
  stands_ = false;
  on_.deadlines.drop(late_);
  if (connection_)
    on_.network.close(*connection_);
  connection_.reset();
}

}  // namespace dispatcher::http
