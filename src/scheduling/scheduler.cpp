// Every scheduling decision, in the order of a job's life: the list and the pools, the cutoff,
// arrival, the choice of a worker, sending, holding, watching, the end. SITA-U-fair (Schroeder and
// Harchol-Balter) is the ordinary path; what departs from it is marked EXCEPTION with the condition
// under which it acts.
#include "dispatcher/scheduling/scheduler.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

#include "scheduling/state.h"

namespace dispatcher::scheduling {
namespace {

using std::chrono::seconds;

constexpr Duration kCutoffEvery = seconds(2);
constexpr Duration kAskTurn{
    20};  // of discovery's time, that calls for the list leave to each dispatcher
constexpr Duration kAskPause{
    1500};  // at most: a change counts as told 6 s after discovery could be reached
constexpr double kFewSamples = 30;   // under this many the search would follow single jobs
constexpr double kSaneWorkMs = 1e7;  // hints outside (0, this] are as good as missing

// Choice and hold.
constexpr double kQueueShare = 0.3;   // of a job's slack may be spent waiting in a worker's queue
constexpr Duration kReportAge{1000};  // load reports may be this old when they come
constexpr double kCopyShare =
    0.2;  // of its slack a job waits in a queue before a second copy may pay
constexpr double kSpeedMemory = 0.85;  // weight kept by older speed samples at each new one
constexpr std::size_t kHeldLook = 24;  // held jobs looked at when a worker has room
constexpr std::size_t kOfferMisses =
    4;                              // held jobs that may fail to go before an offer is over: CPU
constexpr Duration kHeldEvery{50};  // how often held jobs are placed anew while nothing is heard
constexpr double kLookPart =
    4;  // workers of a pool looked at, in terms of a dispatcher's part of the fleet
constexpr double kLookLeast = 3;  // ...but at least so many, drawn by capacity
constexpr double kCrossDoubt =
    4;  // times its price a crossing must seem to save: delays are estimates
constexpr double kBlindRuns =
    20;  // mean runs, after which half of what a wait has shown is forgotten
constexpr double kLasting = 0.8;     // weight of the busy share of a worker against its free slots
constexpr int kAskRounds = 3;        // times a job may ask workers for their load before it goes
constexpr std::size_t kAskEach = 2;  // workers asked each time
constexpr Duration kAskTime{
    8};  // and five ticks: later answers come from workers too busy to be of use
constexpr Duration kNearAge{1000};  // what news lack, errors above all, may be this old
constexpr Duration kNewsAge{100};   // a report this young need not be asked for again
constexpr Duration kPeersLast =
    seconds(5);                        // after the last news of any peer they tell nothing any more
constexpr double kKeptForResends = 1;  // further attempts that copies leave in the retry budget
constexpr double kCopyPart = 0.1;      // of the requests of late may be copied: no jam feeds itself
constexpr double kHopeless =
    0.7;  // refuse only if even this share of the expected run would end late

// Shares of tenants.
constexpr double kShareBurst = 2;  // seconds of a tenant's share that may come at once
constexpr double kHeavy = 2;       // a job of so many times the mean work, worth as much more...
constexpr double kBorrowed = 3;    // ...may take so many of its tenant's next requests' places
constexpr Duration kTraffic =
    seconds(60);                     // what this dispatcher's part of the traffic is told from...
constexpr double kTrafficGuess = 5;  // ...with an even part taken for granted for so many seconds
constexpr Duration kMoved = seconds(4);  // ...or from this, where clients have moved here

// Health: symptoms add to one doubt, signs of life take most of it away.
constexpr double kDoubtful = 0.5;  // unsafe jobs keep off
constexpr double kDown = 1.0;      // only trials go there
constexpr Duration kDoubtHalfLife = seconds(5);
constexpr Duration kDownAgain =
    seconds(2);  // taken as down again within this, a worker waits for its trial
constexpr int kTrusted =
    3;  // jobs of a class served in a row, after which one that fails is chance
constexpr double kErrorShare =
    0.15;  // of the jobs that a worker could serve: more failed are no chance
constexpr Duration kErrorGap = seconds(2);
constexpr double kOverdue = 2.0;    // times the expected run before a job counts as overdue
constexpr double kColdDoubt = 1.5;  // at least this much more than its hint a job counts for there
constexpr double kColdHolders =
    3;  // that share it: one job longer than its hint must not spend it all
constexpr double kColdTurn = 4;  // fall spans that the same dispatchers hold it
constexpr int kLogLines = 200;

double ms(Duration d) {
  return d.count();
}

std::uint64_t hash_id(
    std::string_view id) {  // FNV-1a with a final mix: the same at every dispatcher
  std::uint64_t h = 14695981039346656037ULL;
  for (unsigned char c : id)
    h = (h ^ c) * 1099511628211ULL;
  h = (h ^ (h >> 32)) * 0xd6e8feb86659fd93ULL;
  return h ^ (h >> 32);
}

}  // namespace

class Scheduler::Parts {
 public:
  Parts(const Settings& settings, Time now, std::vector<Action>& out)
      : now_(now), begun_(now), out_(&out), random_(settings.seed) {
    apply_settings(settings);
  }

  // For the jobs to come: open ones keep the class and the number of attempts that they came with.
  // What has been learned stays, as classes and tenants keep their numbers.
  void apply_settings(const Settings& settings) {
    validate(settings);
    set_ = settings;
    all_quotas_ = 0;
    tenants_.resize(set_.tenant_quotas.size());
    for (std::size_t i = 0; i < tenants_.size(); ++i)
      all_quotas_ += tenants_[i].quota = set_.tenant_quotas[i];
  }

  Parts& at(Time now, Actions& out) { return now_ = now, out_ = &out, *this; }

  // ---- The list and the pools ----

  void list(EndpointUpdateKind kind, const std::vector<WorkerEntry>& entries) {
    list_answered(kind, entries.empty());
    if (kind == EndpointUpdateKind::Failed)
      return;
    if (kind != EndpointUpdateKind::Delta) {
      for (auto& [id, w] : workers_)
        w.listed = false;
    }
    for (const WorkerEntry& e : entries)
      enter(e);
    for (auto it = workers_.begin(); it != workers_.end();) {
      if (!it->second.listed)
        it->second.ready = false;
      bool forget = !it->second.listed && it->second.out.empty() && !it->second.probe_out;
      it = forget && !named(&it->second) ? workers_.erase(it) : std::next(it);
    }
    cut_pools();
    if (set_.health_checks_allowed && kind == EndpointUpdateKind::Cached && !draws()) {
      for (Worker* w : ready_)
        probe(*w);
    }
    place_held();
  }

  void enter(const WorkerEntry& e) {
    auto [it, fresh] = workers_.try_emplace(std::string(e.worker));
    Worker& w = it->second;
    bool restarted = e.online_since && e.online_since != w.online_since;
    if (fresh) {
      w.id = it->first;
      w.hash = hash_id(w.id);
    }
    if (restarted && !fresh) {  // a clean record, but our attempts there are still ours to see end
      w.doubt = 0;
      w.others = 0;
      w.speed_work = w.speed_time = 0;
      w.trial_gap = kTrialGap;
      w.shunned.clear();
    }
    if (restarted) {
      w.cold_since = *e.online_since;
      w.online_since = e.online_since;
    }
    w.zone = e.zone;
    w.kind = e.kind;
    w.cell = e.cell;
    w.size = std::isfinite(e.size) && e.size > 0 ? e.size : 1;
    w.listed = e.readiness != Readiness::Removed;
    w.ready = e.readiness == Readiness::Ready;
  }

  bool named(const Worker* w) const {  // does an open job still remember an attempt there?
    return std::ranges::any_of(jobs_, [w](const auto& j) {
      return std::ranges::count(j.second.asked, w) ||
             std::ranges::count(j.second.attempts, w, &Attempt::worker);
    });
  }

