#include "servers/delivery/suspect_list.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class suspect_list_test : public ::testing::Test {
public:
    void lose(suspect_list& list, const std::string& request,
              const std::string& upstream, std::uint64_t started_at = 1) {
        list.on_run_lost(request,
                         {.id = upstream_id(upstream),
                          .service = service_name("s"),
                          .started_at = started_at},
                         now);
    }

    /// Passes what `from` shares on to `to`; returns how much that was.
    std::size_t share(suspect_list& from, suspect_list& to) {
        const auto due = from.take_due(now);
        for (const shared_mark& mark : due) {
            to.merge(mark, now);
        }
        return due.size();
    }

    steady_time now{1h};
    suspect_list here{{.self = instance_id("a"), .boot = "1"}};
    suspect_list there{{.self = instance_id("b"), .boot = "1"}};
};

} // namespace

TEST_F(suspect_list_test, request_that_crashed_three_upstreams_is_blocked) {
    lose(here, "bad", "u1");
    lose(here, "bad", "u2");
    EXPECT_FALSE(here.is_blocked("bad", now));
    lose(here, "bad", "u3");
    EXPECT_TRUE(here.is_blocked("bad", now));
    EXPECT_FALSE(here.is_blocked("good", now));
}

// Load: each call goes through another instance and loses two upstreams there.
TEST_F(suspect_list_test, crashes_seen_by_two_instances_block_it_on_both) {
    lose(here, "bad", "u1");
    lose(here, "bad", "u2");
    EXPECT_EQ(share(here, there), 2U);
    lose(there, "bad", "u3");
    EXPECT_TRUE(there.is_blocked("bad", now));
    EXPECT_EQ(share(there, here), 1U);
    EXPECT_TRUE(here.is_blocked("bad", now));
}

// Load: two requests crash upstreams at the same time, and sound ones are lost
// beside them.
TEST_F(suspect_list_test, burst_of_crashes_does_not_hide_its_causes) {
    for (const char* const upstream : {"u1", "u2", "u3", "u4"}) {
        lose(here, "bad-1", upstream);
        lose(here, std::string("beside ") + upstream, upstream);
    }
    for (const char* const upstream : {"u5", "u6", "u7"}) {
        lose(here, "bad-2", upstream);
    }
    EXPECT_TRUE(here.is_blocked("bad-1", now));
    EXPECT_TRUE(here.is_blocked("bad-2", now));
    EXPECT_FALSE(here.is_blocked("beside u1", now));
}

TEST_F(suspect_list_test, restarted_upstream_that_keeps_its_id_counts_again) {
    for (std::uint64_t start = 1; start <= 3; ++start) {
        EXPECT_FALSE(here.is_blocked("bad", now));
        lose(here, "bad", "u1", start);
    }
    EXPECT_TRUE(here.is_blocked("bad", now));
}

TEST_F(suspect_list_test, one_crash_seen_by_two_instances_counts_once) {
    for (const char* const upstream : {"u1", "u2"}) {
        lose(here, "r", upstream);
        lose(there, "r", upstream);
    }
    share(here, there);
    EXPECT_EQ(there.marks_of("r"), 2U);
}

// Load: a burst of crashes interrupts sound requests, which then finish.
TEST_F(suspect_list_test, request_that_finishes_elsewhere_is_never_shared) {
    lose(here, "good", "u1");
    now += 100ms;
    EXPECT_EQ(share(here, there), 0U);
    EXPECT_TRUE(here.on_run_finished("good", now));
    EXPECT_TRUE(here.is_empty());
    now += 1s;
    EXPECT_FALSE(here.next_due());
    EXPECT_EQ(share(here, there), 0U);
}

TEST_F(suspect_list_test, only_mark_of_a_request_is_shared_after_a_delay) {
    lose(here, "bad", "u1");
    EXPECT_EQ(here.next_due(), now + 300ms);
    now += 300ms;
    EXPECT_EQ(share(here, there), 1U);
    EXPECT_EQ(there.marks_of("bad"), 1U);
}

TEST_F(suspect_list_test, request_that_finishes_is_cleared_on_all_instances) {
    for (const char* const upstream : {"u1", "u2", "u3"}) {
        lose(here, "good", upstream);
    }
    share(here, there);
    EXPECT_TRUE(there.is_blocked("good", now));
    // It was still running on a fourth upstream.
    EXPECT_TRUE(there.on_run_finished("good", now));
    EXPECT_EQ(share(there, here), 3U);
    EXPECT_FALSE(here.is_blocked("good", now));
    EXPECT_TRUE(here.is_empty());
}

TEST_F(suspect_list_test, failed_writes_are_shared_later) {
    lose(here, "bad", "u1");
    lose(here, "bad", "u2");
    here.put_back(here.take_due(now), now);
    EXPECT_EQ(share(here, there), 2U);
    EXPECT_EQ(there.marks_of("bad"), 2U);
}

// The write may have taken effect although its answer was lost.
TEST_F(suspect_list_test, clearing_replaces_a_mark_that_may_be_known) {
    lose(here, "good", "u1");
    now += 300ms;
    auto written = here.take_due(now);
    there.merge(written.front(), now);
    here.put_back(std::move(written), now);
    EXPECT_TRUE(here.on_run_finished("good", now));
    EXPECT_EQ(share(here, there), 1U);
    EXPECT_TRUE(there.is_empty());
}

TEST_F(suspect_list_test, marks_expire_without_further_losses) {
    for (const char* const upstream : {"u1", "u2", "u3"}) {
        lose(here, "bad", upstream);
    }
    now += 10min;
    EXPECT_FALSE(here.is_blocked("bad", now));
}
