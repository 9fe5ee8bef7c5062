#include "deploy/process_fault_schedule.h"

#include "core/address.h"
#include "net/threaded_http_server.h"

#include <array>
#include <csignal>
#include <thread>

namespace cove {

namespace {

constexpr milliseconds min_pause{100};
constexpr milliseconds max_pause{1200};
constexpr milliseconds min_fault_time{200};
constexpr milliseconds max_fault_time{3000};
/** Pause after a restart, in which other processes learn of the restarted process. */
constexpr milliseconds recovery_time{2500};
constexpr milliseconds admin_timeout{500};
constexpr seconds stop_timeout{30};
/** 0 kills, 1 freezes, 2 makes a target report false loads and freezes others. Links are cut. */
constexpr std::uint64_t fault_kinds = 3;

void post_admin(std::string const& address, std::string const& path)
{
    auto const parsed = parse_address(address);
    make_http_client(parsed->ip, parsed->port, admin_timeout)->Post(path);
}

} // namespace

process_fault_schedule::process_fault_schedule(local_deployment& running, std::uint64_t seed,
                                               std::ostream& journal)
    : running_(running), random_(seed), journal_(journal), start_time_(read_clocks().mono)
{
}

void process_fault_schedule::run(microseconds duration)
{
    mono_time const end = read_clocks().mono + duration;
    while (read_clocks().mono < end) {
        std::this_thread::sleep_for(random_duration(min_pause, max_pause));
        revert_due_faults(read_clocks().mono);
        inject_fault();
    }
    revert_due_faults(mono_time::max());
}

void process_fault_schedule::run_planned_stops(microseconds duration)
{
    mono_time const end = read_clocks().mono + duration;
    while (read_clocks().mono < end) {
        layout_process const& item = random_process();
        if (item.kind == process_kind::link) {
            continue;
        }
        log_fault("stop", item.name);
        running_.process(item.name).signal(SIGTERM);
        if (!running_.process(item.name).wait(stop_timeout)) {
            log_fault("stop_took_too_long", item.name);
            running_.process(item.name).signal(SIGKILL);
        }
        restart(item.name);
        std::this_thread::sleep_for(recovery_time);
    }
}

void process_fault_schedule::inject_fault()
{
    layout_process const& item = random_process();
    std::uint64_t const kind = random_below(random_, fault_kinds);
    if (faulty_processes_.contains(item.name)) {
        return;
    }
    bool const link = item.kind == process_kind::link;
    bool const misreport = item.kind == process_kind::target && kind == 2;
    if (link || misreport) {
        inject_admin_fault(item);
    }
    else if (kind == 0) {
        kill(item);
    }
    else {
        freeze(item);
    }
}

void process_fault_schedule::revert_due_faults(mono_time now)
{
    std::erase_if(active_, [&](active_fault const& fault) {
        if (fault.end > now) {
            return false;
        }
        fault.revert();
        faulty_processes_.erase(fault.process);
        return true;
    });
}

void process_fault_schedule::kill(layout_process const& item)
{
    log_fault("kill", item.name);
    running_.process(item.name).signal(SIGKILL);
    faulty_processes_.insert(item.name);
    active_.push_back({read_clocks().mono + random_duration(min_fault_time, max_fault_time),
                       item.name, [this, name = item.name] { restart(name); }});
}

void process_fault_schedule::freeze(layout_process const& item)
{
    log_fault("freeze", item.name);
    running_.process(item.name).signal(SIGSTOP);
    faulty_processes_.insert(item.name);
    active_.push_back({read_clocks().mono + random_duration(min_fault_time, max_fault_time),
                       item.name,
                       [this, name = item.name] { running_.process(name).signal(SIGCONT); }});
}

/** Cuts a link, or makes a target report false loads. */
void process_fault_schedule::inject_admin_fault(layout_process const& item)
{
    static constexpr std::array report_modes{"frozen", "idle", "full", "silent"};
    bool const link = item.kind == process_kind::link;
    std::string const address = link ? item.admin_address : item.address;
    std::string const report_path = std::string("/admin/report?load=") +
                                    report_modes.at(random_below(random_, report_modes.size()));
    log_fault(link ? "cut" : "lie", item.name);
    post_admin(address, link ? "/admin/cut" : report_path);
    faulty_processes_.insert(item.name);
    active_.push_back({read_clocks().mono + random_duration(min_fault_time, max_fault_time),
                       item.name, [address, link] {
                           post_admin(address, link ? "/admin/mend" : "/admin/report?load=truth");
                       }});
}

void process_fault_schedule::restart(std::string const& name)
{
    running_.process(name).wait(stop_timeout);
    log_fault("restart", name);
    running_.process(name).start();
}

void process_fault_schedule::log_fault(char const* what, std::string const& process)
{
    auto const at = std::chrono::duration_cast<milliseconds>(read_clocks().mono - start_time_);
    journal_ << "at_ms=" << at.count() << " fault=" << what << " process=" << process
             << std::endl; // NOLINT(performance-avoid-endl)
    ++count_;
}

microseconds process_fault_schedule::random_duration(milliseconds min, milliseconds max)
{
    return min +
           milliseconds(random_below(random_, static_cast<std::uint64_t>((max - min).count())));
}

layout_process const& process_fault_schedule::random_process()
{
    auto const& processes = running_.plan().processes;
    return processes[random_below(random_, processes.size())];
}

} // namespace cove
