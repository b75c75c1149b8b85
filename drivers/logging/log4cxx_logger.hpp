#pragma once

#include "core/logger.hpp"
#include "core/outcome.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace savorydock {

/// Destinations of log lines other than a file.
enum class log_target : std::uint8_t {
    /// Writes lines "at=TIME level=LEVEL instance=NAME event=NUMBER name=NAME
    /// ..." to the standard output on a separate thread. If the reader stalls,
    /// lines are dropped; `write` never blocks.
    standard_output,
};

/// Writes events through log4cxx, by default as lines "TIME LEVEL INSTANCE
/// NUMBER NAME DETAIL".
/// Thread safe.
class log4cxx_logger final : public logger {
public:
    /// Appends to `file`, or writes to the standard error output if it is "-".
    /// `level` is one of debug, info, warning, error; `instance` appears in
    /// each line.
    log4cxx_logger(const std::string& file, const std::string& level,
                   const std::string& instance);
    log4cxx_logger(log_target target, const std::string& level,
                   const std::string& instance);
    ~log4cxx_logger() override;

    void write(log_event event, std::string_view detail) override;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace savorydock
