// The request table between the ports and the scheduler. It turns events into calls of the
// Scheduler and the Scheduler's actions into calls of the ports, and keeps the promises that the
// simulator kept for the scheduler: one end for each send, time-outs at the client's deadline, and
// the first success straight to the client.
#pragma once

#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>

#include "operations/metrics.h"
#include "routing/ports.h"
#include "transport/deadlines.h"

namespace dispatcher::routing {

struct NewRequest {
  scheduling::Request request;
  std::shared_ptr<const RequestPayload> cargo;
};

struct Progress {  // what a worker tells of a job by its own call
  scheduling::RequestId id = 0;
  std::string worker;
  bool started = false;
  bool progress = false;  // else it has ended
  scheduling::Outcome outcome = scheduling::Outcome::Failure;
  scheduling::LoadReport report;
  std::string result;
};

class Router {
 public:
  struct Ports {
    ClientPort& clients;
    WorkerPort& workers;
    DiscoveryPort& names;
    GossipPort* peers = nullptr;  // none: nothing is told or heard
  };
  using Log = std::function<void(const std::string&)>;

  Router(const scheduling::Settings& settings, std::size_t max_requests,
         const transport::Clock& clock, transport::Deadlines& deadlines, Ports ports,
         operations::Metrics& metrics, Log log);

  // Starts the decisions on the list as last held.
  void start(const std::vector<scheduling::WorkerEntry>& known);

  // `known` learns the command's number before anything is decided: its answer may come inside this
  // very call.
  enum class Taking { Taken, Full, Duplicate };
  Taking take(NewRequest command, const std::function<void(RequestRef)>& known);
  void client_gone(RequestRef command);
  void attempt_ended(AttemptRef attempt, scheduling::Outcome outcome,
                     const scheduling::LoadReport& report, Reply reply = {});
  void progress(Progress news);
  void health_check_ended(const std::string& worker, scheduling::Outcome outcome,
                          const scheduling::LoadReport& report);
  void on_endpoint_update(scheduling::EndpointUpdateKind kind,
                          const std::vector<scheduling::WorkerEntry>& entries);
  void on_load_gossip(const std::string& worker, int jobs);
  void apply_settings(const scheduling::Settings& settings);  // for the commands to come
  // The other process of this dispatcher, during an upgrade: what it has open, or had a moment ago,
  // is as good as known here.
  void elsewhere(const std::vector<scheduling::RequestId>& ids) {
    elsewhere_.insert(ids.begin(), ids.end());
  }
  bool knows(scheduling::RequestId id) const { return by_id_.contains(id); }
  std::vector<scheduling::RequestId> ids() const;  // open here, or a moment ago
  // A command that another process goes on with, to its answer: nobody is told anything of it here.
  // What is to know of it, or nothing where that cannot be: it is over, or an attempt is not out,
  // or not yet taken.
  struct ReleasableRequest {
    scheduling::RequestId id = 0;
    std::size_t job_class = 0;
    transport::Time ends{};
    std::vector<std::string> workers;
  };
  std::vector<RequestRef> open_refs() const;
  std::optional<ReleasableRequest> releasable(RequestRef command) const;
  void release(RequestRef command);
  void on_request_accepted(std::function<void(scheduling::RequestId)> tell) {
    tell_taken_ = std::move(tell);
  }
  void fail_all();  // the program must end: what is still open gets its answer now

  void talk_to(GossipPort& peers) { ports_.peers = &peers; }  // before start()
  // A line for each thing that happens to a command, for testbed/fleet_table.py; the one log that
  // grows with traffic.
  void trace(Log trace) { trace_ = std::move(trace); }

  std::size_t open_requests() const { return open_; }
  bool avoids(const std::string& worker) const {
    return dispatcher_ && dispatcher_->avoids(worker);
  }
  // Of a command that was taken off the sockets and never came this far.
  void count_rejected(std::size_t job_class) { ++metrics_.of(job_class).throttled; }

 private:
  struct Attempt {
    std::string worker;
    bool open = true;
    bool ran = false;  // ran: it has ended so that it may have
  };
  struct Command {
    scheduling::RequestId id = 0;
    std::size_t job_class = 0;
    int most_attempts = 1;  // as the settings were when it came
    std::shared_ptr<const RequestPayload> cargo;
    transport::Time ends{};
    bool answered = false;
    std::vector<Attempt> attempts;
    transport::Deadlines::Handle deadline;
  };

  void note(const char* what, scheduling::RequestId id, int attempt, std::string_view text,
            const char* more = "") const;
  void post(std::function<void()> event);
  void act(std::vector<scheduling::Action>& actions);
  void carry_out(const scheduling::Action& action);
  void send(const scheduling::Action& action);
  void answer(const scheduling::Action& action);
  void cancel(const scheduling::Action& action);
  void end_attempt(AttemptRef ref, scheduling::Outcome outcome,
                   const scheduling::LoadReport& report, Reply reply);
  bool may_have_run(RequestRef ref, const Command& c) const;
  void answer_unserved(RequestRef ref,
                       Command& c);  // failed, or refused where nothing of it has begun
  bool spent(const Command& c) const;
  void give_up_spent(RequestRef ref, Command& c, scheduling::Outcome outcome);
  void tell_end(scheduling::RequestId id, int attempt, bool final, const std::string& worker,
                scheduling::Outcome outcome, const scheduling::LoadReport& report);
  void time_up(RequestRef ref);
  void count(const std::string& worker, int more);
  void close_answered(RequestRef ref, Command& c);
  void reject(RequestRef ref, Command& c, scheduling::Duration retry_after);
  void fail(RequestRef ref, Command& c);
  void drop_client(RequestRef ref);
  Command* by_id(scheduling::RequestId id, RequestRef& ref);

  scheduling::Settings settings_;
  const transport::Clock& clock_;
  transport::Deadlines& deadlines_;
  Ports ports_;
  operations::Metrics& metrics_;
  Log log_;
  Log trace_;
  mutable transport::SlotTable<Command> table_;
  std::unordered_map<scheduling::RequestId, RequestRef>
      by_id_;  // also of commands that ended a moment ago
  std::unordered_set<scheduling::RequestId> elsewhere_;
  std::function<void(scheduling::RequestId)> tell_taken_;
  std::deque<scheduling::RequestId> ended_;  // the ids of those, the longest ended first
  std::optional<scheduling::Scheduler> dispatcher_;
  std::deque<std::function<void()>> events_;
  bool running_ = false;
  std::size_t open_ = 0;
  std::unordered_map<std::string, int> at_;  // open attempts, by worker
};

}  // namespace dispatcher::routing
