#include "core/deflate_func.h"
#include "core/hash_func.h"
#include "core/timer_service.h"
#include "core/uri_func.h"

#include <future>
#include <gtest/gtest.h>

namespace {

TEST(hash, content_hash_is_sha256)
{
    EXPECT_EQ(cove::content_hash(""),
              "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}

TEST(hash, stable_hash_depends_on_seed)
{
    EXPECT_EQ(cove::stable_hash("a", 1), cove::stable_hash("a", 1));
    EXPECT_NE(cove::stable_hash("a", 1), cove::stable_hash("a", 2));
}

// Guards against a name that ends the query, adds to it or is read as another name.
TEST(uri, percent_encode_leaves_only_unreserved_characters)
{
    EXPECT_EQ(cove::percent_encode("Az09-._~"), "Az09-._~");
    EXPECT_EQ(cove::percent_encode("&+#% /?="), "%26%2B%23%25%20%2F%3F%3D");
    EXPECT_EQ(cove::percent_encode(std::string("\0\r\n\x7f\xc3\xa9", 6)), "%00%0D%0A%7F%C3%A9");
}

TEST(timer_service, calls_in_order_of_time)
{
    std::promise<void> last;
    std::vector<int> order;
    cove::timer_service timers;
    auto const now = cove::read_clocks().mono;
    timers.once(now + cove::milliseconds(20), [&] {
        order.push_back(2);
        last.set_value();
    });
    timers.once(now + cove::milliseconds(5), [&] { order.push_back(1); });
    last.get_future().wait();
    EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

TEST(timer_service, cancelled_subscription_is_not_called)
{
    std::promise<void> last;
    bool called = false;
    cove::timer_service timers;
    auto const now = cove::read_clocks().mono;
    auto const id = timers.once(now + cove::milliseconds(5), [&] { called = true; });
    timers.cancel(id);
    timers.once(now + cove::milliseconds(10), [&] { last.set_value(); });
    last.get_future().wait();
    EXPECT_FALSE(called);
}

TEST(deflate, returns_the_text_and_rejects_other_bytes)
{
    constexpr std::size_t limit = 1'000'000;
    std::string const text(300'000, 'x');
    std::string const packed = cove::deflate_text(text);
    EXPECT_LT(packed.size(), text.size() / 100);
    EXPECT_EQ(cove::inflate_text(packed, limit).value(), text);
    EXPECT_EQ(cove::inflate_text(cove::deflate_text(""), limit).value(), "");
    EXPECT_FALSE(cove::inflate_text(packed, text.size() - 1));
    EXPECT_FALSE(cove::inflate_text(packed.substr(0, packed.size() / 2), limit));
    EXPECT_FALSE(cove::inflate_text("not packed", limit));
    EXPECT_FALSE(cove::inflate_text("", limit));
}

} // namespace
