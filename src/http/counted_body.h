#pragma once
/** @file Bodies of requests that count towards a memory budget for as long as they exist. */

#include "http/memory_budget.h"

#include <functional>
#include <memory>
#include <string>

namespace cove {

/**
 * @param memory none: the body is not counted. An empty body never is.
 * @param give_back as of memory_budget::join().
 * @return @p body, whose bytes count towards @p memory until its last owner frees it.
 */
std::shared_ptr<std::string> count_body(std::string body,
                                        std::shared_ptr<memory_budget> const& memory, holding what,
                                        std::function<void()> give_back);

} // namespace cove
