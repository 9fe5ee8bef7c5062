/** @file Several changes of one target in one answer of the store. */

#include "support/host_case.h"

namespace cove {
namespace {

struct change_case {
    char const* name;
    std::vector<std::optional<target_phase>> changes; ///< of the listed target; none: removed
    unsigned status;                                  ///< of a request after them
};

class changes_of_one_answer : public host_case, public testing::WithParamInterface<change_case> {};

// RECOVER: a target that was removed and created within one answer got no requests any more, as
// the removals of an answer were applied after its other changes.
TEST_P(changes_of_one_answer, count_in_their_order)
{
    scripted_server target(loop, [](std::string const&) {
        return scripted_answer{served, connection_action::keep};
    });
    configure(1, "/a/");
    list({&target}, 10);
    ASSERT_EQ(status("/a/1"), 200U);
    target_changes changes{position(10), position(20), {}};
    std::int64_t incarnation = 1;
    for (auto const& phase : GetParam().changes) {
        target_change change{target_id("t0"), std::nullopt};
        if (phase) {
            change.entry = desk_targets({&target}).front();
            change.entry->phase = *phase;
            change.entry->incarnation = target_incarnation(incarnation);
        }
        ++incarnation;
        changes.changes.push_back(std::move(change));
    }
    store.targets_changed(changes);
    EXPECT_EQ(status("/a/2"), GetParam().status);
}

constexpr std::optional<target_phase> removed = std::nullopt;

INSTANTIATE_TEST_SUITE_P(
    cases, changes_of_one_answer,
    testing::Values(
        change_case{"restarted", {target_phase::leaving, removed, target_phase::serving}, 200},
        change_case{"removed", {target_phase::serving, removed}, 503},
        change_case{
            "left_again", {removed, target_phase::serving, removed, target_phase::leaving}, 503},
        change_case{"restarted_twice",
                    {removed, target_phase::serving, removed, target_phase::serving},
                    200}),
    [](auto const& info) { return info.param.name; });

} // namespace
} // namespace cove
