#pragma once
/** @file A TCP forwarder that simulates delay, jitter, limited bandwidth and partitions. */

#include "core/address.h"
#include "core/random.h"
#include "standin/link_settings.h"

#include <atomic>
#include <deque>
#include <list>
#include <thread>

namespace cove {

/** Forwards TCP connections to one address, on a thread of its own. */
class standin_link_server {
public:
    explicit standin_link_server(link_settings settings);
    ~standin_link_server();
    standin_link_server(standin_link_server const&) = delete;
    standin_link_server& operator=(standin_link_server const&) = delete;
    standin_link_server(standin_link_server&&) = delete;
    standin_link_server& operator=(standin_link_server&&) = delete;

    /** Binds the address and starts the forwarding thread. */
    result<void> start();

    /** While cut, no bytes are forwarded but connections stay open, as in a network partition. */
    void set_cut(bool on) { cut_ = on; }

    /** Sets the delay added in each direction and the upper bound of the random extra delay. */
    void set_delay(milliseconds delay, milliseconds jitter);

    /** @return bytes forwarded so far, in both directions. */
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

private:
    /** Bytes received but not yet delivered. */
    struct chunk {
        mono_time due;
        std::string bytes;
    };

    /** One direction of a connection. */
    struct direction {
        int from = -1;
        int to = -1;
        std::deque<chunk> chunks;
        std::size_t queued_bytes = 0;
        mono_time link_free_at{};  ///< when a link of this bandwidth has sent all bytes so far
        bool read_closed = false;  ///< the sender has closed its side
        bool write_closed = false; ///< the close was forwarded
        bool broken = false;
    };

    struct connection {
        direction upstream;
        direction downstream;
    };

    void run(std::stop_token const& stop);
    void accept_one();
    void receive(direction& dir, mono_time now);
    void deliver(direction& dir, mono_time now);
    void forward(mono_time now);
    microseconds sample_delay();

    link_settings settings_;
    int listener_ = -1;
    random_engine random_;
    std::list<connection> connections_;
    std::atomic<bool> cut_ = false;
    std::atomic<std::int64_t> delay_ms_;
    std::atomic<std::int64_t> jitter_ms_;
    std::atomic<std::uint64_t> bytes_ = 0;
    std::jthread thread_;
};

} // namespace cove
