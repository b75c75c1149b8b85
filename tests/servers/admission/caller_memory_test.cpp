#include "servers/admission/caller_memory.hpp"
#include "servers/admission/memory_plan.hpp"

#include <gtest/gtest.h>

#include <vector>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mega = 1U << 20U;

/// 40 MB, of which 10 MB are reserved for small requests.
class caller_memory_test : public ::testing::Test {
public:
    std::unique_ptr<caller_memory::share> make_share(std::string caller,
                                                     int& revocations) {
        return std::make_unique<caller_memory::share>(
            memory, std::move(caller), [&revocations] { ++revocations; });
    }

    std::shared_ptr<caller_memory> memory = std::make_shared<caller_memory>(
        caller_memory_options{.max_bytes = 40 * mega});
    steady_time start{};
    int revoked_first = 0;
    int revoked_second = 0;
    int revoked_third = 0;
};

} // namespace

// Guards against refusing a legal body on an idle instance.
TEST_F(caller_memory_test, one_body_may_use_all_but_the_reserved_part) {
    const auto share = make_share("a", revoked_first);
    EXPECT_TRUE(share->resize(30 * mega, start));
    EXPECT_FALSE(share->resize(30 * mega + 1, start));
    EXPECT_EQ(memory->counters().used_bytes, 30 * mega);
    EXPECT_EQ(memory->counters().refused, 1U);
}

