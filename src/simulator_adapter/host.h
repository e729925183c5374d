// One batch in, one reply out: events go to the Dispatcher of their worker, its actions into the
// reply. Nothing is decided here. Workers share nothing but the parsed list pages.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet/load_gossip.h"
#include "simulator_adapter/wire.h"

namespace dispatcher::simulator_adapter {

class Host {
 public:
  // Handles one line; true when a whole batch has been answered into reply().
  bool line(std::string_view text) {
    Fields f(text);
    if (rows_left_ > 0) {
      row(f);
      return false;
    }
    std::string_view what = f.word();
    if (!in_batch_) {
      if (what != "CLOCK")
        throw Malformed("expected CLOCK");
      now_ = scheduling::Time(f.time());
      batch_ = f.word();
      reply_.clear();
      in_batch_ = true;
      who_.clear();
      host_ = nullptr;
      return false;
    }
    if (what == "GO") {
      reply_ += "EOR ";
      reply_ += batch_;
      reply_ += '\n';
      in_batch_ = false;
      return true;
    }
    event(what, f);
    return false;
  }
  const std::string& reply() const { return reply_; }
  bool in_batch() const { return in_batch_; }

 private:
  struct Worker {
    std::optional<scheduling::Scheduler> dispatcher;
    Columns columns;
    std::optional<dispatcher::fleet::LoadGossip> loads;  // where dispatchers may talk
    std::unordered_map<std::string, int> have;           // own jobs, by worker
    std::vector<std::string> listed;
  };

  void event(std::string_view what, Fields& f) {
    if (what == "TARGET_INSTANCE") {
      who_ = f.word();
      host_ = &workers_[who_];
      named_ = false;
    } else if (what == "MANIFEST") {
      page_ = &pages_.at(f.integer<std::size_t>(0, pages_.size() - 1));
      rows_left_ = f.integer<std::size_t>(0, 10'000'000);
      page_->clear();
    } else if (what == "LAUNCH") {
      scheduling::Settings settings;
      settings.seed = f.integer<std::uint64_t>();
      settings::SettingsReader in(f.rest());
      target().columns = read_settings(in, settings);
      if (in.yes("Permissions.Peers"))
        target().loads.emplace(settings.index, settings.dispatchers);
      target().dispatcher.emplace(settings, now_, actions_);
      flush_actions();
    } else if (what == "DOWN") {
      target() = Worker{};
    } else if (known(what)) {
      if (!target().dispatcher)
        throw Malformed("event for an instance that was not launched");
      deliver(what, f, *host_->dispatcher);
      flush_actions();
    }
  }

  static bool known(std::string_view what) {
    return what == "REQ" || what == "RESPONSE" || what == "NOTICE" || what == "WAKEUP" ||
           what == "HEALTH" || what == "BACKENDS_CHANGED" || what == "TIMED_OUT_CLIENT" ||
           what == "WHISPER";
  }

