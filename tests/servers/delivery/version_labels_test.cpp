#include "servers/delivery/version_labels.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace savorydock {

namespace {

using range_list = std::vector<version_range>;

struct label_case {
    std::string name;
    range_list added;
    range_list summary;
    std::uint32_t tokens;
    /// Empty if the versions cannot be determined.
    range_list expected;
};

std::ostream& operator<<(std::ostream& out, const label_case& row) {
    return out << row.name;
}

} // namespace

class version_labels_test : public ::testing::TestWithParam<label_case> {};

TEST_P(version_labels_test, reports_merge_or_are_unknown) {
    version_labels labels;
    for (const version_range& range : GetParam().added) {
        labels.add(range);
    }
    if (!GetParam().summary.empty()) {
        labels.confirm(GetParam().summary);
    }
    const auto merged = labels.finish(GetParam().tokens);
    ASSERT_EQ(merged.has_value(), !GetParam().expected.empty());
    if (merged) {
        EXPECT_EQ(*merged, GetParam().expected);
    } else {
        EXPECT_EQ(merged.reason().code, result_code::sample_version_unknown);
    }
}

INSTANTIATE_TEST_SUITE_P(
    reports, version_labels_test,
    ::testing::Values(
        label_case{"merged", {{0, 2, 5}, {2, 4, 5}}, {}, 4, {{0, 4, 5}}},
        label_case{"swap_and_back",
                   {{0, 2, 5}, {2, 3, 6}, {3, 4, 5}},
                   {},
                   4,
                   {{0, 2, 5}, {2, 3, 6}, {3, 4, 5}}},
        label_case{"summary_agrees",
                   {{0, 2, 5}, {2, 4, 5}},
                   {{0, 4, 5}},
                   4,
                   {{0, 4, 5}}},
        label_case{"summary_contradicts", {{0, 4, 5}}, {{0, 4, 6}}, 4, {}},
        label_case{"summary_moves_the_swap",
                   {{0, 2, 5}, {2, 4, 6}},
                   {{0, 3, 5}, {3, 4, 6}},
                   4,
                   {}},
        label_case{"one_report_missing", {{0, 2, 5}, {2, 4, 0}}, {}, 4, {}},
        label_case{"gapped", {{0, 2, 5}, {3, 4, 5}}, {}, 4, {}},
        label_case{"overlapping", {{0, 3, 5}, {2, 4, 6}}, {}, 4, {}},
        label_case{"reversed", {{0, 2, 5}, {2, 2, 5}}, {}, 2, {}},
        label_case{"too_short", {{0, 2, 5}}, {}, 3, {}},
        label_case{"too_long", {{0, 4, 5}}, {}, 3, {}},
        label_case{"no_tokens", {}, {}, 0, {}}),
    [](const auto& entry) { return entry.param.name; });

TEST(version_freshness_test, bound_applies_to_the_oldest_version) {
    const range_list mixed{{0, 1, 9}, {1, 2, 7}, {2, 3, 9}};
    EXPECT_EQ(oldest_version(mixed), 7U);
    EXPECT_TRUE(is_fresh(mixed, 9, 2));
    EXPECT_FALSE(is_fresh(mixed, 10, 2));
    EXPECT_TRUE(is_fresh(mixed, 3, 0))
        << "a version newer than the newest known one is fresh";
}

} // namespace savorydock
