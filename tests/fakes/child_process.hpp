#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace savorydock {

/// Runs a program of the build as a child process and captures its standard
/// output. The destructor kills the process. Not thread safe.
class child_process {
public:
    /// Starts `program` from the folder `bin`. Throws std::runtime_error if it
    /// can't be started.
    child_process(const std::string& bin, const std::string& program,
                  std::vector<std::string> flags);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void send(int signal) const;

    [[nodiscard]] pid_t pid() const { return pid_; }

    /// Waits until the process exits. Returns its exit code, or -1 if a signal
    /// ended it.
    int wait();

    /// Reads output lines until one starts with `prefix`. Returns that line, or
    /// an empty string if `limit` passes or the output ends first.
    [[nodiscard]] std::string wait_for_line(const std::string& prefix,
                                            std::chrono::milliseconds limit);

    /// Returns all output not read yet. Blocks until the process closes its
    /// output.
    [[nodiscard]] std::string read_all();

private:
    pid_t pid_ = 0;
    int output_ = -1;
    std::string unread_;
};

/// Returns a port of 127.0.0.1 that was free when it was checked.
[[nodiscard]] std::uint16_t find_free_port();

} // namespace savorydock
