/** @file Long orders of legal size, one after another, whose clients leave early. */

#include "crowd.h"

namespace {

using namespace stand;

constexpr int long_orders = 10; ///< at each host, never two at a time
constexpr long leave_after_ms = 100;
constexpr long work_ms = 1500;

/** Sends a whole order of legal size and leaves soon after. */
void send_long_order(entry_host const& host, std::string const& attempt, record& notes)
{
    auto const link = connection::to(host.ip(), host.front(), milliseconds(1000));
    std::string const part(65'536, 'b');
    long sent = 0;
    bool open = link.open() &&
                link.send("POST /order/x HTTP/1.1\r\nHost: " + std::string(host_name) +
                          "\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: 2500" +
                          "\r\nContent-Length: " + std::to_string(legal_body_bytes) + "\r\n\r\n");
    while (open && sent < legal_body_bytes) {
        open = link.send(part);
        sent += open ? static_cast<long>(part.size()) : 0;
    }
    if (open) {
        sleep_ms(leave_after_ms);
    }
    notes.note("long order " + attempt + " at " + host.name() + ": " + std::to_string(sent) +
               " bytes sent, the client leaves");
}

void play_round(entry_host const& host, int round, record& notes)
{
    for (int i = 0; i < long_orders; ++i) {
        send_long_order(
            host, "long-" + host.name() + "-" + std::to_string(round) + std::to_string(i), notes);
    }
}

} // namespace

int main(int argc, char** argv)
{
    record notes(argc > 1 ? argv[1] : "record.txt");
    return run_crowd_case(notes, work_ms, play_round);
}
