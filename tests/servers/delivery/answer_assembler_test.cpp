#include "servers/delivery/answer_assembler.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace savorydock {

namespace {

stream_event token(std::uint32_t index, weight_version version = 5) {
    return {.stream = "t/1/0/0",
            .attempt = 2,
            .first_token = index,
            .token_count = 1,
            .text = std::string(1, static_cast<char>('a' + index)),
            .version = version};
}

stream_event with_attempt(stream_event event, attempt_number attempt) {
    event.attempt = attempt;
    return event;
}

stream_event of_stream(stream_event event, std::string stream) {
    event.stream = std::move(stream);
    return event;
}

stream_event finish(std::optional<std::uint32_t> total) {
    return {.stream = "t/1/0/0",
            .attempt = 2,
            .is_finish = true,
            .total_tokens = total};
}

stream_event loose_text() {
    return {.stream = "t/1/0/0", .attempt = 2, .text = "x"};
}

struct stream_case {
    std::string name;
    std::vector<stream_event> events;
    answer_verdict verdict;
    std::string text;
};

std::ostream& operator<<(std::ostream& out, const stream_case& row) {
    return out << row.name;
}

} // namespace

class answer_assembler_test : public ::testing::TestWithParam<stream_case> {};

TEST_P(answer_assembler_test, script_of_events_gives_verdict_and_text) {
    answer_assembler answer("t/1/0/0", 2);
    std::string forwarded;
    for (const stream_event& event : GetParam().events) {
        if (answer.accept(event)) {
            forwarded += event.text;
        }
    }
    answer.end_stream();
    EXPECT_EQ(answer.verdict(), GetParam().verdict);
    EXPECT_EQ(answer.text(), GetParam().text);
    EXPECT_EQ(forwarded, GetParam().text);
    EXPECT_EQ(answer.versions().has_value(),
              GetParam().verdict == answer_verdict::complete);
}

INSTANTIATE_TEST_SUITE_P(
    scripts, answer_assembler_test,
    ::testing::Values(
        stream_case{"whole",
                    {token(0), token(1), finish(2)},
                    answer_verdict::complete,
                    "ab"},
        stream_case{"no_end_mark",
                    {token(0), token(1)},
                    answer_verdict::truncated,
                    "ab"},
        stream_case{"gap",
                    {token(0), token(2), finish(3)},
                    answer_verdict::truncated,
                    "a"},
        stream_case{"end_mark_names_more",
                    {token(0), finish(2)},
                    answer_verdict::truncated,
                    "a"},
        stream_case{"token_twice",
                    {token(0), token(0), finish(1)},
                    answer_verdict::duplicated,
                    "a"},
        stream_case{"end_mark_names_fewer",
                    {token(0), token(1), finish(1)},
                    answer_verdict::duplicated,
                    "ab"},
        stream_case{"end_mark_twice",
                    {token(0), finish(1), finish(1)},
                    answer_verdict::duplicated,
                    "a"},
        stream_case{"token_after_end",
                    {token(0), finish(1), token(1)},
                    answer_verdict::duplicated,
                    "a"},
        stream_case{
            "other_stream",
            {token(0), of_stream(token(1), "t/1/0/1"), token(1), finish(2)},
            answer_verdict::mismatched,
            "a"},
        stream_case{"attempt_never_begun",
                    {token(0), with_attempt(token(1), 3), token(1), finish(2)},
                    answer_verdict::mismatched,
                    "a"},
        stream_case{"late_attempt_is_dropped",
                    {token(0), with_attempt(token(1), 1), token(1), finish(2)},
                    answer_verdict::complete,
                    "ab"},
        stream_case{"text_outside_tokens",
                    {token(0), loose_text(), finish(1)},
                    answer_verdict::truncated,
                    "a"}),
    [](const auto& entry) { return entry.param.name; });

TEST(answer_assembler_resume_test, resume_elsewhere_keeps_both_versions) {
    answer_assembler answer("t/1/0/0", 2);
    answer.accept(token(0, 5));
    answer.end_stream();
    EXPECT_FALSE(answer.resume(2));
    ASSERT_TRUE(answer.resume(3));
    EXPECT_FALSE(answer.accept(token(1, 5)))
        << "events of the old attempt are late";
    EXPECT_TRUE(answer.accept(with_attempt(token(1, 6), 3)));
    answer.accept(with_attempt(finish(2), 3));
    const auto versions = answer.versions();
    ASSERT_TRUE(versions);
    EXPECT_EQ(*versions, (std::vector<version_range>{{0, 1, 5}, {1, 2, 6}}));
}

TEST(answer_assembler_resume_test, invalid_answer_can_not_be_resumed) {
    answer_assembler answer("t/1/0/0", 2);
    answer.accept(of_stream(token(0), "t/1/0/1"));
    EXPECT_FALSE(answer.resume(3));
}

} // namespace savorydock