  // Inside each zone the ready workers, sorted by hashed id, go to the short pool until it holds
  // half of the capacity seen so far. The running sum evens out zones with an odd worker; one
  // coming or going moves few.
  void cut_pools() {
    ready_.clear();
    for (auto& [id, w] : workers_) {
      if (w.ready)
        ready_.push_back(&w);
    }
    std::sort(ready_.begin(), ready_.end(), [](const Worker* a, const Worker* b) {
      return std::tie(a->zone, a->hash, a->id) < std::tie(b->zone, b->hash, b->id);
    });
    double in_short = 0;
    double before = 0;
    for (std::size_t i = 0; i < ready_.size();) {
      double zone_size = 0;
      std::size_t end = i;
      for (; end < ready_.size() && ready_[end]->zone == ready_[i]->zone; ++end)
        zone_size += ready_[end]->size;
      for (; i < end; ++i) {
        ready_[i]->short_pool = in_short + ready_[i]->size / 2 <= (before + zone_size) / 2;
        if (ready_[i]->short_pool)
          in_short += ready_[i]->size;
      }
      before += zone_size;
    }
    short_share_ = before > 0 ? in_short / before : 0.5;
    calibrate();
  }

  // WorkerEndpoint sizes have no unit: scale them so that they agree with the speeds seen, 1 on
  // average before any.
  void calibrate() {
    double seen = 0;
    double seen_size = 0;
    double all = 0;
    double slots = 0;
    double speeds = 0;
    for (Worker* w : ready_) {
      all += w->size;
      slots += w->slots;
      if (w->speed_time > 0) {
        seen += w->speed_work / w->speed_time * w->slots;
        seen_size += w->size;
      }
    }
    double scale = seen_size > 0 ? seen / seen_size : all > 0 ? slots / all : 1;
    for (Worker* w : ready_) {
      double prior = std::max(0.01, scale * w->size / w->slots);
      double weight = 2 * mean_work_;
      w->speed = (w->speed_work + weight * prior) / (w->speed_time + weight);
      speeds += w->speed;
    }
    if (!ready_.empty())
      mean_speed_ = speeds / static_cast<double>(ready_.size());
    for (auto& side : pools_) {
      for (Pool& pool : side) {
        pool.workers.clear();
        pool.upto.clear();
      }
    }
    for (Worker* w : ready_) {
      Pool& pool = pools_[w->zone != set_.zone][w->short_pool];
      double before = pool.upto.empty() ? 0 : pool.upto.back();
      // A cold worker is left to the holders of its budget, who look at it each time.
      double weight = warmth(*w) < 1 ? 0 : w->slots * w->speed;
      pool.workers.push_back(w);
      pool.upto.push_back(before + weight);
    }
  }

  // Subscribe at launch and after each error, inside poll_deadline or what a failed call leaves of
  // four times that. Discovery serves all one by one, and those whose calls fail together would
  // keep it overbooked: pauses grow with their number; where they are many and hold a list, one
  // comes before the first call too.
  void subscribe() {
    out_->push_back({.kind = ActionKind::Watch});
    subscribed_ = false;
    arm(now_ + std::max(set_.poll_deadline / 2, Duration(seconds(2))), DueKind::Subscribe, ++ask_);
  }

  void list_answered(EndpointUpdateKind kind, bool none) {
    if (!set_.watch_required)
      return;
    Duration turn = kAskTurn * set_.dispatchers;
    Duration least = std::clamp(turn, kAskPause / 3, kAskPause);
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    bool starts = kind == EndpointUpdateKind::Cached;
    subscribed_ = !starts && kind != EndpointUpdateKind::Failed;
    if (starts && (none || turn < least)) {
      subscribe();
    } else if (starts) {
      arm(now_ + turn * 2 * (jitter(random_) - 0.5), DueKind::Subscribe, ++ask_);
    } else if (!subscribed_) {
      arm(now_ + ask_backoff_ * jitter(random_), DueKind::Subscribe, ++ask_);
    }
    ask_backoff_ = subscribed_ || starts ? least : std::min(2 * ask_backoff_, kAskPause);
  }

  // ---- The cutoff ----

  void update_cutoff() {
    if (now_ < cutoff_due_)
      return;
    cutoff_due_ = now_ + kCutoffEvery;
    calibrate();
    if (!set_.health_checks_allowed || !(set_.reports_job_start || draws()))
      usual_load_ /= 2;  // no job begun, no report
    double capacity = 0.01;
    double busy = 0;
    double slots = 0.01;  // a worker never heard of says nothing of the load
    for (Worker* w : ready_) {
      capacity += w->slots * w->speed * warmth(*w);
      if (draws() && w->others_at == Time{})
        continue;
      slots += w->slots;
      busy += std::min(w->slots, draws() ? w->others : others(*w));
    }
    double own = hints_.work_rate(now_) / capacity;
    bool seen = set_.reports_job_start || set_.reports != LoadReportMode::Off;
    double load = std::clamp(seen ? own + busy / slots : own * set_.dispatchers, 0.05, 0.95);
    std::optional<double> fair;
    if (hints_.samples() >= kFewSamples * (draws() ? 3 : 1))
      fair = hints_.fair_cutoff(load, short_share_);
    cutoff_ = fair ? *fair : hints_.rule_of_thumb_cutoff(load);
  }

  // ---- A job arrives ----

  void request(const Request& r) {
    if (set_.retry_budget_window) {
      trim_ledger();
      taken_.push_back(now_);
    }
    if (r.job_class >= set_.classes.size() || jobs_.contains(r.id))
      return;
    Job& job = jobs_[r.id];
    job.request = r;
    job.lot =
        r.cost_hint && ms(*r.cost_hint) > 0 ? 0 : std::generate_canonical<double, 53>(random_);
    job.cls = set_.classes[r.job_class];
    job.most = set_.max_attempts;
    job.request.slots = std::isfinite(r.slots) ? std::clamp(r.slots, 1.0, 1e6) : 1;
    job.request.memory = std::isfinite(r.memory) ? std::clamp(r.memory, 0.0, 1e6) : 0;
    bool hinted = r.cost_hint && ms(*r.cost_hint) > 0 &&
                  ms(*r.cost_hint) <= kSaneWorkMs;  // also false for NaN
    auto& stats = class_stats_.try_emplace(r.job_class).first->second;
    if (hinted)
      stats.learn(ms(*r.cost_hint));
    job.cost_hint = hinted ? ms(*r.cost_hint) : 0;
    job.work = hinted ? stats.hints.expected(job.cost_hint) : stats.mean_work;
    mean_work_ += 0.05 * (job.load() - mean_work_);
    mean_worth_ += 0.05 * (priority_weight(job) - mean_worth_);
    hints_.add(now_, job.load());
    asked_.fade(now_, kTraffic);
    asked_.count += 1;
    // A client's repeat comes with less patience than a first try; the difference is the time
    // already lost.
    stats.timeout = std::max(stats.timeout, r.timeout);
    Duration lost = stats.timeout - r.timeout;
    Duration wanted =
        std::min(job.cls.latency_objective + Duration(job.cls.objective_work_factor * job.work),
                 stats.timeout);
    job.ends = now_ + r.timeout + r.transfer - 2 * set_.tick - Duration(2);
    job.limit = std::min(now_ + wanted - lost, job.ends);
    // EXCEPTION short patience: where that leaves no time at all, it may as well be a first try in
    // a hurry: it goes where it keeps nobody waiting. May hurt when repeats of a long overload find
    // free slots.
    if (job.limit < now_ + Duration(job.work / mean_speed_) && lost > Duration(0) &&
        job.cls.late_weight <= 0) {
      job.limit = std::min(now_ + wanted, job.ends);
      job.late = true;
    }
    // EXCEPTION share: a job beyond its tenant's share is worth little and goes where it keeps
    // nobody waiting and a slot stays free beside it, after all others that are held. May hurt
    // where one tenant's clients move to another dispatcher: there its share is not known yet.
    job.over = beyond_share(job);
    if (job.over) {
      job.limit = job.ends;
      job.late = true;
    }
    arm(job.ends, DueKind::Answer, r.id);
    update_cutoff();
    if (job.ends <= now_)
      return finish(job, ActionKind::Reject);
    if (!ask(job) && !place(job))
      hold(job);
    if (set_.reports == LoadReportMode::OnProbe && !draws())
      look_around();
  }

