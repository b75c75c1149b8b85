#include "tests/main/caller_memory_fixture.hpp"

using namespace savorydock;

namespace {

/// Sends what harms the port for callers to the other ports of an instance.
class internal_port_memory_test : public caller_memory_fixture {
protected:
    static crowd_plan endless_trailers() {
        return make_endless_trailers(
            make_head("/", "Transfer-Encoding: chunked\r\n"));
    }

    static crowd_plan short_bodies() {
        constexpr std::size_t announced = 8'000'000;
        return {.head = make_head("/", make_length(announced)),
                .piece = std::string(piece_bytes, 'a'),
                .pieces = announced / piece_bytes};
    }

    /// Bytes that are no protocol.
    static crowd_plan endless_bytes_of(const std::string& head, char fill) {
        return {.head = head,
                .piece = std::string(piece_bytes, fill),
                .pieces = endless_bytes / piece_bytes};
    }
};

} // namespace

TEST_F(internal_port_memory_test,
       endless_trailers_at_the_readiness_port_leave_memory_bounded) {
    expect_sound_under(endless_trailers(), readiness_port);
}

TEST_F(internal_port_memory_test,
       short_bodies_at_the_readiness_port_leave_memory_bounded) {
    expect_sound_under(short_bodies(), readiness_port);
}

TEST_F(internal_port_memory_test,
       endless_trailers_at_the_metrics_port_leave_memory_bounded) {
    expect_sound_under(endless_trailers(), metrics_port);
}

TEST_F(internal_port_memory_test,
       short_bodies_at_the_metrics_port_leave_memory_bounded) {
    expect_sound_under(short_bodies(), metrics_port);
}

TEST_F(internal_port_memory_test,
       endless_bytes_at_the_peer_port_leave_memory_bounded) {
    expect_sound_under(endless_bytes_of("", 'a'), internal_port);
}

// Frames of messages for which no sender was authenticated are kept only up to
// a limit of all connections together.
TEST_F(internal_port_memory_test,
       unfinished_messages_at_the_peer_port_leave_memory_bounded) {
    using namespace std::string_literals;
    const std::string preface =
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"s + "\0\0\0\4\0\0\0\0\0"s;
    std::string frames;
    // HEADERS of POST /peer (":method: POST", ":path: /peer" as a literal,
    // ":scheme: http", ":authority: p" as a literal), then DATA that doesn't
    // end its stream, on 60 streams of 900 kB.
    const std::string fields = "\x83\x86\x44\x05/peer\x41\x01p"s;
    const std::string data(16'000, 'a');
    for (int stream = 1; stream < 120; stream += 2) {
        const std::string id = {'\0', '\0', '\0', static_cast<char>(stream)};
        frames += std::string{'\0', '\0', static_cast<char>(fields.size()),
                              '\1', '\4'} +
                  id + fields;
        for (int part = 0; part < 56; ++part) {
            frames +=
                std::string{'\0', '\x3e', static_cast<char>(0x80), '\0', '\0'} +
                id + data;
        }
    }
    expect_sound_under({.head = preface, .piece = frames, .pieces = 1},
                       internal_port);
}

TEST_F(internal_port_memory_test,
       endless_bytes_at_the_tunnel_port_leave_memory_bounded) {
    expect_sound_under(endless_bytes_of("", 'a'), internal_port + 1);
}
