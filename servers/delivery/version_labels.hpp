#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace savorydock {

/// Tracks which weight version produced which tokens of one answer, including
/// weight updates in mid-stream and a resume on another upstream.
///
/// Versions are never guessed: a single missing, non-contiguous, overlapping or
/// contradicting report makes the versions permanently unknown. Not thread
/// safe.
class version_labels {
public:
    /// Adds the range of the next tokens. It must begin where the last range
    /// ended; version 0 means that the upstream did not report it.
    void add(version_range range);

    /// Checks the upstream's summary of the complete answer, which must match
    /// the versions reported with the tokens.
    void confirm(std::span<const version_range> summary);

    /// The merged ranges of an answer of `token_count` tokens.
    /// Errors: `sample_version_unknown`, also for an answer without tokens,
    /// which has no version.
    [[nodiscard]] outcome<std::vector<version_range>>
    finish(std::uint32_t token_count) const;

    /// Resets all state, to start again from the first token.
    void clear();

private:
    void fail(const char* reason);

    std::vector<version_range> ranges_;
    const char* fault_ = nullptr;
};

/// The oldest version of an answer. Precondition: not empty. Thread safe.
[[nodiscard]] weight_version
oldest_version(std::span<const version_range> ranges);

/// Staleness check at hand-over: whether the oldest version in the answer is at
/// most `bound` versions behind the newest known one. Thread safe.
[[nodiscard]] bool is_fresh(std::span<const version_range> ranges,
                            weight_version newest, std::uint32_t bound);

} // namespace savorydock
