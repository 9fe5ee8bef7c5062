#include "load/operation_log.h"

#include "settings/settings_table.h"

#include <algorithm>
#include <array>

namespace cove {

namespace {

using json = nlohmann::json;

/** Indexed by journal_event. */
constexpr std::array event_names{"started", "finished", "cancelled", "leaving"};

char const* event_name(journal_event event)
{
    return event_names.at(static_cast<std::size_t>(event));
}

journal_event parse_event(std::string const& name)
{
    auto const found = std::ranges::find(event_names, name);
    return static_cast<journal_event>(found - event_names.begin());
}

operation_line parse_operation_line(json const& in)
{
    return {in.at("operation"),
            in.at("intent"),
            in.at("class"),
            in.at("idempotent"),
            in.at("outcome"),
            in.at("answer"),
            in.at("entry"),
            in.at("step"),
            microseconds(in.at("latency_us").get<std::int64_t>())};
}

journal_line parse_journal_line(json const& in)
{
    return {in.at("operation"), in.at("class"), parse_event(in.at("event")),
            wall_time(microseconds(in.at("at_us").get<std::int64_t>()))};
}

/** Reads all lines that end with a newline; a killed process may leave a truncated last line. */
template <class Line>
result<std::vector<Line>> read_lines(std::string const& path, Line (*read)(json const&))
{
    std::ifstream file(path);
    if (!file) {
        return fail("log.read", path, "cannot open file");
    }
    std::vector<Line> lines;
    std::string text;
    while (std::getline(file, text)) {
        if (file.eof()) {
            break;
        }
        try {
            lines.push_back(read(json::parse(text)));
        }
        catch (json::exception const& error) {
            return fail("log.read", path, error.what());
        }
    }
    return lines;
}

} // namespace

json_lines_writer::json_lines_writer(std::string const& path)
{
    if (!path.empty()) {
        file_.open(path, std::ios::app);
    }
}

void json_lines_writer::write(operation_line const& line)
{
    append_line(json{{"operation", line.operation},
                     {"intent", line.intent},
                     {"class", line.request_class},
                     {"idempotent", line.idempotent},
                     {"outcome", line.outcome},
                     {"answer", line.answer},
                     {"entry", line.entry},
                     {"step", line.step},
                     {"latency_us", line.latency.count()}}
                    .dump());
}

void json_lines_writer::write(journal_line const& line)
{
    append_line(json{{"operation", line.operation},
                     {"class", line.request_class},
                     {"event", event_name(line.event)},
                     {"at_us", line.at.time_since_epoch().count()}}
                    .dump());
}

void json_lines_writer::append_line(std::string const& text)
{
    std::lock_guard const lock(mutex_);
    if (file_.is_open()) {
        file_ << text + "\n";
        file_.flush();
    }
}

result<std::vector<operation_line>> read_operation_lines(std::string const& path)
{
    return read_lines<operation_line>(path, parse_operation_line);
}

result<std::vector<journal_line>> read_journal_lines(std::string const& path)
{
    return read_lines<journal_line>(path, parse_journal_line);
}

} // namespace cove
