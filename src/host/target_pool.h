#pragma once
/** @file Warm connections to targets. */

#include "http/exchange.h"
#include "http/loop_timers.h"
#include "traffic/target_type.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cove {

/** Keeps connections between requests for as long as the targets do. */
class target_pool {
public:
    using connection = std::shared_ptr<exchange_connection>;

    target_pool(boost::asio::io_context& loop, loop_timers& timers);
    ~target_pool();
    target_pool(target_pool const&) = delete;
    target_pool& operator=(target_pool const&) = delete;
    target_pool(target_pool&&) = delete;
    target_pool& operator=(target_pool&&) = delete;

    /**
     * @param may_repeat a request for which a connection that just went costs no more than a
     * repeat; others get a connection only while it is surely open.
     * @return a warm connection, or one that connects with its first request.
     */
    connection acquire(target_id const& target, std::string const& address, bool may_repeat);

    /** Takes a connection back if it can carry another request. */
    void release(target_id const& target, connection what);

    /** Ends the connections to targets that are not in @p targets. */
    void keep_only(std::set<target_id> const& targets);

private:
    void sweep();

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    std::map<target_id, std::vector<connection>> idle_; ///< the one used last at the back
    loop_timers::subscription sweep_ = 0;
};

} // namespace cove
