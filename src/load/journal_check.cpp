#include "load/journal_check.h"

#include <unordered_map>
#include <unordered_set>

namespace cove {

namespace {

constexpr std::size_t max_examples = 10;

/** Counts a violation and keeps the first max_examples as text. */
void add_violation(journal_check_result& out, std::uint64_t& counter, char const* violation,
                   operation_line const& line)
{
    ++counter;
    if (out.examples.size() < max_examples) {
        out.examples.push_back(std::string(violation) + " operation=" + line.operation + " class=" +
                               line.request_class + " entry=" + line.entry + " step=" + line.step);
    }
}

/** @return the number of starts of each operation id. */
std::unordered_map<std::string, int> count_starts(std::vector<journal_line> const& journal)
{
    std::unordered_map<std::string, int> starts;
    for (journal_line const& line : journal) {
        if (line.event == journal_event::started) {
            ++starts[line.operation];
        }
    }
    return starts;
}

} // namespace

journal_check_result check_journals(std::vector<operation_line> const& operations,
                                    std::vector<journal_line> const& journal)
{
    auto const starts = count_starts(journal);
    std::unordered_set<std::string> seen_operations;
    std::unordered_map<std::uint64_t, int> intent_starts;
    std::unordered_set<std::uint64_t> doubled_intents;
    journal_check_result out;
    for (operation_line const& line : operations) {
        auto const found = starts.find(line.operation);
        int const started = found == starts.end() ? 0 : found->second;
        ++out.answers;
        if (line.outcome == "lost") {
            add_violation(out, out.lost, "lost", line);
        }
        if (line.outcome == "not_run" && started > 0 && !line.idempotent) {
            add_violation(out, out.false_not_run, "false_not_run", line);
        }
        if (line.outcome == "done" && started == 0 && !line.idempotent) {
            add_violation(out, out.false_done, "false_done", line);
        }
        if (line.answer == "wrong") {
            add_violation(out, out.wrong_answer, "wrong_answer", line);
        }
        if (line.outcome == "unknown" && started > 0 && !line.idempotent) {
            ++out.cut_off;
        }
        if (!line.idempotent && seen_operations.insert(line.operation).second) {
            intent_starts[line.intent] += started;
            if (intent_starts[line.intent] > 1 && doubled_intents.insert(line.intent).second) {
                add_violation(out, out.doubled, "doubled", line);
            }
        }
    }
    return out;
}

} // namespace cove
