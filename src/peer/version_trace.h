#pragma once
/** @file The newest configuration that peers have announced, and when. */

#include "core/ids_type.h"
#include "core/time_type.h"

#include <string>

namespace cove {

/** Keeps the newest version of the configuration that any message has named. */
class version_trace {
public:
    /** A message has named @p version. @param source its kind and sender, for the log. */
    void hear(generation version, std::string const& source, mono_time now)
    {
        if (version > newest_) {
            newest_ = version;
            first_heard_ = now;
            source_ = source;
        }
    }

    /** @return the newest version announced; 0 before the first one. */
    [[nodiscard]] generation newest() const { return newest_; }

    [[nodiscard]] std::string const& source() const { return source_; }

    /** @return time since the newest version was first announced. */
    [[nodiscard]] milliseconds age(mono_time now) const
    {
        return std::chrono::duration_cast<milliseconds>(now - first_heard_);
    }

private:
    generation newest_;
    mono_time first_heard_{};
    std::string source_;
};

} // namespace cove
