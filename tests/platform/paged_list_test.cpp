#include "platform/store_client.h"
#include "support/position.h"
#include "support/scripted_server.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

// The pages of a list that were read before and after the store went back do not fit together.
TEST(store_client, does_not_deliver_a_list_during_which_the_store_went_back)
{
    boost::asio::io_context loop;
    loop_timers timers(loop);
    int pages = 0;
    scripted_server store(loop, [&](std::string const&) {
        ++pages;
        std::string const body = R"({"items":[{"metadata":{"name":"i-)" + std::to_string(pages) +
                                 R"("}}],"has_more":)" + (pages == 1 ? "true" : "false") +
                                 R"(,"store_revision":10})";
        return scripted_answer{"HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(pages) +
                               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                               body};
    });
    int listed = 0;
    store_era latest;
    store_hooks hooks;
    hooks.evacuations_listed = [&](evacuation_snapshot const&) { ++listed; };
    hooks.era_began = [&](store_era era) { latest = era; };
    store_client client(loop, timers, store.address(), hooks);
    std::optional<follow_result> ended;
    client.calls().evacuations.list(read_freshness::current,
                                    [&](follow_result const& got) { ended = got; });
    ASSERT_TRUE(run_until(loop, [&] { return ended.has_value(); }));
    EXPECT_EQ(ended->status, follow_status::failed);
    EXPECT_EQ(ended->at.era, store_era(2));
    EXPECT_EQ(latest, store_era(2));
    EXPECT_EQ(pages, 2);
    EXPECT_EQ(listed, 0);
}

struct page_age_case {
    char const* name;
    std::vector<std::uint64_t> revisions; ///< of the pages, in order
    std::uint64_t position;               ///< of the list
};

class page_ages : public testing::TestWithParam<page_age_case> {};

// DRAIN: a list that may be stale began at the revision of its first page. Changes between that and
// an older page were never delivered, so a target that leaves went on getting requests.
TEST_P(page_ages, give_a_list_the_position_of_its_oldest_page)
{
    auto const& revisions = GetParam().revisions;
    boost::asio::io_context loop;
    loop_timers timers(loop);
    std::size_t pages = 0;
    scripted_server store(loop, [&](std::string const&) {
        std::size_t const page = std::min(pages++, revisions.size() - 1);
        std::string const body = R"({"items":[{"metadata":{"name":"i-)" + std::to_string(page) +
                                 R"("}}],"has_more":)" +
                                 (page + 1 < revisions.size() ? "true" : "false") +
                                 R"(,"store_revision":)" + std::to_string(revisions[page]) + "}";
        return scripted_answer{"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body};
    });
    std::optional<store_position> listed;
    store_hooks hooks;
    hooks.evacuations_listed = [&](evacuation_snapshot const& list) { listed = list.at; };
    store_client client(loop, timers, store.address(), hooks);
    std::optional<follow_result> ended;
    client.calls().evacuations.list(read_freshness::may_be_stale,
                                    [&](follow_result const& got) { ended = got; });
    ASSERT_TRUE(run_until(loop, [&] { return ended.has_value(); }));
    EXPECT_EQ(ended->status, follow_status::done);
    EXPECT_EQ(ended->at, position(GetParam().position)); // from which the watch starts
    EXPECT_EQ(listed, position(GetParam().position));
}

INSTANTIATE_TEST_SUITE_P(cases, page_ages,
                         testing::Values(page_age_case{"the_same", {10, 10}, 10},
                                         page_age_case{"the_second_is_older", {10, 5}, 5},
                                         page_age_case{"the_second_is_newer", {5, 10}, 5},
                                         page_age_case{"one_between_is_older", {10, 7, 9}, 7}),
                         [](auto const& info) { return info.param.name; });

struct endless_list_case {
    char const* name;
    std::vector<std::string> pages; ///< items of the pages, which are served in turn
};

class endless_lists : public testing::TestWithParam<endless_list_case> {};

// A list that came back to the same page was read on without a pause, each call being charged.
TEST_P(endless_lists, end_with_an_error)
{
    auto const& pages = GetParam().pages;
    constexpr std::size_t tolerated_rounds = 2;
    boost::asio::io_context loop;
    loop_timers timers(loop);
    std::size_t calls = 0;
    scripted_server store(loop, [&](std::string const&) {
        std::string const body = R"({"items":[)" + pages[calls++ % pages.size()] +
                                 R"(],"has_more":true,"store_revision":10})";
        return scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                               "\r\n\r\n" + body};
    });
    int listed = 0;
    store_hooks hooks;
    hooks.malformed = [](std::string const&, std::string const&) {};
    hooks.evacuations_listed = [&](evacuation_snapshot const&) { ++listed; };
    store_client client(loop, timers, store.address(), hooks);
    std::optional<follow_result> ended;
    client.calls().evacuations.list(read_freshness::current,
                                    [&](follow_result const& got) { ended = got; });
    run_until(loop, [&] { return ended.has_value() || calls > tolerated_rounds * pages.size(); });
    ASSERT_TRUE(ended.has_value()) << calls;
    EXPECT_EQ(ended->status, follow_status::failed);
    EXPECT_LE(calls, tolerated_rounds * pages.size());
    EXPECT_EQ(listed, 0);
}

INSTANTIATE_TEST_SUITE_P(
    cases, endless_lists,
    testing::Values(endless_list_case{"the_same_page", {R"({"metadata":{"name":"a"}})"}},
                    endless_list_case{
                        "two_pages",
                        {R"({"metadata":{"name":"a"}})", R"({"metadata":{"name":"b"}})"}},
                    endless_list_case{"the_same_end",
                                      {R"({"metadata":{"name":"a"}},{"metadata":{"name":"b"}})",
                                       R"({"metadata":{"name":"b"}})"}},
                    endless_list_case{"odd_entries", {R"({"metadata":{"name":"&"},"spec":7})"}},
                    endless_list_case{"no_name", {R"({"metadata":{"name":7}},{"spec":{}},null)"}}),
    [](auto const& info) { return info.param.name; });

} // namespace
} // namespace cove
