#pragma once
/** @file Finds the workspace of an access key. */

#include "workspace/workspace_type.h"

#include <optional>
#include <string_view>

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
    /** A hash table with open addressing: a look-up touches one line of it, and the key. */
    class index {
    public:
        /** @param keys number of keys that will be added. */
        explicit index(std::size_t keys);
        /** @param key must outlive this index. */
        void add(std::string const& key, workspace_config const& owner);
        [[nodiscard]] workspace_config const* find(std::string_view key) const;

    private:
        struct slot {
            std::uint64_t hash = 0;
            std::string const* key = nullptr;        ///< null: the slot is free
            workspace_config const* owner = nullptr; ///< null: the key belongs to none
        };

        /** @return the position of @p key, or of the free slot where it belongs. */
        [[nodiscard]] std::size_t position_of(std::string_view key, std::uint64_t hash) const;

        std::vector<slot> slots_; ///< a power of two, at most half of them in use
    };

    [[nodiscard]] std::size_t key_count() const;

    std::vector<workspace_config> workspaces_;
    index by_key_;
    mutable std::vector<std::string> fingerprints_;
    mutable std::optional<index> by_fingerprint_; ///< made when it is needed
};

} // namespace cove
