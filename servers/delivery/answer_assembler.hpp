#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"
#include "servers/delivery/version_labels.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// One run of a request; a later run has a greater number. Numbers of one
/// slot grow over all sessions, see `make_attempt`.
using attempt_number = std::uint64_t;

/// One event of an upstream's stream, whatever its wire form was.
struct stream_event {
    /// The stream that the upstream says it answers.
    std::string stream;
    attempt_number attempt = 0;
    /// Tokens [first_token, first_token + token_count) are in `text`.
    std::uint32_t first_token = 0;
    std::uint32_t token_count = 0;
    std::string text;
    /// The weights that produced these tokens; 0 if the upstream does not say.
    weight_version version = 0;
    /// The upstream says that the answer is complete.
    bool is_finish = false;
    /// With the finish mark: how many tokens the answer has.
    std::optional<std::uint32_t> total_tokens;
    /// With the finish mark: the upstream's summary of versions, if any.
    std::vector<version_range> versions;
};

/// What is known about an answer so far.
enum class answer_verdict : std::uint8_t {
    /// Tokens may still come.
    open,
    /// Every token came once and the finish mark agrees.
    whole,
    /// Tokens or the finish mark are missing. A resume may mend it.
    truncated,
    /// The stream carried another request's or a never begun run's answer.
    crossed,
    /// Tokens or the finish mark came twice.
    doubled,
};

/// Puts one answer together and says whether it is whole.
///
/// Answers are matched by stream and attempt. Events of an earlier attempt
/// are late and are dropped; anything else that does not fit taints the answer
/// for good. Not thread safe.
class answer_assembler {
public:
    /// Precondition: `stream` is not empty.
    answer_assembler(std::string stream, attempt_number attempt);

    /// Takes one event; returns true if its text belongs to the answer and
    /// may be passed on.
    bool accept(const stream_event& event);

    /// The connection ended. Without a finish mark the answer is truncated.
    void end_stream();

    /// Goes on with a later attempt at token `next_token`, here or on another
    /// upstream. Returns false unless the answer is open or truncated and the
    /// attempt is a later one.
    bool resume(attempt_number attempt);

    [[nodiscard]] answer_verdict verdict() const { return verdict_; }
    [[nodiscard]] std::uint32_t next_token() const { return next_token_; }
    [[nodiscard]] attempt_number attempt() const { return attempt_; }
    [[nodiscard]] const std::string& stream() const { return stream_; }
    [[nodiscard]] const std::string& text() const { return text_; }

    /// The versions of a whole answer. Errors: `sample_version_unknown`,
    /// `failed_truncated` if the answer is not whole.
    [[nodiscard]] outcome<std::vector<version_range>> versions() const;

private:
    [[nodiscard]] bool is_tainted() const;
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
