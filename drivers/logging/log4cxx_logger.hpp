#pragma once

#include "core/logger.hpp"
#include "core/outcome.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace savorydock {

/// Where lines go that don't go to a file.
enum class log_target : std::uint8_t {
    /// Lines "at=TIME level=LEVEL instance=NAME event=NUMBER name=NAME ..."
    /// on the standard output, written by a thread of their own. A reader
    /// that stalls costs lines, never time of the caller.
    standard_output,
};

/// Writes events as lines "TIME LEVEL NUMBER name detail" by log4cxx.
/// Thread safe.
class log4cxx_logger final : public logger {
public:
    /// `file` "-" is the standard error output; `level` is one of debug,
    /// info, warning, error; `instance` names the process in each line.
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
