#include "servers/batch/listed_rows.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class listed_rows_test : public ::testing::Test {
public:
    listed_rows rows;
    steady_time now{1h};
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
    EXPECT_FALSE(rows.is_complete(term, now));
    rows.on_read_complete(term);
    EXPECT_TRUE(rows.is_complete(term, now));
    EXPECT_FALSE(rows.is_complete(term + 1, now));
    EXPECT_FALSE(rows.is_complete(0, now)) << "without a term";
}

TEST_F(listed_rows_test, commit_without_outcome_makes_the_rows_incomplete) {
    rows.on_read_complete(term);
    rows.on_commit_sent(term, 0, now);
    EXPECT_TRUE(rows.is_complete(term, now + 100ms));
    EXPECT_FALSE(rows.is_complete(term, now + 301ms));
    rows.on_commit_listed();
    EXPECT_TRUE(rows.is_complete(term, now + 301ms));
}

TEST_F(listed_rows_test, commit_that_may_be_listed_hides_until_one_is_listed) {
    rows.on_read_complete(term);
    rows.on_commit_sent(term, 0, now);
    rows.on_commit_failed(true);
    EXPECT_FALSE(rows.is_complete(term, now));
    // A later attempt that certainly had no effect says nothing about the
    // first.
    rows.on_commit_sent(term, 0, now);
    rows.on_commit_failed(false);
    EXPECT_FALSE(rows.is_complete(term, now));
    rows.on_commit_sent(term, 0, now);
    rows.on_commit_listed();
    EXPECT_TRUE(rows.is_complete(term, now));
}

TEST_F(listed_rows_test, refused_commit_leaves_the_rows_complete) {
    rows.on_read_complete(term);
    rows.on_commit_sent(term, 0, now);
    rows.on_commit_failed(false);
    EXPECT_TRUE(rows.is_complete(term, now));
}

// LOST: a commit without an answer may still be listed after the read that
// found no row of it, as long as its term lasts.
TEST_F(listed_rows_test, open_commit_stays_open_over_a_read_in_its_term) {
    rows.on_read_complete(term);
    rows.on_commit_sent(term, 0, now);
    rows.on_commit_failed(true);
    rows.on_read_complete(term);
    EXPECT_FALSE(rows.is_complete(term, now));
    rows.append(0, {"a"});
    rows.on_read_complete(term);
    EXPECT_TRUE(rows.is_complete(term, now)) << "its position is taken";
}

TEST_F(listed_rows_test, commit_in_progress_stays_open_over_a_read) {
    rows.on_read_complete(term);
    rows.on_commit_sent(term, 0, now);
    rows.on_read_complete(term);
    EXPECT_FALSE(rows.is_complete(term, now + 301ms));
    rows.on_read_complete(term + 1);
    EXPECT_TRUE(rows.is_complete(term + 1, now + 301ms))
        << "the new term fences the commit off";
}
