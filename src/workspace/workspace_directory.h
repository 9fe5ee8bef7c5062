#pragma once
/** @file Finds the workspace of an access key. */

#include "core/hash_func.h"
#include "workspace/workspace_type.h"

#include <string_view>
#include <unordered_map>

namespace cove {

/** The workspaces of one configuration by access key. */
class workspace_directory {
public:
    /** A key that several workspaces list belongs to none of them. */
    explicit workspace_directory(std::vector<workspace_config> workspaces);
    workspace_directory(workspace_directory const&) = delete;
    workspace_directory& operator=(workspace_directory const&) = delete;
    workspace_directory(workspace_directory&&) = delete;
    workspace_directory& operator=(workspace_directory&&) = delete;
    ~workspace_directory() = default;

    /** @return the workspace that has @p key, or null; valid as long as this directory. */
    [[nodiscard]] workspace_config const* find(std::string_view key) const;

    /**
     * The first call computes the fingerprints of all keys. Only hosts that carry requests for
     * others need them, so that a new configuration doesn't cost every host a hash for each key.
     * @param fingerprint as key_fingerprint() makes it.
     * @return the workspace that has a key with this fingerprint, or null.
     */
    [[nodiscard]] workspace_config const* find_fingerprint(std::string_view fingerprint) const;

private:
    struct key_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view key) const { return stable_hash(key); }
    };
    using index = std::unordered_map<std::string, workspace_config const*, key_hash,
                                     std::equal_to<>>; // null: the key belongs to none

    static workspace_config const* find_in(index const& entries, std::string_view key);

    std::vector<workspace_config> workspaces_;
    index by_key_;
    mutable index by_fingerprint_; ///< empty before it is needed
};

} // namespace cove
