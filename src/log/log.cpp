#include "log/log_func.h"

#include "core/text_func.h"

#include <algorithm>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP // NOLINT

    namespace cove
{

    namespace {

    std::string quoted(std::string const& value)
    {
        bool const has_control = std::any_of(value.begin(), value.end(), is_control);
        if (!value.empty() && !has_control && value.find_first_of(" =\"") == std::string::npos) {
            return value;
        }
        std::string out = "\"";
        for (char const c : value) {
            if (c == '"' || c == '\\') {
                out += '\\';
            }
            out += is_control(c) ? ' ' : c;
        }
        return out + "\"";
    }

    } // namespace

    void start_log(std::string const& program, std::string const& name)
    {
        el::Configurations config;
        config.setToDefault();
        config.setGlobally(el::ConfigurationType::ToFile, "false");
        config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
        config.setGlobally(el::ConfigurationType::Format,
                           "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} program=" + program +
                               " name=" + name + " %msg");
        el::Loggers::reconfigureAllLoggers(config);
    }

    void log_event(std::string const& event, log_fields const& fields)
    {
        std::string line = "event=" + event;
        for (auto const& [key, value] : fields) {
            line += " " + key + "=" + quoted(value);
        }
        LOG(INFO) << line;
    }

} // namespace cove
