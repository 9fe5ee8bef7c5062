#include "emulator/zone_emulator.h"

#include "core/hash_func.h"

namespace cove {

namespace {

constexpr milliseconds tick_interval{20};  ///< between two timer ticks of a reducer
constexpr microseconds network_delay{300}; ///< one way, between a host and a target
constexpr milliseconds client_delay{8};    ///< one way, between a client and a host
constexpr double max_comeback_share =
    1.0 / 3; ///< longest Retry-After, per time that the client has left
constexpr int clients = 200;
constexpr retry_limiter_settings retry_limits{0.2, milliseconds{10'000}, 50};

} // namespace

double emulation_report::credit() const
{
    double owed = 0;
    double earned = 0;
    for (auto const& [name, outcome] : classes) {
        owed += outcome.owed;
        earned += outcome.earned;
    }
    return owed > 0 ? earned / owed : 0;
}

zone_emulator::zone_emulator(emulation_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed), start_(scheduler_.now())
{
}

emulation_report zone_emulator::run()
{
    add_targets();
    add_hosts();
    for (emulated_class const& type : settings_.classes) {
        schedule_arrivals(type);
    }
    every(tick_interval, [this] {
        for (std::size_t host = 0; host < hosts_.size(); ++host) {
            feed(host, timer_tick{});
        }
    });
    every(settings_.report_interval, [this] { report_in_flight(); });
    while (scheduler_.run_next()) {
    }
    for (auto const& [id, target] : targets_) {
        report_.warm_runs += target.warm_runs();
        report_.cold_runs += target.cold_runs();
        report_.refused_by_targets += target.refused();
    }
    return report_;
}

/** Calls @p fn until all requests have ended. */
void zone_emulator::every(milliseconds interval, std::function<void()> const& fn)
{
    scheduler_.after(interval, [this, interval, fn] {
        fn();
        if (scheduler_.now() < start_ + settings_.length || !requests_.empty()) {
            every(interval, fn);
        }
    });
}

void zone_emulator::add_targets()
{
    emulated_target_limits const limits{settings_.slots, settings_.queue, settings_.warm_objects};
    for (int i = 0; i < settings_.targets; ++i) {
        target_id const id("target-" + std::to_string(i));
        auto const on_end = [this](target_attempt const& attempt, attempt_end end,
                                   target_load load) {
            scheduler_.after(network_delay, [this, attempt, end, load] {
                auto const found = requests_.find(attempt.id.request);
                if (found != requests_.end()) {
                    feed(found->second.host, attempt_ended{attempt, end, load, {}});
                }
            });
        };
        targets_.try_emplace(id, scheduler_, random_, limits, on_end);
    }
}

void zone_emulator::add_hosts()
{
    targets_listed listed;
    for (auto const& [id, target] : targets_) {
        target_entry entry;
        entry.id = id;
        entry.service = service_;
        entry.zone = zone_id("zone");
        entry.slots = settings_.slots;
        listed.entries.push_back(entry);
    }
    services_listed services;
    services.services[service_] = {service_, "/health", 1000, milliseconds{3000}, 4};
    for (int i = 0; i < settings_.hosts; ++i) {
        hosts_.push_back(
            std::make_unique<traffic>(traffic_settings{node_id("host-" + std::to_string(i)),
                                                       zone_id("zone"),
                                                       {{zone_id("zone"), region_id("region")}},
                                                       retry_limits}));
        feed(hosts_.size() - 1, services);
        feed(hosts_.size() - 1, listed);
    }
    report_in_flight();
}

void zone_emulator::schedule_arrivals(emulated_class const& type)
{
    auto route = std::make_shared<route_config>();
    route->name = route_id(type.name);
    route->idempotent = type.idempotent;
    route->timeout = type.timeout;
    route->objective = type.objective;
    route->priority = type.priority;
    route->max_attempts = 2;
    route->sticky = true;
    std::exponential_distribution<double> gap(type.per_second);
    double at_s = gap(random_);
    double const length_s = std::chrono::duration<double>(settings_.length).count();
    for (; at_s < length_s; at_s += gap(random_)) {
        auto const offset =
            std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(at_s));
        scheduler_.at(start_ + offset, [this, &type, route] {
            auto const objects = static_cast<std::uint64_t>(type.objects);
            client_request request;
            request.type = &type;
            request.route = route;
            request.object = type.name + std::to_string(random_below(random_, objects));
            request.client = "client-" + std::to_string(random_below(random_, clients));
            request.first_asked = scheduler_.now();
            ask(std::move(request));
        });
    }
}

/** Sends a client's request to a random host of the zone. */
void zone_emulator::ask(client_request request)
{
    request.host = random_below(random_, hosts_.size());
    scheduler_.after(client_delay, [this, request = std::move(request)] {
        request_id const id(next_request_++);
        requests_.emplace(id, request);
        auto const left = request.first_asked + request.type->client_timeout - scheduler_.now();
        feed(request.host,
             request_arrived{id, request.route, service_, object_key(request.object),
                             request.client, std::chrono::duration_cast<milliseconds>(left),
                             request_fingerprint(stable_hash(request.client + request.object))});
    });
}

void zone_emulator::feed(std::size_t host, traffic_event const& event)
{
    for (traffic_effect const& effect : hosts_[host]->reduce(event, scheduler_.now())) {
        std::visit([this](auto const& what) { execute(what); }, effect);
        if (std::holds_alternative<probe_target>(effect)) {
            scheduler_.after(2 * network_delay, [this, host] { feed(host, probe_ended{true}); });
        }
    }
}

void zone_emulator::execute(send_attempt const& effect)
{
    client_request const& request = requests_.at(effect.attempt.id.request);
    emulated_work const work{effect.attempt, request.object, request.type->work,
                             request.type->warm_factor, scheduler_.now() + effect.time_left};
    scheduler_.after(network_delay, [this, target = effect.attempt.target, work] {
        targets_.at(target).accept(work);
    });
}

void zone_emulator::execute(cancel_attempt const& effect)
{
    for (auto& [id, target] : targets_) {
        target.cancel(effect.id);
    }
}

void zone_emulator::execute(deliver_answer const& effect)
{
    auto const request = requests_.extract(effect.id);
    finish(request.mapped(), true);
}

void zone_emulator::execute(answer_locally const& effect)
{
    client_request request = std::move(requests_.extract(effect.id).mapped());
    bool const not_run = effect.reason == refusal::no_room || effect.reason == refusal::no_target;
    mono_time const deadline = request.first_asked + request.type->client_timeout;
    milliseconds const longest(static_cast<std::int64_t>(
        max_comeback_share *
        static_cast<double>(
            std::chrono::duration_cast<milliseconds>(deadline - scheduler_.now()).count())));
    emulated_outcome& outcome = report_.classes[request.type->name];
    if (!request.retried && (not_run || request.type->idempotent)) {
        request.retried = true;
        ++report_.client_retries;
        scheduler_.after(2 * client_delay + std::min(longest, effect.retry_after),
                         [this, request] { ask(request); });
        return;
    }
    ++(not_run ? outcome.refused : outcome.failed);
    finish(request, false);
}

void zone_emulator::execute(report_crashes const& effect)
{
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        scheduler_.after(network_delay, [this, host, records = effect.records] {
            feed(host, crashes_reported{records});
        });
    }
}

void zone_emulator::finish(client_request const& request, bool served)
{
    auto const time = scheduler_.now() + client_delay - request.first_asked;
    auto const second = std::chrono::duration_cast<seconds>(request.first_asked - start_).count();
    if (report_.seconds.size() <= static_cast<std::size_t>(second)) {
        report_.seconds.resize(static_cast<std::size_t>(second) + 1);
    }
    for (emulated_outcome* const outcome : {&report_.classes[request.type->name],
                                            &report_.seconds[static_cast<std::size_t>(second)]}) {
        ++outcome->asked;
        outcome->owed += request.type->worth;
        if (served && time <= request.type->objective) {
            ++outcome->in_objective;
            outcome->earned += request.type->worth;
        }
        else if (served && time <= request.type->client_timeout) {
            ++outcome->late;
            outcome->earned += request.type->late_worth;
        }
        else if (served) {
            ++outcome->failed; // the client has left
        }
    }
}

void zone_emulator::report_in_flight()
{
    std::vector<std::map<std::uint32_t, int>> in_flight;
    std::map<std::uint32_t, int> sum;
    std::vector<std::vector<service_objects>> objects;
    for (auto const& host : hosts_) {
        objects.push_back(host->announcements(settings_.report_interval, scheduler_.now()));
        in_flight.push_back(host->in_flight_by_target(scheduler_.now()));
        for (auto const& [target, count] : in_flight.back()) {
            sum[target] += count;
        }
    }
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        peers_reported peers;
        peers.hosts_in_total = settings_.hosts;
        for (int i = 0; i < settings_.hosts; ++i) {
            peers.hosts_in_zone.emplace_back("host-" + std::to_string(i));
        }
        for (auto const& [target, count] : sum) {
            auto const own = in_flight[host].find(target);
            int const others = count - (own == in_flight[host].end() ? 0 : own->second);
            if (others > 0) {
                peers.in_flight_by_target[target] = others;
            }
        }
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
            if (other != host) {
                peers.objects.insert(peers.objects.end(), objects[other].begin(),
                                     objects[other].end());
            }
        }
        feed(host, peers);
    }
}

} // namespace cove
