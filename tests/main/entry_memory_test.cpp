// Crowds of callers and operators against the project's own interface.
#include "drivers/platform_kv/publisher.hpp"
#include "tests/fakes/fake_platform.hpp"
#include "tests/main/process_memory_fixture.hpp"

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// Runs `savorydock-entry` as a process. Targets below `service` are answered
/// by an upstream.
class entry_memory_test : public process_memory_fixture {
protected:
    static constexpr const char* service = "/v1/services/s/run/";

    explicit entry_memory_test(memory_limits limits = {})
        : process_memory_fixture(limits) {
        std::filesystem::create_directories(folder_);
        const auto platform = platform_.listen({.address = "127.0.0.1"});
        EXPECT_TRUE(platform);
        const std::string common =
            R"("classes": [{"name": "c"}],
               "callers": [{"name": "a", "key": "k", "class": "c"}],
               "upstreams": [{"name": "u", "zone": "z", "slots": 50,
                              "address": ")" +
            to_text(upstream_.address()) + R"("}], )";
        publisher target({.platform = {*platform}, .operator_name = "test"});
        EXPECT_TRUE(target.publish_files(
            {write("s", R"({"service": "s", "kind": "plain", )" + common +
                            R"("calls": [
                    {"path": "/run/small", "idempotent": true},
                    {"path": "/run/big", "idempotent": true},
                    {"path": "/run/stall", "idempotent": true}]})"),
             write("m", R"({"service": "m", "kind": "model", )" + common +
                            R"("weights": {}})")}));
        start(write("settings",
                    R"({"instance": "i", "zone": "z",
            "caller_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0", "operator_key": "o",
            "peer_key": "p", "log_level": "warning", "platform": [")" +
                        to_text(*platform) +
                        R"("], "chart_folder": ")" SAVORYDOCK_SOURCE_DIR
                        R"(/charts",
            "memory_mb": )" +
                        std::to_string(limits.memory_mb) + R"(,
            "limits": {"max_body_bytes": )" +
                        std::to_string(limits.max_body_bytes) + "}}"));
    }

    ~entry_memory_test() override {
        instance_.reset();
        std::filesystem::remove_all(folder_);
    }

    std::string write(const std::string& name, const std::string& text) {
        const auto path = folder_ / (name + ".json");
        std::ofstream(path) << text;
        return path;
    }

    /// The shell sets the limit on descriptors, if the machine's isn't lower.
    void start(const std::string& settings) {
        instance_.emplace(
            "/bin", "sh",
            std::vector<std::string>{
                "-c", "ulimit -n " + std::to_string(limits_.max_descriptors) +
                          "; exec " SAVORYDOCK_BINARY_DIR
                          "/bin/savorydock-entry --settings=" +
                          settings});
        const std::string line = instance_->wait_for_line("listening", 20s);
        caller_ = find_address(line, "caller=");
        operator_ = find_address(line, "operator=");
        peer_ = find_address(line, "peer=");
        EXPECT_TRUE(is_served()) << "the instance serves no requests";
    }

    static endpoint find_address(const std::string& line,
                                 const std::string& name) {
        const std::size_t begin = line.find(name) + name.size();
        const auto found =
            parse_endpoint(line.substr(begin, line.find(' ', begin) - begin));
        return found ? *found : endpoint{};
    }

    static std::string make_head(const std::string& target,
                                 const std::string& headers) {
        return "POST " + target + " HTTP/1.1\r\nHost: h\r\n" +
               "Authorization: Bearer k\r\n" + headers + "\r\n";
    }

    static std::string chunked_head() {
        return make_head(std::string(service) + "small",
                         "Transfer-Encoding: chunked\r\n");
    }

    [[nodiscard]] std::string full_head(const std::string& target) const {
        return make_head(target, make_length(limits_.max_body_bytes));
    }

    [[nodiscard]] bool is_served() const override {
        for (int tries = 0; tries < 100; ++tries) {
            try {
                raw_caller caller(caller_);
                caller.write(
                    make_head(std::string(service) + "small", make_length(1)) +
                    "x");
                const auto answer = caller.read_answer(2s);
                if (answer && answer->status == 200) {
                    return true;
                }
            } catch (const boost::system::system_error&) {
                // It doesn't listen.
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() /
        ("entry_memory_test." + std::to_string(getpid()));
    fake_platform platform_;
    endpoint caller_;
    endpoint operator_;
    endpoint peer_;
};

} // namespace

TEST_F(entry_memory_test, endless_trailers_leave_memory_bounded) {
    expect_sound_under(make_endless_trailers(chunked_head()), caller_);
}

// The limits on each body allowed any sum of them.
TEST_F(entry_memory_test, short_bodies_sent_at_once_leave_memory_bounded) {
    expect_sound_under(
        make_short_body(full_head(std::string(service) + "small"),
                        limits_.max_body_bytes / 2),
        caller_);
}

TEST_F(entry_memory_test, short_bodies_sent_in_pieces_leave_memory_bounded) {
    expect_sound_under(
        make_short_body(full_head(std::string(service) + "small"), 16'384),
        caller_);
}

TEST_F(entry_memory_test, short_chunked_bodies_leave_memory_bounded) {
    expect_sound_under(make_endless(chunked_head(), make_chunk(16'384),
                                    limits_.max_body_bytes - missing_bytes),
                       caller_);
}

TEST_F(entry_memory_test, chunk_far_over_the_limit_leaves_memory_bounded) {
    expect_sound_under(make_endless(chunked_head() + "fffffffff\r\n",
                                    std::string(piece_bytes, 'a')),
                       caller_);
}

TEST_F(entry_memory_test, chunks_without_end_leave_memory_bounded) {
    expect_sound_under(make_endless(chunked_head(), make_chunk(16'384)),
                       caller_);
}

TEST_F(entry_memory_test, announced_oversize_leaves_memory_bounded) {
    expect_sound_under(make_endless(make_head(std::string(service) + "small",
                                              make_length(90'000'000'000)),
                                    std::string(piece_bytes, 'a')),
                       caller_);
}

// Answers waited in memory, several times, for callers that don't read them.
TEST_F(entry_memory_test, unread_answers_leave_memory_bounded) {
    expect_sound_under(
        {.head = make_head(std::string(service) + "big", make_length(0))},
        caller_);
}

// Each attempt held a copy of the body.
TEST_F(entry_memory_test, upstreams_that_dont_read_leave_memory_bounded) {
    expect_sound_under(make_endless(full_head(std::string(service) + "stall"),
                                    std::string(piece_bytes, 'a'),
                                    limits_.max_body_bytes),
                       caller_);
}

// A body of many small values takes many times its size once it is parsed.
TEST_F(entry_memory_test, bodies_of_many_values_leave_memory_bounded) {
    const std::string begin = R"({"model": "m", "prompt": [)";
    std::string values(limits_.max_body_bytes - begin.size() - 3, '0');
    for (std::size_t i = 1; i < values.size(); i += 2) {
        values[i] = ',';
    }
    values.back() = '0';
    expect_sound_under({.head = full_head("/v1/completions") + begin,
                        .piece = values,
                        .pieces = 1,
                        .tail = "]} "},
                       caller_);
}

TEST_F(entry_memory_test, short_bodies_for_operators_leave_memory_bounded) {
    expect_sound_under(make_short_body(full_head("/v1/drain"), piece_bytes),
                       operator_);
}

TEST_F(entry_memory_test, endless_trailers_for_operators_leave_memory_bounded) {
    expect_sound_under(make_endless_trailers(make_head(
                           "/v1/drain", "Transfer-Encoding: chunked\r\n")),
                       operator_);
}

namespace {

/// A machine with few descriptors.
class entry_descriptors_test : public entry_memory_test {
protected:
    entry_descriptors_test()
        : entry_memory_test({.max_descriptors = 260}) {}
};

} // namespace

TEST_F(entry_descriptors_test, idle_connections_leave_descriptors_bounded) {
    expect_sound_under({.connections = 400}, caller_);
}

TEST_F(entry_descriptors_test, idle_operators_leave_descriptors_bounded) {
    expect_sound_under({.connections = 400}, operator_);
}

namespace {

/// The smallest machine, with the largest body that is allowed by default.
class entry_largest_body_test : public entry_memory_test {
protected:
    entry_largest_body_test()
        : entry_memory_test({.memory_mb = 120, .max_body_bytes = 8U << 20U}) {}
};

} // namespace

TEST_F(entry_largest_body_test, announced_body_is_served) {
    raw_caller caller(caller_);
    ASSERT_TRUE(caller.write(full_head(std::string(service) + "small")));
    ASSERT_TRUE(caller.write(std::string(limits_.max_body_bytes, 'a')));
    const auto answer = caller.read_answer(20s);
    ASSERT_TRUE(answer) << "the connection was closed without an answer";
    EXPECT_EQ(answer->status, 200U);
    expect_sound();
}
