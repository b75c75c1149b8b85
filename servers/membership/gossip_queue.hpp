#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace savorydock {

/// Names of records that have yet to be passed on, each a bounded number of
/// times. Not thread safe.
template <class Key>
class gossip_queue {
public:
    /// Passes a record on `budget` times, from now.
    void add(const Key& key, std::uint32_t budget) { left_[key] = budget; }

    void remove(const Key& key) { left_.erase(key); }

    [[nodiscard]] bool is_empty() const { return left_.empty(); }
    [[nodiscard]] std::size_t size() const { return left_.size(); }

    /// Returns the names that were passed on least, at most `count`, and
    /// counts them as passed on once more.
    [[nodiscard]] std::vector<Key> take(std::size_t count) {
        std::vector<std::pair<std::uint32_t, const Key*>> order;
        order.reserve(left_.size());
        for (const auto& [key, left] : left_) {
            order.emplace_back(left, &key);
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
            const auto found = left_.find(key);
            if (--found->second == 0) {
                left_.erase(found);
            }
        }
        return taken;
    }

private:
    std::map<Key, std::uint32_t> left_;
};

} // namespace savorydock
