#include "servers/admission/answer_memory.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

namespace {

class answer_memory_test : public ::testing::Test {
public:
    std::unique_ptr<answer_memory::share> make_share(int& revocations) {
        return std::make_unique<answer_memory::share>(
            memory, [&revocations] { ++revocations; });
    }

    std::shared_ptr<answer_memory> memory =
        std::make_shared<answer_memory>(1'000);
    int revoked_large = 0;
    int revoked_small = 0;
};

} // namespace

// Load pattern: an endless answer takes the memory, and sound answers to others
// need some of it next.
TEST_F(answer_memory_test, largest_answer_is_given_up_for_a_small_one) {
    const auto large = make_share(revoked_large);
    const auto small = make_share(revoked_small);
    EXPECT_TRUE(large->add(950));
    EXPECT_TRUE(small->add(100));
    EXPECT_EQ(revoked_large, 1);
    EXPECT_EQ(revoked_small, 0);
    EXPECT_TRUE(large->is_revoked());
    EXPECT_FALSE(large->add(1));
    EXPECT_EQ(memory->used_bytes(), 100U);
}

TEST_F(answer_memory_test, answer_that_is_the_largest_fails_itself) {
    const auto large = make_share(revoked_large);
    const auto small = make_share(revoked_small);
    EXPECT_TRUE(small->add(100));
    EXPECT_TRUE(large->add(900));
    EXPECT_FALSE(large->add(1));
    EXPECT_EQ(revoked_large, 0) << "it is told by the result";
    EXPECT_FALSE(small->is_revoked());
}

TEST_F(answer_memory_test, memory_of_an_answer_that_ended_is_free_again) {
    auto first = make_share(revoked_large);
    EXPECT_TRUE(first->add(900));
    first.reset();
    const auto second = make_share(revoked_small);
    EXPECT_TRUE(second->add(900));
    EXPECT_EQ(memory->used_bytes(), 900U);
}

TEST_F(answer_memory_test, as_many_answers_are_given_up_as_needed) {
    std::vector<std::unique_ptr<answer_memory::share>> shares;
    for (int at = 0; at < 10; ++at) {
        shares.push_back(make_share(revoked_large));
        EXPECT_TRUE(shares.back()->add(100));
    }
    const auto next = make_share(revoked_small);
    EXPECT_TRUE(next->add(99));
    EXPECT_EQ(revoked_large, 1);
    EXPECT_LE(memory->used_bytes(), 1'000U);
}
