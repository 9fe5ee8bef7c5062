#pragma once
/** @file The entry hosts of a process soak. */

#include "deploy/child_process.h"
#include "process_soak/run_recorder.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace cove {

/** One entry host and its place. */
struct fleet_host {
    std::string name;
    std::string zone;
    std::string ip;
    std::string store_address; ///< IP:port of its own link to the store
};

/** The ports of every entry host. */
struct fleet_ports {
    int client = 0;
    int readiness = 0;
    int directory = 0;
    int metrics = 0;
    int peer = 0;
    int relay = 0;
};

/** Starts, signals and watches the processes of entry hosts. */
class host_fleet {
public:
    /**
     * @param program the entry host.
     * @param folder for settings and logs; exists.
     * @param regions of all zones.
     * @param recorder must outlive this object.
     */
    host_fleet(std::string program, std::string folder, std::map<std::string, std::string> regions,
               fleet_ports ports, rule_bounds bounds, run_recorder& recorder);

    void add(fleet_host const& host);

    /** @return whether the program takes its settings; older ones do not know all of them. */
    bool find_settings();

    /** Starts host @p number unless it runs. @param first whether all hosts start together. */
    void start(std::size_t number, bool first);

    void freeze(std::size_t number);
    void resume(std::size_t number);
    void kill(std::size_t number);
    /** Sends SIGTERM. */
    void terminate(std::size_t number);

    /** Sends SIGKILL to hosts that outlive their grace time; notices those that ended unasked. */
    void watch();

    /** @return whether host @p number still ends after a signal. */
    bool is_stopping(std::size_t number);

    /** @return whether host @p number reports that it is ready. */
    [[nodiscard]] bool is_ready(std::size_t number) const;

    /** @return the number of processes that ended without a signal. */
    [[nodiscard]] int ended_unasked() const { return ended_unasked_; }

    [[nodiscard]] std::size_t size() const { return hosts_.size(); }
    [[nodiscard]] fleet_host const& host(std::size_t number) const { return hosts_[number].place; }
    [[nodiscard]] std::string log_path(std::size_t number) const
    {
        return folder_ + "/" + hosts_[number].place.name + ".log";
    }
    [[nodiscard]] fleet_ports const& ports() const { return ports_; }

private:
    enum class process_state { down, up, frozen, stopping };
    struct entry {
        fleet_host place;
        std::unique_ptr<child_process> process;
        process_state state = process_state::down;
        mono_time kill_at;
    };

    [[nodiscard]] nlohmann::json settings_of(fleet_host const& host, bool first) const;
    /** @return the path of the file. */
    std::string write_settings(fleet_host const& host, bool first) const;

    std::string program_;
    std::string folder_;
    std::map<std::string, std::string> regions_;
    fleet_ports ports_;
    rule_bounds bounds_;
    run_recorder& recorder_;
    std::vector<entry> hosts_;
    std::vector<std::string> unknown_settings_; ///< that the program does not know
    int ended_unasked_ = 0;
};

} // namespace cove
