#include "servers/fleet/leaving_marks.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

namespace {

class leaving_marks_test : public ::testing::Test {
public:
    [[nodiscard]] bool is_leaving(const std::string& id,
                                  std::uint64_t started_at) const {
        return marks.is_leaving(
            {.id = upstream_id(id), .started_at = started_at});
    }

    leaving_marks marks;
};

} // namespace

TEST_F(leaving_marks_test, mark_holds_for_its_start_and_earlier_ones) {
    EXPECT_TRUE(marks.mark(upstream_id("u"), 5));
    EXPECT_FALSE(marks.mark(upstream_id("u"), 5));
    EXPECT_TRUE(is_leaving("u", 5));
    EXPECT_TRUE(is_leaving("u", 4));
    EXPECT_FALSE(is_leaving("u", 6));
    EXPECT_FALSE(is_leaving("v", 5));
    EXPECT_TRUE(marks.mark(upstream_id("u"), 6));
    EXPECT_FALSE(marks.mark(upstream_id("u"), 5));
    EXPECT_TRUE(is_leaving("u", 6));
}

TEST_F(leaving_marks_test, mark_of_an_unlisted_upstream_holds_for_all_starts) {
    EXPECT_TRUE(marks.mark(upstream_id("u"), std::nullopt));
    EXPECT_TRUE(is_leaving("u", 1'700'000'000'000));
}

TEST_F(leaving_marks_test, number_of_marks_is_bounded) {
    for (std::size_t at = 0; at <= leaving_marks::max_marks; ++at) {
        marks.mark(upstream_id(std::to_string(at)), 1);
    }
    EXPECT_FALSE(is_leaving("0", 1));
    EXPECT_TRUE(is_leaving("1", 1));
}
