#include "process_soak/process_soak.h"

#include "platform/wire_names.h"
#include "platform/writer_json.h"
#include "process_soak/client_pool.h"
#include "process_soak/host_fleet.h"
#include "process_soak/link_proxy.h"
#include "process_soak/store_standin.h"
#include "process_soak/target_standin.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <future>

namespace cove {

namespace {

using json = nlohmann::json;

constexpr int port_block = 200;
constexpr milliseconds ready_timeout{20'000};
constexpr milliseconds settle_time{4000}; ///< from the start of the clients to the first fault
constexpr milliseconds poll_interval{10};
constexpr milliseconds stall_min{250}; ///< of this process; its measurements count as disturbed
constexpr milliseconds retirement_slack{1500}; ///< from the drain time to the end of a target
constexpr milliseconds route_timeout{2000};
constexpr milliseconds route_objective{250};
constexpr int target_connections = 330;
constexpr milliseconds cold_period{3000};
constexpr double cold_rate = 50; ///< requests per second
constexpr char const* client_host = "desk.example";
constexpr char const* link = "link"; ///< cause of a disturbance
constexpr std::array services{"blue", "green"};
constexpr std::array plain_routes{"/plain/", "/once/"};
constexpr char const* listed_service = "gray"; ///< has no route and no processes
constexpr std::size_t listed_replaced = 8;     ///< at a time
constexpr int closed_port = 1;
constexpr std::size_t store_threads = 104; ///< besides those for the calls of hosts
constexpr std::size_t calls_per_host = 4;  ///< that a host may keep open at the store
constexpr std::size_t target_threads = 42; ///< besides one for each host
constexpr std::array homed_routes{"/homed/", "/homed-once/"};

std::string at(std::string const& ip, int port)
{
    return ip + ":" + std::to_string(port);
}

/** A run: the deployment and what is due in it. */
class soak_run {
public:
    explicit soak_run(process_soak_options const& options)
        : options_(options), shape_(options.shape), recorder_(options.journal),
          first_port_(free_port_block(port_block)),
          store_(store_threads + host_count() * calls_per_host),
          fleet_(options.program, options.folder, regions(), ports(), options.bounds, recorder_),
          clients_(recorder_, client_host)
    {
    }

    process_soak_outcome run()
    {
        process_soak_outcome out;
        if (!start_deployment()) {
            return out;
        }
        out.started = true;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            clients_.start(fleet_.host(i).name, fleet_.host(i).ip, fleet_.ports().client,
                           static_cast<int>(shape_.clients_per_host));
        }
        mono_time const start = read_clocks().mono + settle_time;
        for (soak_step const& step : schedule()) {
            due_.emplace(start + step.at, [this, step] { play(step); });
        }
        play_until(start + options_.duration);
        clients_.stop();
        recorder_.write_trace(options_.folder + "/trace");
        run_record const record = recorder_.record();
        out.ended_unasked = fleet_.ended_unasked();
        out.requests = record.requests.size();
        out.answered = static_cast<std::size_t>(
            std::count_if(record.requests.begin(), record.requests.end(),
                          [](client_request const& each) { return each.status == 200; }));
        out.runs = record.runs.size();
        out.violations = audit_run(record, options_.bounds);
        out.force_times = find_force_times(record);
        return out;
    }

private:
    [[nodiscard]] std::vector<force_time> find_force_times(run_record const& record) const
    {
        instant const now = read_clocks();
        mono_time const log_epoch = now.mono - now.wall.time_since_epoch();
        std::vector<config_activation> activations;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            std::string const& host = fleet_.host(i).name;
            auto const own = read_activations(fleet_.log_path(i), host, log_epoch);
            activations.insert(activations.end(), own.begin(), own.end());
        }
        return last_activations(record, options_.bounds, activations, now.mono);
    }

    struct target_slot {
        std::unique_ptr<target_standin> target;
        std::size_t link = 0;
        bool leaving = false;
    };

    [[nodiscard]] std::vector<soak_step> schedule() const
    {
        return options_.schedule == schedule_kind::mixed
                   ? make_step_schedule(options_.seed, options_.duration, shape_)
                   : make_blind_schedule(options_.seed, options_.duration, shape_,
                                         options_.schedule);
    }

