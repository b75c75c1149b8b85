#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace savorydock {

/// Keys of records that are still to be gossiped, each a limited number of
/// times. Not thread safe.
template <class Key>
class gossip_queue {
public:
    /// Schedules a record for `transmission_limit` transmissions; replaces an
    /// earlier schedule of the same record.
    void add(const Key& key, std::uint32_t transmission_limit) {
        remaining_[key] = transmission_limit;
    }

    /// Counts a copy of the record that arrived from another instance as one
    /// of the transmissions.
    void note_received(const Key& key) {
        const auto found = remaining_.find(key);
        if (found != remaining_.end() && --found->second == 0) {
            remaining_.erase(found);
        }
    }

    [[nodiscard]] bool is_empty() const { return remaining_.empty(); }
    [[nodiscard]] std::size_t size() const { return remaining_.size(); }

    /// Returns at most `count` keys, those with the most transmissions left
    /// first, and counts one transmission for each.
    [[nodiscard]] std::vector<Key> take(std::size_t count) {
        std::vector<std::pair<std::uint32_t, const Key*>> order;
        order.reserve(remaining_.size());
        for (const auto& [key, remaining] : remaining_) {
            order.emplace_back(remaining, &key);
        }
        const std::size_t size = std::min(count, order.size());
        std::partial_sort(
            order.begin(), order.begin() + static_cast<std::ptrdiff_t>(size),
            order.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
        std::vector<Key> taken;
        taken.reserve(size);
        for (std::size_t i = 0; i < size; ++i) {
            taken.push_back(*order[i].second);
        }
        for (const Key& key : taken) {
            const auto found = remaining_.find(key);
            if (--found->second == 0) {
                remaining_.erase(found);
            }
        }
        return taken;
    }

private:
    /// Transmissions left for each key.
    std::map<Key, std::uint32_t> remaining_;
};

} // namespace savorydock