  // Shares are of the traffic at all dispatchers. This one's part of them is its own rate against
  // all quotas: where tenants send what is theirs, that is just its part of the traffic. Where all
  // the other tenants send more at once, clients have moved here from another dispatcher, and its
  // part has grown.
  bool beyond_share(const Job& job) {
    std::size_t tenant = job.request.tenant;
    if (tenant >= tenants_.size() || tenants_[tenant].quota <= 0 || set_.over_quota_weight >= 1)
      return false;
    if (traffic_at_ == Time{})
      traffic_at_ = now_;
    double keep = std::exp(-((now_ - traffic_at_) / kTraffic));
    traffic_ = keep * traffic_ + 1;
    traffic_span_ = keep * traffic_span_ + (1 - keep) * (kTraffic / Duration(seconds(1)));
    traffic_at_ = now_;
    double even = all_quotas_ / set_.dispatchers;
    double part = (traffic_ + kTrafficGuess * even) / (traffic_span_ + kTrafficGuess) / all_quotas_;
    Tenant& t = tenants_[tenant];
    recent_.fade(now_, kMoved);
    t.recent.fade(now_, kMoved);
    double others = (recent_.count - t.recent.count) / (kMoved / Duration(seconds(1)));
    recent_.count += 1;
    t.recent.count += 1;
    if (t.quota < all_quotas_)
      part = std::max(part, others / (all_quotas_ - t.quota));
    double rate = t.quota * part;
    double most = std::max(2.0, kShareBurst * rate);
    t.left = t.at == Time{}
                 ? most
                 : std::min(most, t.left + rate * ((now_ - t.at) / Duration(seconds(1))));
    t.at = now_;
    bool beyond = t.left < (job.load() > kHeavy * mean_work_ ? -kBorrowed : 1);
    return t.left -= beyond ? 0 : 1, beyond;
  }

  double priority_weight(const Job& job) const {
    return job.cls.priority_weight * (set_.weight_by_work ? job.load() : 1);
  }
  double cross_price(
      const Job& job) const {  // as a share of a job's slack that a crossing must save
    return kCrossDoubt * set_.cross_zone_price * mean_worth_ / std::max(1e-9, priority_weight(job));
  }
  // EXCEPTION no hint: in a drawn fleet it goes to either pool, by capacity: a class would fill one
  // of them.
  bool is_short(const Job& job) const {
    return job.cost_hint <= 0 && draws() ? job.lot < short_share_ : job.load() < cutoff_;
  }

  // ---- The choice of a worker ----

  bool can_run(const Worker& w, const Job& job) const {
    if (job.cls.kind >= 0 && job.cls.kind != w.kind)
      return false;
    if (job.request.slots >= w.cannot_slots)
      return false;
    return !w.slots_seen || std::max(job.request.slots, job.request.memory) <= most_slots_ + 0.5;
  }

  // Rule of effects, asked before every send and refusal. All but a proof in attempt_end() leaves
  // that an attempt may have run. Keyed: its group, as listed at the send, drops repeats for the
  // memory span from then. A copy shares the span of what was out before it, also if that is handed
  // back later: the key was known. A new span begins only when nothing may have run. Margin: a
  // repeat counts when it reaches the worker. It is connected within the timeout or never runs; the
  // way there is shorter than a handshake, which goes there and back; a tick for the age of each of
  // two clock readings. A start in time cannot be proved: queues are not ours. No sane timeout, or
  // a shorter span: no repeat. Guards also against own stalls, as now_ is read anew; may hurt where
  // connecting is far quicker than its timeout.
  bool refusable(const Job& job) const {
    return job.cls.idempotency == Idempotency::Idempotent ||
           std::ranges::none_of(job.attempts, &Attempt::may_have_run);
  }
  bool may_send(const Worker& w, const Job& job) const {
    if (std::ssize(job.attempts) >= std::min(job.most, set_.max_attempts))
      return false;
    double timeout = ms(set_.connect_timeout.value_or(Duration(-1)));
    double margin = timeout >= 0 ? 2 * timeout + 2 * ms(set_.tick) : INFINITY;
    for (const Attempt& a : job.attempts) {
      if (a.open && (!set_.hedging_allowed || a.worker == &w))
        return false;
      if (!a.may_have_run || job.cls.idempotency == Idempotency::Idempotent)
        continue;
      double left = ms(a.since + job.cls.deduplication_window - now_) - margin;
      if (job.cls.idempotency == Idempotency::NonIdempotent || !(left > 0 && std::isfinite(left)))
        return false;
      if (job.cls.deduplication_scope == DeduplicationScope::Zone && a.zone != w.zone)
        return false;
      if (job.cls.deduplication_scope == DeduplicationScope::Cell && a.cell != w.cell)
        return false;
    }
    return true;
  }

  bool healthy_for(const Worker& w, const Job& job) const {
    double d = doubt(w);
    auto shun = w.shunned.find(job.request.job_class);
    if (now_ < w.full_until || (shun != w.shunned.end() && now_ < shun->second.until))
      return false;
    if (d >= kDown) {
      return !set_.health_checks_allowed && now_ >= w.trial_at && w.out.empty() &&
             job.cls.idempotency != Idempotency::NonIdempotent;
    }
    return d < kDoubtful || job.cls.idempotency != Idempotency::NonIdempotent;
  }

  double warmth(
      const Worker& w) const {  // fraction of its capacity that a started worker surely has
    if (!w.cold_since || ms(set_.slow_start_duration) <= 0)
      return 1;
    double t = std::clamp((now_ - *w.cold_since) / set_.slow_start_duration, 0.0, 1.0);
    return set_.slow_start_initial_fraction + (1 - set_.slow_start_initial_fraction) * t;
  }

  // Rule of cold workers: what may be sent within any fall span is multiple x capacity x span, by
  // all of us. A few share it and leave one share over for hints that lie, picked by the worker's
  // hash and our own index, and changed every few spans, as an idle holder wastes its part; new
  // holders wait out the old ones' last span, and new processes, as their predecessors' sends
  // count, part what is left over. In a drawn fleet its holders look at it with each job: left to
  // chance, most of a fleet replaced at once stood idle.
  double cold_budget(const Worker& w) const {
    return set_.overload_multiple * ms(set_.overload_window) * w.slots *
           std::min(w.speed, mean_speed_) * warmth(w);
  }
  double cold_share(const Worker& w) const {
    double holders = std::min(kColdHolders, 1.0 * set_.dispatchers);
    double since_start = ms(now_ - (w.online_since == w.cold_since ? *w.cold_since : Time{}));
    double span = ms(set_.overload_window);
    double turn = std::floor(since_start / (kColdTurn * span));
    bool waits =
        turn > 0 && holders < set_.dispatchers && since_start - turn * kColdTurn * span <= span;
    auto first = static_cast<std::uint64_t>(w.hash + 7919 * turn) % set_.dispatchers;
    auto place = (set_.index + set_.dispatchers - first) % set_.dispatchers;
    double part = (holders + 1) *
                  (w.cold_since < begun_ && now_ - begun_ <= set_.overload_window ? holders : 1);
    return !waits && static_cast<double>(place) < holders ? cold_budget(w) / part : 0;
  }