    [[nodiscard]] std::size_t host_count() const { return shape_.zones * shape_.hosts_per_zone; }

    std::map<std::string, std::string> regions() const
    {
        std::map<std::string, std::string> out;
        for (std::size_t zone = 0; zone < shape_.zones; ++zone) {
            out[zone_name(zone)] = region_name(zone);
        }
        return out;
    }

    static std::string zone_name(std::size_t zone) { return "zone-" + std::to_string(zone + 1); }
    static std::string region_name(std::size_t zone)
    {
        return "region-" + std::to_string(zone + 1);
    }

    /** @return a name; names of a zone are ordered as the numbers @p host. */
    static std::string host_name(std::size_t zone, std::size_t host)
    {
        std::string const number = std::to_string(host);
        return "host-" + std::to_string(zone + 1) + (number.size() < 2 ? "-0" : "-") + number;
    }

    [[nodiscard]] fleet_ports ports() const
    {
        return {first_port_,     first_port_ + 1, first_port_ + 2,
                first_port_ + 3, first_port_ + 4, first_port_ + 5};
    }

    [[nodiscard]] int store_port() const { return first_port_ + 6; }

    /** @return a port that no target had before. */
    int next_target_port()
    {
        constexpr int first_target = 10;
        return first_port_ + first_target + targets_started_++ % (port_block - first_target);
    }

    bool start_deployment()
    {
        if (first_port_ == 0 || !store_.start("127.0.0.1", store_port())) {
            recorder_.log("no free ports");
            return false;
        }
        if (options_.schedule != schedule_kind::mixed) {
            ++added_routes_; // the first route that is dropped
        }
        write_config();
        for (std::size_t i = 0; i < shape_.listed_targets; ++i) {
            list_target();
        }
        slots_.resize(shape_.targets);
        for (std::size_t i = 0; i < slots_.size(); ++i) {
            if (!start_target(i)) {
                return false;
            }
        }
        for (std::size_t zone = 0; zone < shape_.zones; ++zone) {
            for (std::size_t i = 1; i <= shape_.hosts_per_zone; ++i) {
                std::string const ip =
                    "127.88." + std::to_string(zone + 1) + "." + std::to_string(i);
                links_.add(at(ip, store_port()), at("127.0.0.1", store_port()));
                fleet_.add({host_name(zone, i), zone_name(zone), ip, at(ip, store_port())});
                store_links_.push_back(link_count_++);
            }
        }
        if (!fleet_.find_settings()) {
            recorder_.log("the program does not take its settings");
            return false;
        }
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            fleet_.start(i, true);
        }
        for (char const* route : plain_routes) {
            clients_.add_route(route, route == plain_routes.back());
        }
        for (char const* route : homed_routes) {
            clients_.add_route(route, route == homed_routes.back());
        }
        if (added_routes_ != 0) {
            clients_.add_route(added_route(added_routes_), false);
        }
        return wait_ready();
    }

    bool wait_ready()
    {
        mono_time const end = read_clocks().mono + ready_timeout;
        for (std::size_t i = 0; i < fleet_.size();) {
            if (fleet_.is_ready(i)) {
                ++i;
            }
            else if (read_clocks().mono > end) {
                recorder_.log(fleet_.host(i).name + " does not become ready");
                return false;
            }
            else {
                std::this_thread::sleep_for(poll_interval);
            }
        }
        return true;
    }

    /** Slots are spread over zones, and over services within a zone. */
    bool start_target(std::size_t slot)
    {
        std::size_t const zone = slot % shape_.zones;
        std::string const service = services.at(slot / shape_.zones % services.size());
        int const port = next_target_port();
        std::string const ip = "127.88." + std::to_string(zone + 1) + ".200";
        slots_[slot].link = link_count_++;
        links_.add(at(ip, port), at("127.0.0.1", port));
        slots_[slot].target = std::make_unique<target_standin>(
            target_identity{"i-" + std::to_string(targets_started_), service, zone_name(zone),
                            region_name(zone), at(ip, port)},
            store_, recorder_, target_threads + host_count());
        slots_[slot].leaving = false;
        if (!slots_[slot].target->start("127.0.0.1", port)) {
            recorder_.log("a target cannot listen on " + at("127.0.0.1", port));
            return false;
        }
        return true;
    }

