#pragma once
/** @file Collects the record of a run from all threads, and keeps a journal of it. */

#include "process_soak/run_record_type.h"

#include <cstdio>
#include <mutex>

namespace cove {

class run_recorder {
public:
    /** @param journal gets one line for each step; must outlive this object. */
    explicit run_recorder(std::FILE* journal) : journal_(journal), start_(read_clocks().mono) {}

    /** Adds an item to the record. */
    template <class Item>
    void add(Item item)
    {
        std::lock_guard const lock(mutex_);
        items_of(item).push_back(std::move(item));
    }

    /** A disturbance of @p place begins. */
    void begin(std::string const& place, std::string const& cause, bool planned = false);
    /** The disturbances of @p place that have this cause end. */
    void end(std::string const& place, std::string const& cause);
    /** A disturbance that is over at once. */
    void moment(std::string const& place, std::string const& cause);
    void lift_evacuation(std::string const& zone);

    /** Writes a line with the time since the start. */
    void log(std::string const& text);

    /** Writes all requests and runs to @p path, for the trace of a finding. */
    void write_trace(std::string const& path);

    /** @return a copy of all that was seen so far. */
    run_record record();

private:
    /** @return the time since the start in ms. */
    [[nodiscard]] long since_start(mono_time when) const;

    auto& items_of(config_change const&) { return record_.configs; }
    auto& items_of(client_request const&) { return record_.requests; }
    auto& items_of(target_run const&) { return record_.runs; }
    auto& items_of(disturbance const&) { return record_.disturbances; }
    auto& items_of(zone_evacuation const&) { return record_.evacuations; }
    auto& items_of(target_departure const&) { return record_.departures; }

    std::mutex mutex_;
    std::FILE* journal_;
    mono_time start_;
    run_record record_;
};

} // namespace cove
