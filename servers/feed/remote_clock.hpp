#pragma once

#include <chrono>
#include <optional>

namespace savorydock {

/// Relates another instance's clock to this one's, without assuming that they
/// agree or how long messages take.
///
/// Load pattern: a link between instances delays messages by seconds, or an
/// instance is suspended with messages in its buffers. An age in a message is
/// then too small by the time that the message was under way. An answered
/// request shows that the other instance read its clock after the request was
/// sent, which bounds that time.
///
/// Both clocks must count while their machine is suspended. Times are the
/// clocks' readings. Not thread safe; deterministic.
class remote_clock {
public:
    using reading = std::chrono::milliseconds;

    /// A request sent at `sent_at` by the own clock was answered at
    /// `answered_at` by the other instance's clock.
    void on_answer(reading sent_at, reading answered_at);

    /// Returns the earliest own time at which the other clock can have shown
    /// `remote`; nothing before the first answer.
    [[nodiscard]] std::optional<reading> earliest_local(reading remote) const;

    /// Forgets all answers, for another instance or another start of it.
    void reset() { offset_.reset(); }

private:
    /// Largest known difference between a sending time and the other clock's
    /// later reading.
    std::optional<reading> offset_;
};

} // namespace savorydock
