#include "servers/batch/result_cache.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

// LOST: the rows counted as complete although a commit without an answer could
// still be listed, because it was evicted with them.
TEST(result_cache_test, open_commit_outlasts_the_eviction_of_its_rows) {
    constexpr store_revision term = 7;
    const steady_time now{1h};
    const job_id job("j");
    for (const bool has_failed : {true, false}) {
        result_cache cache(1);
        cache.append(job, 0, {"a"});
        cache.on_read(job);
        cache.entry(job).rows.on_commit_sent(term, 1, now);
        if (has_failed) {
            cache.entry(job).rows.on_commit_failed(true);
        }
        cache.append(job_id("other"), 0, {"b"});
        cache.on_read(job_id("other"));
        ASSERT_TRUE(cache.page(job, 0, 1).empty()) << "evicted";
        EXPECT_TRUE(cache.entry(job).last_key.empty());
        cache.append(job, 0, {"a"});
        listed_rows& rows = cache.entry(job).rows;
        EXPECT_FALSE(rows.is_complete(term, now + 301ms)) << "not read again";
        rows.on_read_complete(term);
        EXPECT_FALSE(rows.is_complete(term, now + 301ms));
        rows.on_read_complete(term + 1);
        EXPECT_TRUE(rows.is_complete(term + 1, now + 301ms));
    }
}
