#include "servers/feed/value_history.hpp"

#include "core/value_delta.hpp"

#include <algorithm>

namespace savorydock {

void value_history::record(const std::vector<store_change>& changes) {
    for (const store_change& change : changes) {
        const stored_value& value = change.value;
        if (change.is_removed || value.value.size() < options_.min_bytes) {
            versions_.erase(value.key);
            continue;
        }
        auto& kept = versions_[value.key];
        kept.push_back(value);
        if (kept.size() > options_.max_versions) {
            kept.pop_front();
        }
    }
}

const stored_value* value_history::find(const std::string& key,
                                        store_revision last) const {
    const auto kept = versions_.find(key);
    if (kept == versions_.end()) {
        return nullptr;
    }
    const auto found = std::find_if(
        kept->second.rbegin(), kept->second.rend(),
        [&](const stored_value& version) { return version.modified <= last; });
    return found == kept->second.rend() ? nullptr : &*found;
}

feed_change value_history::encode(const store_change& change,
                                  store_revision held) const {
    const stored_value& value = change.value;
    feed_change encoded{.key = value.key,
                        .created = value.created,
                        .modified = value.modified,
                        .is_removed = change.is_removed};
    if (value.value.size() < options_.min_bytes) {
        encoded.value = value.value;
        return encoded;
    }
    const stored_value* const base =
        find(value.key, std::min(held, value.modified - 1));
    std::string bytes =
        encode_delta(value.value, base != nullptr ? base->value : "");
    if (bytes.empty() || bytes.size() >= value.value.size()) {
        encoded.value = value.value;
        return encoded;
    }
    encoded.value = std::move(bytes);
    encoded.encoding =
        base != nullptr ? value_encoding::delta : value_encoding::compressed;
    encoded.base = base != nullptr ? base->modified : 0;
    return encoded;
}

std::optional<store_change> value_history::decode(feed_change change) const {
    store_change restored{.value = {.key = std::move(change.key),
                                    .value = std::move(change.value),
                                    .created = change.created,
                                    .modified = change.modified},
                          .is_removed = change.is_removed};
    if (change.encoding == value_encoding::plain) {
        return restored;
    }
    std::string_view base_text;
    if (change.encoding == value_encoding::delta) {
        const stored_value* const base = find(restored.value.key, change.base);
        if (base == nullptr || base->modified != change.base) {
            return std::nullopt;
        }
        base_text = base->value;
    }
    auto value = decode_delta(restored.value.value, base_text);
    if (!value) {
        return std::nullopt;
    }
    restored.value.value = std::move(*value);
    return restored;
}

} // namespace savorydock
