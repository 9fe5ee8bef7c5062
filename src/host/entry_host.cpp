#include "host/entry_host.h"

#include "core/deflate_func.h"
#include "core/hash_func.h"
#include "host/listener_limits.h"
#include "log/log_func.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <fstream>
#include <random>
#include <unistd.h>

namespace cove {

namespace http = boost::beast::http;

namespace {

constexpr milliseconds lookup_ttl{2000}; ///< after that, clients of a stopped host look up again
constexpr std::size_t max_lookup_addresses = 64; ///< in one look-up answer
/// Hosts that start together register within this time; a list read after it contains all of them,
/// so that each host can decide which hosts follow the store.
constexpr milliseconds host_list_delay{700};
/// Time after the start before this host decides whether it follows the store; until then it does
/// not know the other hosts of its zone.
constexpr milliseconds follow_decision_delay{1000};
constexpr int followers_per_zone = 2; ///< two, so that no change is missed if one fails
/// Pause of the first follower of a zone between two watches of targets, as a fraction of the time
/// within which a leaving target must be out of use.
constexpr double leader_batch_fraction = 0.125;
/// The same for the second one, which only has to notice what the first one misses.
constexpr double standby_batch_fraction = 0.33;
/// Fraction of the longest silence of the store after which it is noticed; the rest is for a new
/// connection and for telling the zone.
constexpr double noticed_fraction = 0.75;
constexpr milliseconds store_retry_delay{500}; ///< multiplied by the number of failures so far
/// Mean time between the hosts that write their addresses again after the store has lost them.
constexpr milliseconds registration_interval{10};
constexpr milliseconds share_update_interval{
    500}; ///< short, so that each step is too small to notice
/// Fraction of the grace time after which a leaving host stops accepting connections; the look-up
/// answers that clients have cached have expired by then.
constexpr double stop_accept_fraction = 0.4;
/// Fraction of the grace time after which every request is answered, even if its target is not
/// done.
constexpr double last_answer_fraction = 0.9;
/// Fraction of the grace time after which the process exits even if requests are still open.
constexpr double exit_fraction = 0.97;
constexpr milliseconds exit_check_interval{20};
/// Room in the head of a relayed request for the fields that the other host adds.
constexpr std::uint32_t relay_header_bytes = 1024;
/// Part of the memory that buffers may take, less what the process needs itself.
constexpr std::uint64_t buffer_memory_divisor = 2;
constexpr std::uint64_t min_buffer_divisor = 8; ///< buffers get at least this part of the memory
/// A client gives up a host that has not read its request after a second; this is a warning before.
constexpr milliseconds reported_delay{200};
/// `loop_late` lines cover the work since the last note.
constexpr milliseconds work_note_interval{1000};

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

host_report self_report(host_settings const& settings)
{
    host_report self;
    self.name = node_id(settings.name);
    self.zone = zone_id(settings.zone);
    self.ip = settings.ip;
    self.client_address = settings.client_address;
    // After a restart, a host of the same name must report a higher incarnation. If the clock was
    // set back in between, other zones accept its lower incarnation as speaker only once the old
    // one has been silent for the takeover timeout, and the hosts of its own zone ignore its
    // reports.
    self.incarnation =
        host_incarnation(static_cast<std::uint64_t>(read_clocks().wall.time_since_epoch().count()));
    return self;
}

traffic_settings make_traffic_settings(host_settings const& settings)
{
    return {
        node_id(settings.name), zone_id(settings.zone),
        settings.regions,       {settings.retry_ratio, settings.retry_window, settings.retry_slack},
        settings.shift_cap,     settings.crash_retention};
}

/** @return the resident memory of this process in bytes, 0 if unknown. */
std::uint64_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

/** @return bytes that all buffers may take together. */
std::uint64_t buffer_memory(host_settings const& settings)
{
    constexpr std::uint64_t bytes_per_mb = 1 << 20;
    std::uint64_t const all = static_cast<std::uint64_t>(settings.memory_mb) * bytes_per_mb;
    std::uint64_t const least = all / min_buffer_divisor;
    std::uint64_t const half = all / buffer_memory_divisor;
    return std::max(least, half - std::min(half, resident_bytes()));
}

exchange_limits answer_limits(std::shared_ptr<memory_budget> memory)
{
    exchange_limits limits;
    limits.memory = std::move(memory);
    return limits;
}

/** @return the processor time that this process has used so far. */
microseconds process_cpu_time()
{
    timespec used{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::duration_cast<microseconds>(seconds(used.tv_sec) +
                                                    std::chrono::nanoseconds(used.tv_nsec));
}

std::string to_text_ms(microseconds time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

milliseconds fraction_of(milliseconds whole, double fraction)
{
    return milliseconds(static_cast<std::int64_t>(fraction * static_cast<double>(whole.count())));
}

} // namespace

entry_host::entry_host(boost::asio::io_context& loop, loop_timers& timers, host_settings settings,
                       host_wire_format wire, settings_source reload_settings,
                       std::function<store_calls(store_hooks)> const& connect_store)
    : loop_(loop), timers_(timers), settings_(std::move(settings)), wire_(std::move(wire)),
      reload_settings_(std::move(reload_settings)),
      answers_(std::make_shared<memory_budget>(buffer_memory(settings_))),
      quotas_(settings_, log_, random_seed(), read_clocks().mono),
      forwarder_(loop, timers, wire_.names, make_traffic_settings(settings_),
                 answer_limits(answers_), log_, monitor_),
      clients_(loop, timers,
               {[this](call_id call, http_request request) {
                    forwarder_.on_request(call, std::move(request));
                },
                [this](call_id call) { forwarder_.on_client_disconnected(call); },
                [this](milliseconds time) { report_unread(time); },
                [this](std::string const& reason) {
                    log_.event("accept_failed", {{"reason", reason}}, read_clocks().mono);
                },
                [this](http_request const& request) {
                    return forwarder_.may_run_concurrently(request);
                }}),
      readiness_(
          loop, timers,
          {[this](call_id call, http_request const& request) { answer_readiness(call, request); },
           [](call_id) {}}),
      directory_(
          loop, timers,
          {[this](call_id call, http_request const& request) { answer_lookup(call, request); },
           [](call_id) {}}),
      relays_(loop, timers,
              {[this](call_id call, http_request request) {
                   forwarder_.on_relayed_request(call, std::move(request));
               },
               [this](call_id call) { forwarder_.on_relay_disconnected(call); }}),
      metrics_(
          loop, timers,
          {[this](call_id call, http_request const& request) { answer_metrics(call, request); },
           [](call_id) {}}),
      freshness_(
          node_id(settings_.name), settings_.ip, settings_.key_withdrawal_max, random_seed(), log_,
          {[this](std::string const& ip, host_message const& message) { transmit({ip}, message); },
           [this] { config_follower_.watch_without_wait(); }}),
      view_(self_report(settings_), random_seed()),
      replication_(settings_.ip, zone_id(settings_.zone), view_, copies(), random_seed()),
      transport_(loop, settings_.peer_port,
                 [this](std::string const& bytes) { on_message(bytes); }),
      store_(observe_reachability(connect_store(hooks()))),
      config_follower_(timers, store_.config, random_seed()),
      target_follower_(timers, store_.targets, random_seed()),
      evacuation_follower_(timers, store_.evacuations, random_seed()),
      signals_(loop, SIGTERM, SIGINT, SIGHUP), targets_(settings_.heartbeat, settings_.drain),
      random_(random_seed()), shares_(settings_.regions, settings_.shift_cap, read_clocks().mono),
      started_(read_clocks().mono), quota_division_(node_id(settings_.name))
{
    timers_.on_delay([this](microseconds delay) { report_delay(delay); });
    forwarder_.attach(clients_, relays_);
    forwarder_.limit(quotas_);
    forwarder_.set_freshness([this] { return freshness_.fresh(); });
    forwarder_.set_config_description([this] { return describe_config(); });
    forwarder_.on_newer_config(
        [this](node_id const& host, generation version) { note_newer_config(host, version); });
    clients_.share_memory(answers_);
    relays_.share_memory(answers_);
    for (http_server* const each : {&readiness_, &directory_, &metrics_}) {
        each->share_memory(answers_);
        each->set_limits(bodiless_limits());
    }
    connection_bounds const bounds =
        divide_descriptors(usable_descriptors(settings_.max_descriptors));
    clients_.set_max_connections(bounds.clients);
    relays_.set_max_connections(bounds.relays);
    directory_.set_max_connections(bounds.lookups);
    readiness_.set_max_connections(bounds.operators);
    metrics_.set_max_connections(bounds.operators);
    forwarder_.on_links_changed([this](bool) {
        // Not at once, as the reducer's effects are still being carried out.
        timers_.once(read_clocks().mono, [this] { report_peers(read_clocks().mono); });
    });
    forwarder_.on_crashes(
        [this](std::vector<crash_record> const& records) { spread_crashes(records); });
}

store_hooks entry_host::hooks()
{
    store_hooks out;
    out.config = [this](config_document const& document) {
        freshness_.store_has(document.config.version);
        mono_time const now = read_clocks().mono;
        heard_configs_.hear(document.config.version, "store", now);
        if (on_config(document, deflate_text(document.text), {"store", "", now})) {
            send(replication_.config_from_store(read_clocks().mono));
        }
    };
    out.targets_listed = [this](target_snapshot const& list) {
        if (apply(list, "store")) {
            replication_.targets_listed(list.at);
        }
    };
    out.targets_changed = [this](target_changes const& changes) {
        if (apply(changes, "store")) {
            send(replication_.targets_from_store(changes, read_clocks().mono));
        }
    };
    out.evacuations_listed = [this](evacuation_snapshot const& list) {
        if (apply(list, "store", "")) {
            replication_.evacuations_listed(list.at);
        }
    };
    out.evacuations_changed = [this](std::vector<std::pair<zone_id, bool>> const& changes,
                                     store_position at) {
        if (evacuations_.change(changes, at)) {
            if (!changes.empty()) {
                apply_evacuations("store", "");
            }
            send(replication_.evacuations_from_store(!changes.empty(), read_clocks().mono));
        }
    };
    out.era_began = [this](store_era era) { enter_era(era, "store"); };
    out.hosts_listed = [this](std::vector<host_record> const& hosts) {
        hosts_listed_ = true;
        for (host_record const& host : hosts) {
            view_.add_contact(host.name, host.zone, host.ip, read_clocks().mono);
        }
    };
    out.answer_processed = [this](microseconds time) { monitor_.add_work("store_answer", time); };
    out.malformed = [this](std::string const& place, std::string const& reason) {
        log_.event("malformed_object", {{"place", place}, {"reason", reason}}, read_clocks().mono);
    };
    return out;
}

/** @return access to this host's copies, for its peers. */
replica_access entry_host::copies()
{
    replica_access out;
    out.versions = [this] { return versions(); };
    out.config = [this] { return config_; };
    out.targets = [this]() -> std::optional<target_snapshot> {
        if (!targets_known_) {
            return std::nullopt;
        }
        return target_snapshot{targets_.listed_entries(), targets_.position(),
                               targets_.held(read_clocks().mono)};
    };
    out.evacuations = [this] {
        return evacuation_snapshot{evacuations_.listed(), evacuations_.position()};
    };
    out.doubt_store = [this](pull_kind kind) { doubt_store(kind); };
    out.log = [this](std::string const& name, log_fields fields) {
        log_.event(name, std::move(fields), read_clocks().mono);
    };
    return out;
}

/**
 * Logs when the store becomes unreachable or reachable again; in the latter case, the list of
 * targets starts its grace period.
 */
store_calls entry_host::observe_reachability(store_calls calls)
{
    auto const observe = [this](follow_calls& of_kind, follower const& subject,
                                std::string const& kind) {
        of_kind.reachable = [this, &subject, kind](bool up, std::string const& detail) {
            mono_time const now = read_clocks().mono;
            log_.event(up ? "store_regained" : "store_lost",
                       {{"kind", kind},
                        {"silent_ms", to_text_ms(now - subject.last_answer())},
                        {"detail", detail}},
                       now);
            if (up && kind == "targets") {
                targets_.store_recovered(now);
            }
        };
        of_kind.proved = [this, kind](boot_time at, store_era) { store_proofs_[kind] = at; };
        of_kind.doubted = [this, &subject, kind](std::string const& evidence) {
            mono_time const now = read_clocks().mono;
            log_.event("store_doubted",
                       {{"kind", kind},
                        {"silent_ms", to_text_ms(now - subject.last_answer())},
                        {"evidence", evidence}},
                       now);
        };
    };
    observe(calls.config, config_follower_, "config");
    calls.config.proved = [this](boot_time at, store_era era) {
        store_proofs_["config"] = at;
        freshness_.store_proved(at, era);
    };
    observe(calls.targets, target_follower_, "targets");
    observe(calls.evacuations, evacuation_follower_, "evacuations");
    return calls;
}

result<void> entry_host::start()
{
    for (std::string const& seed : settings_.seeds) {
        if (auto const where = parse_address(seed)) {
            view_.add_seed(where->ip);
        }
    }
    auto started = transport_.start(settings_.ip);
    if (started) {
        started = relays_.start(settings_.ip + ":" + std::to_string(settings_.relay_port));
    }
    if (started) {
        started = readiness_.start(settings_.readiness_address);
    }
    if (started) {
        started = directory_.start(settings_.directory_address);
    }
    if (started && !settings_.metrics_address.empty()) {
        started = metrics_.start(settings_.metrics_address);
    }
    if (started) {
        started = clients_.start(settings_.client_address);
    }
    if (!started) {
        return started;
    }
    log_event("started", {{"zone", settings_.zone}, {"clients", settings_.client_address}});
    watch_signals();
    // When all hosts start together, only those that follow the store list its objects; the others
    // pull them from these. 300 hosts listing 3,000 targets each cost more than all other
    // control traffic of a day.
    bool const list_now = !settings_.first_start;
    config_follower_.start(list_now);
    target_follower_.start(list_now, read_freshness::may_be_stale);
    evacuation_follower_.start(list_now);
    registered_ = !settings_.first_start;
    register_self(0);
    report_peers(read_clocks().mono);
    timers_.every(host_view::tick_interval, [this] { tick(); });
    timers_.every(share_update_interval, [this] { update_zone_shares(read_clocks().mono); });
    return {};
}

/** Asks the store at once, over new connections, for data that peers have and this host lacks. */
void entry_host::doubt_store(pull_kind kind)
{
    std::string const evidence = "reported by a peer";
    if (kind == pull_kind::targets) {
        target_follower_.doubt(evidence);
        return;
    }
    config_follower_.doubt(evidence);
    evacuation_follower_.doubt(evidence);
}

/** Lets only a few hosts of each zone follow the store, because each call to it is charged. */
void entry_host::update_store_following(mono_time now)
{
    if (now < started_ + follow_decision_delay) {
        return;
    }
    if (ready()) {
        config_follower_.delivered_by_peers();
        target_follower_.delivered_by_peers();
        evacuation_follower_.delivered_by_peers();
    }
    follows_store_ = view_.follows_store(followers_per_zone, now);
    bool const leads = view_.follows_store(1, now);
    target_follower_.set_batch_delay(
        fraction_of(settings_.drain, leads ? leader_batch_fraction : standby_batch_fraction));
    for (follower* const each : {&config_follower_, &target_follower_, &evacuation_follower_}) {
        // The first follower of the zone notices in time that the store has fallen silent.
        each->set_silence_max(leads ? fraction_of(settings_.store_silence_max, noticed_fraction)
                                    : watch_timing::default_silence_max);
    }
    config_follower_.set_active(follows_store_);
    target_follower_.set_active(follows_store_);
    evacuation_follower_.set_active(follows_store_);
}

/**
 * Takes note that the store names a later era. If it is not the first one that this host hears of,
 * the store has come back from an older copy: what follows it lists again, and this host's address
 * is written again.
 * @param source for the log.
 */
void entry_host::enter_era(store_era era, std::string const& source)
{
    if (era <= era_) {
        return;
    }
    freshness_.enter_era(era);
    bool const went_back = era_ != store_era{};
    era_ = era;
    if (!went_back) {
        return;
    }
    ++store_returns_;
    mono_time const now = read_clocks().mono;
    log_.event("store_went_back", {{"era", std::to_string(era.value)}, {"source", source}}, now);
    // Not at once, as the answer that named the era is still being processed.
    timers_.once(now, [this] {
        for (follower* const each : {&config_follower_, &target_follower_, &evacuation_follower_}) {
            each->enter_era(era_);
        }
    });
    auto const hosts = std::max<std::size_t>(1, directory_hosts_.size());
    auto const spread = registration_interval * static_cast<int>(hosts);
    auto const delay = random_below(random_, static_cast<std::uint64_t>(spread.count()));
    timers_.once(now + milliseconds(delay), [this] { register_self(0); });
}

void entry_host::register_self(int failures)
{
    if (host_call_pending_) {
        timers_.once(read_clocks().mono + store_retry_delay,
                     [this, failures] { register_self(failures); });
        return;
    }
    host_call_pending_ = true;
    host_record const self{node_id(settings_.name), zone_id(settings_.zone), settings_.ip};
    store_.register_host(self, registered_, [this, failures](bool done) {
        host_call_pending_ = false;
        if (done) {
            registered_ = true;
            if (!hosts_listed_) {
                timers_.once(started_ + host_list_delay, [this] { list_hosts(0); });
            }
            return;
        }
        retry_store_call("register_failed", failures + 1,
                         [this, failures] { register_self(failures + 1); });
    });
}

void entry_host::list_hosts(int failures)
{
    if (host_call_pending_) {
        timers_.once(read_clocks().mono + store_retry_delay,
                     [this, failures] { list_hosts(failures); });
        return;
    }
    host_call_pending_ = true;
    store_.list_hosts([this, failures](bool done) {
        host_call_pending_ = false;
        if (!done) {
            retry_store_call("list_hosts_failed", failures + 1,
                             [this, failures] { list_hosts(failures + 1); });
        }
    });
}

/** Logs a failed call to the store and retries it after a delay that grows with each failure. */
void entry_host::retry_store_call(std::string const& failed, int failures,
                                  std::function<void()> call)
{
    mono_time const now = read_clocks().mono;
    log_.event(failed, {{"failures", std::to_string(failures)}}, now);
    timers_.once(now + store_retry_delay * failures, std::move(call));
}

/** Logs that the loop is so late that clients may notice, and what occupied it. */
void entry_host::report_delay(microseconds delay)
{
    monitor_.add_delay(delay);
    mono_time const now = read_clocks().mono;
    bool const late = delay >= reported_delay;
    if (!late && now < work_noted_ + work_note_interval) {
        return;
    }
    auto const longest = monitor_.take_longest();
    microseconds const cpu = process_cpu_time();
    if (late) {
        log_.event("loop_late",
                   {{"late_ms", to_text_ms(delay)},
                    {"since_ms", to_text_ms(now - work_noted_)},
                    {"cpu_ms", to_text_ms(cpu - cpu_noted_)},
                    {"longest_work", longest.kind},
                    {"longest_ms", to_text_ms(longest.time)},
                    {"open", std::to_string(forwarder_.open_requests())},
                    {"queued", std::to_string(forwarder_.queued_requests())}},
                   now);
    }
    cpu_noted_ = cpu;
    work_noted_ = now;
}

void entry_host::report_unread(milliseconds time)
{
    monitor_.add_unread(time);
    if (time >= reported_delay) {
        log_.event("request_read_late", {{"unread_ms", std::to_string(time.count())}},
                   read_clocks().mono);
    }
}

void entry_host::watch_signals()
{
    signals_.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        }
        else {
            start_leaving();
        }
        watch_signals();
    });
}

