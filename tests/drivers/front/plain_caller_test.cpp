#include "drivers/front/plain_caller.hpp"
#include "tests/fakes/raw_upstream.hpp"
#include "tests/fakes/run_call.hpp"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include <atomic>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

std::string answer(const std::string& status, const std::string& id,
                   const std::string& more_headers, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" +
           (id.empty() ? "" : "Request-Id: " + id + "\r\n") + more_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string success(const std::string& id) {
    return answer("200 OK", id, "Server-Stamp: s-" + id + "\r\n", id);
}

class plain_caller_test : public ::testing::Test {
public:
    plain_call_result call(const std::string& id,
                           const std::string& target = "/a/",
                           std::chrono::milliseconds time = 2s) {
        const http_request content{.target = target,
                                   .headers = {{"Request-Id", id}}};
        crash_guard guard(suspects, content, id, log);
        plain_call_request request{.route = route,
                                   .request = content,
                                   .id = id,
                                   .organisation = organisation,
                                   .deadline =
                                       std::chrono::steady_clock::now() + time,
                                   .guard = &guard,
                                   .is_wanted = is_wanted};
        return run_call(context, caller.call(std::move(request)));
    }

    void use(const raw_upstream& upstream) {
        fleet.pool.set_upstreams({{.id = upstream_id("u"),
                                   .service = service_name("s"),
                                   .address = upstream.address()}});
    }

    /// Counts the starts of runs, for callers of an organisation.
    void count_starts() {
        organisation = organisation_id("red");
        fleet.on_run_began = [this](const organisation_id& name, steady_time) {
            EXPECT_EQ(name, organisation);
            ++starts;
        };
    }

    organisation_id organisation;
    std::function<bool()> is_wanted;
    int starts = 0;
    asio::io_context context;
    null_logger log;
    http_client client{context, unframed_answer::accept};
    seeded_random_source random{1};
    fleet_state fleet{.pool = upstream_pool({})};
    suspect_list suspects{{.self = instance_id("a"), .boot = "1"}};
    plain_caller caller{client, fleet, random, log};
    route_rule route{.name = "r",
                     .target_latency = 500ms,
                     .services = {{.service = service_name("s")}},
                     .max_attempts = 1};
};

/// Answers the first request; later ones get a late copy of the previous answer
/// first.
void answer_with_copies(
    raw_connection& connection,
    const std::function<std::string(const std::string&)>& make_answer) {
    std::string copy;
    while (true) {
        const std::string request = connection.read_request();
        const std::string own = make_answer(header_of(request, "Request-Id"));
        if (request.empty() || !connection.write(copy + own)) {
            return;
        }
        copy = own;
    }
}

} // namespace

TEST_F(plain_caller_test, late_copy_costs_one_call_and_its_connection) {
    raw_upstream upstream([](raw_connection& connection, std::size_t number) {
        if (number == 0) {
            answer_with_copies(connection, success);
            return;
        }
        while (true) {
            const std::string request = connection.read_request();
            if (request.empty() ||
                !connection.write(success(header_of(request, "Request-Id")))) {
                return;
            }
        }
    });
    use(upstream);
    EXPECT_EQ(call("a").answer->body, "a");
    const auto second = call("b");
    EXPECT_FALSE(second.answer);
    EXPECT_TRUE(second.may_have_run);
    const auto third = call("c");
    ASSERT_TRUE(third.answer) << third.reason.detail;
    EXPECT_EQ(third.answer->body, "c");
}

// A refusal promises that the request has not run. A copy of the refusal of an
// earlier request promises nothing about this one.
TEST_F(plain_caller_test, copy_of_a_refusal_is_no_promise_for_another_call) {
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        answer_with_copies(connection, [](const std::string& id) {
            return answer("503 Service Unavailable", id, "Not-Executed: 1\r\n",
                          "");
        });
    });
    use(upstream);
    EXPECT_FALSE(call("a").may_have_run);
    // The retries of the call went through this connection, too.
    bool may_have_run = false;
    for (const char* const id : {"b", "c"}) {
        may_have_run = may_have_run || call(id).may_have_run;
    }
    EXPECT_TRUE(may_have_run);
}

