/**
 * @file traffic-bench: cost of single events in the traffic reducer, with all slots of a zone
 * taken; prints one JSON line per size.
 */

#include "traffic/traffic.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace cove;

constexpr int slots = 6;
constexpr int objects = 600;
constexpr int rounds = 100;
constexpr milliseconds tick{20};

/** A host whose targets are all busy while further requests wait. */
class busy_host {
public:
    /**
     * @param targets in the zone of the host. @param waiting requests.
     * @param remote targets in another zone, which are not busy.
     * @param quota of the host there.
     */
    busy_host(int targets, int waiting, int remote, int quota)
        : reducer_({node_id("h0"),
                    zone_id("z"),
                    {{zone_id("z"), region_id("r")}, {zone_id("y"), region_id("s")}},
                    {},
                    1,
                    {}})
    {
        route_.name = route_id("route");
        route_.timeout = seconds{100};
        route_.objective = milliseconds{200};
        route_.max_attempts = 2;
        route_.sticky = true;
        services_listed services;
        services.services[service_] = {service_, "/health", 100, milliseconds{3000}, 4};
        reducer_.reduce(services, now_);
        targets_listed list;
        for (int i = 0; i < targets + remote; ++i) {
            target_entry entry;
            entry.id = target_id("target-" + std::to_string(i));
            entry.service = service_;
            entry.address = "10.0.0.1:80";
            entry.zone = zone_id(i < targets ? "z" : "y");
            entry.slots = slots;
            list.entries.push_back(entry);
        }
        reducer_.reduce(list, now_);
        peers_reported peers;
        peers.remote_quotas = {{zone_id("y"), service_, quota}};
        reducer_.reduce(peers, now_);
        for (int i = 0; i < targets * slots + waiting; ++i) {
            arrive(i >= targets * slots);
        }
    }

    /** @param has_object whether the request prefers a target by its object. */
    void arrive(bool has_object = true)
    {
        request_arrived event;
        event.id = request_id(++last_id_);
        event.route = std::make_shared<route_config const>(route_);
        event.service = service_;
        if (has_object) {
            event.object = object_key("object-" + std::to_string(last_id_ * 7 % objects));
        }
        event.deadline = seconds{100};
        perform(reducer_.reduce(event, now_));
    }

    /** Ends the oldest attempt with success. */
    void end_attempt()
    {
        now_ += milliseconds{1};
        attempt_ended event;
        event.attempt = running_.front();
        running_.erase(running_.begin());
        event.end = attempt_end::succeeded;
        perform(reducer_.reduce(event, now_));
    }

    void run_tick()
    {
        now_ += tick;
        perform(reducer_.reduce(timer_tick{}, now_));
    }

private:
    void perform(traffic_effects const& effects)
    {
        for (traffic_effect const& effect : effects) {
            if (auto const* const sent = std::get_if<send_attempt>(&effect)) {
                running_.push_back(sent->attempt);
            }
        }
    }

    service_id service_{"service"};
    route_config route_;
    traffic reducer_;
    mono_time now_{seconds{100}};
    std::uint64_t last_id_ = 0;
    std::vector<target_attempt> running_;
};

/** @return the mean time of a call of @p work, in microseconds. */
template <class Work>
double average_us(Work work)
{
    std::chrono::duration<double, std::micro> spent{};
    for (int i = 0; i < rounds; ++i) {
        spent += work();
    }
    return spent.count() / rounds;
}

template <class Work>
std::chrono::steady_clock::duration time_of(Work work)
{
    auto const started = std::chrono::steady_clock::now();
    work();
    return std::chrono::steady_clock::now() - started;
}

} // namespace

int main()
{
    for (auto const& [targets, waiting, remote, quota] : {std::tuple{112, 0, 0, 0},
                                                          {112, 64, 0, 0},
                                                          {112, 162, 0, 0},
                                                          {112, 648, 0, 0},
                                                          {224, 224, 0, 0},
                                                          {1215, 162, 0, 0},
                                                          {112, 16, 1100, 1},
                                                          {112, 162, 1100, 1}}) {
        busy_host host(targets, waiting, remote, quota);
        double const ended = average_us([&] {
            auto const spent = time_of([&] { host.end_attempt(); });
            host.arrive();
            return spent;
        });
        double const arrived = average_us([&] {
            auto const spent = time_of([&] { host.arrive(); });
            host.end_attempt();
            return spent;
        });
        double const ticked = average_us([&] { return time_of([&] { host.run_tick(); }); });
        std::cout << nlohmann::json{{"targets", targets},
                                    {"waiting", waiting},
                                    {"remote", remote},
                                    {"attempt_ended_us", ended},
                                    {"request_arrived_us", arrived},
                                    {"timer_tick_us", ticked}}
                  << "\n";
    }
    return 0;
}
