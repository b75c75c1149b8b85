#pragma once

#include "tests/fakes/caller_crowd.hpp"
#include "tests/fakes/child_process.hpp"
#include "tests/fakes/raw_caller.hpp"
#include "tests/fakes/raw_upstream.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>

namespace savorydock {

/// What the machine and the configuration of a test allow.
struct memory_limits {
    std::size_t memory_mb = 64;
    std::size_t max_body_bytes = 4U << 20U;
    std::size_t max_descriptors = 3'075;
};

/// Measures one instance that runs as a process on a machine with little
/// memory, with an upstream for it.
class process_memory_fixture : public ::testing::Test {
protected:
    /// How long a crowd may send nothing before it counts as blocked.
    static constexpr std::chrono::milliseconds quiet{1'000};
    static constexpr std::size_t piece_bytes = 65'536;
    /// How far a body that never ends stops short of its announced end.
    static constexpr std::size_t missing_bytes = 1'000;
    /// Sent by each connection that would send without end.
    static constexpr std::size_t endless_bytes = 12U << 20U;

    explicit process_memory_fixture(memory_limits limits)
        : limits_(limits) {}

    /// Whether one ordinary request is answered with success.
    [[nodiscard]] virtual bool is_served() const = 0;

    static std::string make_length(std::size_t bytes) {
        return "Content-Length: " + std::to_string(bytes) + "\r\n";
    }

    /// The same bytes as often as fits in `bytes`.
    static crowd_plan make_endless(std::string head, std::string piece,
                                   std::size_t bytes = endless_bytes) {
        const std::size_t pieces = bytes / piece.size();
        return {.head = std::move(head),
                .piece = std::move(piece),
                .pieces = pieces};
    }

    /// Trailers without end behind a chunked body.
    static crowd_plan make_endless_trailers(const std::string& chunked_head) {
        std::string piece;
        while (piece.size() < piece_bytes) {
            piece += "X-Trailer: " + std::string(100, 'a') + "\r\n";
        }
        return make_endless(chunked_head + "0\r\n", piece);
    }

    /// A body of legal size that stops just short of its end.
    [[nodiscard]] crowd_plan make_short_body(const std::string& head,
                                             std::size_t piece) const {
        const std::size_t sent = limits_.max_body_bytes - missing_bytes;
        return {.head = head,
                .piece = std::string(piece, 'a'),
                .pieces = sent / piece,
                .tail = std::string(sent % piece, 'a')};
    }

    static std::string make_chunk(std::size_t size) {
        char digits[20];
        std::snprintf(digits, sizeof(digits), "%zx\r\n", size);
        return digits + std::string(size, 'a') + "\r\n";
    }

    /// The largest resident memory of the process so far; 0 if it has ended.
    [[nodiscard]] std::size_t peak_memory_mb() const {
        std::ifstream file("/proc/" + std::to_string(instance_->pid()) +
                           "/status");
        const std::string name = "VmHWM:";
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with(name)) {
                return std::stoul(line.substr(name.size())) / 1024;
            }
        }
        return 0;
    }

    /// Returns once the peak memory has not grown for some time.
    void wait_until_settled() const {
        std::size_t peak = 0;
        while (peak < peak_memory_mb()) {
            peak = peak_memory_mb();
            std::this_thread::sleep_for(quiet);
        }
    }

    [[nodiscard]] std::size_t open_descriptors() const {
        std::error_code ignored;
        std::filesystem::directory_iterator files(
            "/proc/" + std::to_string(instance_->pid()) + "/fd", ignored);
        return static_cast<std::size_t>(
            std::distance(begin(files), end(files)));
    }

    /// The process lives, stays within the memory and descriptors of its
    /// machine and answers an ordinary request.
    void expect_sound() const {
        EXPECT_TRUE(is_served()) << "an ordinary request was not answered";
        const std::size_t memory = peak_memory_mb();
        EXPECT_GT(memory, 0U) << "the process has ended";
        EXPECT_LT(memory, limits_.memory_mb);
        EXPECT_LT(open_descriptors(), limits_.max_descriptors);
    }

    /// Runs a crowd against an address, and checks the process while the
    /// crowd's connections are still open.
    void expect_sound_under(crowd_plan plan, const endpoint& to) const {
        const caller_crowd crowd(to, std::move(plan));
        crowd.wait_until_sent(quiet);
        wait_until_settled();
        EXPECT_LT(open_descriptors(), limits_.max_descriptors);
        expect_sound();
    }

    /// Serves the requests of one connection. /run/big is answered with 8 MB.
    /// A request to /run/stall is read no further than its head.
    static void serve(raw_connection& connection) {
        while (true) {
            const std::string request = connection.read_request();
            if (request.empty()) {
                return;
            }
            if (request.find(" /run/stall") != std::string::npos) {
                std::this_thread::sleep_for(std::chrono::seconds(4));
                return;
            }
            const std::size_t size =
                request.find(" /run/big") != std::string::npos ? 8U << 20U : 0;
            const std::size_t body_bytes = length_of(request);
            if (body_bytes > 0 && !connection.skip(body_bytes)) {
                return;
            }
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " +
                             header_of(request, "Request-Id") +
                             "\r\nServer-Stamp: s\r\n" + make_length(size) +
                             "\r\n" + std::string(size, 'a'));
        }
    }

    static std::size_t length_of(const std::string& request) {
        const std::string length = header_of(request, "Content-Length");
        return length.empty() ? 0 : std::stoul(length);
    }

    memory_limits limits_;
    raw_upstream upstream_{
        [](raw_connection& connection, std::size_t) { serve(connection); }};
    std::optional<child_process> instance_;
};

} // namespace savorydock