  // Never less than its class on average: hints lie. One of a class of which nothing is known takes
  // it all.
  double felt(const Worker& w, const Job& job, double doubt) const {
    const ClassStats& stats = class_stats_.at(job.request.job_class);
    double known = stats.jobs > 0 ? stats.mean_work * job.request.slots : cold_share(w);
    return std::max(doubt * job.load(), known);
  }
  bool within_budget(Worker& w, const Job& job) {
    if (warmth(w) >= 1)
      return true;
    double spread =
        class_stats_.at(job.request.job_class).hints.spread();  // its hint may lie by three of it
    if (job.load() * spread * spread * spread > cold_budget(w))
      return false;
    double load = felt(w, job, std::max(kColdDoubt, spread));
    while (!w.sent.empty() && w.sent.front().first + set_.overload_window < now_)
      w.sent.pop_front();
    for (const auto& [at, work] : w.sent)
      load += work;
    return load <= cold_share(w);
  }

  double likely_speed(const Worker& w) const { return w.speed * std::sqrt(warmth(w)); }
  Duration run_time(const Worker& w, const Job& job) const {
    return Duration(job.work / likely_speed(w));
  }

  // EXCEPTION others' work: slots that reports, start notes and waits showed to be taken by jobs
  // that are not ours. As such jobs end, within about two mean runs, it turns into what reports
  // show elsewhere: others go on sending, and whose report is oldest must not look the freest.
  // Without reports nothing is shown there.
  double others(const Worker& w) const {
    if (told(w))
      return *w.peers;
    double runs = set_.reports == LoadReportMode::Off ? kBlindRuns : 2;
    double fresh = 1 / (1 + (now_ - w.others_at) / Duration(runs * mean_work_));
    return w.others * fresh + std::max(0.0, usual_load_ * w.slots - w.own_slots) * (1 - fresh);
  }

  // How long until a job of ours would start there, the queue being served in order.
  Duration start_delay(const Worker& w, const Job& job) {
    double taken = w.own_slots + others(w);
    double need = job.request.slots;
    if (taken + need <= w.slots + 0.5 && w.own_memory + job.request.memory <= w.slots)
      return Duration(0);
    double queued = 0;
    double speed = likely_speed(w);
    releases_.clear();
    for (const Outstanding& o : w.out) {
      if (!o.started && set_.reports_job_start) {
        queued += o.work * o.slots / speed;
        continue;
      }
      double ran = ms(now_ - o.started.value_or(o.sent));
      releases_.emplace_back(std::max(o.work / speed - ran, 0.25 * ran), o.slots);
    }
    double theirs = others(w);
    double running = std::min(theirs, std::max(0.0, w.slots - w.started_slots));
    queued += (theirs - running) * mean_work_ / speed;
    if (running >= 0.5)
      releases_.emplace_back(0.5 * mean_work_ / speed, running);
    std::sort(releases_.begin(), releases_.end());
    double free = w.slots - running - w.started_slots;
    double wait = 0;
    for (std::size_t i = 0; i < releases_.size() && free + 0.5 < need; ++i) {
      wait = releases_[i].first;
      free += releases_[i].second;
    }
    return Duration(wait + queued / w.slots);
  }

  // SITA-U-fair with its exceptions as an order of preference. The job goes to the worker with
  // least own outstanding work over capacity in its pool. EXCEPTION spill: to the other pool when
  // in its own nobody can start it now. A queue, for kQueueShare of the slack at most, is joined
  // only when neither can, and where second copies may help who waits there: nothing else gets a
  // job out of a queue. EXCEPTION zones: to another zone when that saves more of its slack than the
  // crossing costs of its worth. Nothing: hold it.
  Worker* choose(const Job& job) {
    Choice home = best_of(job, false);
    Choice away;
    double price = cross_price(job);
    if (home.worker && home.delay_share <= price)
      return home.worker;
    if (price < 1)
      away = best_of(job, true);
    bool cross = away.worker && away.delay_share + price < home.delay_share;
    return cross ? away.worker : home.worker;
  }

  Choice best_of(const Job& job, bool cross) {
    Choice best;
    double least = 0;
    int rounds = job.late || !set_.hedging_allowed ? 2 : 4;  // the latter two for queues
    for (int round = 0; round < rounds; ++round) {
      bool pool = (round % 2 == 0) == is_short(job);
      double most = round < 2 ? 0 : kQueueShare;
      look(job, pools_[cross][pool], [&](Worker& w) {
        if (!eligible(w, job) || (w.zone != set_.zone) != cross || w.short_pool != pool)
          return;
        Duration delay = start_delay(w, job);
        Duration slack = job.limit - now_ - run_time(w, job);
        if (slack < Duration(0) || (job.over && !has_room(w, job, -0.5)))
          return;  // for the next, worth more
        double share = delay / std::max(slack, Duration(1e-3));
        if (!best.worker)
          best.delay_share = std::min(best.delay_share, share);
        if (share > most)
          return;
        double added =
            draws() ? 0 : job.load();  // drawn: of those that tie the first, not the fastest
        double r = (w.own_work + others(w) * mean_work_ + added) / (w.slots * likely_speed(w));
        if (!best.worker || r < least)
          best = {&w, share}, least = r;
      });
      if (best.worker)
        break;
    }
    return best;
  }

  bool eligible(Worker& w, const Job& job) {
    return w.ready && can_run(w, job) && healthy_for(w, job) && may_send(w, job) &&
           within_budget(w, job);
  }

  // EXCEPTION draw: where the fleet is much larger than this dispatcher's part of it, its own work
  // says nothing of most workers, and all would rush to the same fastest one. It looks at a few of
  // the pool, drawn by capacity and its own seed. In a small fleet, or when earlier attempts leave
  // only few, it looks at all.
  std::size_t few() const {
    return static_cast<std::size_t>(
        std::max(kLookLeast, kLookPart * ready_.size() / set_.dispatchers));
  }
  bool draws() const { return 2 * few() < ready_.size(); }

  template <class Visit>
  void look(const Job& job, const Pool& pool, Visit visit) {
    bool tied = job.cls.kind >= 0 || std::ranges::any_of(job.attempts, &Attempt::may_have_run);
    bool all = !draws() || tied || few() >= pool.workers.size();
    if (!all && job.asked.empty())
      return draw(pool, few(), visit);
    for (Worker* w : all ? pool.workers : job.asked)
      visit(*w);
  }

  template <class Visit>
  void draw(const Pool& pool, std::size_t times, Visit visit) {
    for (Worker* w : pool.workers) {
      if (warmth(*w) < 1 && cold_share(*w) > 0)
        visit(*w);
    }
    if (pool.workers.empty() || pool.upto.back() <= 0)
      return;
    std::uniform_real_distribution<double> point(0, pool.upto.back());
    for (std::size_t i = 0; i < times; ++i) {
      auto at = std::upper_bound(pool.upto.begin(), pool.upto.end() - 1, point(random_));
      visit(*pool.workers[at - pool.upto.begin()]);
    }
  }

  // EXCEPTION ask: a fleet that is drawn from is seen by nobody, so a job first asks a few workers
  // of its pool for their load and goes to the first that has room: at home, then elsewhere, then
  // in the other pool. A probe costs far less than the wait it saves; one that is not answered in a
  // moment stands in a queue.
  bool ask(Job& job) {
    if (!set_.health_checks_allowed || set_.reports == LoadReportMode::Off || !draws())
      return false;
    while (job.rounds < kAskRounds) {
      int round = job.rounds++;
      bool cross = round == 1 && cross_price(job) < kCrossDoubt * kQueueShare;
      std::size_t before = job.asked.size();
      auto consider = [&](Worker& w) {
        if (told(w) && !has_room(w, job))
          return;
        if (eligible(w, job) && !std::ranges::count(job.asked, &w))
          job.asked.push_back(&w);
      };
      Worker* near =
          near_free(job);  // none is drawn then, but the cold ones that are ours come first
      draw(pools_[cross][(round < 2) == is_short(job)], near ? 0 : kAskEach, consider);
      if (near)
        consider(*near);
      for (std::size_t i = before; i < job.asked.size(); ++i) {
        Worker& w = *job.asked[i];
        if (warmth(w) < 1 ||
            (!w.probe_out && now_ - w.reported_at <= (told(w) ? kNearAge : kNewsAge))) {
          if (has_room(w, job))
            return send(job, w), true;
          continue;
        }
        probe(w);
        w.askers.push_back(job.request.id);
        ++job.awaited;
      }
      if (job.awaited > 0)
        return arm(now_ + kAskTime + 5 * set_.tick, DueKind::Ask, job.request.id), true;
    }
    return false;
  }