  void deliver(std::string_view what, Fields& f, scheduling::Scheduler& d) {
    if (what == "REQ") {
      scheduling::Request r;
      r.id = f.hex_id();
      r.job_class = f.integer<std::size_t>();
      r.tenant = static_cast<std::size_t>(std::max(0.0, f.optional_number().value_or(0)));
      f.word();  // key
      r.timeout = f.time();
      std::optional<double> cost_hint = f.optional_number();
      r.slots = f.optional_number().value_or(1);
      r.memory = f.optional_number().value_or(0);
      bool hint_valid = (static_cast<unsigned>(f.optional_number().value_or(0)) & 1U) != 0;
      if (cost_hint && hint_valid)
        r.cost_hint = scheduling::Duration(*cost_hint);
      d.on_request(now_, r, actions_);
    } else if (what == "RESPONSE") {
      scheduling::AttemptEnd e;
      e.id = f.hex_id();
      e.attempt = f.integer<int>();
      f.word();  // remark
      e.final = f.word() == "1";
      e.worker = f.word();
      e.outcome = read_outcome(f.word());
      f.word();  // time since the send
      e.report = read_report(f.optional_word(), host_->columns);
      d.on_attempt_end(now_, e, actions_);
      announce(e.worker, -1);
    } else if (what == "NOTICE") {
      scheduling::RequestId id = f.hex_id();
      int attempt = f.integer<int>();
      std::string_view worker = f.word();
      int kind = f.integer<int>();
      if (kind != 1 && kind != 2)
        return;
      d.on_job_event(
          now_, id, attempt, worker,
          kind == 1 ? scheduling::JobEventKind::Started : scheduling::JobEventKind::Progress,
          actions_);
    } else if (what == "WAKEUP") {
      d.on_timer(now_, actions_);
      if (host_->loads)
        host_->loads->expire(now_, changed(d));
    } else if (what == "HEALTH") {
      std::string_view worker = f.word();
      scheduling::Outcome outcome = read_outcome(f.word());
      f.word();  // time since the send
      d.on_health_check_result(now_, worker, outcome,
                               read_report(f.optional_word(), host_->columns), actions_);
    } else if (what == "WHISPER") {
      if (!host_->loads)
        return;
      auto sender = f.integer<std::size_t>();
      host_->loads->take(now_, sender, read_bytes(f.optional_word()), changed(d));
    } else if (what == "TIMED_OUT_CLIENT") {
      d.on_client_disconnected(now_, f.hex_id(), actions_);
    } else {
      std::optional<scheduling::EndpointUpdateKind> kind = read_list_kind(f.word());
      f.word();  // revision
      if (!kind)
        return;
      static const std::vector<scheduling::WorkerEntry> none;
      bool error = *kind == scheduling::EndpointUpdateKind::Failed;
      entries_.clear();
      if (!error) {
        for (const Row& row : pages_.at(f.integer<std::size_t>(0, pages_.size() - 1)))
          entries_.push_back(row.entry());
      }
      d.on_endpoint_update(now_, *kind, error ? none : entries_, actions_);
      if (host_->loads && !error)
        listed(*kind);
    }
  }

  void row(Fields& f) {
    if (f.word() != "ROW")
      throw Malformed("expected ROW");
    page_->push_back(read_row(f));
    --rows_left_;
  }

  Worker& target() {
    if (!host_)
      throw Malformed("event before TARGET_INSTANCE");
    return *host_;
  }

  void listed(scheduling::EndpointUpdateKind kind) {
    auto& names = host_->listed;
    if (kind != scheduling::EndpointUpdateKind::Delta)
      names.clear();
    for (const scheduling::WorkerEntry& e : entries_) {
      std::erase(names, e.worker);
      if (e.readiness != scheduling::Readiness::Removed)
        names.emplace_back(e.worker);
    }
    host_->loads->list(names, changed(*host_->dispatcher));
  }

  dispatcher::fleet::LoadGossip::Changed changed(scheduling::Scheduler& d) {
    return [this, &d](const std::string& worker, int jobs) {
      d.on_load_gossip(now_, worker, jobs, actions_);
    };
  }
  void announce(std::string_view worker, int more) {
    if (!host_->loads)
      return;
    moved_.emplace_back(worker);
    host_->have[moved_.back()] += more;
  }
  void tell() {
    if (!host_ || !host_->loads)
      return;
    for (const std::string& w : moved_)
      host_->loads->announce(now_, w, host_->have[w]);
    moved_.clear();
    for (const auto& m : host_->loads->due(now_)) {
      speak_for();
      write_message(m.to, m.bytes, reply_);
    }
  }

  void flush_actions() {
    for (const scheduling::Action& a : actions_) {
      if (a.kind == scheduling::ActionKind::Send)
        announce(a.worker, 1);
      speak_for();
      write_action(a, reply_);
    }
    actions_.clear();
    tell();
  }

  void speak_for() {
    if (!std::exchange(named_, true)) {
      reply_ += "ON_BEHALF ";
      reply_ += who_;
      reply_ += '\n';
    }
  }

  std::unordered_map<std::string, Worker> workers_;
  std::array<std::vector<Row>, 16> pages_;
  std::vector<Row>* page_ = nullptr;
  std::size_t rows_left_ = 0;
  std::vector<scheduling::WorkerEntry> entries_;
  std::vector<scheduling::Action> actions_;
  std::vector<std::string> moved_;  // workers at which this event changed the number of own jobs
  scheduling::Time now_{};
  std::string batch_;
  std::string who_;
  std::string reply_;
  Worker* host_ = nullptr;
  bool in_batch_ = false;
  bool named_ = false;
};

}  // namespace dispatcher::simulator_adapter
