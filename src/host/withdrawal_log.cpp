#include "host/withdrawal_log.h"

namespace cove {

namespace {

char const* name_of(withdrawal reason)
{
    switch (reason) {
    case withdrawal::overdue:
        return "overdue";
    case withdrawal::cut_off:
        return "cut_off";
    case withdrawal::client_left:
        return "client_left";
    case withdrawal::time_limit:
        return "time_limit";
    case withdrawal::stop:
        return "stop";
    case withdrawal::host_failed:
        return "host_failed";
    }
    return "unknown";
}

} // namespace

void withdrawal_log::note(cancel_attempt const& effect, withdrawn_send const& send, mono_time now)
{
    ++counts_[effect.reason];
    log_fields fields{{"request", send.request},
                      {"send", std::to_string(effect.id.number.value)},
                      {"peer", send.peer},
                      {"service", send.service.value},
                      {"reason", name_of(effect.reason)},
                      {"sent", send.sent ? "1" : "0"},
                      {"running_ms", std::to_string(effect.running_for.count())}};
    if (effect.stopping_for) {
        fields.emplace_back("stopping_ms", std::to_string(effect.stopping_for->count()));
    }
    if (effect.cut_off_for) {
        fields.emplace_back("cut_off_ms", std::to_string(effect.cut_off_for->count()));
    }
    log_.event("send_withdrawn", std::move(fields), now);
}

std::string withdrawal_log::prometheus() const
{
    std::string out = "# TYPE cove_withdrawn_sends counter\n";
    for (auto const& [reason, count] : counts_) {
        out += std::string("cove_withdrawn_sends{reason=\"") + name_of(reason) + "\"} " +
               std::to_string(count) + "\n";
    }
    return out;
}

} // namespace cove