  // EXCEPTION near: the workers that news tell of come first, where one has room: the one with
  // least work.
  Worker* near_free(const Job& job) {
    Worker* best = nullptr;
    auto order = [&](const Worker& w) {
      double work = w.own_work + *w.peers * mean_work_;
      return std::pair(w.short_pool != is_short(job), work / (w.slots * likely_speed(w)));
    };
    for (Worker* w : ready_) {
      if (told(*w) && (!best || order(*w) < order(*best)) && has_room(*w, job) &&
          eligible(*w, job) && !std::ranges::count(job.asked, w))
        best = w;
    }
    return best;
  }

  bool has_room(const Worker& w, const Job& job, double over = 0.25) const {
    return w.own_slots + others(w) + job.request.slots <= w.slots + over;
  }

  void asked_answers(Worker& w,
                     bool lives) {  // room there: the asker goes; else it waits for other answers
    for (RequestId id : std::exchange(w.askers, {})) {
      auto it = jobs_.find(id);
      if (it == jobs_.end() || it->second.awaited == 0)
        continue;
      Job& job = it->second;
      --job.awaited;
      if (lives && eligible(w, job) && has_room(w, job)) {
        send(job, w);
      } else if (job.awaited == 0) {
        asked_enough(job);
      }
    }
  }

  void asked_enough(Job& job) {
    job.awaited = 0;
    if (ask(job))
      return;
    std::erase_if(job.asked,
                  [](Worker* w) { return w->probe_out; });  // no answer: it stands in a queue
    if (!place(job))
      hold(job);
  }

  // ---- Sending ----

  // Rule of the retry budget, over every sliding window: one ledger that each attempt beyond a
  // job's first asks. Requests leave it two ticks early and attempts two late, as they are counted
  // when handled. A second copy leaves a resend in it, for a failure. Without reports no copy where
  // half of the jobs wait to start.
  void trim_ledger() {
    Time start = now_ - *set_.retry_budget_window;
    while (!taken_.empty() && taken_.front() <= start + 2 * set_.tick)
      taken_.pop_front();
    while (!extras_.empty() && extras_.front() < start - 2 * set_.tick)
      extras_.pop_front();
  }
  bool extra_allowed(bool copy) {
    double part = set_.reports == LoadReportMode::Off ? kCopyPart * std::max(0.0, 2 * prompt_ - 1)
                                                      : kCopyPart;
    if (copy && copies_.fade(now_, kTraffic) >= 1 + part * asked_.fade(now_, kTraffic))
      return false;
    if (!set_.retry_budget_window)
      return true;
    trim_ledger();
    double allowed =
        *set_.retry_budget_free + *set_.retry_budget_ratio * static_cast<double>(taken_.size());
    return static_cast<double>(extras_.size()) + 1 + (copy ? kKeptForResends : 0) <= allowed + 1e-9;
  }

  bool place(Job& job) {
    Worker* w = job.attempts.empty() || extra_allowed(any_open(job)) ? choose(job) : nullptr;
    if (w)
      send(job, *w);
    return w != nullptr;
  }

  void send(Job& job, Worker& w) {
    unhold(job);
    job.awaited = 0;
    job.asked.clear();
    copies_.count += any_open(job) ? 1 : 0;
    const Request& r = job.request;
    int attempt = static_cast<int>(job.attempts.size());
    w.out.push_back({r.id, attempt, r.job_class, job.work, r.slots, r.memory, now_, {}, now_});
    w.own_work += job.load();
    w.own_slots += r.slots;
    w.own_memory += r.memory;
    if (warmth(w) < 1)
      w.sent.emplace_back(now_, felt(w, job, 1));
    if (doubt(w) >= kDown)
      put_off_trial(w);
    if (!job.attempts.empty() && set_.retry_budget_window)
      extras_.push_back(now_);
    Time since = now_;
    for (const Attempt& a : job.attempts) {
      if (a.may_have_run)
        since = std::min(since, a.since);
    }
    job.attempts.push_back({&w, now_, since, w.zone, w.cell});
    out_->push_back({.kind = ActionKind::Send, .id = job.request.id, .worker = w.id});
    Duration run = set_.reports_job_start ? Duration(0) : kOverdue * run_time(w, job);
    arm(now_ + Duration(50) + 4 * set_.tick + run, DueKind::Watch, job.request.id);
    if (set_.reports_job_start && job.cls.late_weight <= 0)
      arm(last_chance(job), DueKind::Watch, job.request.id);
  }

  // ---- EXCEPTION hold: no worker can start the job soon ----

  void hold(Job& job) {
    if (job.held_key)
      return;
    job.asked.clear();
    job.held_key = turn(job);
    held_.emplace(*job.held_key, job.request.id);
    arm(std::max(now_, last_chance(job)), DueKind::Limit, job.request.id);
    if (!sweeping_) {
      arm(now_ + kHeldEvery, DueKind::Held, 0);
      sweeping_ = true;
    }
  }

  // Most worth for a unit of work first, then least time left: in an overload some wait in vain.
  Turn turn(const Job& job) const {
    double priority_weight = job.cls.priority_weight * (job.late ? job.cls.late_weight : 1);
    if (job.over)
      priority_weight *= set_.over_quota_weight;
    return {set_.weight_by_work ? -priority_weight : -priority_weight / job.load(), job.limit};
  }

  void unhold(Job& job) {
    if (job.held_key)
      held_.erase({*std::exchange(job.held_key, std::nullopt), job.request.id});
  }

  Time last_chance(const Job& job) const {  // after this even the fastest worker would be late
    double fastest = 0.01;
    for (const Worker* w : ready_) {
      if (can_run(*w, job))
        fastest = std::max(fastest, w->speed);
    }
    return job.limit - Duration(kHopeless * job.work / fastest);
  }

  // A held job can no longer be in time: refuse it early, or, where late answers have worth and the
  // fleet is not full, keep it on. In a jam it would take the slot of another dispatcher's job, and
  // that be late too.
  void limit_due(Job& job) {
    if (!job.held_key || now_ < last_chance(job) || place(job))
      return;
    unhold(job);
    if (job.cls.late_weight > 0 && !job.late && usual_load_ < 1) {
      job.limit = job.ends;
      job.late = true;
      if (!place(job))
        hold(job);
    } else if (refusable(job) || !any_open(job)) {
      if (refusable(job))
        log("refused: a held job can no longer be in time");
      answer_due(job);
    }
  }

  void place_held() {
    std::size_t looked = 0;
    for (auto it = held_.begin(); it != held_.end() && looked < kHeldLook; ++looked)
      place(jobs_.at((it++)->second));
  }

  // Room appeared at a worker: held jobs that would be in time there are placed as on arrival.
  void offer(Worker& w) {
    std::size_t looked = 0;
    std::size_t misses = 0;
    for (auto it = held_.begin(); it != held_.end() && looked < kHeldLook; ++looked) {
      if (!w.ready || misses >= kOfferMisses || w.own_slots + others(w) > w.slots - 0.5)
        return;
      Job& job = jobs_.at((it++)->second);
      if (w.own_slots + job.request.slots > w.slots + 0.5 || job.limit < now_ + run_time(w, job))
        continue;
      if (!place(job))
        ++misses;
    }
  }