/** Applies the settings that may change while the host runs: seeds, grace, crash retention. */
void entry_host::reload()
{
    auto const reloaded = reload_settings_();
    if (!reloaded) {
        log_event("settings_refused", {{"reason", to_string(reloaded.error())}});
        return;
    }
    for (std::string const& seed : reloaded->seeds) {
        if (auto const where = parse_address(seed)) {
            view_.add_seed(where->ip);
        }
    }
    settings_.seeds = reloaded->seeds;
    settings_.grace = reloaded->grace;
    settings_.crash_retention = reloaded->crash_retention;
    forwarder_.set_crash_retention(settings_.crash_retention);
    log_event("settings_taken", {{"seeds", std::to_string(reloaded->seeds.size())}});
}

/**
 * Planned stop: peers remove this host from look-up answers at once, each client connection closes
 * after the last response that it owes, requests get the time that is left, and the process exits
 * when no connection is left, at the latest shortly before the grace time ends.
 */
void entry_host::start_leaving()
{
    if (leaving_) {
        return;
    }
    leaving_ = true;
    mono_time const now = read_clocks().mono;
    log_open_sends("leaving");
    clients_.close_after_responses();
    relays_.close_after_responses();
    send(view_.announce_leaving(state(), now));
    timers_.once(now + fraction_of(settings_.grace, stop_accept_fraction),
                 [this] { finish_leaving(); });
    mono_time const answers_due = now + fraction_of(settings_.grace, last_answer_fraction);
    forwarder_.announce_stop(answers_due);
    timers_.once(answers_due, [this] {
        log_open_sends("answers_due");
        clients_.refuse_unfinished();
        relays_.refuse_unfinished();
    });
    mono_time const exit_at = now + fraction_of(settings_.grace, exit_fraction);
    timers_.once(exit_at, [this] { stop_process("grace_over"); });
}

