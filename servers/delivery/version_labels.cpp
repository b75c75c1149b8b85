#include "servers/delivery/version_labels.hpp"

#include <algorithm>
#include <cassert>

namespace savorydock {

void version_labels::add(version_range range) {
    const std::uint32_t expected = ranges_.empty() ? 0 : ranges_.back().last;
    if (range.version == 0) {
        return fail("tokens without a version");
    }
    if (range.first >= range.last) {
        return fail("an empty or reversed range");
    }
    if (range.first > expected) {
        return fail("a gap between ranges");
    }
    if (range.first < expected) {
        return fail("ranges that overlap");
    }
    if (!ranges_.empty() && ranges_.back().version == range.version) {
        ranges_.back().last = range.last;
        return;
    }
    ranges_.push_back(range);
}

void version_labels::confirm(std::span<const version_range> summary) {
    version_labels summary_labels;
    for (const version_range& range : summary) {
        summary_labels.add(range);
    }
    if (summary_labels.fault_ != nullptr) {
        return fail(summary_labels.fault_);
    }
    if (summary_labels.ranges_ != ranges_) {
        fail("a summary that contradicts the tokens");
    }
}

outcome<std::vector<version_range>>
version_labels::finish(std::uint32_t token_count) const {
    if (fault_ != nullptr) {
        return failure{result_code::sample_version_unknown, fault_};
    }
    const std::uint32_t labelled = ranges_.empty() ? 0 : ranges_.back().last;
    if (token_count == 0 || labelled != token_count) {
        return failure{result_code::sample_version_unknown,
                       "labels do not cover all tokens"};
    }
    return ranges_;
}

void version_labels::clear() {
    ranges_.clear();
    fault_ = nullptr;
}

void version_labels::fail(const char* reason) {
    if (fault_ == nullptr) {
        fault_ = reason;
    }
}

weight_version oldest_version(std::span<const version_range> ranges) {
    assert(!ranges.empty());
    return std::min_element(ranges.begin(), ranges.end(),
                            [](const auto& a, const auto& b) {
                                return a.version < b.version;
                            })
        ->version;
}

bool is_fresh(std::span<const version_range> ranges, weight_version newest,
              std::uint32_t bound) {
    const weight_version oldest = oldest_version(ranges);
    return newest <= oldest || newest - oldest <= bound;
}

} // namespace savorydock