  // ---- Watching what is out ----

  Attempt* attempt_of(Job& job, int attempt) {
    return attempt >= 0 && attempt < std::ssize(job.attempts) ? &job.attempts[attempt] : nullptr;
  }
  Outstanding* find(Worker& w, RequestId id, int attempt) {
    auto it =
        std::ranges::find_if(w.out, [&](auto& o) { return o.id == id && o.attempt == attempt; });
    return it == w.out.end() ? nullptr : &*it;
  }

  void note(RequestId id, int attempt, std::string_view worker, JobEventKind kind) {
    auto wit = workers_.find(worker);
    auto it = jobs_.find(id);
    Attempt* a = it != jobs_.end() ? attempt_of(it->second, attempt) : nullptr;
    if (a)
      a->started = a->may_have_run = true;  // even if an end has said that it never ran
    Outstanding* o = wit != workers_.end() ? find(wit->second, id, attempt) : nullptr;
    if (!o)
      return;
    Worker& w = wit->second;
    o->heard = now_;
    alive(w);
    if (kind != JobEventKind::Started || o->started)
      return;
    bool prompt = now_ - o->sent < Duration(20) + 4 * set_.tick;
    o->started = now_;
    prompt_ += 0.05 * (prompt - prompt_);
    w.full_gap = Duration(0);
    w.started_slots += o->slots;
    w.slots = std::max(w.slots, w.started_slots);
    double left = w.slots - w.started_slots;
    if (prompt) {  // it started at once: that much room was free
      see_others(w, std::min(others(w), w.slots - w.own_slots));
    } else if (left > 0) {  // it waited: a queue like the one it stood in may stand there still
      see_others(w, std::max(others(w), left + 0.5 * (now_ - o->sent) / mean_slot_time(w)));
    }
    if (!a)
      return;
    cancel_open(it->second, true);  // a copy that still waits elsewhere is not needed
    arm(now_ + kOverdue * run_time(w, it->second) + Duration(50), DueKind::Watch, id);
    if (ms(set_.progress_interval) > 0)
      arm(now_ + 2.2 * set_.progress_interval, DueKind::Watch, id);
  }

  void cancel_open(const Job& job, bool waiting_only) {
    for (std::size_t i = 0; i < job.attempts.size() && set_.cancellation_allowed; ++i) {
      if (job.attempts[i].open && !(waiting_only && job.attempts[i].started)) {
        out_->push_back(
            {.kind = ActionKind::Cancel, .id = job.request.id, .attempt = static_cast<int>(i)});
      }
    }
  }

  // EXCEPTION peers: reports are old by a second, and who looks free in one gets the jobs of all.
  // The few dispatchers that are near a worker tell each other what they have there: that is
  // others' work as of now.
  void peers(std::string_view id, double jobs) {
    heard_peers_ = now_;
    auto it = workers_.find(id);
    if (it != workers_.end() && std::exchange(it->second.peers, jobs) > jobs)
      offer(it->second);
  }
  bool told(const Worker& w) const { return w.peers && now_ - heard_peers_ < kPeersLast; }

  void see_others(Worker& w, double slots) { w.others = std::max(0.0, slots), w.others_at = now_; }

  void watch(Job& job) {
    // Its client may be the slow one, and of a body that passes through there is only one: no
    // doubt, no copy.
    if (job.request.streamed)
      return;
    bool lagging = false;
    bool urgent = false;
    Duration next = seconds(1);
    for (std::size_t i = 0; i < job.attempts.size(); ++i) {
      if (!job.attempts[i].open)
        continue;
      Worker& w = *job.attempts[i].worker;
      Outstanding* o = find(w, job.request.id, static_cast<int>(i));
      if (!o)
        continue;
      Duration run = run_time(w, job);
      Duration since = now_ - o->started.value_or(o->sent);
      bool waits = set_.reports_job_start && !o->started;
      bool silent = o->started && ms(set_.progress_interval) > 0 &&
                    now_ - o->heard > 2.1 * set_.progress_interval;
      bool overdue = !waits && since > kOverdue * run + Duration(40);
      if (waits)
        see_others(w, std::max(others(w), w.slots - w.started_slots));
      if (silent || overdue || (waits && now_ - w.heard > Duration(seconds(1))))
        suspect(w, silent ? 0.5 : 0.15);
      lagging |= waits || silent || overdue;
      urgent |= silent || overdue || (waits && since > kCopyShare * (job.limit - run - o->sent));
      next = std::min(next, std::max(Duration(200), run));
    }
    if (!any_open(job))
      return;
    if (waiting_in_vain(job))
      return answer_due(job);
    arm(now_ + next, DueKind::Watch, job.request.id);
    // A second copy, where effects allow it, pays when another worker can still be in time. In a
    // drawn fleet one is all: where none of two starts, queues are long, and cancelled copies may
    // run on.
    auto counts = draws() ? &Attempt::may_have_run : &Attempt::open;
    if (lagging && job.cls.idempotency != Idempotency::NonIdempotent && set_.hedging_allowed &&
        std::ranges::count(job.attempts, true, counts) < 2 && extra_allowed(true)) {
      if (Worker* w = choose(job); w && (urgent || has_room(*w, job)))
        send(job, *w);
    }
  }

  // Still queued when even a start now would end late, and late is worth nothing: cancelled, so
  // that those behind it move up. Part of hold: a refusal after the sending. Without a hint nobody
  // can tell.
  bool waiting_in_vain(const Job& job) {
    bool gives_up = set_.reports_job_start && set_.cancellation_allowed &&
                    job.cls.late_weight <= 0 && job.cost_hint > 0;
    return gives_up && now_ >= last_chance(job) &&
           std::ranges::none_of(job.attempts, &Attempt::started);
  }

  bool any_open(const Job& job) const { return std::ranges::any_of(job.attempts, &Attempt::open); }

  // ---- Health from symptoms ----

  double doubt(const Worker& w) const {
    if (w.doubt <= 0)
      return 0;
    if (w.doubt >= kDown)
      return w.doubt;  // does not fade by itself: a trial must succeed
    return w.doubt / (1 + (now_ - w.doubt_at) / kDoubtHalfLife);
  }

  // Slowness and waiting alone never make a worker down where a probe can tell: being busy looks
  // the same.
  void add_doubt(Worker& w, double amount, const char* symptom, double most = 2 * kDown) {
    double before = doubt(w);
    if (before >= most)
      return;
    w.doubt = std::min(most, before + amount);
    w.doubt_at = now_;
    if (before < kDown && w.doubt >= kDown) {
      log("worker " + w.id + " taken as down: " + symptom);
      w.trial_gap = kTrialGap;
      put_off_trial(w);
      // One lost connection is not a lost worker: it may show life at once, but not each time.
      if (set_.health_checks_allowed && now_ - w.down_at > kDownAgain)
        probe(w);
      w.down_at = now_;
    }
  }

  void suspect(Worker& w, double amount) {
    if (set_.health_checks_allowed && now_ - w.reported_at > Duration(500))
      probe(w);
    add_doubt(w, amount, "slow or silent", set_.health_checks_allowed ? 0.9 * kDown : 2 * kDown);
  }

  void alive(Worker& w) {
    w.heard = now_;
    if (w.doubt <= 0)
      return;
    if (doubt(w) >= kDown) {
      log("worker " + w.id + " shows life");
      // Back from silence: cold until shown otherwise.
      if (warmth(w) >= 1 && now_ - w.down_at >= kTrialGap / 2)
        w.cold_since = now_;
    }
    w.doubt = 0.3 * std::min(doubt(w), kDown);
    w.doubt_at = now_;
    w.trial_gap = kTrialGap;
  }