    void play_until(mono_time end)
    {
        mono_time last = read_clocks().mono;
        while (last < end) {
            while (!due_.empty() && due_.begin()->first <= read_clocks().mono) {
                auto const action = std::move(due_.begin()->second);
                due_.erase(due_.begin());
                action();
                last = read_clocks().mono;
            }
            fleet_.watch();
            std::this_thread::sleep_for(poll_interval);
            mono_time const now = read_clocks().mono;
            if (now - last > stall_min) {
                recorder_.log("this process stalled");
                recorder_.add(disturbance{everywhere, "stall", last, now, false});
            }
            last = now;
        }
    }

    void play(soak_step const& step)
    {
        log_step(step);
        switch (step.kind) {
        case step_kind::break_store_links:
        case step_kind::mend_store_links:
            change_store_links(step);
            break;
        case step_kind::break_target_link:
        case step_kind::mend_target_link:
            change_target_link(step);
            break;
        case step_kind::change_service:
            service_ = (service_ + 1) % services.size();
            write_config();
            break;
        case step_kind::change_home:
            home_ = (home_ + 1) % shape_.zones;
            write_config();
            break;
        case step_kind::add_route:
            ++added_routes_;
            write_config();
            clients_.add_route(added_route(added_routes_), false);
            break;
        case step_kind::drop_route:
            if (dropped_routes_ < added_routes_) {
                ++dropped_routes_;
                write_config();
            }
            break;
        case step_kind::replace_listed_targets:
            for (std::size_t i = 0; i < listed_replaced && !listed_.empty(); ++i) {
                store_.remove(wire::target_kind, listed_.front());
                listed_.pop_front();
                list_target();
            }
            break;
        case step_kind::evacuate_zone:
            recorder_.add(zone_evacuation{
                zone_name(step.index),
                store_.put(wire::evacuation_kind, zone_name(step.index), json::object()),
                std::nullopt});
            break;
        case step_kind::lift_evacuation:
            recorder_.lift_evacuation(zone_name(step.index));
            store_.remove(wire::evacuation_kind, zone_name(step.index));
            break;
        case step_kind::retire_target:
            retire_target(step.index);
            break;
        default:
            for (std::size_t const host : step.hosts) {
                signal_host(step.kind, host);
            }
        }
    }

    void log_step(soak_step const& step)
    {
        std::string text = to_string(step.kind);
        for (std::size_t const host : step.hosts) {
            text += " " + fleet_.host(host).name;
        }
        if (step.kind == step_kind::break_store_links ||
            step.kind == step_kind::break_target_link) {
            text += std::string(" ") + to_string(step.fault);
        }
        recorder_.log(text + " index " + std::to_string(step.index));
    }

    void signal_host(step_kind kind, std::size_t host)
    {
        if (kind == step_kind::freeze_hosts) {
            fleet_.freeze(host);
        }
        else if (kind == step_kind::resume_hosts) {
            fleet_.resume(host);
        }
        else if (kind == step_kind::kill_hosts) {
            fleet_.kill(host);
        }
        else if (kind == step_kind::terminate_hosts) {
            fleet_.terminate(host);
        }
        else if (kind == step_kind::start_hosts) {
            if (fleet_.is_stopping(host)) {
                due_.emplace(read_clocks().mono + poll_interval,
                             [this, kind, host] { signal_host(kind, host); });
            }
            fleet_.start(host, false);
        }
    }

    void change_store_links(soak_step const& step)
    {
        for (std::size_t const host : step.hosts) {
            std::string const& name = fleet_.host(host).name;
            if (step.kind == step_kind::mend_store_links) {
                links_.mend_link(store_links_[host]);
                recorder_.end(name, link);
                continue;
            }
            bool const is_moment =
                step.fault == link_fault::mute_open || step.fault == link_fault::reset;
            if (is_moment) {
                recorder_.moment(name, link);
            }
            else {
                recorder_.begin(name, link);
            }
            links_.break_link(store_links_[host], step.fault);
        }
    }

    void change_target_link(soak_step const& step)
    {
        target_slot const& slot = slots_[step.index];
        if (step.kind == step_kind::break_target_link) {
            recorder_.begin(slot.target->identity().id, link);
            links_.break_link(slot.link, step.fault);
            return;
        }
        links_.mend_link(slot.link);
        recorder_.end(slot.target->identity().id, link);
    }