// Load pattern: large bodies hold all memory, and small requests arrive.
TEST_F(caller_memory_test, small_requests_are_served_beside_large_bodies) {
    const auto large = make_share("a", revoked_first);
    ASSERT_TRUE(large->resize(30 * mega, start));
    std::vector<std::unique_ptr<caller_memory::share>> small;
    for (int i = 0; i < 160; ++i) {
        small.push_back(make_share("b", revoked_second));
        EXPECT_TRUE(small.back()->resize(65'536, start));
    }
    EXPECT_EQ(revoked_first, 0);
}

// Load pattern: a body stopped short of its end, and others go on.
TEST_F(caller_memory_test, body_without_progress_yields_to_one_that_goes_on) {
    const auto stalled = make_share("a", revoked_first);
    const auto moving = make_share("b", revoked_second);
    ASSERT_TRUE(stalled->resize(14 * mega, start));
    ASSERT_TRUE(moving->resize(15 * mega, start + 900ms));
    EXPECT_TRUE(moving->resize(17 * mega, start + 1'000ms));
    EXPECT_EQ(revoked_first, 1);
    EXPECT_TRUE(stalled->is_revoked());
    EXPECT_FALSE(stalled->resize(1, start + 1'000ms));
    EXPECT_EQ(memory->counters().used_bytes, 17 * mega);
}

// Load pattern: a caller adds a byte from time to time so as to look alive.
TEST_F(caller_memory_test, trickle_is_no_progress) {
    const auto trickling = make_share("a", revoked_first);
    const auto moving = make_share("b", revoked_second);
    ASSERT_TRUE(trickling->resize(14 * mega, start));
    ASSERT_TRUE(trickling->resize(14 * mega + 1, start + 990ms));
    ASSERT_TRUE(moving->resize(15 * mega, start + 900ms));
    EXPECT_TRUE(moving->resize(17 * mega, start + 1'000ms));
    EXPECT_EQ(revoked_first, 1);
}

// Load pattern: one address opens many connections; another sends one body.
TEST_F(caller_memory_test, address_that_holds_the_most_yields_first) {
    const auto first = make_share("many", revoked_first);
    const auto second = make_share("many", revoked_second);
    const auto single = make_share("one", revoked_third);
    ASSERT_TRUE(first->resize(9 * mega, start));
    ASSERT_TRUE(second->resize(9 * mega, start));
    ASSERT_TRUE(single->resize(11 * mega, start));
    EXPECT_TRUE(single->resize(13 * mega, start));
    EXPECT_EQ(revoked_first + revoked_second, 1);
    EXPECT_FALSE(single->is_revoked());
}

// A request that is handled may have run, so it can't be refused any more.
TEST_F(caller_memory_test, handled_request_is_kept_and_a_new_one_refused) {
    const auto handled = make_share("a", revoked_first);
    const auto next = make_share("b", revoked_second);
    ASSERT_TRUE(handled->resize(25 * mega, start));
    handled->set_revocable(false);
    EXPECT_FALSE(next->resize(6 * mega, start + 10s));
    EXPECT_EQ(revoked_first, 0);
    handled->reset();
    EXPECT_TRUE(next->resize(6 * mega, start + 10s));
}

// Small requests may use memory that large ones leave free.
TEST_F(caller_memory_test, small_requests_beyond_their_part_use_the_rest) {
    std::vector<std::unique_ptr<caller_memory::share>> small;
    for (int i = 0; i < 600; ++i) {
        small.push_back(make_share("b", revoked_second));
        EXPECT_TRUE(small.back()->resize(65'536, start));
    }
    EXPECT_LE(memory->counters().used_bytes, 40 * mega);
    small.clear();
    EXPECT_EQ(memory->counters().used_bytes, 0U);
}

TEST_F(caller_memory_test, forced_bytes_are_counted_beyond_the_limit) {
    const auto share = make_share("a", revoked_first);
    share->force(50 * mega, start);
    EXPECT_EQ(memory->counters().used_bytes, 50 * mega);
    share->reset();
    EXPECT_EQ(memory->counters().used_bytes, 0U);
}

// Guards against a body of 32 MB that a machine of 120 MB can't take.
TEST(memory_plan_test, smallest_machine_takes_the_largest_body) {
    const memory_plan plan = make_memory_plan(120 * mega);
    EXPECT_GE(plan.caller_bytes / 4 * 3, 33 * mega);
    EXPECT_LE(plan.caller_bytes + plan.answer_bytes + plan.result_bytes +
                  plan.peer_bytes,
              104 * mega);
}

TEST(memory_plan_test, large_machine_keeps_the_budgets_of_old) {
    EXPECT_EQ(make_memory_plan(512 * mega).answer_bytes, 48 * mega);
    EXPECT_EQ(make_memory_plan(512 * mega).result_bytes, 48 * mega);
    EXPECT_EQ(make_memory_plan(0).answer_bytes, 48 * mega);
}

TEST(memory_plan_test, threads_share_the_memory_for_answers) {
    EXPECT_EQ(make_memory_plan(100 * mega, 2).answer_bytes, 10 * mega);
    EXPECT_EQ(make_memory_plan(4'000 * mega, 2).answer_bytes, 48 * mega);
}

// Each thread divides its part: three quarters of it are for large bodies.
TEST(memory_plan_test, least_memory_takes_the_largest_body_on_each_thread) {
    for (const std::size_t threads : {1U, 2U, 64U}) {
        const std::size_t least = min_memory_mb(8 * mega, threads);
        const std::size_t callers = make_memory_plan(least * mega).caller_bytes;
        EXPECT_GE(callers, min_caller_bytes(8 * mega, threads));
        EXPECT_GT(callers / threads / 4 * 3, 8 * mega);
        EXPECT_LT(least, threads * 27);
    }
}

TEST(memory_plan_test, many_values_count_for_more_than_their_text) {
    EXPECT_LT(estimate_parsed_bytes(R"({"a": "text"})"), 250U);
    EXPECT_GE(estimate_parsed_bytes("[0,0,0,0,0,0,0,0]"), 8 * 50U);
}

TEST(memory_plan_test, callers_leave_a_third_of_the_descriptors) {
    EXPECT_EQ(max_caller_connections(3'200, 10'000), 2'000U);
    EXPECT_EQ(max_caller_connections(0, 10'000), 10'000U);
}
