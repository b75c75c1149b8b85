#include "drivers/http/request_assembler.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

using namespace savorydock;

namespace {

constexpr std::size_t piece_bytes = 65'536;
constexpr caller_limits limits{.max_header_bytes = 1'024,
                               .max_body_bytes = 200'000};
constexpr std::size_t memory_bytes = 300'000;

/// One connection with a memory of its own.
class request_assembler_test : public ::testing::Test {
public:
    /// Feeds bytes in pieces until the request is decided. Returns the state,
    /// and records the largest reservation and the largest buffers.
    request_state feed(std::string_view bytes, std::size_t piece) {
        assembler.emplace(input, share, limits);
        request_state state = request_state::incomplete;
        while (state == request_state::incomplete && !bytes.empty()) {
            const std::size_t size = std::min(piece, bytes.size());
            state = assembler->add(bytes.substr(0, size), {});
            bytes.remove_prefix(size);
            largest = std::max(largest, share.bytes());
            largest_input = std::max(largest_input, input.capacity());
        }
        return state;
    }

    std::shared_ptr<caller_memory> memory = std::make_shared<caller_memory>(
        caller_memory_options{.max_bytes = memory_bytes});
    caller_memory::share share{memory, "a", [] {}};
    boost::beast::flat_buffer input;
    std::optional<request_assembler> assembler;
    std::size_t largest = 0;
    std::size_t largest_input = 0;
};

std::string chunked(const std::string& rest) {
    return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
           rest;
}

/// Parts of requests, sound and faulty, and bytes of any kind.
rc::Gen<std::string> make_part() {
    const auto repeated = [](std::string text) {
        return rc::gen::map(rc::gen::inRange<std::size_t>(0, 4'000),
                            [text](std::size_t count) {
                                std::string all;
                                for (std::size_t i = 0; i < count; ++i) {
                                    all += text;
                                }
                                return all;
                            });
    };
    return rc::gen::oneOf(
        rc::gen::element<std::string>(
            "POST / HTTP/1.1\r\nHost: h\r\n", "Content-Length: 150000\r\n",
            "Content-Length: 90000000000\r\n", "Content-Length: -1\r\n",
            "Transfer-Encoding: chunked\r\n", "\r\n", "5;a=b\r\nhello\r\n",
            "fffffffff\r\n", "3e80\r\n", "0\r\n", "0\r\n\r\n", "X: y\r\n",
            "GET / HTTP/1.1\r\n\r\n"),
        repeated("aaaaaaaaaaaaaaaaaaaa"), repeated("X-T: aaaa\r\n"),
        repeated("1\r\na\r\n"), rc::gen::string<std::string>());
}

} // namespace

TEST_F(request_assembler_test, pieces_of_any_size_give_the_same_request) {
    const std::string bytes =
        chunked("5;a=b\r\nhello\r\n1\r\n!\r\n0\r\nX-T: v\r\n\r\n") + "GET";
    for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
        input.clear();
        share.reset();
        ASSERT_EQ(feed(bytes, piece), request_state::complete) << piece;
        const http_request request = assembler->take_request();
        EXPECT_EQ(request.body, "hello!");
        EXPECT_EQ(request.header("X-T"), "v");
    }
}

// Trailers and chunk extensions were kept without a limit.
TEST_F(request_assembler_test, trailers_over_the_limit_are_refused) {
    std::string trailers;
    while (trailers.size() <= limits.max_header_bytes) {
        trailers += "X-T: aaaaaaaa\r\n";
    }
    EXPECT_EQ(feed(chunked("0\r\n" + trailers), 100), request_state::too_large);
    EXPECT_LE(largest_input, 4 * limits.max_header_bytes);
}

TEST_F(request_assembler_test, chunk_extension_over_the_limit_is_refused) {
    EXPECT_EQ(feed(chunked("5;a=" + std::string(2'000, 'b')), 100),
              request_state::too_large);
}

TEST_F(request_assembler_test, announced_oversize_is_refused_with_the_head) {
    EXPECT_EQ(feed("POST / HTTP/1.1\r\nContent-Length: 200001\r\n\r\n", 10),
              request_state::too_large);
}

TEST_F(request_assembler_test, body_without_memory_is_refused) {
    caller_memory::share other(memory, "b", [] {});
    ASSERT_TRUE(other.resize(100'000, {}));
    other.set_revocable(false);
    EXPECT_EQ(feed("POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" +
                       std::string(200'000, 'a'),
                   piece_bytes),
              request_state::overloaded);
}

// Guards against bytes that keep a connection undecided while they take memory
// beyond its limits.
RC_GTEST_FIXTURE_PROP(request_assembler_test,
                      any_bytes_in_any_pieces_stay_within_the_memory, ()) {
    std::string bytes;
    for (const std::string& part :
         *rc::gen::container<std::vector<std::string>>(make_part())) {
        bytes += part;
    }
    feed(bytes, *rc::gen::inRange<std::size_t>(1, piece_bytes + 1));
    RC_ASSERT(largest <= memory_bytes);
    RC_ASSERT(memory->counters().used_bytes <= memory_bytes);
    RC_ASSERT(largest_input <= 2 * (piece_bytes + limits.max_header_bytes));
    RC_ASSERT(assembler->body_bytes() <= limits.max_body_bytes);
}
