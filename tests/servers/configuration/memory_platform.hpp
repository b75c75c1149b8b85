#pragma once

#include "servers/platform/platform_message.hpp"

#include <map>
#include <string>

namespace savorydock {

/// An in-memory implementation of the platform's store at the level of its
/// messages: linearizable, with reads and swaps only. Watches are left to the
/// caller.
class memory_platform {
public:
    platform_answer answer(const platform_request& request) {
        if (const auto* read = std::get_if<read_range>(&request)) {
            return this->read(*read);
        }
        if (const auto* swap = std::get_if<compare_and_swap>(&request)) {
            return this->swap(*swap);
        }
        return {.revision = revision_};
    }

    [[nodiscard]] bool has_change_since(const watch_prefix& watch) const {
        for (const auto& [key, value] : values_) {
            if (key.starts_with(watch.prefix) &&
                value.modified >= watch.start) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] store_revision revision() const { return revision_; }
    /// Increases the store's revision, like a write of another user of the
    /// store.
    void advance_revision() { ++revision_; }
    [[nodiscard]] const std::map<std::string, stored_value>& values() const {
        return values_;
    }
    /// Writes without any check.
    void put(const std::string& key, std::string value) {
        stored_value& slot = values_[key];
        slot.key = key;
        slot.value = std::move(value);
        slot.modified = ++revision_;
    }

private:
    platform_answer read(const read_range& request) const {
        platform_answer answer{.revision = revision_};
        for (const auto& [key, value] : values_) {
            const bool fits = request.is_prefix ? key.starts_with(request.key)
                                                : key == request.key;
            if (fits && value.modified >= request.min_modified) {
                answer.values.push_back(value);
            }
        }
        return answer;
    }

    platform_answer swap(const compare_and_swap& request) {
        const auto found = values_.find(request.key);
        const store_revision modified =
            found == values_.end() ? 0 : found->second.modified;
        if (modified == request.expected) {
            put(request.key, request.value);
            return {.revision = revision_, .has_swapped = true};
        }
        return read({.key = request.key});
    }

    std::map<std::string, stored_value> values_;
    store_revision revision_ = 1;
};

} // namespace savorydock