  void put_off_trial(Worker& w) {
    w.trial_at = now_ + w.trial_gap;
    w.trial_gap = std::min(2 * w.trial_gap, 4 * kTrialGap);
    if (set_.health_checks_allowed)
      arm(w.trial_at, DueKind::Trials, 0);
  }

  void probe(Worker& w) {
    if (std::exchange(w.probe_out, true))
      return;
    w.reported_at = now_;
    out_->push_back({.kind = ActionKind::HealthCheck, .worker = w.id});
  }

  // Reports come only with probes: about one probe for each job goes to the worker heard of least
  // recently.
  void look_around() {
    Worker* oldest = nullptr;
    for (Worker* w : ready_) {
      if (!w->probe_out && doubt(*w) < kDown && (!oldest || w->reported_at < oldest->reported_at))
        oldest = w;
    }
    if (oldest && set_.health_checks_allowed && now_ - oldest->reported_at > Duration(500))
      probe(*oldest);
  }

  void trials() {
    for (Worker* w : ready_) {
      if (doubt(*w) >= kDown && now_ >= w->trial_at && !w->probe_out) {
        probe(*w);
        put_off_trial(*w);
      }
    }
  }

  void probe_result(std::string_view id, Outcome outcome, const LoadReport& r) {
    auto it = workers_.find(id);
    if (it == workers_.end())
      return;
    Worker& w = it->second;
    w.probe_out = false;
    if (outcome == Outcome::Success) {
      alive(w);
      report(w, r, false);
      asked_answers(w, true);
      offer(w);
    } else if (outcome != Outcome::Rejected && outcome != Outcome::NotSent &&
               now_ - w.heard >= seconds(1)) {
      add_doubt(w, 0.6, "probe failed");  // heard of lately it is but busy: a deep probe may wait
    }
    if (!w.askers.empty())
      asked_answers(w, outcome == Outcome::Rejected);  // only too many probes there
  }

  void report(Worker& w, const LoadReport& r, bool with_end) {
    // EXCEPTION failing: who fails fast looks free, and each dispatcher would find it out with jobs
    // of its own. Its reports tell: one that fails far more of what it could serve than others do
    // is left alone a while.
    double errors = r.fail_rate.value_or(NAN) * (mean_slot_time(w) / Duration(seconds(1)));
    if (errors > kErrorShare + 2 * usual_errors_)
      w.full_until = std::max(w.full_until, now_ + kErrorGap);
    if (errors >= 0)
      usual_errors_ += 0.02 * (std::min(1.0, errors) - usual_errors_);
    if (!r.free_slots || !std::isfinite(*r.free_slots))
      return;
    double free = std::max(0.0, *r.free_slots);
    w.slots = std::max({w.slots, w.started_slots, free < 1e4 ? std::round(free) : 0});
    most_slots_ = std::max(most_slots_, w.slots);
    w.slots_seen = true;
    // A report that comes with the end of a job was taken while that job, and others of ours that
    // have ended since, still ran: they must not count as others' work.
    double ours =
        std::max(w.own_slots, with_end && now_ - w.peak_at < kReportAge ? w.peak_slots : 0);
    double theirs = w.slots - free - std::min(ours, w.slots);
    // Free slots are of a moment that has passed, the busy share of a span: what lasts shows in it.
    if (r.busy && std::isfinite(*r.busy)) {
      theirs +=
          kLasting * (w.slots * std::clamp(*r.busy, 0.0, 1.0) - std::min(ours, w.slots) - theirs);
    }
    double waiting = r.inflight ? *r.inflight - ours : r.queue ? theirs + *r.queue : theirs;
    see_others(w, std::isfinite(waiting) ? std::max(theirs, waiting) : theirs);
    usual_load_ += 0.05 * ((w.others + w.own_slots) / w.slots - usual_load_);
  }

  // ---- The end of an attempt and of a job ----

  void attempt_end(const AttemptEnd& e) {
    auto wit = workers_.find(e.worker);
    if (wit != workers_.end())
      settle(wit->second, e);
    auto it = jobs_.find(e.id);
    if (it != jobs_.end()) {
      Job& job = it->second;
      // Success, failure, time-out, broken, withdrawn: it may have run. The others prove that it
      // never did, but once only: of an open attempt, by its own worker, with no note of a start or
      // progress before.
      Attempt* a = attempt_of(job, e.attempt);
      bool never_ran = e.outcome == Outcome::Rejected || e.outcome == Outcome::ConnectFailed ||
                       e.outcome == Outcome::NotSent;
      if (a && !never_ran)
        a->may_have_run = true;
      if (a && a->open && a->worker->id == e.worker) {
        a->open = false;
        if (never_ran && !a->started)
          a->may_have_run = false;
        auto extra = e.attempt > 0 ? std::ranges::find(extras_, a->sent) : extras_.end();
        if (e.outcome == Outcome::NotSent && extra != extras_.end())
          extras_.erase(extra);
      }
      if (e.final) {
        forget(job);
      } else if (!any_open(job)) {
        go_on(job);
      }
    }
    if (wit != workers_.end())
      offer(wit->second);
  }

  void settle(Worker& w, const AttemptEnd& e) {
    Outstanding* o = find(w, e.id, e.attempt);
    if (!o)
      return;
    Shun& shun = w.shunned[o->job_class];
    if (e.outcome == Outcome::Success) {
      auto job = jobs_.find(e.id);
      bool paced =
          job == jobs_.end() || !job->second.request.streamed;  // by the worker, not by the client
      double work = paced ? learn_work(w, *o) : o->work;
      if (o->started || (!set_.reports_job_start && paced))
        learn_speed(w, *o, work);
      alive(w);
      shun = {.served = shun.served + 1};
    }
    if (e.outcome == Outcome::ConnectFailed)
      add_doubt(w, 1.0, "unreachable");
    if (e.outcome == Outcome::ConnectionReset)
      add_doubt(w, 1.0, "connection broken");
    // EXCEPTION shun: a worker that failed a job of one class, and not by chance, is left alone by
    // that class, longer each time until it serves one. It may serve the others. May hurt when
    // errors are many.
    if (e.outcome == Outcome::Failure && std::exchange(shun.served, 0) < kTrusted) {
      shun.gap = std::clamp(2 * shun.gap, kDoubtHalfLife, 8 * kDoubtHalfLife);
      shun.until = now_ + shun.gap;
    }
    if (e.outcome == Outcome::TimedOut)
      add_doubt(w, 0.5, "time-out");
    if (e.outcome == Outcome::Rejected) {
      if (w.out.size() == 1 && o->slots > 1 && others(w) < 0.5)
        w.cannot_slots = o->slots;
      // A full worker is left alone until a slot may have come free, longer each time it turns us
      // away again.
      Duration slot_free = mean_slot_time(w);
      w.full_gap = std::clamp(2 * w.full_gap, slot_free, 8 * slot_free);
      w.full_until = now_ + w.full_gap;
      see_others(w, w.slots);
    }
    if (now_ - w.peak_at >= kReportAge || w.own_slots >= w.peak_slots) {
      w.peak_slots = w.own_slots;
      w.peak_at = now_;
    }
    w.own_work -= o->work * o->slots;
    w.own_slots -= o->slots;
    w.own_memory -= o->memory;
    if (o->started)
      w.started_slots -= o->slots;
    w.out.erase(w.out.begin() + (o - w.out.data()));
    if (w.out.empty())
      w.own_work = w.own_slots = w.own_memory = w.started_slots = 0;
    report(w, e.report, true);
  }

  Duration mean_slot_time(const Worker& w) const {
    return Duration(mean_work_ / (w.slots * w.speed));
  }