void entry_host::log_open_sends(std::string const& event)
{
    log_event(event, {{"open_requests", std::to_string(forwarder_.open_requests())},
                      {"open_sends", std::to_string(forwarder_.open_sends())}});
}

/** Stops accepting, then exits as soon as no client connection is left. */
void entry_host::finish_leaving()
{
    clients_.stop_accepting();
    relays_.stop_accepting();
    directory_.stop_accepting();
    clients_.close_idle();
    directory_.close_idle();
    timers_.every(exit_check_interval, [this] {
        clients_.close_idle();
        relays_.close_idle();
        if (clients_.connections() == 0 && relays_.connections() == 0) {
            stop_process("done");
        }
    });
}

/** Ends the process. @param reason and what is still owed then go into the log. */
void entry_host::stop_process(std::string const& reason)
{
    server_debts const owed = clients_.debts() + relays_.debts();
    log_event("stopped", {{"reason", reason},
                          {"connections", std::to_string(owed.connections)},
                          {"unanswered", std::to_string(owed.unanswered)},
                          {"unsent_answers", std::to_string(owed.unsent)},
                          {"unacknowledged_bytes", std::to_string(owed.unacknowledged_bytes)},
                          {"open_requests", std::to_string(forwarder_.open_requests())},
                          {"open_sends", std::to_string(forwarder_.open_sends())}});
    loop_.stop();
}

