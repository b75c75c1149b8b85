#include "tests/fakes/child_process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace savorydock {

child_process::child_process(const std::string& bin, const std::string& program,
                             std::vector<std::string> flags) {
    std::string path = bin + "/" + program;
    std::vector<char*> arguments{path.data()};
    for (std::string& flag : flags) {
        arguments.push_back(flag.data());
    }
    arguments.push_back(nullptr);
    std::array<int, 2> pipe_ends{};
    if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("can't create a pipe");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    const int error = posix_spawn(&pid_, path.c_str(), &actions, nullptr,
                                  arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    output_ = pipe_ends[0];
    if (error != 0) {
        close(output_);
        throw std::runtime_error("can't start " + path);
    }
}

child_process::~child_process() {
    if (pid_ > 0) {
        send(SIGKILL);
        wait();
    }
    close(output_);
}

void child_process::send(int signal) const {
    kill(pid_, signal);
}

int child_process::wait() {
    int status = 0;
    waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string child_process::wait_for_line(const std::string& prefix,
                                         std::chrono::milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (true) {
        std::size_t line_end = 0;
        while ((line_end = unread_.find('\n')) != std::string::npos) {
            const std::string line = unread_.substr(0, line_end);
            unread_.erase(0, line_end + 1);
            if (line.starts_with(prefix)) {
                return line;
            }
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now());
        pollfd watched{.fd = output_, .events = POLLIN};
        if (left.count() <= 0 ||
            poll(&watched, 1, static_cast<int>(left.count())) <= 0) {
            return {};
        }
        std::array<char, 4096> bytes{};
        const ssize_t count = read(output_, bytes.data(), bytes.size());
        if (count <= 0) {
            return {};
        }
        unread_.append(bytes.data(), static_cast<std::size_t>(count));
    }
}

std::string child_process::read_all() {
    std::array<char, 4096> bytes{};
    ssize_t count = 0;
    while ((count = read(output_, bytes.data(), bytes.size())) > 0) {
        unread_.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return std::exchange(unread_, {});
}

namespace {

/// Below the ephemeral port range (from 32768 on Linux), so that an outgoing
/// connection of another test can't take the port before the caller listens.
constexpr std::uint16_t first_port = 20'000;
constexpr std::uint16_t port_count = 12'000;

} // namespace

std::uint16_t find_free_port() {
    // Each process starts at another port and counts up, so that parallel
    // tests rarely try the same port and one process doesn't reuse a port.
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * 37U;
    for (std::uint32_t tries = 0; tries < port_count; ++tries) {
        const auto port =
            static_cast<std::uint16_t>(first_port + next++ % port_count);
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(boost::asio::ip::tcp::v4());
        acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, error);
        if (!error) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace savorydock
