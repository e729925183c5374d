// Runs the schedulers of all simulated dispatchers: takes one batch of events and returns one
// reply. Each event is delivered to the scheduler of its dispatcher, and the scheduler's actions
// are written to the reply. The dispatchers share nothing but the parsed endpoint lists. Makes no
// decisions of its own.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet/load_gossip.h"
#include "simulator_adapter/wire.h"

namespace dispatcher::simulator_adapter {

class Host {
 public:
  // Handles one line. Returns true if it completes a batch, whose result reply() then returns.
  // Throws MalformedInput.
  bool handle_line(std::string_view text);
  const std::string& reply() const { return reply_; }
  bool in_batch() const { return in_batch_; }

 private:
  // One simulated dispatcher.
  struct Instance {
    std::optional<scheduling::Scheduler> scheduler;  // empty: not launched
    LoadReportColumns columns;
    std::optional<fleet::LoadGossip> gossip;        // if dispatchers may exchange messages
    std::unordered_map<std::string, int> own_jobs;  // by worker
    std::vector<std::string> listed;                // workers of the endpoint list
  };

  void begin_batch(LineReader& line);
  void end_batch();
  void handle_event(std::string_view event, LineReader& line);
  void select_instance(LineReader& line);
  void begin_endpoint_list(LineReader& line);
  void add_endpoint(LineReader& line);
  void launch(LineReader& line);
  Instance& selected();

  // Passes an event to the scheduler of the selected instance. Returns false if the event is
  // unknown.
  bool deliver(std::string_view event, LineReader& line);
  scheduling::Scheduler& scheduler();
  void on_attempt_end(LineReader& line);
  void on_job_event(LineReader& line);
  void on_timer();
  void on_health_check_result(LineReader& line);
  void on_gossip(LineReader& line);
  void on_endpoint_update(LineReader& line);

  void update_listed_workers(scheduling::EndpointUpdateKind kind);
  fleet::LoadGossip::JobsCallback make_gossip_callback();
  void change_own_jobs(std::string_view worker, int difference);
  void flush_actions();
  void flush_gossip();
  void write_instance_once();

  std::unordered_map<std::string, Instance> instances_;      // by name
  std::array<std::vector<EndpointRow>, 16> endpoint_lists_;  // by their number
  std::vector<EndpointRow>* incomplete_list_ = nullptr;      // being read
  std::size_t rows_left_ = 0;                                // of incomplete_list_
  std::vector<scheduling::WorkerEntry> entries_;
  std::vector<scheduling::Action> actions_;
  std::vector<std::string> changed_workers_;  // workers whose number of own jobs this event changed
  scheduling::Time now_{};
  std::string batch_;
  std::string reply_;
  std::string instance_name_;
  Instance* instance_ = nullptr;   // selected in this batch
  bool instance_written_ = false;  // the reply names the selected instance
  bool in_batch_ = false;
};

}  // namespace dispatcher::simulator_adapter
