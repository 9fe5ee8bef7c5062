#include "workspace/workspace_directory.h"

#include "workspace/access_key.h"

namespace cove {

workspace_directory::workspace_directory(std::vector<workspace_config> workspaces)
    : workspaces_(std::move(workspaces))
{
    for (workspace_config const& workspace : workspaces_) {
        for (std::string const& key : workspace.keys) {
            auto const [entry, added] = by_key_.try_emplace(key, &workspace);
            if (!added && entry->second != &workspace) {
                entry->second = nullptr;
            }
        }
    }
}

workspace_config const* workspace_directory::find_in(index const& entries, std::string_view key)
{
    auto const found = entries.find(key);
    return found == entries.end() ? nullptr : found->second;
}

workspace_config const* workspace_directory::find(std::string_view key) const
{
    return find_in(by_key_, key);
}

workspace_config const* workspace_directory::find_fingerprint(std::string_view fingerprint) const
{
    if (by_fingerprint_.empty()) {
        for (auto const& [key, workspace] : by_key_) {
            by_fingerprint_.emplace(key_fingerprint(key), workspace);
        }
    }
    return find_in(by_fingerprint_, fingerprint);
}

} // namespace cove