TEST_F(plain_caller_test, refusal_without_an_id_is_accepted) {
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        while (!connection.read_request().empty() &&
               connection.write(answer("503 Service Unavailable", "",
                                       "Not-Executed: 1\r\n", ""))) {
        }
    });
    use(upstream);
    const auto result = call("a");
    EXPECT_FALSE(result.answer);
    EXPECT_FALSE(result.may_have_run);
}

// Guards against usage that counts refused requests, or retried ones twice.
TEST_F(plain_caller_test, only_the_first_attempt_that_may_run_counts_as_start) {
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        while (true) {
            const std::string request = connection.read_request();
            const std::string id = header_of(request, "Request-Id");
            const std::string reply =
                id == "refused" ? answer("503 Service Unavailable", id,
                                         "Not-Executed: 1\r\n", "")
                : id == "fails" ? answer("500 Error", id, "", "")
                                : success(id);
            if (request.empty() || !connection.write(reply)) {
                return;
            }
        }
    });
    use(upstream);
    count_starts();
    route.max_attempts = 3;
    call("refused");
    EXPECT_EQ(starts, 0);
    call("fails");
    EXPECT_EQ(starts, 1);
    call("works");
    EXPECT_EQ(starts, 2);
}

// Guards against usage that is counted only when a long call has ended.
TEST_F(plain_caller_test, attempt_without_an_answer_counts_as_start_soon) {
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        connection.read_request();
        connection.read_request();
    });
    use(upstream);
    count_starts();
    int starts_before_the_end = 0;
    asio::steady_timer timer(context, run_notice::refusal_time * 2);
    timer.async_wait([&](const boost::system::error_code&) {
        starts_before_the_end = starts;
    });
    call("a", "/a/", run_notice::refusal_time * 4);
    EXPECT_EQ(starts_before_the_end, 1);
    EXPECT_EQ(starts, 1);
}

TEST_F(plain_caller_test, unfinished_head_of_an_answer_is_no_success) {
    for (const char* const head :
         {"HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: s\r\n",
          "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: s\r\n"
          "Content-Length: 0\r\n"}) {
        raw_upstream upstream([&](raw_connection& connection, std::size_t) {
            connection.read_request();
            connection.write(head);
        });
        use(upstream);
        const plain_call_result result = call("a");
        EXPECT_FALSE(result.answer) << head;
        EXPECT_TRUE(result.may_have_run) << head;
    }
}

TEST_F(plain_caller_test, success_without_an_id_is_not_used) {
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        connection.read_request();
        connection.write(
            answer("200 OK", "", "Server-Stamp: s\r\n", "another's"));
        connection.read_request();
    });
    use(upstream);
    const auto result = call("a");
    EXPECT_FALSE(result.answer);
    EXPECT_TRUE(result.may_have_run);
}

// Each attempt of a caller has a new id and its own retries, so a limit per
// call doesn't limit how many upstreams a crashing request ends.
TEST_F(plain_caller_test, request_that_crashed_three_upstreams_is_not_sent) {
    std::atomic<std::size_t> runs = 0;
    const auto crash = [&runs](raw_connection& connection, std::size_t) {
        runs += connection.read_request().empty() ? 0 : 1;
    };
    raw_upstream first(crash);
    raw_upstream second(crash);
    raw_upstream third(crash);
    raw_upstream fourth(crash);
    std::vector<upstream_entry> entries;
    for (const raw_upstream* one : {&first, &second, &third, &fourth}) {
        entries.push_back(
            {.id = upstream_id("u" + std::to_string(entries.size())),
             .service = service_name("s"),
             .address = one->address()});
    }
    fleet.pool.set_upstreams(entries);
    route.max_attempts = 2;
    EXPECT_TRUE(call("a").may_have_run);
    EXPECT_TRUE(call("b").may_have_run);
    EXPECT_FALSE(call("c").may_have_run);
    EXPECT_FALSE(call("d").may_have_run);
    EXPECT_EQ(runs, 3U);
}

