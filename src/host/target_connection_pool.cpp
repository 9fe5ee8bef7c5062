#include "host/target_connection_pool.h"

#include <algorithm>

namespace cove {

namespace {

/// Assumed for targets that do not announce how long they keep an idle connection.
constexpr milliseconds default_idle_limit{4000};
/// Subtracted from the announced time for the transfer, and because targets announce whole seconds.
constexpr milliseconds idle_limit_margin{1000};
/// Fraction of the idle limit within which a connection is certainly still open, so that it can
/// carry a request that must not run twice.
constexpr double safe_idle_fraction = 0.5;
constexpr std::size_t max_refused_ids = 32; ///< on one connection
constexpr milliseconds sweep_interval{1000};
/// A few round trips between regions; the retry of the request waits for it.
constexpr milliseconds probe_timeout{250};

milliseconds idle_limit(exchange_connection const& connection)
{
    auto const announced = connection.keep_alive();
    if (!announced) {
        return default_idle_limit;
    }
    return std::max(milliseconds{0}, milliseconds(*announced) - idle_limit_margin);
}

} // namespace

target_connection_pool::target_connection_pool(boost::asio::io_context& loop, loop_timers& timers,
                                               exchange_limits limits)
    : loop_(loop), timers_(timers), limits_(std::move(limits))
{
    sweep_ = timers_.every(sweep_interval, [this] { sweep(); });
}

target_connection_pool::~target_connection_pool()
{
    timers_.cancel(sweep_);
}

target_connection_pool::connection target_connection_pool::acquire(target_id const& target,
                                                                   std::string const& address,
                                                                   bool idempotent,
                                                                   std::string const& attempt_id)
{
    http_endpoint const peer = endpoint_of(address);
    if (attempt_id.empty()) { // a late copy of another response could not be told from this one
        return std::make_shared<exchange_connection>(loop_, peer, limits_);
    }
    mono_time const now = read_clocks().mono;
    auto& idle = idle_[target];
    for (auto next = idle.end(); next != idle.begin();) {
        connection const last = *--next;
        auto const& refused = last->refused_here;
        if (std::find(refused.begin(), refused.end(), attempt_id) != refused.end()) {
            continue;
        }
        next = idle.erase(next);
        auto const fraction = idempotent ? 1.0 : safe_idle_fraction;
        auto const longest =
            std::chrono::duration<double, std::milli>(idle_limit(*last)) * fraction;
        // A target that starts again under its id may have another address.
        if (last->peer() == peer && now - last->idle_since < longest && last->usable()) {
            last->taken = now;
            return last;
        }
        last->close();
    }
    return std::make_shared<exchange_connection>(loop_, peer, limits_);
}

void target_connection_pool::release(target_id const& target, connection released)
{
    if (!released->usable() || released->refused_here.size() >= max_refused_ids) {
        released->close();
        return;
    }
    released->idle_since = read_clocks().mono;
    idle_[target].push_back(std::move(released));
}

void target_connection_pool::give_up(target_id const& target, connection const& overdue)
{
    overdue->close();
    auto const idle = idle_.find(target);
    if (overdue->idle_since == mono_time{} || idle == idle_.end()) {
        return;
    }
    std::erase_if(idle->second, [&overdue](connection const& each) {
        bool const suspicious = each->idle_since <= overdue->taken;
        if (suspicious) {
            each->close();
        }
        return suspicious;
    });
}

void target_connection_pool::probe(target_id const& target, std::string const& address,
                                   std::function<void(probe_result)> const& done)
{
    auto const tested = std::make_shared<exchange_connection>(loop_, endpoint_of(address), limits_);
    auto const timeout = timers_.once(read_clocks().mono + probe_timeout, [tested, done] {
        tested->close();
        done(probe_result::timed_out);
    });
    tested->connect([this, target, tested, timeout, done](boost::system::error_code error) {
        timers_.cancel(timeout);
        if (!error) {
            release(target, tested);
            done(probe_result::reached);
            return;
        }
        tested->close();
        done(error == boost::asio::error::connection_refused ? probe_result::refused
                                                             : probe_result::failed);
    });
}

void target_connection_pool::keep_only(std::set<target_id> const& targets)
{
    std::erase_if(idle_, [&targets](auto const& item) {
        if (targets.contains(item.first)) {
            return false;
        }
        for (connection const& each : item.second) {
            each->close();
        }
        return true;
    });
}

void target_connection_pool::drop(target_id const& target)
{
    auto const found = idle_.find(target);
    if (found == idle_.end()) {
        return;
    }
    for (connection const& each : found->second) {
        each->close();
    }
    idle_.erase(found);
}

void target_connection_pool::sweep()
{
    mono_time const now = read_clocks().mono;
    for (auto& [target, idle] : idle_) {
        std::erase_if(idle, [now](connection const& each) {
            bool const old = now - each->idle_since >= idle_limit(*each) || !each->usable();
            if (old) {
                each->close();
            }
            return old;
        });
    }
}

} // namespace cove