/**
 * Activates a configuration unless it is older than the active one.
 * @param packed its text in zlib format.
 * @return whether it was activated.
 */
bool entry_host::on_config(config_document const& document, std::string packed,
                           config_delivery const& delivery)
{
    routing_config const& config = document.config;
    if (config_ && config.version <= config_->version) {
        return false;
    }
    config_ = packed_config{config.version, std::move(packed)};
    server_limits limits;
    limits.header_bytes = static_cast<std::uint32_t>(config.limits.header_bytes);
    limits.body_bytes = config.limits.body_bytes;
    limits.header_timeout = config.limits.header_timeout;
    limits.idle_timeout = config.limits.idle_timeout;
    clients_.set_limits(limits);
    server_limits relay_limits; // other hosts keep idle connections for as long as by default
    relay_limits.header_bytes = limits.header_bytes + relay_header_bytes;
    relay_limits.body_bytes = limits.body_bytes;
    relays_.set_limits(relay_limits);
    forwarder_.set_config(config);
    quotas_.set_config(config, read_clocks().mono);
    freshness_.config_applied(config.version);
    config_activated_ = read_clocks().mono;
    // Without the limit on lines: it tells at which version later requests were decided.
    log_event("config_in_force",
              {{"version", std::to_string(config.version.value)},
               {"routes", std::to_string(config.routes.size())},
               {"source", delivery.source},
               {"peer", delivery.peer},
               {"bytes", std::to_string(config_->bytes.size())},
               {"decode_ms", to_text_ms(config_activated_ - delivery.received)},
               {"newest_heard", std::to_string(heard_configs_.newest().value)},
               {"heard_ms", std::to_string(heard_configs_.age(config_activated_).count())},
               {"heard_from", heard_configs_.source()}});
    return true;
}