TEST_F(plain_caller_test, other_content_is_served_while_a_request_is_blocked) {
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        const std::string request = connection.read_request();
        connection.write(success(header_of(request, "Request-Id")));
    });
    use(upstream);
    for (const char* const lost : {"u1", "u2", "u3"}) {
        const http_request content{.target = "/a/"};
        crash_guard guard(suspects, content, "a", log);
        guard.on_failed({.id = upstream_id(lost)},
                        result_code::unknown_upstream_lost);
    }
    const auto blocked = call("a");
    EXPECT_FALSE(blocked.may_have_run);
    EXPECT_EQ(blocked.reason.code, result_code::not_run_suspect_request);
    EXPECT_EQ(upstream.connections(), 0U);
    EXPECT_TRUE(call("b", "/b/").answer);
}

TEST_F(plain_caller_test, slow_upstream_does_not_count_as_crashed) {
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        connection.read_request();
        connection.read_request();
    });
    use(upstream);
    EXPECT_TRUE(call("a", "/a/", 100ms).may_have_run);
    EXPECT_TRUE(suspects.is_empty());
}

TEST_F(plain_caller_test, request_that_succeeds_elsewhere_loses_its_marks) {
    raw_upstream crashing([](raw_connection& connection, std::size_t) {
        connection.read_request();
    });
    raw_upstream sound([](raw_connection& connection, std::size_t) {
        const std::string request = connection.read_request();
        connection.write(success(header_of(request, "Request-Id")));
    });
    fleet.pool.set_upstreams({{.id = upstream_id("u1"),
                               .service = service_name("s"),
                               .address = crashing.address()},
                              {.id = upstream_id("u2"),
                               .service = service_name("s"),
                               .address = sound.address()}});
    route.max_attempts = 2;
    EXPECT_TRUE(call("a").answer);
    EXPECT_EQ(crashing.connections(), 1U);
    EXPECT_TRUE(suspects.is_empty());
}

// Load: calls arrive faster than the only upstream accepts.
TEST_F(plain_caller_test, change_of_a_limit_is_announced_once) {
    std::atomic<const char*> limit = "Server-Limit: 40\r\n";
    raw_upstream upstream([&](raw_connection& connection, std::size_t) {
        while (true) {
            const std::string request = connection.read_request();
            const std::string id = header_of(request, "Request-Id");
            if (request.empty() ||
                !connection.write(answer(
                    "200 OK", id,
                    std::string("Server-Stamp: s\r\n") + limit.load(), "x"))) {
                return;
            }
        }
    });
    use(upstream);
    std::vector<std::optional<double>> announced;
    fleet.on_limit_changed = [&](const upstream_id&,
                                 std::optional<double> named) {
        announced.push_back(named);
    };
    call("a");
    call("b");
    limit = "";
    call("c");
    EXPECT_EQ(announced,
              (std::vector<std::optional<double>>{40.0, std::nullopt}));
}

TEST_F(plain_caller_test, calls_above_the_named_limit_are_not_sent) {
    constexpr double limit = 4;
    std::atomic<std::size_t> arrived = 0;
    raw_upstream upstream([&](raw_connection& connection, std::size_t) {
        while (true) {
            const std::string request = connection.read_request();
            const std::string id = header_of(request, "Request-Id");
            if (request.empty()) {
                return;
            }
            ++arrived;
            connection.write(answer(
                "200 OK", id, "Server-Stamp: s\r\nServer-Limit: 4.0\r\n", id));
        }
    });
    use(upstream);
    const auto begin = std::chrono::steady_clock::now();
    for (int number = 0; number < 20; ++number) {
        static_cast<void>(call(std::to_string(number), "/a/", 100ms));
    }
    const double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
            .count();
    EXPECT_LE(static_cast<double>(arrived), 1.5 * limit * seconds + 5);
    EXPECT_GE(arrived, 2U);
}

