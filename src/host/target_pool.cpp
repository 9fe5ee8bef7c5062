#include "host/target_pool.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds default_keep{4000}; ///< when a target does not say how long it keeps
constexpr milliseconds keep_margin{1000};  ///< on the way, and since targets count whole seconds
constexpr double sure_share = 0.5;         ///< of that time: a connection that is surely open
constexpr milliseconds sweep_interval{1000};

milliseconds kept_by(exchange_connection const& connection)
{
    auto const said = connection.keep_alive();
    if (!said) {
        return default_keep;
    }
    return std::max(milliseconds{0}, milliseconds(*said) - keep_margin);
}

} // namespace

target_pool::target_pool(boost::asio::io_context& loop, loop_timers& timers)
    : loop_(loop), timers_(timers)
{
    sweep_ = timers_.every(sweep_interval, [this] { sweep(); });
}

target_pool::~target_pool()
{
    timers_.cancel(sweep_);
}

target_pool::connection target_pool::acquire(target_id const& target, std::string const& address,
                                             bool may_repeat)
{
    mono_time const now = read_clocks().mono;
    auto& idle = idle_[target];
    while (!idle.empty()) {
        connection const last = idle.back();
        idle.pop_back();
        auto const share = may_repeat ? 1.0 : sure_share;
        auto const longest = std::chrono::duration<double, std::milli>(kept_by(*last)) * share;
        if (now - last->idle_since < longest && last->usable()) {
            return last;
        }
        last->close();
    }
    return std::make_shared<exchange_connection>(loop_, endpoint_of(address), exchange_limits{});
}

void target_pool::release(target_id const& target, connection what)
{
    if (!what->usable()) {
        what->close();
        return;
    }
    what->idle_since = read_clocks().mono;
    idle_[target].push_back(std::move(what));
}

void target_pool::keep_only(std::set<target_id> const& targets)
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

void target_pool::sweep()
{
    mono_time const now = read_clocks().mono;
    for (auto& [target, idle] : idle_) {
        std::erase_if(idle, [now](connection const& each) {
            bool const old = now - each->idle_since >= kept_by(*each) || !each->usable();
            if (old) {
                each->close();
            }
            return old;
        });
    }
}

} // namespace cove
