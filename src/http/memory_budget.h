#pragma once
/** @file Bounds the memory that is buffered for clients, targets and other hosts together. */

#include <cstdint>
#include <functional>
#include <map>

namespace cove {

/** What a holder buffers, in the order in which holders have to release their bytes. */
enum class holding {
    incomplete_request,
    request, ///< queued or running
    response,
    committed, ///< a request that runs on whatever happens; does not have to release its bytes
};

/**
 * Counts the bytes that several holders keep in memory. When the sum exceeds the limit, the holder
 * of the most has to give its bytes back, so that ordinary requests are not affected by a few that
 * do not end.
 */
class memory_budget {
public:
    using holder = std::uint64_t;

    /** @param limit bytes of all holders together. */
    explicit memory_budget(std::uint64_t limit) : limit_(limit) {}

    /**
     * Adds a holder of no bytes.
     * @param give_back called once if the holder has to give its bytes back; it is then no holder
     * any more. Not called while it is holding::committed.
     */
    holder join(std::function<void()> give_back);

    /**
     * Sets the bytes of a holder. May call give_back of any holder, also of this one. Holders of
     * few bytes are spared while there are others.
     */
    void hold(holder who, std::uint64_t bytes, holding what = holding::response);

    /** Removes a holder with its bytes; one that has already been removed is ignored. */
    void leave(holder who);

    /** @return bytes of all holders. */
    [[nodiscard]] std::uint64_t held() const { return held_; }

    /**
     * @return whether a request of @p bytes may be committed: the committed ones leave a quarter of
     * the limit to others, unless there is only one. One of few bytes always may be.
     */
    [[nodiscard]] bool may_commit(std::uint64_t bytes) const;

    /** @return whether little is left, so that no more should be taken in than necessary. */
    [[nodiscard]] bool nearly_full() const { return held_ > limit_ - limit_ / 4; }

    /** @return how often a holder had to give its bytes back. */
    [[nodiscard]] std::uint64_t reclaims() const { return reclaims_; }

private:
    struct account {
        std::uint64_t bytes = 0;
        holding what = holding::response;
        std::function<void()> give_back;
    };

    bool reclaim_from_largest();
    void set(account& of, std::uint64_t bytes, holding what);

    std::uint64_t limit_;
    std::uint64_t held_ = 0;
    std::uint64_t committed_ = 0; ///< part of held_
    std::uint64_t reclaims_ = 0;
    holder last_holder_ = 0;
    std::map<holder, account> accounts_;
};

} // namespace cove
