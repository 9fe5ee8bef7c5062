#include "log/log_func.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace {

// Guards against a value from another program that ends its log line or hides parts of it.
TEST(log_event, writes_one_line_without_control_characters)
{
    testing::internal::CaptureStdout();
    cove::log_event("test", {{"name", "a\r\x1b[2K\x7f\n\t"}, {"more", std::string("b\0c", 3)}});
    std::string const line = testing::internal::GetCapturedStdout();
    EXPECT_NE(line.find("name=\"a  [2K   \" more=\"b c\""), std::string::npos) << line;
    EXPECT_EQ(std::count(line.begin(), line.end(), '\n'), 1);
    EXPECT_TRUE(std::all_of(line.begin(), line.end() - 1, [](char c) { return c >= ' '; }));
}

} // namespace
