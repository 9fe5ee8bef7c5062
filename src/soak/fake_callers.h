#pragma once
/** @file Callers that cache look-up answers, retry at other entry hosts and send duplicates. */

#include "soak/fleet.h"

namespace cove {

/** All callers of a soak run. */
class fake_callers {
public:
    /** @param config names the services that callers use. */
    fake_callers(scheduler& time, random_source& random, fleet& nodes, audit& checks,
                 deployment config);

    /** Adds @p count callers in @p zone, which start operations until stop(). */
    void add(zone_id const& zone, int count);

    /** Starts no new operations; requests of earlier operations may still be sent again. */
    void stop() { stopped_ = true; }

    /** Handles an entry host's answer to a caller. */
    void answered(reply const& response);

    /** Handles the end of the process of @p host, which breaks its callers' connections. */
    void on_host_ended(std::size_t host, bool planned);

private:
    struct caller {
        std::string name;
        zone_id zone;
        std::shared_ptr<lookup_snapshot const> cached;
        mono_time cached_until{};
    };
    /** An operation of a caller; the state that its retries share. */
    struct caller_operation {
        std::size_t caller_index = 0;
        std::string tag;
        service_id service;
        class_config request_class;
        std::optional<operation_id> id;
        int requests_sent = 0;
        bool has_final_answer = false;
    };
    /** A request that was sent and has no answer yet. */
    struct in_flight_request {
        std::size_t operation_index;
        std::size_t host;
        std::uint64_t process_epoch; ///< of the host when the request was sent
        microseconds timeout;
    };

    void schedule_next_operation(std::size_t caller_index);
    void start_operation(std::size_t caller_index);
    void refresh_lookup(caller& state);
    std::vector<lookup_entry> entry_hosts_for(caller& state, service_id const& service);
    void send_request(std::size_t operation_index, std::size_t entry_rank);
    void deliver_request(caller_request_id id, in_flight_request const& open);
    void abandon_request(caller_request_id id);
    void retry(std::size_t operation_index);
    void repeat_later(std::size_t operation_index);

    scheduler& time_;
    random_source& random_;
    fleet& nodes_;
    audit& checks_;
    deployment config_;
    bool stopped_ = false;
    std::vector<caller> callers_;
    std::vector<caller_operation> operations_;
    std::map<caller_request_id, in_flight_request> in_flight_;
    std::set<caller_request_id> delivered_; ///< requests that reached an entry host
    caller_request_id next_request_id_ = 1;
};

} // namespace cove
