#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace savorydock {

/// Which weights produced which tokens of one answer, through swaps in
/// mid-stream and through a resume on another upstream.
///
/// What can't be known is never guessed: one missing, gapped, overlapping or
/// contradicting report makes the labels unknown for good. Not thread safe.
class version_labels {
public:
    /// Adds the next tokens. They must begin where the last ones ended;
    /// version 0 means that the upstream did not say.
    void add(version_range range);

    /// Takes the upstream's own summary of the whole answer, which must agree
    /// with what the tokens said.
    void confirm(std::span<const version_range> summary);

    /// The merged ranges of an answer of `token_count` tokens.
    /// Errors: `sample_version_unknown`. An answer without tokens names no
    /// version and is unknown too.
    [[nodiscard]] outcome<std::vector<version_range>>
    finish(std::uint32_t token_count) const;

    /// Forgets everything, for a run from the first token.
    void clear();

private:
    void fail(const char* reason);

    std::vector<version_range> ranges_;
    const char* fault_ = nullptr;
};

/// The oldest version of an answer. Precondition: not empty. Thread safe.
[[nodiscard]] weight_version
oldest_version(std::span<const version_range> ranges);

/// Judges staleness at hand-over: whether the oldest version in the answer
/// lags behind the newest known one by at most `bound`. Thread safe.
[[nodiscard]] bool is_fresh(std::span<const version_range> ranges,
                            weight_version newest, std::uint32_t bound);

} // namespace savorydock
