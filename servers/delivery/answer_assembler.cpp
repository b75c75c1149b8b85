#include "servers/delivery/answer_assembler.hpp"

#include <cassert>
#include <limits>
#include <utility>

namespace savorydock {

answer_assembler::answer_assembler(std::string stream, attempt_number attempt)
    : stream_(std::move(stream))
    , attempt_(attempt) {
    assert(!stream_.empty());
}

bool answer_assembler::accept(const stream_event& event) {
    if (is_invalid()) {
        return false;
    }
    if (event.stream != stream_ || event.attempt > attempt_) {
        verdict_ = answer_verdict::mismatched;
        return false;
    }
    if (event.attempt < attempt_) {
        return false;
    }
    if (verdict_ == answer_verdict::complete) {
        verdict_ = answer_verdict::duplicated;
        return false;
    }
    if (verdict_ == answer_verdict::truncated) {
        return false;
    }
    if (event.token_count > 0) {
        append(event);
    } else if (!event.text.empty() && !event.is_finish) {
        // Duplicates of text without a token position cannot be detected.
        verdict_ = answer_verdict::truncated;
    }
    if (event.is_finish && verdict_ == answer_verdict::open) {
        finish(event);
    }
    return verdict_ == answer_verdict::open ||
           verdict_ == answer_verdict::complete;
}

void answer_assembler::append(const stream_event& event) {
    if (event.first_token < next_token_) {
        verdict_ = answer_verdict::duplicated;
        return;
    }
    const bool is_too_long =
        event.token_count >
        std::numeric_limits<std::uint32_t>::max() - event.first_token;
    if (event.first_token > next_token_ || is_too_long) {
        verdict_ = answer_verdict::truncated;
        return;
    }
    const std::uint32_t last = event.first_token + event.token_count;
    labels_.add(
        {.first = event.first_token, .last = last, .version = event.version});
    next_token_ = last;
    text_ += event.text;
}

void answer_assembler::finish(const stream_event& event) {
    const std::uint32_t total = event.total_tokens.value_or(next_token_);
    if (total < next_token_) {
        verdict_ = answer_verdict::duplicated;
        return;
    }
    if (total > next_token_) {
        verdict_ = answer_verdict::truncated;
        return;
    }
    if (!event.versions.empty()) {
        labels_.confirm(event.versions);
    }
    if (event.token_count == 0) {
        text_ += event.text;
    }
    verdict_ = answer_verdict::complete;
}

void answer_assembler::end_stream() {
    if (verdict_ == answer_verdict::open) {
        verdict_ = answer_verdict::truncated;
    }
}

bool answer_assembler::resume(attempt_number attempt) {
    const bool is_resumable = verdict_ == answer_verdict::open ||
                              verdict_ == answer_verdict::truncated;
    if (!is_resumable || attempt <= attempt_) {
        return false;
    }
    attempt_ = attempt;
    verdict_ = answer_verdict::open;
    return true;
}

outcome<std::vector<version_range>> answer_assembler::versions() const {
    if (verdict_ != answer_verdict::complete) {
        return failure{result_code::failed_truncated,
                       "the answer is not whole"};
    }
    return labels_.finish(next_token_);
}

bool answer_assembler::is_invalid() const {
    return verdict_ == answer_verdict::mismatched ||
           verdict_ == answer_verdict::duplicated;
}

} // namespace savorydock