bool entry_host::ready() const
{
    return config_ && targets_known_;
}

log_fields entry_host::describe_config() const
{
    mono_time const now = read_clocks().mono;
    return {{"version", std::to_string(config_ ? config_->version.value : 0)},
            {"version_age_ms", to_text_ms(now - config_activated_)},
            {"newest_heard", std::to_string(heard_configs_.newest().value)},
            {"heard_ms", std::to_string(heard_configs_.age(now).count())},
            {"heard_from", heard_configs_.source()}};
}

replica_role entry_host::role() const
{
    return {ready(), follows_store_, store_lost(),
            fraction_of(settings_.drain, leader_batch_fraction)};
}

known_versions entry_host::versions() const
{
    return {config_ ? config_->version : generation{}, targets_.position(),
            evacuations_.position()};
}

bool entry_host::store_lost() const
{
    return !config_follower_.reachable() || !target_follower_.reachable() ||
           !evacuation_follower_.reachable();
}

local_host_state entry_host::state() const
{
    local_host_state own;
    own.leaving = leaving_;
    own.ready = ready();
    own.versions = replication_.reported_versions();
    own.store_lost = store_lost();
    own.cut_off = forwarder_.cut_off();
    own.stale_config = forwarder_.admission().has_workspaces() && !freshness_.fresh();
    own.loads = forwarder_.loads();
    for (auto const& [target, in_flight] : forwarder_.in_flight_by_target()) {
        own.targets_in_flight.push_back({target, in_flight});
    }
    mono_time const now = read_clocks().mono;
    for (auto const& [target, heard] : forwarder_.limits()) {
        own.target_limits.push_back(
            {target, heard.limit, std::chrono::duration_cast<milliseconds>(now - heard.heard)});
    }
    own.new_objects = forwarder_.announcements(view_.zone_round());
    quotas_.add_to(own);
    return own;
}

