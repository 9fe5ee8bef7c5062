#pragma once
/**
 * @file Emulates one availability zone in virtual time: the traffic reducers of its entry hosts,
 * its targets with slots and warm objects, and clients that retry after a refusal.
 */

#include "core/random.h"
#include "core/scheduler.h"
#include "emulator/emulated_target.h"
#include "traffic/traffic.h"

#include <memory>

namespace cove {

/** A kind of request and the load it causes. */
struct emulated_class {
    std::string name;
    double per_second = 0;
    int objects = 1;          ///< distinct objects, requested equally often
    milliseconds work{};      ///< mean service time at a target that is not warm
    double warm_factor = 1;   ///< service time at a warm target, relative to `work`
    milliseconds objective{}; ///< answers within it earn the full worth
    milliseconds timeout{};   ///< of the route
    milliseconds client_timeout{};
    int priority = 0;
    bool idempotent = true;
    double worth = 1;
    double late_worth = 0.2; ///< earned by answers after the objective
};

/** Size and load of the zone. */
struct emulation_settings {
    int hosts = 1;
    int targets = 1;
    int slots = 1;        ///< per target
    int queue = 0;        ///< requests that a target queues beyond its slots
    int warm_objects = 1; ///< objects that a target keeps warm
    std::vector<emulated_class> classes;
    milliseconds length{};          ///< requests arrive for this long
    milliseconds report_interval{}; ///< between the reports of a host to the others
    std::uint64_t seed = 1;
};

/** What the clients of one class got. */
struct emulated_outcome {
    int asked = 0;
    int in_objective = 0;
    int late = 0;
    int refused = 0; ///< also after the client's retry
    int failed = 0;
    double owed = 0;
    double earned = 0;
};

/** Result of an emulation. */
struct emulation_report {
    std::map<std::string, emulated_outcome> classes;
    std::vector<emulated_outcome> seconds; ///< by the second in which the client first asked
    int warm_runs = 0;
    int cold_runs = 0;
    int refused_by_targets = 0;
    int client_retries = 0;

    /** @return earned relative to owed worth over all classes. */
    [[nodiscard]] double credit() const;
};

/** Runs the emulation to its end. */
class zone_emulator {
public:
    explicit zone_emulator(emulation_settings settings);
    emulation_report run();

private:
    struct client_request {
        emulated_class const* type = nullptr;
        std::shared_ptr<route_config const> route;
        std::string object;
        std::string client;
        mono_time first_asked;
        bool retried = false;
        std::size_t host = 0;
    };

    void add_targets();
    void add_hosts();
    void schedule_arrivals(emulated_class const& type);
    void ask(client_request request);
    void feed(std::size_t host, traffic_event const& event);
    void execute(send_attempt const& effect);
    void execute(cancel_attempt const& effect);
    void execute(deliver_answer const& effect);
    void execute(answer_locally const& effect);
    void execute(report_crashes const& effect);
    void execute(log_blocked_request const& /*effect*/) {}
    void execute(relay_request const& /*effect*/) {} // no link is cut
    void execute(probe_target const& /*effect*/) {}  // feed() answers it
    void execute(links_probed const& /*effect*/) {}
    void execute(links_changed const& /*effect*/) {}
    void report_in_flight();
    void every(milliseconds interval, std::function<void()> const& fn);
    void finish(client_request const& request, bool served);

    emulation_settings settings_;
    scheduler scheduler_;
    random_engine random_;
    mono_time start_;
    service_id const service_{"service"};
    std::vector<std::unique_ptr<traffic>> hosts_;
    std::map<target_id, emulated_target> targets_;
    std::map<request_id, client_request> requests_;
    std::uint64_t next_request_ = 1;
    emulation_report report_;
};

} // namespace cove
