#pragma once
/** @file A scheduled attempt of a caller. */

#include "load/lookup_client.h"

namespace cove {

/** A request attempt or cancellation scheduled for a caller. */
struct load_job {
    enum class job_kind { request, cancel };

    job_kind kind = job_kind::request;
    mono_time due;            ///< time of the attempt
    mono_time start;          ///< scheduled start of the request; latency is measured from here
    std::uint64_t intent = 0; ///< logical request; unchanged when retried under a new operation id
    std::size_t request_class = 0; ///< index into load_settings::classes
    std::size_t caller = 0;
    shared_lookup_answer hosts;    ///< look-up answer from which the operation id was made
    std::string operation;         ///< operation id; empty until assigned
    std::size_t host = 0;          ///< entry host to use: index into hosts, modulo their number
    int failed_attempts = 0;       ///< of this operation, so far
    int new_operation_retries = 0; ///< retries under a new operation id so far
    bool is_duplicate = false;     ///< second copy of an operation, sent to another entry host
};

} // namespace cove
