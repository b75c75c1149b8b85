#include "servers/batch/open_commits.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class open_commits_test : public ::testing::Test {
public:
    std::uint64_t send(std::size_t position) {
        return commits.on_sent(job, term, position, now);
    }
    [[nodiscard]] bool has_open(std::chrono::milliseconds after = 0ms,
                                store_revision in = term) const {
        return commits.has_open(job, in, now + after);
    }

    static constexpr store_revision term = 7;
    const job_id job{"j"};
    steady_time now{1h};
    open_commits commits;
};

} // namespace

TEST_F(open_commits_test, commit_without_outcome_is_open_after_its_time) {
    const std::uint64_t number = send(0);
    EXPECT_FALSE(has_open(100ms));
    EXPECT_TRUE(has_open(301ms));
    commits.on_listed(job, number);
    EXPECT_FALSE(has_open(301ms));
}

TEST_F(open_commits_test, commit_that_may_be_listed_is_open_until_one_is) {
    commits.on_failed(job, send(0), true);
    EXPECT_TRUE(has_open());
    // A later attempt that certainly had no effect says nothing about the
    // first.
    commits.on_failed(job, send(0), false);
    EXPECT_TRUE(has_open());
    commits.on_listed(job, send(0));
    EXPECT_FALSE(has_open());
}

TEST_F(open_commits_test, refused_commit_is_not_open) {
    commits.on_failed(job, send(0), false);
    EXPECT_FALSE(has_open(301ms));
}

// LOST: a commit without an answer may still be listed after the read that
// found no row of it, as long as its term lasts.
TEST_F(open_commits_test, commit_stays_open_over_a_read_in_its_term) {
    commits.on_failed(job, send(0), true);
    commits.on_positions_taken(job, 0);
    EXPECT_TRUE(has_open());
    commits.on_positions_taken(job, 1);
    EXPECT_FALSE(has_open()) << "its position is taken";
}

TEST_F(open_commits_test, commit_in_progress_stays_open_over_a_read) {
    [[maybe_unused]] const std::uint64_t number = send(0);
    commits.on_positions_taken(job, 0);
    EXPECT_TRUE(has_open(301ms));
    EXPECT_FALSE(has_open(301ms, term + 1))
        << "the new term fences the commit off";
}

// LOST: the late outcome of a commit closed the one that was sent after it.
TEST_F(open_commits_test, late_outcome_leaves_a_later_commit_open) {
    const std::uint64_t first = send(30);
    commits.on_positions_taken(job, 32);
    const std::uint64_t second = send(32);
    commits.on_listed(job, first);
    EXPECT_TRUE(has_open(301ms));
    commits.on_listed(job, second);
    EXPECT_FALSE(has_open(301ms));
}

TEST_F(open_commits_test, late_failure_in_an_earlier_term_opens_nothing) {
    commits.on_failed(job, send(0), true);
    EXPECT_FALSE(has_open(0ms, term + 1));
}
