#pragma once
/** @file Forwarders on loopback links that inject faults. */

#include "process_soak/step_schedule.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cove {

/** Forwards connections from one address to another; a thread of its own serves all links. */
class link_proxies {
public:
    link_proxies();
    ~link_proxies();
    link_proxies(link_proxies const&) = delete;
    link_proxies& operator=(link_proxies const&) = delete;
    link_proxies(link_proxies&&) = delete;
    link_proxies& operator=(link_proxies&&) = delete;

    /**
     * Adds a link from @p listen to @p server, both as IP:port.
     * @return its number.
     * @throws boost::system::system_error if it cannot listen.
     */
    std::size_t add(std::string const& listen, std::string const& server);

    /** Returns when @p fault is in effect. */
    void break_link(std::size_t number, link_fault fault);

    /** New connections work again; those that were muted stay so and are closed with their ends. */
    void mend_link(std::size_t number);

private:
    class link;
    void run_on_loop(std::function<void()> action);

    boost::asio::io_context loop_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::vector<std::shared_ptr<link>> links_;
    std::thread thread_;
};

} // namespace cove
