#include "program/app.h"

#include <algorithm>

namespace dispatcher::program {
namespace {

using scheduling::Duration;
using scheduling::EndpointUpdateKind;

// A client's connection holds a message being read, one being answered and its command: a quarter
// of a megabyte at most.
constexpr std::size_t kConnectionsAMegabyte = 4;
constexpr Duration kStillComing{500};  // new connections may come for this long after SIGTERM
constexpr Duration kDrainStep{20};
constexpr Duration kLongestWatch{2500};  // the sum it stands in is told in http_names.cpp
constexpr Duration kLongestCounted{
    3000};  // SIGKILL follows SIGTERM after the longest deadline, counted at most so
constexpr Duration kBeforeKill{
    400};  // what is open then is answered this long after that deadline, to be
           // done before SIGKILL, which comes 700 ms after it
constexpr double kServedOn =
    0.6;  // of that time connections are kept; the rest is for what is open
constexpr Duration kFarewell{200};  // then, for the last bytes to be taken

WorkerClient::Times instance_times(const Config& c) {
  WorkerClient::Times t;
  if (c.settings.connect_timeout)
    t.connect = *c.settings.connect_timeout;
  t.probe = std::max(Duration(100), 2 * t.connect);
  if (c.conn_idle.count() > 0)
    t.idle = c.conn_idle * 0.5;
  t.reports = c.settings.reports != scheduling::LoadReportMode::Off;
  return t;
}

DiscoveryClient::Options name_options(const Config& c) {
  DiscoveryClient::Options o;
  o.address = c.discovery;
  // A silent discovery is noticed when a wait is over. Watches that fall silent together, all those
  // of a fleet, must not be opened anew together: discovery works through calls one by one. So
  // waits differ.
  o.wait =
      kLongestWatch * (0.5 + 0.5 * (c.settings.index + 0.5) / std::max(1, c.settings.dispatchers));
  o.retries = !c.settings.watch_required;
  return o;
}

std::optional<Streaming> streaming_of(const features::Features& all) {
  if (!all.has_streaming())
    return std::nullopt;
  const features::Streaming& f = all.streaming();
  Streaming s;
  s.most_body = f.most_body_bytes();
  s.replay_bytes = f.replay_bytes();
  s.stall = Duration(f.stall_ms());
  s.longest = Duration(f.longest_transfer_ms());
  s.budget = std::make_shared<streaming::Budget>(std::size_t{f.memory_ceiling_mb()} << 20,
                                                 std::size_t{f.window_kb()} << 10);
  return s;
}

std::vector<scheduling::WorkerEntry> entries_of(const protocol::EndpointUpdate& list) {
  std::vector<scheduling::WorkerEntry> entries;
  for (const protocol::WorkerEndpoint& l : list.entries) {
    entries.push_back(l.entry);
    entries.back().worker = l.uid;
  }
  return entries;
}

}  // namespace

// Clients get the larger part, yet never what workers and discovery need, nor more connections
// than could all be full at once in the memory there is. Of the commands there are fewer, so that
// call-backs always find a connection.
Shares share_descriptors(const Config& c) {
  Shares s{std::min(c.sockets * 3 / 4, c.memory_mb * kConnectionsAMegabyte), c.sockets * 3 / 16, 0,
           0};
  s.operators = c.ops.empty() ? 0 : std::clamp<std::size_t>(c.sockets / 16, 8, 64);
  s.accepted -= std::min(s.operators, s.accepted / 4);
  s.commands = s.accepted * 9 / 10;
  if (c.most_open > 0)
    s.commands = std::min(s.commands, c.most_open);
  return s;
}

App::App(Config config, const features::Features& features, transport::Network& network,
         transport::Deadlines& deadlines, const transport::Clock& clock, Log& log)
    : config_(std::move(config)),
      deadlines_(deadlines),
      clock_(clock),
      log_(log),
      streaming_(streaming_of(features)),
      front_({network, deadlines, clock, config_.words, log, metrics_}, streaming_),
      workers_({network, deadlines, clock, config_.words, log, metrics_}, instance_times(config_),
               streaming_),
      names_({network, deadlines, clock, config_.words, log, metrics_}, name_options(config_)),
      router_(config_.settings, share_descriptors(config_).commands, clock, deadlines,
              {front_, workers_, names_}, metrics_,
              [&log](const std::string& text) { log.line("module", text); }),
      wards_(front_, workers_, {network, deadlines, clock, config_.words, log, metrics_}) {
  front_.attach(router_);
  workers_.attach(router_);
  names_.attach([this](EndpointUpdateKind kind, const protocol::EndpointUpdate& list) {
    on_endpoint_update(kind, list);
  });
}

void App::trace() {
  auto line = [this](const std::string& text) {
    log_.trace(text);
  };
  router_.trace(line);
  names_.trace(line);
}

void App::talk_to(FleetSocket& peers) {
  peers_ = &peers;
  peers.attach(router_);
  router_.talk_to(peers);
  tell_peers();
}

// After the scheduler has heard of them.
void App::tell_peers() {
  if (!peers_)
    return;
  std::vector<std::string> names;
  for (const auto& [uid, l] : roster_.listed())
    names.push_back(uid);
  peers_->list(names);
}

void App::start() {
  protocol::EndpointUpdate known =
      roster_.apply(config_.known.value_or(protocol::EndpointUpdate{0, true, {}}));
  workers_.update(known);
  if (!known.entries.empty())
    names_.hold(known.revision);
  router_.start(entries_of(known));
  workers_.recall();
  tell_peers();
  // Where lists are pushed, what the agent has counts as told from the first moment, and the list
  // of before may be old: clients come once it has answered, or cannot.
  if (!known.entries.empty() && config_.settings.watch_required)
    front_.set_ready();
  if (!config_.settings.watch_required)
    names_.watch();
  log_.line("start", config_.name + " listens on " + config_.listen + ", knows " +
                         std::to_string(known.entries.size()) + " instances");
}

void App::on_endpoint_update(EndpointUpdateKind kind, const protocol::EndpointUpdate& news) {
  if (kind == EndpointUpdateKind::Failed) {
    if (!roster_.listed().empty())
      front_.set_ready();
    return router_.on_endpoint_update(kind, {});
  }
  protocol::EndpointUpdate list = roster_.apply(news);
  workers_.update(list);
  front_.set_ready();
  router_.on_endpoint_update(kind, entries_of(list));
  workers_.recall();
  tell_peers();
}

// ---- The operators' calls ----

bool App::healthy() const {
  return front_.ready() && serves_;
}

std::string App::stats() {
  auto avoided = std::ranges::count_if(roster_.listed(),
                                       [this](const auto& l) { return router_.avoids(l.first); });
  return operations::write_stats(
      metrics_, config_.words.classes,
      {router_.open_requests() + wards_.size(), roster_.listed().size(),
       static_cast<std::size_t>(avoided), peers_ ? peers_->metrics() : std::nullopt});
}

void App::hear(const protocol::EndpointUpdate& heard) {
  if (heard.entries.empty())
    return;
  workers_.update(heard);
  router_.on_endpoint_update(EndpointUpdateKind::Delta, entries_of(heard));
  workers_.recall();
}

bool App::by_hand(const std::string& worker, bool out) {
  auto heard = out ? roster_.cordon(worker, clock_.now()) : roster_.uncordon(worker, clock_.now());
  if (heard)
    hear(*heard);
  return heard.has_value();
}

bool App::cordon(const std::string& worker) {
  bool known = by_hand(worker, true);
  if (known && tell_by_hand_)
    tell_by_hand_(worker, true);
  return known;
}

bool App::uncordon(const std::string& worker) {
  bool known = by_hand(worker, false);
  if (known && tell_by_hand_)
    tell_by_hand_(worker, false);
  return known;
}

// The settings hold for the commands to come; open ones, what the scheduler has learned, and the
// name table stay. Only what the program was built with stays as it is until a restart.
void App::reload(Config next) {
  std::string kept;
  for (const auto& [field, text] : next.fixed) {
    if (config_.fixed[field] != text)
      kept += (kept.empty() ? "" : ", ") + field;
  }
  bool moved = next.discovery != config_.discovery;
  bool retuned = next.file["settings"] != config_.file["settings"];
  keep_numbers(config_, next);
  config_.settings = std::move(next.settings);
  if (retuned)
    limit_budget(budget_);
  config_.words = std::move(next.words);
  config_.conn_idle = next.conn_idle;
  config_.file = std::move(next.file);
  if (retuned)
    workers_.retime(instance_times(config_));
  ++metrics_.cfg_accepted;
  log_.line("reload", std::string("configuration read; ") + (retuned ? "new settings; " : "") +
                          "discovery " +
                          (moved ? "moves to " + next.discovery : "stays at " + config_.discovery) +
                          (kept.empty() ? "" : "; changed, but needs a restart: " + kept));
  config_.discovery = next.discovery;
  if (moved)
    names_.move(next.discovery);
}

void App::limit_budget(Budget to) {
  budget_ = to;
  scheduling::Settings s = config_.settings;
  if (s.retry_budget_window && to != Budget::Whole)
    s.retry_budget_free = 0;
  if (s.retry_budget_window && to == Budget::None)
    s.retry_budget_ratio = 0;
  router_.apply_settings(s);
}

void App::reload_failed(const std::string& why) {
  ++metrics_.cfg_invalid;
  log_.line("reload", "the old configuration is kept: " + why);
}

void App::terminate() {
  if (terminated_)
    return;
  terminated_ = clock_.now();
  log_.line("stop",
            "asked to end; " + std::to_string(router_.open_requests()) + " commands are open");
  front_.start_draining();
  if (peers_)
    peers_->leave();
  drain();
}

// Serves on as if nothing had come, and ends when the clients have gone. Guards clients in a
// rolling restart: they use the connections they have, and where those are closed at once, the only
// other dispatcher may still be on its way up. Then their connections are closed so that they move
// on; what is open finishes, or is answered shortly before SIGKILL would come.
void App::drain() {
  Duration longest{0};
  for (const auto& c : config_.settings.classes)
    longest = std::max(longest, c.deadline);
  Duration since = clock_.now() - *terminated_;
  Duration time = std::min(longest, kLongestCounted) + kBeforeKill;
  bool last_call = since >= time;
  if (last_call && give_away_) {
    for (routing::RequestRef ref : router_.open_refs())
      give_away_(ref);
  }
  if (last_call)
    wards_.fail_all();
  if (last_call && router_.open_requests() > 0) {
    log_.line("stop",
              std::to_string(router_.open_requests()) + " commands fail: the time to end is over");
    router_.fail_all();
  }
  if (last_call) {
    front_.refuse_commands();
    front_.cut_streams();
  }
  bool passing =
      front_.passing();  // to the process that has taken over: nothing new comes, nothing is closed
  if (!passing && since >= std::max(kStillComing, kServedOn * time))
    front_.close_connections();
  // Whoever comes while the last bytes are taken is still served, and told to go at the last call.
  bool busy = router_.open_requests() > 0 || !front_.empty() || (!passing && since < kStillComing);
  if (busy) {
    quiet_since_.reset();
  } else if (!quiet_since_) {
    quiet_since_ = clock_.now();
  }
  finished_ =
      since >= time + kFarewell || (quiet_since_ && clock_.now() - *quiet_since_ >= kFarewell);
  if (!finished_)
    deadlines_.add(clock_.now() + kDrainStep, [this] { drain(); });
}

}  // namespace dispatcher::program
