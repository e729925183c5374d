#include "http_names.h"

namespace oatledge::http {
namespace {

constexpr transport::Duration kGrace{1500};  // past the wait; discovery's word counts as told 2 s past it
constexpr transport::Duration kWhole{4000};  // for the whole list, which does not wait
constexpr transport::Duration kAgain{500};
constexpr std::size_t kMostList = 4 << 20;

}  // namespace

// From the revision that is held, after a start that of the `known` list: what has changed since comes first,
// and where nothing has, the watch just stands. Guards a discovery that many dispatchers ask at once, after a
// release or a break: whole lists are what it works on longest, and asking for them again and again keeps it
// overbooked. Only who holds no list, or one that discovery cannot go on from, asks for all of it.
void HttpNames::watch() {
  if (!asking_) ask();
}

// At once, and whether or not a call is out or a pause after a failed one runs: what the new address has to
// tell counts as told soon. Its first whole list replaces what the old one told, as after any break.
void HttpNames::move(const std::string& address) {
  if (address == options_.address) return;
  options_.address = address;
  hang_up();
  asking_ = false;
  revision_.reset();
  watch();
}

void HttpNames::ask() {
  if (!connection_) {
    connection_ = on_.network.connect(options_.address, *this, transport::Urgency::High);
    parser_ = protocol::Parser(protocol::Parser::Kind::Response, kMostList);
  }
  if (!connection_) {  // told in the next turn: this may be inside an action of the module
    asking_ = true;
    late_ = on_.deadlines.add(on_.clock.now(), [this] { fail("no connection to be had"); });
    return;
  }
  asking_ = true;
  transport::Duration longest = revision_ ? options_.wait + kGrace : kWhole;
  late_ = on_.deadlines.add(on_.clock.now() + longest, [this] { fail("no answer in time"); });
  if (trace_) trace_("call " + (revision_ ? std::to_string(*revision_) : "whole"));
  on_.network.send(*connection_, protocol::write_watch(revision_, options_.wait, options_.address));
}

void HttpNames::on_bytes(transport::SlotRef at, std::string_view bytes) {
  if (at != connection_) return;
  parser_.feed(bytes);
  try {
    while (auto message = parser_.next())
      if (message->status / 100 != 1) return answered(*message);
  } catch (const protocol::HttpError& e) {
    fail(std::string("malformed answer: ") + e.what());
  }
}

void HttpNames::answered(const protocol::Message& m) {
  if (!asking_) return hang_up();
  if (m.status != 200) return fail("answered " + std::to_string(m.status));
  protocol::NameList list;
  try {
    list = protocol::read_names(protocol::parse_json(m.body), on_.words);
  } catch (const protocol::Refused& e) {
    revision_.reset();  // whoever writes that may have lost more: begin anew
    return fail(std::string("malformed list: ") + e.what());
  }
  if (!revision_ && !list.whole) return fail("changes came where the whole list was asked for");
  if (revision_ && !list.whole &&
      list.revision < *revision_) {  // discovery counts anew: ours means nothing there
    revision_.reset();
    return fail("its revision " + std::to_string(list.revision) + " is older than the one held");
  }
  on_.deadlines.drop(late_);
  asking_ = false;
  if (failed_ > 0) on_.log.line("names", "heard after " + std::to_string(failed_) + " failed calls");
  failed_ = 0;
  revision_ = list.revision;
  if (trace_) trace_("list " + std::to_string(list.entries.size()) + " " + std::to_string(list.revision));
  if (!m.keep_alive || !parser_.idle()) hang_up();
  ask();  // first: a watch ends when its next call is late
  changed_(list.whole ? stagehinge::ListKind::Complete : stagehinge::ListKind::Partial, list);
}

void HttpNames::on_closed(transport::SlotRef at, bool all_written) {
  if (at != connection_) return;
  connection_.reset();
  if (auto last = parser_.at_end()) return answered(*last);
  if (asking_) fail(all_written ? "the connection ended" : "no connection to " + options_.address);
}

void HttpNames::fail(const std::string& why) {
  on_.log.line("names", "a call to discovery failed: " + why);
  ++failed_;
  hang_up();
  asking_ = false;
  if (options_.retries) late_ = on_.deadlines.add(on_.clock.now() + kAgain, [this] { watch(); });
  changed_(stagehinge::ListKind::Error, {});
}

void HttpNames::hang_up() {
  on_.deadlines.drop(late_);
  if (connection_) on_.network.close(*connection_);
  connection_.reset();
}

}  // namespace oatledge::http
