#pragma once
/** @file Log lines and counters of the sends that this host withdraws. */

#include "log/log_limiter.h"
#include "traffic/traffic_effect.h"

#include <cstdint>
#include <map>
#include <string>

namespace cove {

/** A send that is withdrawn, as the log names it. */
struct withdrawn_send {
    std::string request;
    std::string peer; ///< target, or address of another host
    service_id service;
    bool sent = false; ///< at least a part of it
};

/** Notes withdrawn sends. Its lines have a limit of their own, apart from those of failures. */
class withdrawal_log {
public:
    void note(cancel_attempt const& effect, withdrawn_send const& send, mono_time now);

    /** @return the number of withdrawn sends by reason, as Prometheus text. */
    [[nodiscard]] std::string prometheus() const;

    /** @return number of lines that the limit left out since the start. */
    [[nodiscard]] std::uint64_t left_out() const { return log_.dropped(); }

private:
    log_limiter log_;
    std::map<withdrawal, std::uint64_t> counts_{
        {withdrawal::overdue, 0},    {withdrawal::cut_off, 0}, {withdrawal::client_left, 0},
        {withdrawal::time_limit, 0}, {withdrawal::stop, 0},    {withdrawal::host_failed, 0}};
};

} // namespace cove
