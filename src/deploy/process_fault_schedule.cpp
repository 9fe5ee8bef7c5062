#include "deploy/fault_schedule.h"

#include "core/address.h"
#include "net/http_server.h"

#include <array>
#include <csignal>
#include <thread>

namespace cove {

namespace {

constexpr milliseconds least_gap{100};
constexpr milliseconds most_gap{1200};
constexpr milliseconds least_fault{200};
constexpr milliseconds most_fault{3000};
constexpr milliseconds after_restart{2500}; ///< until a restarted process is known again
constexpr milliseconds ask_timeout{500};
constexpr seconds stop_limit{30};
constexpr std::uint64_t fault_kinds = 3;

void ask(std::string const& where, std::string const& path)
{
    auto const parsed = parse_address(where);
    make_http_client(parsed->ip, parsed->port, ask_timeout)->Post(path);
}

} // namespace

fault_schedule::fault_schedule(local_deployment& running, std::uint64_t seed, std::ostream& journal)
    : running_(running), random_(seed), journal_(journal), begin_(read_clocks().mono)
{
}

void fault_schedule::run(microseconds duration)
{
    mono_time const end = read_clocks().mono + duration;
    while (read_clocks().mono < end) {
        std::this_thread::sleep_for(draw(least_gap, most_gap));
        undo_due(read_clocks().mono);
        inject_one();
    }
    undo_due(mono_time::max());
}

void fault_schedule::run_planned_stops(microseconds duration)
{
    mono_time const end = read_clocks().mono + duration;
    while (read_clocks().mono < end) {
        layout_process const& item = draw_process();
        if (item.kind == process_kind::link) {
            continue;
        }
        note("stop", item.name);
        running_.process(item.name).signal(SIGTERM);
        if (!running_.process(item.name).wait(stop_limit)) {
            note("stop_took_too_long", item.name);
            running_.process(item.name).signal(SIGKILL);
        }
        restart(item.name);
        std::this_thread::sleep_for(after_restart);
    }
}

void fault_schedule::inject_one()
{
    layout_process const& item = draw_process();
    std::uint64_t const kind = random_below(random_, fault_kinds);
    if (busy_.contains(item.name)) {
        return;
    }
    bool const link = item.kind == process_kind::link;
    bool const can_lie = item.kind == process_kind::target && kind == 2;
    if (link || can_lie) {
        disturb(item);
    }
    else if (kind == 0) {
        kill(item);
    }
    else {
        freeze(item);
    }
}

void fault_schedule::undo_due(mono_time now)
{
    std::erase_if(active_, [&](active_fault const& fault) {
        if (fault.end > now) {
            return false;
        }
        fault.undo();
        busy_.erase(fault.process);
        return true;
    });
}

void fault_schedule::kill(layout_process const& item)
{
    note("kill", item.name);
    running_.process(item.name).signal(SIGKILL);
    busy_.insert(item.name);
    active_.push_back({read_clocks().mono + draw(least_fault, most_fault), item.name,
                       [this, name = item.name] { restart(name); }});
}

void fault_schedule::freeze(layout_process const& item)
{
    note("freeze", item.name);
    running_.process(item.name).signal(SIGSTOP);
    busy_.insert(item.name);
    active_.push_back({read_clocks().mono + draw(least_fault, most_fault), item.name,
                       [this, name = item.name] { running_.process(name).signal(SIGCONT); }});
}

/** Cuts a link, or makes a target's reports mislead. */
void fault_schedule::disturb(layout_process const& item)
{
    static constexpr std::array reports{"frozen", "idle", "full", "silent"};
    bool const link = item.kind == process_kind::link;
    std::string const where = link ? item.admin : item.address;
    std::string const lie =
        std::string("/admin/report?load=") + reports.at(random_below(random_, reports.size()));
    note(link ? "cut" : "lie", item.name);
    ask(where, link ? "/admin/cut" : lie);
    busy_.insert(item.name);
    active_.push_back(
        {read_clocks().mono + draw(least_fault, most_fault), item.name,
         [where, link] { ask(where, link ? "/admin/mend" : "/admin/report?load=truth"); }});
}

void fault_schedule::restart(std::string const& name)
{
    running_.process(name).wait(stop_limit);
    note("restart", name);
    running_.process(name).start();
}

void fault_schedule::note(char const* what, std::string const& process)
{
    auto const at = std::chrono::duration_cast<milliseconds>(read_clocks().mono - begin_);
    journal_ << "at_ms=" << at.count() << " fault=" << what << " process=" << process
             << std::endl; // NOLINT(performance-avoid-endl)
    ++count_;
}

microseconds fault_schedule::draw(milliseconds least, milliseconds most)
{
    return least +
           milliseconds(random_below(random_, static_cast<std::uint64_t>((most - least).count())));
}

layout_process const& fault_schedule::draw_process()
{
    auto const& processes = running_.plan().processes;
    return processes[random_below(random_, processes.size())];
}

} // namespace cove
