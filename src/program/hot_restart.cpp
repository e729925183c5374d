#include "program/hot_restart.h"

#include <algorithm>

namespace dispatcher::program {

using hot_restart::IncomingProcess;
using hot_restart::Message;
using hot_restart::OutgoingProcess;
using scheduling::Duration;
using scheduling::Readiness;
using scheduling::Time;
using transport::Packet;

namespace {

constexpr Duration kFirstWord{1000};
constexpr Duration kAskAgain{100};
constexpr std::size_t kLeastAccepted = 8;  // while the old process holds nearly all there are

double ms(Time t) {
  return t.time_since_epoch().count();
}

Packet packet_of(const Message& m) {
  return {m.SerializeAsString(), {}};
}

Message hello_of(const hot_restart::Who& self) {
  Message m;
  m.mutable_hello()->set_version(hot_restart::kVersion);
  m.mutable_hello()->set_name(self.name);
  m.mutable_hello()->set_listen(self.listen);
  return m;
}

void put_by_hand(const operations::CordonList& roster,
                 google::protobuf::RepeatedPtrField<hot_restart::ByHand>& out) {
  for (const auto& [uid, hand] : roster.by_hand()) {
    hot_restart::ByHand& b = *out.Add();
    b.set_uid(uid);
    b.set_since(ms(hand.since));
    if (hand.back)
      b.set_back(ms(*hand.back));
  }
}

std::string name_of(const std::vector<std::string>& names, int index) {
  return index >= 0 && index < std::ssize(names) ? names[static_cast<std::size_t>(index)]
                                                 : std::string();
}

int number_of(const std::vector<std::string>& names, const std::string& name) {
  auto it = std::ranges::find(names, name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace

std::optional<HotRestart::Found> HotRestart::ask(const std::string& path,
                                                 const hot_restart::Who& self, Log& log) {
  Found found;
  found.socket = transport::connect_local(path);
  if (!found.socket)
    return std::nullopt;
  log.line("upgrade", "another process of this dispatcher is here");
  transport::send_packet(found.socket.get(), packet_of(hello_of(self)));
  std::optional<Packet> packet = transport::receive_within(found.socket.get(), kFirstWord);
  Message m;
  if (!packet || !m.ParseFromString(packet->bytes))
    return found;
  if (m.has_refusal()) {
    log.line("upgrade", "it turned us away: " + m.refusal().why());
    found.refused = true;
  } else if (m.has_welcome() && packet->descriptors.size() == 1) {
    found.welcome = m.welcome();
    found.listener = std::move(packet->descriptors[0]);
  }
  return found;
}

protocol::EndpointUpdate HotRestart::list_of(const hot_restart::Welcome& welcome,
                                             const protocol::IdentifierTables& words) {
  protocol::EndpointUpdate list{welcome.revision(), true, {}};
  for (const hot_restart::Entry& e : welcome.entries()) {
    protocol::WorkerEndpoint l;
    l.uid = e.uid();
    l.address = e.address();
    l.entry.zone = number_of(words.zones, e.zone());
    l.entry.kind = number_of(words.kinds, e.kind());
    l.entry.cell = e.cell();
    l.entry.size = e.size();
    l.entry.readiness = e.ready() ? Readiness::Ready : Readiness::Draining;
    if (e.has_online_since())
      l.entry.online_since = Time(Duration(e.online_since()));
    if (!l.uid.empty() && !l.address.empty())
      list.entries.push_back(std::move(l));
  }
  return list;
}

HotRestart::HotRestart(GMainContext* context, Options options, App& app,
                       transport::GioNetwork& network, transport::Deadlines& deadlines,
                       const transport::Clock& clock, Log& log)
    : context_(context),
      options_(std::move(options)),
      app_(app),
      network_(network),
      deadlines_(deadlines),
      clock_(clock),
      log_(log),
      elder_(options_.self) {
  app_.front().forward_job_events([this](std::string_view body, std::function<void(bool)> told) {
    return forward(body, std::move(told));
  });
  app_.on_by_hand([this](const std::string& uid, bool out) {
    Message m;
    m.mutable_call()->set_uid(uid), m.mutable_call()->set_out(out);
    tell_all(m);
  });
  app_.router().on_request_accepted([this](scheduling::RequestId id) {
    if (!(old_ && old_->up()) && !(new_ && new_->up()))
      return;
    Message m;
    m.mutable_taken()->set_id(id);
    tell_all(m);
  });
}

// ---- The new process ----

void HotRestart::start(std::optional<Found> found) {
  if (!found)
    return act(heir_.nobody());
  if (found->refused)
    return act(heir_.refused());
  app_.serve(false);
  network_.limit({options_.shares.accepted, options_.shares.connected / 2});
  listener_ = std::move(found->listener);
  link_old(std::move(found->socket));
  if (!found->welcome)
    return;
  inherit(found->welcome->by_hand());
  act(heir_.welcome());
}

void HotRestart::link_old(transport::ObjectPtr<GSocket> socket) {
  old_ = std::make_unique<transport::LocalLink>(
      context_, std::move(socket), [this](Packet p) { from_old(std::move(p)); },
      [this] {
        old_is_gone();
        act(heir_.ended());
      });
}

void HotRestart::from_old(Packet packet) {
  Message m;
  if (!m.ParseFromString(packet.bytes))
    return act(heir_.nonsense());
  switch (m.what_case()) {
    case Message::kWelcome:
      if (packet.descriptors.size() != 1)
        return act(heir_.nonsense());
      listener_ = std::move(packet.descriptors[0]);
      inherit(m.welcome().by_hand());
      return act(heir_.welcome());
    case Message::kRefusal:
      return act(heir_.refused());
    case Message::kYours:
      return take_yours(m.yours(), std::move(packet));
    case Message::kJob:
      return take_job(m.job(), std::move(packet));
    case Message::kConnection:
      return take_connection(m.connection(), std::move(packet));
    case Message::kTaken:
    case Message::kNews:
    case Message::kNewsTaken:
    case Message::kCall:
      return common(old_, m);
    default:
      return act(heir_.nonsense());
  }
}

void HotRestart::act(IncomingProcess::Do what) {
  Message ready;
  ready.mutable_ready();
  switch (what) {
    case IncomingProcess::Do::Nothing:
      return;
    case IncomingProcess::Do::SayReady:
      return tell(old_, ready);
    case IncomingProcess::Do::Serve:
      return serve();
    case IncomingProcess::Do::ServeAlone:
      app_.router().elsewhere({});
      return serve();
    case IncomingProcess::Do::HangUp:
      log_.line("upgrade", "the other process said what makes no sense");
      old_->hang_up();
      return act(heir_.ended());
    case IncomingProcess::Do::AskAgain:
      deadlines_.add(clock_.now() + kAskAgain, [this] { ask_again(); });
      return;
  }
}

// It may have hung up and live: only where nobody listens any more is it dead.
void HotRestart::ask_again() {
  auto socket = transport::connect_local(options_.path);
  if (!socket)
    return act(heir_.nobody());
  transport::send_packet(socket.get(), packet_of(hello_of(options_.self)));
  link_old(std::move(socket));
}

// In the same turn as its health becomes a yes.
void HotRestart::serve() {
  if (listener_)
    network_.share_listener(std::move(listener_), app_.acceptor());
  if (!network_.listener())
    network_.listen(options_.self.listen, app_.acceptor(), true);
  network_.accept_from_now_on(true);
  app_.serve(true);
  options_.talk(std::move(inherited_));
  if (!old_ || !old_->up())
    old_is_gone();
  be_found();
}

void HotRestart::be_found() {
  try {
    found_here_.reset();
    found_here_ = std::make_unique<transport::LocalListener>(
        context_, options_.path,
        [this](transport::ObjectPtr<GSocket> socket) { came(std::move(socket)); });
  } catch (const std::runtime_error& e) {
    log_.line("upgrade", std::string("no other process can take over: ") + e.what());
  }
}

// Guards cold workers: what the old process has sent there counts for one fall span, and is not
// known here.
void HotRestart::take_yours(const hot_restart::Yours& yours, Packet packet) {
  if (!packet.descriptors.empty())
    inherited_.socket = std::move(packet.descriptors[0]);
  inherited_.incarnation = yours.incarnation();
  for (const hot_restart::FleetMember& f : yours.members()) {
    if (auto who = fleet::parse_endpoint(f.address()); who && f.state() >= 1 && f.state() <= 4)
      inherited_.known.push_back({*who, static_cast<fleet::State>(f.state()), f.incarnation()});
  }
  IncomingProcess::Do what = heir_.yours();
  if (what != IncomingProcess::Do::Serve)
    return act(what);
  app_.router().elsewhere({yours.ids().begin(), yours.ids().end()});
  inherit(yours.by_hand());
  app_.hear(app_.roster().hold_cold(clock_.now() - options_.ramp));
  if (options_.budget_window.count() > 0) {
    app_.limit_budget(App::Budget::NoFree);
    deadlines_.add(clock_.now() + options_.budget_window, [this] {
      if (elder_.state() != OutgoingProcess::State::Yielded)
        app_.limit_budget(App::Budget::Whole);
    });
  }
  deadlines_.add(clock_.now() + options_.overload_window, [this] {
    if (elder_.state() != OutgoingProcess::State::Yielded)
      app_.hear(app_.roster().hold_cold(std::nullopt));
  });
  std::size_t theirs = yours.accepted();
  std::size_t all = options_.shares.accepted;
  accepted_limit_ = std::max(kLeastAccepted, all - std::min(all, theirs));
  network_.limit({accepted_limit_, options_.shares.connected / 2});
  log_.line("upgrade",
            "takes over; the other process holds " + std::to_string(theirs) + " connections");
  act(what);
}

void HotRestart::take_connection(const hot_restart::Connection& connection, Packet packet) {
  if (packet.descriptors.size() != 1 || heir_.state() != IncomingProcess::State::Serving)
    return act(heir_.nonsense());
  accepted_limit_ = std::min(accepted_limit_ + 1, options_.shares.accepted);
  network_.limit({accepted_limit_, options_.shares.connected / 2});
  if (auto at = network_.adopt(std::move(packet.descriptors[0])))
    app_.front().adopt(*at, connection.unread(), connection.used());
}

void HotRestart::take_job(const hot_restart::Job& job, Packet packet) {
  if (packet.descriptors.size() != 1 || heir_.state() != IncomingProcess::State::Serving)
    return act(heir_.nonsense());
  if (auto at = network_.adopt(std::move(packet.descriptors[0])))
    app_.wards().take(job, *at);
}

void HotRestart::old_is_gone() {
  for (auto it = asked_.begin(); it != asked_.end();)
    answered((it++)->first, false);
  if (heir_.state() != IncomingProcess::State::Serving)
    return;
  accepted_limit_ = options_.shares.accepted;
  network_.limit({options_.shares.accepted, options_.shares.connected});
}

void HotRestart::inherit(const google::protobuf::RepeatedPtrField<hot_restart::ByHand>& by_hand) {
  std::map<std::string, operations::CordonList::ByHand> hands;
  for (const hot_restart::ByHand& b : by_hand) {
    operations::CordonList::ByHand& hand = hands[b.uid()];
    hand.since = Time(Duration(b.since()));
    if (b.has_back())
      hand.back = Time(Duration(b.back()));
  }
  app_.hear(app_.roster().inherit(std::move(hands)));
}

// ---- The old process ----

void HotRestart::came(transport::ObjectPtr<GSocket> socket) {
  if (!elder_.free())
    return;  // one at a time; it asks again
  new_ = std::make_unique<transport::LocalLink>(
      context_, std::move(socket), [this](Packet p) { from_new(std::move(p)); },
      [this] { act(elder_.ended()); });
}

void HotRestart::from_new(Packet packet) {
  Message m;
  if (!m.ParseFromString(packet.bytes))
    return act(elder_.nonsense());
  switch (m.what_case()) {
    case Message::kHello:
      return act(elder_.hello(m.hello().version(), {m.hello().name(), m.hello().listen()}));
    case Message::kReady:
      return act(elder_.ready());
    case Message::kTaken:
    case Message::kNews:
    case Message::kNewsTaken:
    case Message::kCall:
      return common(new_, m);
    default:
      return act(elder_.nonsense());
  }
}

void HotRestart::act(OutgoingProcess::Do what) {
  Message m;
  switch (what) {
    case OutgoingProcess::Do::Nothing:
      return;
    case OutgoingProcess::Do::Welcome:
      return welcome();
    case OutgoingProcess::Do::Yield:
      return yield();
    case OutgoingProcess::Do::TakeBack:
      return take_back();
    case OutgoingProcess::Do::Refuse:
      m.mutable_refusal()->set_why("another version, or another dispatcher");
      tell(new_, m);
      log_.line("upgrade", "a process of another version or dispatcher was turned away");
      return;
    case OutgoingProcess::Do::HangUp:
      log_.line("upgrade", "a newcomer said what makes no sense");
      return new_->hang_up();
  }
}

void HotRestart::welcome() {
  Message m;
  hot_restart::Welcome& w = *m.mutable_welcome();
  w.set_wall_to_steady(options_.wall_to_steady.count());
  w.set_revision(app_.roster().revision());
  for (const auto& [uid, l] : app_.roster().listed()) {
    hot_restart::Entry& e = *w.add_entries();
    e.set_uid(uid);
    e.set_address(l.address);
    e.set_zone(name_of(app_.words().zones, l.entry.zone));
    e.set_kind(name_of(app_.words().kinds, l.entry.kind));
    e.set_cell(l.entry.cell);
    e.set_size(l.entry.size);
    e.set_ready(l.entry.readiness == Readiness::Ready);
    if (l.entry.online_since)
      e.set_online_since(ms(*l.entry.online_since));
  }
  put_by_hand(app_.roster(), *w.mutable_by_hand());
  std::vector<transport::Descriptor> listening;
  listening.push_back(network_.listener());
  tell(new_, m, std::move(listening));
  log_.line("upgrade", "a newcomer is welcome");
}

void HotRestart::yield() {
  network_.accept_from_now_on(false);
  network_.limit({options_.shares.accepted, options_.shares.connected / 2});
  Message m;
  hot_restart::Yours& y = *m.mutable_yours();
  for (scheduling::RequestId id : app_.router().ids())
    y.add_ids(id);
  y.set_accepted(static_cast<std::uint32_t>(network_.accepted()));
  put_by_hand(app_.roster(), *y.mutable_by_hand());
  std::vector<transport::Descriptor> datagrams;
  if (app_.peers()) {
    app_.peers()->speak(false);
    datagrams.push_back(app_.peers()->descriptor());
  }
  if (const fleet::MembershipView* view = app_.peers() ? app_.peers()->view() : nullptr) {
    y.set_incarnation(view->incarnation());
    for (const auto& [who, member] : view->members()) {
      hot_restart::FleetMember& f = *y.add_members();
      f.set_address(to_text(who));
      f.set_state(static_cast<std::uint32_t>(member.state));
      f.set_incarnation(member.incarnation);
    }
  }
  tell(new_, m, std::move(datagrams));
  if (options_.budget_window.count() > 0)
    app_.limit_budget(App::Budget::None);
  app_.on_last_call([this](routing::RequestRef ref) { give(ref); });
  app_.hear(app_.roster().hold_cold(clock_.now() - options_.ramp));
  log_.line("upgrade", "yields to the newcomer; " + std::to_string(app_.router().open_requests()) +
                           " commands are open here");
  app_.front().pass_on([this](transport::Descriptor connection, std::string unread, bool used) {
    Message c;
    c.mutable_connection()->set_unread(std::move(unread)), c.mutable_connection()->set_used(used);
    std::vector<transport::Descriptor> one;
    one.push_back(std::move(connection));
    tell(new_, c, std::move(one));
  });
}

// What an worker has taken needs nobody who knows how it came there: the new process waits
// for its end.
void HotRestart::give(routing::RequestRef ref) {
  std::optional<routing::Router::ReleasableRequest> given = app_.router().releasable(ref);
  if (!given || !new_ || !new_->up())
    return;
  std::optional<ClientServer::ReleasedConnection> parting = app_.front().release_connection(ref);
  if (!parting)
    return;
  app_.router().release(ref);
  given_.insert(given->id);
  Message m;
  hot_restart::Job& job = *m.mutable_job();
  job.set_id(given->id);
  job.set_name(app_.words().classes.at(given->job_class));
  job.set_ends(ms(given->ends));
  for (const std::string& uid : given->workers)
    job.add_uids(uid);
  job.mutable_connection()->set_unread(std::move(parting->unread));
  job.set_keep_alive(parting->keep_alive);
  job.set_old(parting->old);
  std::vector<transport::Descriptor> one;
  one.push_back(std::move(parting->connection));
  tell(new_, m, std::move(one));
}

void HotRestart::take_back() {
  log_.line("upgrade", "the newcomer is gone; takes connections again");
  for (auto it = asked_.begin(); it != asked_.end();)
    answered((it++)->first, false);
  app_.front().pass_on(nullptr);
  app_.on_last_call(nullptr);
  if (options_.budget_window.count() > 0)
    app_.limit_budget(App::Budget::Whole);
  if (app_.peers())
    app_.peers()->speak(true);
  app_.hear(app_.roster().hold_cold(std::nullopt));
  network_.limit({options_.shares.accepted, options_.shares.connected});
  network_.accept_from_now_on(true);
  be_found();
}

// ---- Both ----

void HotRestart::common(Link& from, const Message& m) {
  if (m.has_taken())
    return app_.router().elsewhere({m.taken().id()});
  if (m.has_news_taken())
    return answered(m.news_taken().number(), !m.news_taken().again());
  if (m.has_call()) {
    app_.by_hand(m.call().uid(), m.call().out());
    return tell_all(m, &from);
  }
  bool again = false;
  try {
    protocol::JobEvent news = protocol::parse_job_event(m.news().body(), app_.words());
    // Guards the result of a job that crossed with its call-back: neither process would know it
    // then.
    again = given_.contains(news.id);
    if (!again)
      app_.front().on_job_event(std::move(news));
  } catch (const protocol::Refused& e) {
    log_.line("upgrade", std::string("a call-back from the other process: ") + e.what());
  }
  Message taken;
  taken.mutable_news_taken()->set_number(m.news().number());
  taken.mutable_news_taken()->set_again(again);
  tell(from, taken);
}

bool HotRestart::forward(std::string_view body, std::function<void(bool)> told) {
  Waiting w{0, std::move(told)};
  for (const Link* link : {&old_, &new_})
    w.answers += *link && (*link)->up() ? 1 : 0;
  if (w.answers == 0)
    return false;
  Message m;
  m.mutable_news()->set_number(++asked_last_);
  m.mutable_news()->set_body(std::string(body));
  asked_.emplace(asked_last_, std::move(w));
  tell_all(m);
  return true;
}

void HotRestart::answered(std::uint64_t number, bool taken) {
  auto it = asked_.find(number);
  if (it == asked_.end() || (taken && --it->second.answers > 0))
    return;
  auto told = std::move(it->second.told);
  asked_.erase(it);
  told(taken);
}

void HotRestart::tell(Link& link, const Message& m,
                      std::vector<transport::Descriptor> descriptors) {
  if (link && link->up())
    link->send({m.SerializeAsString(), std::move(descriptors)});
}

void HotRestart::tell_all(const Message& m, const Link* but) {
  for (Link* link : {&old_, &new_}) {
    if (link != but)
      tell(*link, m);
  }
}

}  // namespace dispatcher::program
