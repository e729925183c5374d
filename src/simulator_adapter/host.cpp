#include "simulator_adapter/host.h"

#include <utility>

namespace dispatcher::simulator_adapter {
namespace {

constexpr std::size_t kMaxEndpointRows = 10'000'000;

}  // namespace

bool Host::handle_line(std::string_view text) {
  LineReader line(text);
  if (rows_left_ > 0) {
    add_endpoint(line);
    return false;
  }
  std::string_view event = line.word();
  if (!in_batch_) {
    if (event != "CLOCK")  // wire: CLOCK
      throw MalformedInput("expected CLOCK");
    begin_batch(line);
    return false;
  }
  if (event == "GO") {  // wire: GO
    end_batch();
    return true;
  }
  handle_event(event, line);
  return false;
}

void Host::begin_batch(LineReader& line) {
  now_ = scheduling::Time(line.time());
  batch_ = line.word();
  reply_.clear();
  in_batch_ = true;
  instance_name_.clear();
  instance_ = nullptr;
}

// wire: EOR
void Host::end_batch() {
  reply_ += "EOR ";
  reply_ += batch_;
  reply_ += '\n';
  in_batch_ = false;
}

void Host::handle_event(std::string_view event, LineReader& line) {
  if (event == "TARGET_INSTANCE") {  // wire: TARGET_INSTANCE
    select_instance(line);
  } else if (event == "MANIFEST") {  // wire: MANIFEST
    begin_endpoint_list(line);
  } else if (event == "LAUNCH") {  // wire: LAUNCH
    launch(line);
    flush_actions();
  } else if (event == "DOWN") {  // wire: DOWN
    selected() = Instance{};
  } else if (deliver(event, line)) {
    flush_actions();
  }
}

void Host::select_instance(LineReader& line) {
  instance_name_ = line.word();
  instance_ = &instances_[instance_name_];
  instance_written_ = false;
}

void Host::begin_endpoint_list(LineReader& line) {
  incomplete_list_ = &endpoint_lists_.at(line.integer<std::size_t>(0, endpoint_lists_.size() - 1));
  rows_left_ = line.integer<std::size_t>(0, kMaxEndpointRows);
  incomplete_list_->clear();
}

void Host::add_endpoint(LineReader& line) {
  if (line.word() != "ROW")  // wire: ROW
    throw MalformedInput("expected ROW");
  incomplete_list_->push_back(read_row(line));
  --rows_left_;
}

void Host::launch(LineReader& line) {
  scheduling::Settings settings;
  settings.seed = line.integer<std::uint64_t>();
  settings::SettingsReader values(line.rest());
  Instance& instance = selected();
  instance.columns = read_settings(values, settings);
  if (values.boolean("Permissions.Peers"))  // wire: Permissions.Peers
    instance.gossip.emplace(settings.index, settings.dispatchers);
  instance.scheduler.emplace(settings, now_, actions_);
}

Host::Instance& Host::selected() {
  if (instance_ == nullptr)
    throw MalformedInput("event before TARGET_INSTANCE");
  return *instance_;
}

scheduling::Scheduler& Host::scheduler() {
  if (!selected().scheduler)
    throw MalformedInput("event for an instance that was not launched");
  return *instance_->scheduler;
}

bool Host::deliver(std::string_view event, LineReader& line) {
  if (event == "REQ") {  // wire: REQ
    scheduling::Scheduler& receiver = scheduler();
    receiver.on_request(now_, read_request(line), actions_);
  } else if (event == "RESPONSE") {  // wire: RESPONSE
    on_attempt_end(line);
  } else if (event == "NOTICE") {  // wire: NOTICE
    on_job_event(line);
  } else if (event == "WAKEUP") {  // wire: WAKEUP
    on_timer();
  } else if (event == "HEALTH") {  // wire: HEALTH
    on_health_check_result(line);
  } else if (event == "WHISPER") {  // wire: WHISPER
    on_gossip(line);
  } else if (event == "TIMED_OUT_CLIENT") {  // wire: TIMED_OUT_CLIENT
    scheduling::Scheduler& receiver = scheduler();
    receiver.on_client_disconnected(now_, line.request_id(), actions_);
  } else if (event == "BACKENDS_CHANGED") {  // wire: BACKENDS_CHANGED
    on_endpoint_update(line);
  } else {
    return false;
  }
  return true;
}

void Host::on_attempt_end(LineReader& line) {
  scheduling::Scheduler& receiver = scheduler();
  scheduling::AttemptEnd end = read_attempt_end(line, instance_->columns);
  receiver.on_attempt_end(now_, end, actions_);
  change_own_jobs(end.worker, -1);
}

void Host::on_job_event(LineReader& line) {
  scheduling::Scheduler& receiver = scheduler();
  scheduling::RequestId id = line.request_id();
  int attempt = line.integer<int>();
  std::string_view worker = line.word();
  if (auto kind = read_job_event_kind(line))
    receiver.on_job_event(now_, id, attempt, worker, *kind, actions_);
}

void Host::on_timer() {
  scheduler().on_timer(now_, actions_);
  if (instance_->gossip)
    instance_->gossip->expire(now_, make_gossip_callback());
}

void Host::on_health_check_result(LineReader& line) {
  scheduling::Scheduler& receiver = scheduler();
  std::string_view worker = line.word();
  scheduling::Outcome outcome = read_outcome(line.word());
  line.word();  // time since the health check was sent
  scheduling::LoadReport report =
      settings::read_load_report(line.optional_word(), instance_->columns);
  receiver.on_health_check_result(now_, worker, outcome, report, actions_);
}

void Host::on_gossip(LineReader& line) {
  scheduler();  // throws unless the instance was launched
  if (!instance_->gossip)
    return;
  auto sender = line.integer<std::size_t>();
  instance_->gossip->handle_message(now_, sender, decode_hex(line.optional_word()),
                                    make_gossip_callback());
}

void Host::on_endpoint_update(LineReader& line) {
  scheduling::Scheduler& receiver = scheduler();
  auto kind = read_update_kind(line.word());
  line.word();  // revision
  if (!kind)
    return;
  bool failed = *kind == scheduling::EndpointUpdateKind::Failed;
  entries_.clear();
  if (!failed) {
    for (const EndpointRow& row :
         endpoint_lists_.at(line.integer<std::size_t>(0, endpoint_lists_.size() - 1)))
      entries_.push_back(row.entry());
  }
  receiver.on_endpoint_update(now_, *kind, entries_, actions_);
  if (instance_->gossip && !failed)
    update_listed_workers(*kind);
}

void Host::update_listed_workers(scheduling::EndpointUpdateKind kind) {
  std::vector<std::string>& names = instance_->listed;
  if (kind != scheduling::EndpointUpdateKind::Delta)
    names.clear();
  for (const scheduling::WorkerEntry& entry : entries_) {
    std::erase(names, entry.worker);
    if (entry.readiness != scheduling::Readiness::Removed)
      names.emplace_back(entry.worker);
  }
  instance_->gossip->set_workers(names, make_gossip_callback());
}

fleet::LoadGossip::JobsCallback Host::make_gossip_callback() {
  return [this](const std::string& worker, int jobs) {
    instance_->scheduler->on_load_gossip(now_, worker, jobs, actions_);
  };
}

void Host::change_own_jobs(std::string_view worker, int difference) {
  if (!instance_->gossip)
    return;
  changed_workers_.emplace_back(worker);
  instance_->own_jobs[changed_workers_.back()] += difference;
}

void Host::flush_actions() {
  for (const scheduling::Action& action : actions_) {
    if (action.kind == scheduling::ActionKind::Send)
      change_own_jobs(action.worker, 1);
    write_instance_once();
    write_action(action, reply_);
  }
  actions_.clear();
  flush_gossip();
}

void Host::flush_gossip() {
  if (!instance_->gossip)
    return;
  for (const std::string& worker : changed_workers_)
    instance_->gossip->announce(now_, worker, instance_->own_jobs[worker]);
  changed_workers_.clear();
  for (const fleet::LoadGossip::Message& message : instance_->gossip->due_messages(now_)) {
    write_instance_once();
    write_gossip_message(message.to, message.bytes, reply_);
  }
}

// wire: ON_BEHALF
void Host::write_instance_once() {
  if (std::exchange(instance_written_, true))
    return;
  reply_ += "ON_BEHALF ";
  reply_ += instance_name_;
  reply_ += '\n';
}

}  // namespace dispatcher::simulator_adapter
