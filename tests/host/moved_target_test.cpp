/** @file Targets that start again under their id at another address. */

#include "support/host_case.h"

namespace cove {
namespace {

class moved_target : public host_case {
protected:
    moved_target()
        : before(loop, [](std::string const&) { return scripted_answer{served}; }),
          after(loop, [](std::string const&) { return scripted_answer{served}; })
    {
        configure(1, "/a/", true);
        list({&before});
    }

    /** The target starts again at the address of `after`. */
    void move()
    {
        auto entries = desk_targets({&after});
        entries[0].incarnation = target_incarnation(2);
        store.targets_changed({position(1), position(2), {{entries[0].id, entries[0]}}});
    }

    scripted_server before;
    scripted_server after;
};

// The pool named connections by the target's id alone: a request went to the former address, where
// another target may be by now.
TEST_F(moved_target, gets_no_request_on_a_connection_to_its_former_address)
{
    ASSERT_EQ(status("/a/1"), 200U);
    move();
    EXPECT_EQ(status("/a/2"), 200U);
    EXPECT_EQ(before.request_heads.size(), 1U);
    EXPECT_EQ(after.request_heads.size(), 1U);
}

} // namespace
} // namespace cove
