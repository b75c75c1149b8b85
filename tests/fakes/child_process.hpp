#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace savorydock {

/// A program of the build as a process of its own, killed with the object.
/// Its standard output is kept. Not thread safe.
class child_process {
public:
    /// Starts a program of the build's folder `bin`.
    child_process(const std::string& bin, const std::string& program,
                  std::vector<std::string> flags);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void send(int signal) const;

    [[nodiscard]] pid_t pid() const { return pid_; }

    /// Waits for its end; returns the exit code, -1 if a signal ended it.
    int wait();

    /// Reads lines of its output until one begins with `prefix`; returns that
    /// line, or an empty text if there is none in time.
    [[nodiscard]] std::string wait_for_line(const std::string& prefix,
                                            std::chrono::milliseconds limit);

    /// What it has printed and was not read yet. Reads up to its end.
    [[nodiscard]] std::string read_all();

private:
    pid_t pid_ = 0;
    int output_ = -1;
    std::string read_;
};

/// A port of 127.0.0.1 that was free a moment ago.
[[nodiscard]] std::uint16_t find_free_port();

} // namespace savorydock