// Guards against calls that stay counted at an upstream after their end, and
// against server errors that are learned as cheap calls.
TEST_F(plain_caller_test, placed_call_is_learned_once_it_is_answered) {
    fleet.pool = upstream_pool({.by_cost = placement_options()});
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        while (true) {
            const std::string request = connection.read_request();
            const bool is_bad = request.find("/bad/") != std::string::npos;
            if (request.empty() ||
                !connection.write(is_bad ? answer("500 Error", "x", "", "")
                                         : success("x"))) {
                return;
            }
        }
    });
    use(upstream);
    EXPECT_TRUE(call("x", "/bad/").answer);
    EXPECT_EQ(fleet.pool.by_cost()->estimator().classes(), 0U);
    EXPECT_TRUE(call("x").answer);
    EXPECT_EQ(fleet.pool.by_cost()->estimator().classes(), 3U);
    const auto now = std::chrono::steady_clock::now();
    EXPECT_EQ(fleet.pool.by_cost()->work().own(upstream_id("u"), now).calls,
              0U);
}

// Guards against a success that no upstream gave: the body of an answer with
// the status 000 was a signed answer to the request.
TEST_F(plain_caller_test, answer_in_the_body_of_status_000_is_not_used) {
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        const std::string request = connection.read_request();
        const std::string hidden = success(header_of(request, "Request-Id"));
        connection.write("HTTP/1.1 000 X\r\nContent-Length: " +
                         std::to_string(hidden.size()) + "\r\n\r\n" + hidden);
        connection.read_request();
    });
    use(upstream);
    const auto begin = std::chrono::steady_clock::now();
    const auto result = call("a", "/a/", 5s);
    EXPECT_FALSE(result.answer);
    EXPECT_TRUE(result.may_have_run);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 4s);
}

// Guards against a caller that gets a status of no class of HTTP as the answer
// although another upstream could serve it.
TEST_F(plain_caller_test, call_after_an_invalid_status_goes_elsewhere) {
    raw_upstream faulty([](raw_connection& connection, std::size_t) {
        const std::string request = connection.read_request();
        connection.write(answer("999", header_of(request, "Request-Id"),
                                "Server-Stamp: s\r\n", "x"));
    });
    raw_upstream sound([](raw_connection& connection, std::size_t) {
        std::string request = connection.read_request();
        while (!request.empty()) {
            connection.write(success(header_of(request, "Request-Id")));
            request = connection.read_request();
        }
    });
    fleet.pool.set_upstreams({{.id = upstream_id("u"),
                               .service = service_name("s"),
                               .address = faulty.address()},
                              {.id = upstream_id("v"),
                               .service = service_name("s"),
                               .address = sound.address()}});
    route.kind = request_kind::idempotent;
    route.max_attempts = 2;
    for (const char* const id : {"a", "b", "c", "d"}) {
        const auto result = call(id);
        ASSERT_TRUE(result.answer);
        EXPECT_EQ(result.answer->status, 200U);
        EXPECT_EQ(result.answer->body, id);
    }
}

// Guards against calls that are repeated for seconds after nobody needs their
// answer: the score of an item whose job has ended.
TEST_F(plain_caller_test, call_that_is_not_wanted_any_more_is_not_repeated) {
    std::atomic<int> requests = 0;
    raw_upstream upstream([&](raw_connection& connection, std::size_t) {
        std::string request = connection.read_request();
        while (!request.empty()) {
            ++requests;
            connection.write(answer("503 Service Unavailable",
                                    header_of(request, "Request-Id"), "", ""));
            request = connection.read_request();
        }
    });
    use(upstream);
    route.kind = request_kind::idempotent;
    route.max_attempts = 6;
    is_wanted = [&] { return requests < 2; };
    const auto repeated = call("a");
    EXPECT_EQ(requests, 2);
    EXPECT_TRUE(repeated.may_have_run);
    const auto unsent = call("b");
    EXPECT_EQ(requests, 2);
    EXPECT_FALSE(unsent.may_have_run);
    EXPECT_EQ(unsent.reason.code, result_code::not_run_cancelled);
}
