#include "ctl/ctl_options.h"

#include "config/config_json.h"
#include "config/json_reader.h"
#include "settings/settings_table.h"

#include <iostream>
#include <sstream>

namespace cove {

ctl_report make_report(int exit_code, std::vector<std::string> lines, nlohmann::json values)
{
    values["exit_code"] = exit_code;
    return {exit_code, std::move(lines), std::make_shared<nlohmann::json>(std::move(values))};
}

ctl_report report_error(int exit_code, step_error const& error)
{
    return make_report(
        exit_code, {to_string(error)},
        {{"error", {{"step", error.step}, {"peer", error.peer}, {"message", error.message}}}});
}

result<deployment> read_configuration_file(std::string const& path)
{
    if (path != "-") {
        auto const text = read_file(path);
        return text ? parse_deployment(*text, path)
                    : result<deployment>(tl::make_unexpected(text.error()));
    }
    std::ostringstream text;
    text << std::cin.rdbuf();
    return parse_deployment(text.str(), "standard input");
}

result<wall_time> read_time_option(std::string const& text)
{
    if (text.empty()) {
        return std::chrono::floor<seconds>(read_clocks().wall);
    }
    nlohmann::json const object{{"time", text}};
    try {
        return object_reader(object, json_pointer()).time("time");
    }
    catch (format_error const& error) {
        return fail("option.check", "--time", error.message);
    }
}

} // namespace cove
