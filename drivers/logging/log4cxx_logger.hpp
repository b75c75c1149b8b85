#pragma once

#include "core/logger.hpp"
#include "core/outcome.hpp"

#include <memory>
#include <string>

namespace savorydock {

/// Writes events as lines "TIME LEVEL NUMBER name detail" by log4cxx.
/// Thread safe.
class log4cxx_logger final : public logger {
public:
    /// `file` "-" is the standard error output; `level` is one of debug,
    /// info, warning, error; `instance` names the process in each line.
    log4cxx_logger(const std::string& file, const std::string& level,
                   const std::string& instance);
    ~log4cxx_logger() override;

    void write(log_event event, std::string_view detail) override;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace savorydock