  void learn_speed(Worker& w, const Outstanding& o, double work) {
    double ran = ms(now_ - o.started.value_or(o.sent));
    if (ran <= 0)
      return;
    w.speed_work = kSpeedMemory * w.speed_work + work;
    w.speed_time = kSpeedMemory * w.speed_time + ran * warmth(w);
    if (w.cold_since && w.cold_since != w.online_since && work / ran > 0.8 * w.speed)
      w.cold_since.reset();
    w.speed = std::max(0.01, (w.speed_work + mean_work_ * w.speed) / (w.speed_time + mean_work_));
  }

  // Without hints only the ends tell what a class costs, in units of the mean worker's speed: work
  // and speeds learned from each other would else drift together. What the job has cost, as far as
  // is known now.
  double learn_work(const Worker& w, const Outstanding& o) {
    auto it = jobs_.find(o.id);
    if (it == jobs_.end() || (!o.started && set_.reports_job_start))
      return o.work;
    double seen =
        std::max(ms(now_ - o.started.value_or(o.sent)), ms(set_.tick)) * w.speed * warmth(w);
    ClassStats& stats = class_stats_.at(it->second.request.job_class);
    if (it->second.cost_hint <= 0)
      return stats.learn(seen / mean_speed_);
    if (o.started && seen > 0)
      stats.hints.learn(it->second.cost_hint, seen);
    return o.work;
  }

  // Nothing of it is out any more and the client still waits: again where effects allow, else its
  // answer.
  void go_on(Job& job) {
    if (std::ranges::none_of(ready_, [&](Worker* w) { return may_send(*w, job); }))
      return answer_due(job);
    if (!place(job))
      hold(job);
  }

  // Rule of the final answer: a timer ends what is still open so, shortly before the client gives
  // up.
  void answer_due(Job& job) { finish(job, refusable(job) ? ActionKind::Reject : ActionKind::Fail); }

  void finish(Job& job, ActionKind answer) {
    Duration advice = answer == ActionKind::Reject ? set_.max_retry_after : Duration(0);
    out_->push_back({.kind = answer, .id = job.request.id, .retry_after = advice});
    forget(job);
  }

  void forget(Job& job) {
    unhold(job);
    cancel_open(job, false);
    jobs_.erase(job.request.id);
  }

  void gone(RequestId id) {
    if (auto it = jobs_.find(id); it != jobs_.end())
      forget(it->second);
  }

  // ---- Timers and the log ----

  void arm(Time at, DueKind kind, RequestId id) {
    dues_.push({at, ++order_, kind, id});
    if (!armed_ || at < *armed_)
      set_timer(at);
  }

  // Whole milliseconds, rounded up: a caller's clock may be coarser and must not wake us just too
  // early.
  void set_timer(Time at) {
    armed_ = Time(Duration(std::ceil(ms(at.time_since_epoch()))));
    out_->push_back({.kind = ActionKind::SetTimer, .at = *armed_});
  }

  void timer() {
    while (!dues_.empty() && dues_.top().at <= now_) {
      Due due = dues_.top();
      dues_.pop();
      if (due.kind == DueKind::Subscribe && due.id == ask_ && !subscribed_)
        subscribe();
      if (due.kind == DueKind::Trials)
        trials();
      if (due.kind == DueKind::Held) {
        place_held();
        sweeping_ = !held_.empty();
        if (sweeping_)
          arm(now_ + kHeldEvery, DueKind::Held, 0);
      }
      auto it = jobs_.find(due.id);
      if (it == jobs_.end())
        continue;
      if (due.kind == DueKind::Answer && now_ >= it->second.ends) {
        answer_due(it->second);
      } else if (due.kind == DueKind::Ask && it->second.awaited > 0) {
        asked_enough(it->second);
      } else if (due.kind == DueKind::Limit) {
        limit_due(it->second);
      } else if (due.kind == DueKind::Watch) {
        watch(it->second);
      }
    }
    if (armed_ && *armed_ > now_)
      return;
    armed_.reset();
    if (!dues_.empty())
      set_timer(dues_.top().at);
  }

  void log(std::string text) {
    if (++logged_ <= kLogLines)
      out_->push_back({.kind = ActionKind::Log, .text = std::move(text)});
  }

  Settings set_;
  Time now_;
  Time begun_;
  std::vector<Action>* out_;
  std::mt19937_64 random_;
  std::unordered_map<std::string, Worker, NameHash, std::equal_to<>>
      workers_;  // cut_pools() sets the order
  std::vector<Worker*> ready_;
  Pool pools_[2][2];                         // [in another zone][short]
  std::unordered_map<RequestId, Job> jobs_;  // never iterated for a decision
  std::set<std::pair<Turn, RequestId>> held_;
  std::deque<Time> taken_;
  std::deque<Time> extras_;  // requests, and attempts beyond a request's first, of the last window
  std::map<std::size_t, ClassStats> class_stats_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> dues_;
  std::optional<Time> armed_;
  std::uint64_t order_ = 0;
  std::vector<std::pair<double, double>> releases_;
  std::vector<Tenant> tenants_;
  double all_quotas_ = 0;
  double traffic_ = 0;
  double traffic_span_ = 0;
  Recent recent_;
  Recent asked_;
  Recent copies_;  // the latter two: all requests, and second copies
  CostHistogram hints_;
  double cutoff_ = 0;
  double short_share_ = 0.5;
  double mean_work_ = 100;
  double mean_worth_ = 0;
  double usual_errors_ = 0;
  double usual_load_ = 0;
  double mean_speed_ = 1;
  double most_slots_ = kGuessedSlots;
  double prompt_ =
      1;  // of the jobs of late, those that started at once, as far as start notes tell
  Time cutoff_due_{};
  Time traffic_at_{};
  Time heard_peers_{Duration(-1e12)};
  bool subscribed_ = false;
  bool sweeping_ = false;
  std::uint64_t ask_ = 0;  // the latest call or wait for the list; its timer alone counts
  Duration ask_backoff_{0};
  int logged_ = 0;
};

// ---- The interface ----

Scheduler::Scheduler(const Settings& settings, Time now, std::vector<Action>& out)
    : parts_(std::make_unique<Parts>(settings, now, out)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::on_endpoint_update(Time now, EndpointUpdateKind kind,
                                   const std::vector<WorkerEntry>& entries, Actions& out) {
  parts_->at(now, out).list(kind, entries);
}
void Scheduler::on_settings(const Settings& settings) {
  parts_->apply_settings(settings);
}
void Scheduler::on_request(Time now, const Request& r, Actions& out) {
  parts_->at(now, out).request(r);
}
void Scheduler::on_job_event(Time now, RequestId id, int attempt, std::string_view w,
                             JobEventKind k, Actions& out) {
  parts_->at(now, out).note(id, attempt, w, k);
}
void Scheduler::on_attempt_end(Time t, const AttemptEnd& e, Actions& o) {
  parts_->at(t, o).attempt_end(e);
}
void Scheduler::on_health_check_result(Time now, std::string_view w, Outcome o, const LoadReport& r,
                                       Actions& out) {
  parts_->at(now, out).probe_result(w, o, r);
}
void Scheduler::on_load_gossip(Time t, std::string_view w, double n, Actions& o) {
  parts_->at(t, o).peers(w, n);
}
void Scheduler::on_client_disconnected(Time now, RequestId id, Actions& out) {
  parts_->at(now, out).gone(id);
}
void Scheduler::on_timer(Time now, Actions& out) {
  parts_->at(now, out).timer();
}
double Scheduler::cutoff_ms() const {
  return parts_->cutoff_;
}
bool Scheduler::in_short_pool(std::string_view worker) const {
  auto it = parts_->workers_.find(worker);
  return it != parts_->workers_.end() && it->second.short_pool;
}
std::size_t Scheduler::open_requests() const {
  return parts_->jobs_.size();
}
bool Scheduler::avoids(std::string_view worker) const {
  auto it = parts_->workers_.find(worker);
  return it != parts_->workers_.end() && (!it->second.ready || parts_->doubt(it->second) >= kDown);
}

}  // namespace dispatcher::scheduling
