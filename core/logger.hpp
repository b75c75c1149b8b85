#pragma once

#include "core/log_event.hpp"

#include <string_view>

namespace savorydock {

/// The interface for writing log events. Implementations are thread safe.
class logger {
public:
    virtual ~logger() = default;

    /// Writes one event; `detail` is one line of "name=value" pairs.
    virtual void write(log_event event, std::string_view detail) = 0;
};

/// A logger that discards all events, for tools and tests.
class null_logger final : public logger {
public:
    void write(log_event, std::string_view) override {}
};

} // namespace savorydock
