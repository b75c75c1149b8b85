#include "servers/batch/listed_rows.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

namespace {

class listed_rows_test : public ::testing::Test {
public:
    listed_rows rows;
    static constexpr store_revision term = 7;
};

} // namespace

TEST_F(listed_rows_test, overlapping_parts_join_and_gaps_are_refused) {
    EXPECT_TRUE(rows.append(0, {"a", "b"}));
    EXPECT_FALSE(rows.append(3, {"d"}));
    EXPECT_FALSE(rows.append(0, {"a"}));
    EXPECT_TRUE(rows.append(1, {"b", "c"}));
    EXPECT_EQ(rows.rows(), (std::vector<std::string>{"a", "b", "c"}));
    EXPECT_EQ(rows.bytes(), 3U);
}

TEST_F(listed_rows_test, page_has_one_row_at_least_and_respects_its_limit) {
    rows.append(0, {"aaaa", "bbbb", "cccc"});
    EXPECT_EQ(rows.page(0, 1).size(), 1U);
    EXPECT_EQ(rows.page(0, 10).size(), 2U);
    EXPECT_EQ(rows.page(1, 100).size(), 2U);
    EXPECT_TRUE(rows.page(3, 100).empty());
    EXPECT_TRUE(rows.page(9, 100).empty());
}

// Only the holder of the term lists results, so it knows that there are no
// others; in another term another instance may have listed some.
TEST_F(listed_rows_test, rows_are_complete_only_in_the_term_of_their_read) {
    EXPECT_FALSE(rows.is_complete(term));
    rows.on_read_complete(term);
    EXPECT_TRUE(rows.is_complete(term));
    EXPECT_FALSE(rows.is_complete(term + 1));
    EXPECT_FALSE(rows.is_complete(0)) << "without a term";
}
