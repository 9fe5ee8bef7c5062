#pragma once
/** @file Pool of idle connections to targets. */

#include "http/exchange.h"
#include "http/loop_timers.h"
#include "traffic/target_type.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cove {

/** How a test of the link to a target ended. */
enum class probe_result {
    reached,   ///< a connection was established
    refused,   ///< the address refuses connections
    timed_out, ///< no reply in time
    failed,    ///< another error
};

/** Keeps connections open between requests, for as long as the targets keep them open. */
class target_connection_pool {
public:
    using connection = std::shared_ptr<exchange_connection>;

    /** @param limits of each connection. */
    target_connection_pool(boost::asio::io_context& loop, loop_timers& timers,
                           exchange_limits limits);
    ~target_connection_pool();
    target_connection_pool(target_connection_pool const&) = delete;
    target_connection_pool& operator=(target_connection_pool const&) = delete;
    target_connection_pool(target_connection_pool&&) = delete;
    target_connection_pool& operator=(target_connection_pool&&) = delete;

    /**
     * @param idempotent whether the request may run twice, so that a connection that the target has
     * just closed costs only a retry. Other requests get a connection only while the
     * target certainly keeps it open.
     * @param attempt_id of the request; none: never reused. A connection on which it was refused is
     * not used, because a faulty target may write that refusal once more.
     * @return an idle connection to @p address, or a new one that connects with its first request.
     */
    connection acquire(target_id const& target, std::string const& address, bool idempotent,
                       std::string const& attempt_id);

    /** Returns a connection to the pool, or closes it if it cannot be used for another request. */
    void release(target_id const& target, connection released);

    /**
     * Closes a connection on which an answer is overdue. If it has carried others, the idle ones to
     * @p target on which nothing has arrived since the request are closed too: they may have fallen
     * silent as well, and each would cost a request.
     */
    void give_up(target_id const& target, connection const& overdue);

    /**
     * Tests whether a target still takes connections; one that is established is kept for reuse.
     * @param done called once.
     */
    void probe(target_id const& target, std::string const& address,
               std::function<void(probe_result)> const& done);

    /** Closes the connections to targets that are not in @p targets. */
    void keep_only(std::set<target_id> const& targets);

    /** Closes the idle connections to @p target. */
    void drop(target_id const& target);

private:
    void sweep();

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    exchange_limits limits_;
    std::map<target_id, std::vector<connection>> idle_; ///< the most recently used at the back
    loop_timers::subscription sweep_ = 0;
};

} // namespace cove
