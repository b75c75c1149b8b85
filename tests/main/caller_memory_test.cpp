#include "tests/main/caller_memory_fixture.hpp"

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mega = 1U << 20U;

class caller_memory_test : public caller_memory_fixture {
protected:
    /// A body of legal size that stops just short of its end.
    [[nodiscard]] crowd_plan make_short_body(const std::string& target,
                                             std::size_t piece,
                                             std::chrono::milliseconds pause) {
        crowd_plan plan = process_memory_fixture::make_short_body(
            make_head(target, make_length(limits_.max_body_bytes)), piece);
        plan.pause = pause;
        return plan;
    }

    static std::string chunked_head() {
        return make_head("/run/small", "Transfer-Encoding: chunked\r\n");
    }
};

} // namespace

// Trailers were buffered without a limit: 3.1 GB after 8 s.
TEST_F(caller_memory_test, endless_trailers_leave_memory_bounded) {
    expect_sound_under(make_endless_trailers(chunked_head()));
}

// One trailer without a line end was buffered without a limit.
TEST_F(caller_memory_test, endless_trailer_line_leaves_memory_bounded) {
    expect_sound_under({.head = chunked_head() + "0\r\nX-Trailer: ",
                        .piece = std::string(piece_bytes, 'a'),
                        .pieces = endless_bytes / piece_bytes});
}

// A chunk extension without end was buffered without a limit.
TEST_F(caller_memory_test, endless_chunk_extension_leaves_memory_bounded) {
    expect_sound_under({.head = chunked_head() + "5;name=",
                        .piece = std::string(piece_bytes, 'a'),
                        .pieces = endless_bytes / piece_bytes});
}

// Bodies that stopped short were kept, whatever their sum.
TEST_F(caller_memory_test, short_bodies_sent_at_once_leave_memory_bounded) {
    expect_sound_under(
        make_short_body("/run/small", limits_.max_body_bytes / 2, 0ms));
}

TEST_F(caller_memory_test, short_bodies_sent_in_pieces_leave_memory_bounded) {
    expect_sound_under(make_short_body("/run/small", 16'384, 1ms));
}

TEST_F(caller_memory_test, short_submissions_leave_memory_bounded) {
    expect_sound_under(make_short_body("/job/x", piece_bytes, 0ms));
}

TEST_F(caller_memory_test, short_chunked_bodies_leave_memory_bounded) {
    const std::string chunk = make_chunk(16'384);
    expect_sound_under({.head = chunked_head(),
                        .piece = chunk,
                        .pieces = limits_.max_body_bytes / 16'384 - 1});
}

// A chunk far over the limit was buffered up to the limit and beyond it.
TEST_F(caller_memory_test, chunk_far_over_the_limit_leaves_memory_bounded) {
    expect_sound_under({.head = chunked_head() + "fffffffff\r\n",
                        .piece = std::string(piece_bytes, 'a'),
                        .pieces = endless_bytes / piece_bytes});
}

TEST_F(caller_memory_test, chunks_without_end_leave_memory_bounded) {
    const std::string chunk = make_chunk(16'384);
    expect_sound_under({.head = chunked_head(),
                        .piece = chunk,
                        .pieces = endless_bytes / chunk.size()});
}

TEST_F(caller_memory_test, announced_oversize_leaves_memory_bounded) {
    expect_sound_under(
        {.head = make_head("/run/small", make_length(90'000'000'000)),
         .piece = std::string(piece_bytes, 'a'),
         .pieces = endless_bytes / piece_bytes});
}

// Answers waited in memory for callers that don't read them.
TEST_F(caller_memory_test, unread_answers_leave_memory_bounded) {
    expect_sound_under({.head = "GET /run/big HTTP/1.1\r\nHost: h\r\n"
                                "Request-Id: c\r\n\r\n"});
}

// Each body was held twice while an upstream didn't read it.
TEST_F(caller_memory_test, upstreams_that_dont_read_leave_memory_bounded) {
    expect_sound_under(
        {.head = make_head("/run/stall", make_length(limits_.max_body_bytes)),
         .piece = std::string(piece_bytes, 'a'),
         .pieces = limits_.max_body_bytes / piece_bytes});
}

// Complete submissions were held several times while they were decoded and
// written to the store.
TEST_F(caller_memory_test, complete_submissions_leave_memory_bounded) {
    const std::string begin =
        R"({"items": [{"id": "i", "path": "/run/small", "body": ")";
    const std::string end = R"("}]})";
    const std::size_t size =
        (limits_.max_body_bytes - begin.size() - end.size()) / 4 * 4;
    expect_sound_under(
        {.head = make_head("/job/x",
                           make_length(begin.size() + size + end.size())) +
                 begin,
         .piece = std::string(size, 'a'),
         .pieces = 1,
         .tail = end});
}

namespace {

/// A machine with few descriptors: 60 beyond those reserved.
class caller_descriptors_test : public caller_memory_fixture {
protected:
    caller_descriptors_test()
        : caller_memory_fixture({.max_descriptors = 260}) {}
};

} // namespace

// Connections were accepted until the process had no descriptors left.
TEST_F(caller_descriptors_test, idle_connections_leave_descriptors_bounded) {
    expect_sound_under({.connections = 400});
}

TEST_F(caller_descriptors_test, unfinished_heads_leave_descriptors_bounded) {
    expect_sound_under(
        {.connections = 400, .head = "GET /run/small HTTP/1.1\r\nHo"});
}

namespace {

/// The smallest machine, with the largest body of the protocol.
class largest_body_test : public caller_memory_fixture {
protected:
    static constexpr std::size_t body_bytes = 32 * mega;

    largest_body_test()
        : caller_memory_fixture(
              {.memory_mb = 120, .max_body_bytes = body_bytes}) {}

    void expect_served(const std::string& head, const std::string& body) {
        raw_caller caller(address());
        ASSERT_TRUE(caller.write(head));
        ASSERT_TRUE(caller.write(body));
        const auto answer = caller.read_answer(20s);
        ASSERT_TRUE(answer) << "the connection was closed without an answer";
        EXPECT_EQ(answer->status, 200U);
        expect_sound();
    }
};

} // namespace

TEST_F(largest_body_test, announced_body_is_served) {
    expect_served(make_head("/run/small", make_length(body_bytes)),
                  std::string(body_bytes, 'a'));
}

TEST_F(largest_body_test, chunked_body_is_served) {
    char digits[20];
    std::snprintf(digits, sizeof(digits), "%zx\r\n", body_bytes / 4);
    const std::string chunk =
        digits + std::string(body_bytes / 4, 'a') + "\r\n";
    expect_served(make_head("/run/small", "Transfer-Encoding: chunked\r\n"),
                  chunk + chunk + chunk + chunk + "0\r\n\r\n");
}
