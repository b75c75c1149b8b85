#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"
#include "servers/delivery/version_labels.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// Number of a run of a request; later runs have greater numbers. For a slot
/// the numbers increase across all sessions, see `make_attempt`.
using attempt_number = std::uint64_t;

/// One event of an upstream's response stream, independent of the wire format.
struct stream_event {
    /// The stream id that the upstream reports.
    std::string stream;
    attempt_number attempt = 0;
    /// `text` contains the tokens [first_token, first_token + token_count).
    std::uint32_t first_token = 0;
    std::uint32_t token_count = 0;
    std::string text;
    /// The weight version that produced these tokens; 0 if not reported.
    weight_version version = 0;
    /// Finish mark: the upstream reports the answer as complete.
    bool is_finish = false;
    /// Number of tokens in the answer; only set with the finish mark.
    std::optional<std::uint32_t> total_tokens;
    /// The upstream's summary of versions; only set with the finish mark, and
    /// may be empty.
    std::vector<version_range> versions;
};

/// State of an answer.
enum class answer_verdict : std::uint8_t {
    /// More tokens may arrive.
    open,
    /// Every token arrived exactly once and the finish mark matches.
    complete,
    /// Tokens or the finish mark are missing. A resume may complete the answer.
    truncated,
    /// The stream contained an event of another request, or of a run that was
    /// never started.
    mismatched,
    /// Tokens or the finish mark arrived twice.
    duplicated,
};

/// Assembles an answer from stream events and detects whether it is complete.
///
/// Events are matched by stream and attempt. Late events of an earlier attempt
/// are dropped; any other mismatch or duplicate makes the answer permanently
/// invalid. Not thread safe.
class answer_assembler {
public:
    /// Precondition: `stream` is not empty.
    answer_assembler(std::string stream, attempt_number attempt);

    /// Processes an event. Returns true if its text belongs to the answer and
    /// may be forwarded to the caller.
    bool accept(const stream_event& event);

    /// Call when the connection has ended. An answer without a finish mark is
    /// then truncated.
    void end_stream();

    /// Continues the answer from token `next_token` with a later attempt, on
    /// the same or another upstream. Returns false unless the answer is open or
    /// truncated and `attempt` is greater than the current one.
    bool resume(attempt_number attempt);

    [[nodiscard]] answer_verdict verdict() const { return verdict_; }
    [[nodiscard]] std::uint32_t next_token() const { return next_token_; }
    [[nodiscard]] attempt_number attempt() const { return attempt_; }
    [[nodiscard]] const std::string& stream() const { return stream_; }
    [[nodiscard]] const std::string& text() const { return text_; }

    /// The weight versions of a complete answer. Errors:
    /// `sample_version_unknown`, `failed_truncated` if it is not complete.
    [[nodiscard]] outcome<std::vector<version_range>> versions() const;

private:
    [[nodiscard]] bool is_invalid() const;
    void append(const stream_event& event);
    void finish(const stream_event& event);

    std::string stream_;
    attempt_number attempt_;
    answer_verdict verdict_ = answer_verdict::open;
    std::uint32_t next_token_ = 0;
    std::string text_;
    version_labels labels_;
};

} // namespace savorydock
