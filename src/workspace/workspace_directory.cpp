#include "workspace/workspace_directory.h"

#include "core/hash_func.h"
#include "workspace/access_key.h"

#include <bit>

namespace cove {

workspace_directory::index::index(std::size_t keys) : slots_(std::bit_ceil(2 * keys + 1)) {}

std::size_t workspace_directory::index::position_of(std::string_view key, std::uint64_t hash) const
{
    std::size_t const mask = slots_.size() - 1;
    std::size_t at = hash & mask;
    while (slots_[at].key != nullptr && (slots_[at].hash != hash || *slots_[at].key != key)) {
        at = (at + 1) & mask;
    }
    return at;
}

void workspace_directory::index::add(std::string const& key, workspace_config const& owner)
{
    std::uint64_t const hash = stable_hash(key);
    slot& place = slots_[position_of(key, hash)];
    if (place.key == nullptr) {
        place = {hash, &key, &owner};
    }
    else if (place.owner != &owner) {
        place.owner = nullptr;
    }
}

workspace_config const* workspace_directory::index::find(std::string_view key) const
{
    return slots_[position_of(key, stable_hash(key))].owner;
}

workspace_directory::workspace_directory(std::vector<workspace_config> workspaces)
    : workspaces_(std::move(workspaces)), by_key_(key_count())
{
    for (workspace_config const& workspace : workspaces_) {
        for (std::string const& key : workspace.keys) {
            by_key_.add(key, workspace);
        }
    }
}

std::size_t workspace_directory::key_count() const
{
    std::size_t count = 0;
    for (workspace_config const& workspace : workspaces_) {
        count += workspace.keys.size();
    }
    return count;
}

workspace_config const* workspace_directory::find(std::string_view key) const
{
    return by_key_.find(key);
}

workspace_config const* workspace_directory::find_fingerprint(std::string_view fingerprint) const
{
    if (!by_fingerprint_) {
        std::size_t const keys = key_count();
        by_fingerprint_.emplace(keys);
        fingerprints_.reserve(keys); // the index points to its elements
        for (workspace_config const& workspace : workspaces_) {
            for (std::string const& key : workspace.keys) {
                by_fingerprint_->add(fingerprints_.emplace_back(key_fingerprint(key)), workspace);
            }
        }
    }
    return by_fingerprint_->find(fingerprint);
}

} // namespace cove