/** Moves the shares of the clients of each zone towards those planned from the zones' slots. */
void entry_host::update_zone_shares(mono_time now)
{
    std::map<zone_id, zone_capacity> zones;
    for (auto const& [zone, region] : settings_.regions) {
        zones[zone].zone = zone;
        zones[zone].region = region;
    }
    update_serving_hosts(now);
    for (directory_host const& host : directory_hosts_) {
        if (auto const zone = zones.find(host.zone); zone != zones.end()) {
            zone->second.usable = true;
        }
    }
    for (zone_status const& status : view_.zones(now)) {
        auto const zone = zones.find(status.zone);
        if (zone == zones.end()) {
            continue;
        }
        for (service_load_report const& load : status.loads) {
            zone->second.slots[load.service] = load.listed;
        }
    }
    std::vector<zone_capacity> zone_list;
    for (auto const& [name, zone] : zones) {
        zone_list.push_back(zone);
    }
    shares_.move(plan_shares(zone_list), now);
}

void entry_host::answer_readiness(call_id call, http_request const& request)
{
    bool const path_matches = to_std_string(request.target()) == wire_.ready_path;
    auto status = http::status::service_unavailable;
    if (!path_matches) {
        status = http::status::not_found;
    }
    else if (ready() && !leaving_) {
        status = http::status::ok;
    }
    readiness_.respond(call, http_response(status, http_version));
}

