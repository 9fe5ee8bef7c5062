/** @file Large bodies at the address for look-ups, while ordinary callers send orders. */

#include "crowd.h"

namespace {

using namespace stand;

constexpr int crowd_size = 8; ///< at each host
constexpr long stay_open_ms = 3000;
constexpr long work_ms = 200;

/** One client of the crowd: announces a body of legal size and stops short of its end. */
void send_large_body(entry_host const& host, record& notes)
{
    auto const link = connection::to(host.ip(), host.directory(), milliseconds(1000));
    std::string const part(65'536, 'b');
    long sent = 0;
    bool open =
        link.open() && link.send("POST /sycamorecove/resolve?name=" + std::string(host_name) +
                                 " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                 std::to_string(legal_body_bytes) + "\r\n\r\n");
    while (open && sent + static_cast<long>(part.size()) < legal_body_bytes) {
        open = link.send(part);
        sent += open ? static_cast<long>(part.size()) : 0;
    }
    notes.note("a client sent " + std::to_string(sent) + " bytes to the directory of " +
               host.name());
    if (open) {
        sleep_ms(stay_open_ms);
    }
}

void play_round(entry_host const& host, int /*round*/, record& notes)
{
    std::vector<std::thread> crowd;
    for (int i = 0; i < crowd_size; ++i) {
        crowd.emplace_back([&] { send_large_body(host, notes); });
    }
    for (std::thread& each : crowd) {
        each.join();
    }
}

} // namespace

int main(int argc, char** argv)
{
    record notes(argc > 1 ? argv[1] : "record.txt");
    return run_crowd_case(notes, work_ms, play_round);
}
