#include "servers/batch/item_ranking.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace savorydock {

namespace {

std::uint64_t expected_tokens(const batch_item& item) {
    const std::uint64_t expected =
        item.expected_tokens > 0 ? item.expected_tokens : item.max_tokens;
    return item.max_tokens > 0 ? std::min(expected, item.max_tokens) : expected;
}

/// Returns the groups that the trainer doesn't need to wait for: those with the
/// longest items, as many as exceed `target_groups`.
std::set<std::string> surplus_groups(const batch_job& job,
                                     const std::vector<ranked_item>& items) {
    std::map<std::string, std::uint64_t> longest;
    for (std::size_t at = 0; at < items.size(); ++at) {
        std::uint64_t& tokens = longest[job.items[at].group];
        tokens = std::max(tokens, items[at].expected_tokens);
    }
    std::vector<std::pair<std::uint64_t, std::string>> by_length;
    by_length.reserve(longest.size());
    for (const auto& [group, tokens] : longest) {
        by_length.emplace_back(tokens, group);
    }
    std::sort(by_length.rbegin(), by_length.rend());
    const std::size_t wanted = job.target_groups;
    const std::size_t surplus_count =
        wanted > 0 && wanted < by_length.size() ? by_length.size() - wanted : 0;
    std::set<std::string> groups;
    for (std::size_t at = 0; at < surplus_count; ++at) {
        groups.insert(by_length[at].second);
    }
    return groups;
}

} // namespace

std::vector<ranked_item> rank_items(const batch_job& job) {
    std::vector<ranked_item> items;
    items.reserve(job.items.size());
    for (const batch_item& source : job.items) {
        items.push_back({.prompt_tokens = source.prompt_tokens,
                         .expected_tokens = expected_tokens(source)});
    }
    const std::set<std::string> surplus = surplus_groups(job, items);
    std::vector<std::size_t> order(items.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](auto left, auto right) {
        const bool is_left_surplus = surplus.contains(job.items[left].group);
        const bool is_right_surplus = surplus.contains(job.items[right].group);
        if (is_left_surplus != is_right_surplus) {
            return is_right_surplus;
        }
        return items[left].expected_tokens > items[right].expected_tokens;
    });
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        items[order[rank]].rank = rank;
    }
    return items;
}

std::vector<std::size_t> item_ranks(const batch_job& job) {
    std::vector<std::size_t> ranks;
    for (const ranked_item& item : rank_items(job)) {
        ranks.push_back(item.rank);
    }
    return ranks;
}

std::vector<std::size_t>
item_ranks_by_group(const batch_job& job,
                    const std::vector<std::uint64_t>& tokens_left) {
    struct group_state {
        bool is_begun = false;
        std::uint64_t tokens_left = 0;
    };
    std::map<std::string_view, group_state> groups;
    for (std::size_t at = 0; at < tokens_left.size(); ++at) {
        group_state& group = groups[job.items[at].group];
        group.is_begun =
            group.is_begun || tokens_left[at] < expected_tokens(job.items[at]);
        group.tokens_left += tokens_left[at];
    }
    const auto key = [&](std::size_t at) {
        const std::string_view name = job.items[at].group;
        const group_state& group = groups.at(name);
        return std::tuple(!group.is_begun, group.tokens_left, name);
    };
    std::vector<std::size_t> order(tokens_left.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](auto left, auto right) {
        const auto left_key = key(left);
        const auto right_key = key(right);
        return left_key != right_key ? left_key < right_key
                                     : tokens_left[left] > tokens_left[right];
    });
    std::vector<std::size_t> ranks(order.size());
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        ranks[order[rank]] = rank;
    }
    return ranks;
}

} // namespace savorydock