    /** The target in @p slot leaves, and another one takes its place. */
    void retire_target(std::size_t slot)
    {
        if (slots_[slot].leaving) {
            return;
        }
        slots_[slot].leaving = true;
        slots_[slot].target->leave();
        due_.emplace(read_clocks().mono + options_.bounds.drain + retirement_slack, [this, slot] {
            retired_.push_back(std::move(slots_[slot].target));
            endings_.push_back(std::async(std::launch::async,
                                          [target = retired_.back().get()] { target->stop(); }));
            start_target(slot);
        });
    }

    static std::string added_route(int number) { return "/added-" + std::to_string(number) + "/"; }

    /** Adds the entry of a target to the store's list; nothing listens at its address. */
    void list_target()
    {
        std::size_t const zone = listed_count_ % shape_.zones;
        target_entry entry;
        std::string const name = "l-" + std::to_string(++listed_count_);
        entry.id = target_id(name);
        entry.service = service_id(listed_service);
        entry.address = at("127.88." + std::to_string(zone + 1) + ".201", closed_port);
        entry.zone = zone_id(zone_name(zone));
        entry.slots = 1;
        entry.phase = target_phase::serving;
        entry.incarnation = target_incarnation(static_cast<std::int64_t>(listed_count_));
        store_.put(wire::target_kind, name, target_spec(entry));
        listed_.push_back(name);
    }

    static void add_service(routing_config& config, char const* name)
    {
        config.services[service_id(name)] = {service_id(name), "/healthz", target_connections,
                                             cold_period, cold_rate};
    }

    /** Writes the next version of the configuration. */
    void write_config()
    {
        config_change change;
        change.version = ++version_;
        std::string const service = services.at(service_);
        routing_config config;
        config.version = generation(static_cast<std::uint64_t>(version_));
        auto const add = [&](std::string const& path, bool once, std::string const& home) {
            change.routes[path] = {service, home};
            route_config route;
            route.name = route_id("route" + path);
            route.host = client_host;
            route.prefix = path;
            route.idempotent = !once;
            route.timeout = route_timeout;
            route.objective = route_objective;
            route.priority = 1;
            route.max_attempts = 2;
            route.services = {{service_id(service), 1}};
            if (!home.empty()) {
                route.home_regions.emplace_back(home);
            }
            config.routes.push_back(std::move(route));
        };
        for (char const* route : plain_routes) {
            add(route, route == plain_routes.back(), "");
        }
        for (char const* route : homed_routes) {
            add(route, route == homed_routes.back(), region_name(home_));
        }
        for (int i = dropped_routes_ + 1; i <= added_routes_; ++i) {
            add(added_route(i), false, "");
        }
        for (char const* name : services) {
            add_service(config, name);
        }
        if (shape_.listed_targets != 0) {
            add_service(config, listed_service);
        }
        config.limits = {16'384, 1 << 20, milliseconds{3000}, milliseconds{15'000}};
        change.written = read_clocks().mono;
        change.acknowledged = store_.put(wire::config_kind, wire::config_name, config_spec(config));
        recorder_.log("version " + std::to_string(version_) + ": " + service + ", home " +
                      region_name(home_));
        recorder_.add(std::move(change));
    }

    process_soak_options options_;
    soak_shape shape_;
    run_recorder recorder_;
    int first_port_;
    store_standin store_;
    link_proxies links_;
    std::size_t link_count_ = 0;
    std::vector<std::size_t> store_links_; ///< by host
    std::vector<target_slot> slots_;
    std::vector<std::unique_ptr<target_standin>> retired_;
    std::vector<std::future<void>> endings_; ///< of retired targets; waits for their connections
    int targets_started_ = 0;
    host_fleet fleet_;
    client_pool clients_;
    int version_ = 0;
    std::size_t service_ = 0;
    std::size_t home_ = 0;
    int added_routes_ = 0;
    int dropped_routes_ = 0;
    std::deque<std::string> listed_; ///< names of entries, oldest first
    std::size_t listed_count_ = 0;
    std::multimap<mono_time, std::function<void()>> due_;
};

} // namespace

process_soak_outcome run_process_soak(process_soak_options const& options)
{
    return soak_run(options).run();
}

} // namespace cove
