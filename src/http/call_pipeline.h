#pragma once
/** @file Order of the requests of one client connection and of their responses. */

#include "core/strong_type.h"
#include "http/http_type.h"

#include <optional>
#include <vector>

namespace cove {

using call_id = strong_number<struct call_tag>; ///< one request received by a server

/** A request that was read completely. */
struct pipelined_call {
    call_id id;
    http_request request;
    bool concurrent = false; ///< may run beside others of its connection
    std::size_t bytes = 0;   ///< that it takes in memory until it starts
};

/** A response whose turn has come. */
struct due_response {
    http_response message;
    bool to_head = false; ///< answers a HEAD request, so it has no body
    bool closes = false;  ///< the connection closes after it
};

/**
 * Decides which requests of a connection run and which response is sent next. Responses are sent
 * in the order of the requests. A request that may not run beside others starts once all responses
 * before it are sent, and no request behind it is read until its own response is sent.
 */
class call_pipeline {
public:
    /** @param limit number of requests that are read and whose response is not sent; at least 1. */
    explicit call_pipeline(std::size_t limit) : limit_(limit) {}

    /** @return whether another request may be read. */
    [[nodiscard]] bool accepts() const;

    /** Appends a request; may only be called while accepts() is true. */
    void add(pipelined_call call);

    /**
     * Appends the response to a request that does not run; the connection closes after it. May only
     * be called while no request before it has announced the end of the connection.
     */
    void reject(http_response response);

    /** Reads no further request: the connection closes after the last response. */
    void end() { ended_ = true; }

    /**
     * @return the next request that may run now, once; nullopt if none may. Its body belongs to the
     * caller from then on and is not counted here any more.
     */
    std::optional<pipelined_call> start_next();

    /** Stores the response to a running call, until its turn; ignores other calls. */
    void respond(call_id id, http_response response);

    /**
     * @param stopping the connection closes after the last response that it owes.
     * @return the response to send now, once; nullopt if it is not there yet.
     */
    std::optional<due_response> take_response(bool stopping);

    /** The response that was taken is sent. */
    void sent();

    /** Drops everything. @return the calls that run, which are to be cancelled. */
    std::vector<call_id> clear();

    /** @return whether nothing is owed to the client. */
    [[nodiscard]] bool empty() const { return entries_.empty(); }

    /**
     * @return bytes of the requests that wait, of the headers of those that run and of the
     * responses that are not sent.
     */
    [[nodiscard]] std::size_t held() const;

    /** @return whether a request has no response yet. */
    [[nodiscard]] bool unanswered() const { return unanswered_calls() > 0; }

    /** @return the number of requests that have no response yet. */
    [[nodiscard]] std::size_t unanswered_calls() const;

    /** @return the number of requests whose response is not sent. */
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    enum class state { waiting, running, answered, sending };

    struct entry {
        call_id id;
        state at = state::waiting;
        bool concurrent = false;
        bool to_head = false;
        std::size_t bytes = 0; ///< of the request, of its header, then of the response
        bool closes = false;   ///< the client closes after the response
        std::optional<http_request> request; ///< while waiting
        std::optional<http_response> response;
    };

    std::size_t limit_;
    std::vector<entry> entries_; ///< in the order of the requests
    bool ended_ = false;
};

} // namespace cove