void entry_host::answer_lookup(call_id call, http_request const& request)
{
    auto const lookup = wire_.parse_lookup(to_std_string(request.target()));
    if (!lookup) {
        directory_.respond(call, http_response(http::status::not_found, http_version));
        return;
    }
    mono_time const now = read_clocks().mono;
    lookup_query query{lookup->zone, directory_.client_ip(call), {}};
    if (forwarder_.routes() != nullptr) {
        query.regions = forwarder_.routes()->home_regions(lookup->host);
    }
    update_serving_hosts(now);
    auto addresses = choose_hosts(query, shares_.shares_of(lookup->zone), directory_hosts_,
                                  max_lookup_addresses);
    if (addresses.empty() && directory_hosts_.empty() && ready() && !leaving_) {
        addresses.push_back(settings_.client_address); // no host reaches the targets
    }
    if (addresses.empty()) {
        directory_.respond(call, http_response(http::status::service_unavailable, http_version));
        return;
    }
    http_response response(http::status::ok, http_version);
    response.set(http::field::content_type, "application/json");
    response.body() =
        wire_.lookup_body(addresses, std::min(lookup_ttl, settings_.answer_lifetime_max));
    directory_.respond(call, std::move(response));
}

/** @return request histograms and gauges of this host's state, as Prometheus text. */
std::string entry_host::metrics_text()
{
    mono_time const now = read_clocks().mono;
    known_versions const known = versions();
    std::string out = forwarder_.metrics().prometheus() + monitor_.prometheus();
    auto const gauge = [&out](std::string const& name, std::uint64_t value) {
        out += "# TYPE cove_" + name + " gauge\ncove_" + name + " " + std::to_string(value) + "\n";
    };
    gauge("config_version", known.config.value);
    gauge("config_version_heard", heard_configs_.newest().value);
    gauge("config_age_ms",
          static_cast<std::uint64_t>(
              std::chrono::duration_cast<milliseconds>(now - config_activated_).count()));
    gauge("targets_revision", known.targets.at.value);
    gauge("evacuations_revision", known.evacuations.at.value);
    gauge("store_era", era_.value);
    out += "# TYPE cove_store_returns counter\ncove_store_returns " +
           std::to_string(store_returns_) + "\n";
    gauge("targets", targets_.entries().size());
    gauge("evacuated_zones", evacuations_.zones().size());
    gauge("open_requests", forwarder_.open_requests());
    gauge("queued_requests", forwarder_.queued_requests());
    out += "# TYPE cove_ranked_requests counter\ncove_ranked_requests " +
           std::to_string(forwarder_.ranked_requests()) + "\n";
    gauge("client_connections", clients_.connections());
    out += "# TYPE cove_client_accept_errors counter\ncove_client_accept_errors " +
           std::to_string(clients_.accept_errors()) + "\n";
    update_serving_hosts(now);
    gauge("serving_hosts", directory_hosts_.size());
    gauge("zones_heard", view_.zones(now).size());
    gauge("follows_store", follows_store_ ? 1 : 0);
    gauge("store_lost", store_lost() ? 1 : 0);
    out += "# TYPE cove_store_silence_ms gauge\n";
    for (auto const& [kind, subject] : {std::pair{"config", &config_follower_},
                                        {"targets", &target_follower_},
                                        {"evacuations", &evacuation_follower_}}) {
        out += std::string("cove_store_silence_ms{kind=\"") + kind + "\"} " +
               to_text_ms(now - subject->last_answer()) + "\n";
    }
    out += "# TYPE cove_store_proof_age_ms gauge\n";
    for (auto const& [kind, at] : store_proofs_) {
        out += "cove_store_proof_age_ms{kind=\"" + kind + "\"} " +
               to_text_ms(read_boot_clock() - at) + "\n";
    }
    out += "# TYPE cove_unsent_messages counter\ncove_unsent_messages " +
           std::to_string(transport_.unsent_messages()) + "\n";
    gauge("answer_bytes", answers_->held());
    out += "# TYPE cove_client_connections_over_bound counter\n"
           "cove_client_connections_over_bound " +
           std::to_string(clients_.connections_over_bound()) + "\n";
    out += "# TYPE cove_answers_reclaimed counter\ncove_answers_reclaimed " +
           std::to_string(answers_->reclaims()) + "\n";
    out += forwarder_.withdrawals().prometheus();
    gauge("open_sends", forwarder_.open_sends());
    gauge("log_lines_left_out", log_.dropped() + forwarder_.withdrawals().left_out());
    gauge("cut_off_from_targets", forwarder_.cut_off() ? 1 : 0);
    out += "# TYPE cove_relayed_requests counter\ncove_relayed_requests " +
           std::to_string(forwarder_.relayed_requests()) + "\n";
    out += "# TYPE cove_departed_requests counter\ncove_departed_requests " +
           std::to_string(forwarder_.departed_requests()) + "\n";
    gauge("suspected_requests", forwarder_.suspected_requests());
    out += "# TYPE cove_blocked_requests counter\ncove_blocked_requests " +
           std::to_string(forwarder_.blocked_requests()) + "\n";
    out += "# TYPE cove_failed_requests counter\ncove_failed_requests " +
           std::to_string(forwarder_.failed_requests()) + "\n";
    out += quotas_.prometheus();
    out += freshness_.prometheus();
    out += "# TYPE cove_unauthorized_requests counter\ncove_unauthorized_requests " +
           std::to_string(forwarder_.admission().unauthorized()) + "\n";
    out += "# TYPE cove_stale_config_refusals counter\ncove_stale_config_refusals " +
           std::to_string(forwarder_.admission().stale_refusals()) + "\n";
    out += "# TYPE cove_bytes_to_peers counter\n";
    for (auto const& [kind, bytes] : bytes_to_peers_) {
        out += "cove_bytes_to_peers{message=\"" + kind + "\"} " + std::to_string(bytes) + "\n";
    }
    return out;
}

void entry_host::answer_metrics(call_id call, http_request const& request)
{
    if (to_std_string(request.target()) != "/metrics") {
        metrics_.respond(call, http_response(http::status::not_found, http_version));
        return;
    }
    http_response response(http::status::ok, http_version);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = metrics_text();
    metrics_.respond(call, std::move(response));
}

} // namespace cove
