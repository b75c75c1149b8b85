#include "drivers/front/suspect_publisher.hpp"
#include "drivers/store/store_mirror.hpp"
#include "tests/fakes/fake_users_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// The parts of one instance that share marks.
class instance final : public store_mirror_listener {
public:
    instance(asio::io_context& context, const endpoint& store,
             const std::string& name)
        : client(context, {.address = store}, log)
        , suspects({.self = instance_id(name), .boot = "1"})
        , publisher_(context, client, suspects, log)
        , mirror_(context, client, std::string(suspect_prefix), *this, log) {
        asio::co_spawn(context, publisher_.run(), asio::detached);
        asio::co_spawn(context, mirror_.run(), asio::detached);
    }

    void on_changes(const std::vector<store_change>& changes, bool) override {
        for (const store_change& change : changes) {
            publisher_.on_change(change);
        }
    }

    void lose(const std::string& upstream) {
        suspects.on_run_lost("bad",
                             {.id = upstream_id(upstream),
                              .service = service_name("s"),
                              .started_at = 1},
                             std::chrono::steady_clock::now());
    }

    [[nodiscard]] bool is_blocked() {
        return suspects.is_blocked("bad", std::chrono::steady_clock::now());
    }

    null_logger log;
    store_client client;
    suspect_list suspects;

private:
    suspect_publisher publisher_;
    store_mirror mirror_;
};

class suspect_publisher_test : public ::testing::Test {
public:
    /// Runs the context until `is_done` returns true, for at most 3 s.
    template <class Test>
    bool wait(Test is_done) {
        const auto end = std::chrono::steady_clock::now() + 3s;
        while (!is_done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(5ms);
        }
        return is_done();
    }

    std::unique_ptr<instance> start(const std::string& name) {
        return std::make_unique<instance>(context, store.address(), name);
    }

    fake_users_store store;
    asio::io_context context;
};

} // namespace

TEST_F(suspect_publisher_test, crashes_on_two_instances_block_it_on_a_third) {
    const auto first = start("a");
    const auto second = start("b");
    const auto third = start("c");
    first->lose("u1");
    first->lose("u2");
    EXPECT_TRUE(wait([&] { return second->suspects.marks_of("bad") == 2; }));
    second->lose("u3");
    EXPECT_TRUE(second->is_blocked());
    EXPECT_TRUE(wait([&] { return third->is_blocked(); }));
}

TEST_F(suspect_publisher_test, instance_that_starts_later_blocks_it_as_well) {
    const auto first = start("a");
    for (const char* const upstream : {"u1", "u2", "u3"}) {
        first->lose(upstream);
    }
    EXPECT_TRUE(wait([&] { return store.values().size() == 3; }));
    const auto late = start("b");
    EXPECT_TRUE(wait([&] { return late->is_blocked(); }));
}

TEST_F(suspect_publisher_test, marks_are_shared_once_the_store_is_back) {
    const auto first = start("a");
    const auto second = start("b");
    store.set_refusing(true);
    for (const char* const upstream : {"u1", "u2", "u3"}) {
        first->lose(upstream);
    }
    wait([&, end = std::chrono::steady_clock::now() + 300ms] {
        return std::chrono::steady_clock::now() >= end;
    });
    EXPECT_FALSE(second->is_blocked());
    store.set_refusing(false);
    EXPECT_TRUE(wait([&] { return second->is_blocked(); }));
}

TEST_F(suspect_publisher_test, end_of_the_leases_does_not_unblock_a_request) {
    const auto first = start("a");
    const auto second = start("b");
    for (const char* const upstream : {"u1", "u2", "u3"}) {
        first->lose(upstream);
    }
    EXPECT_TRUE(wait([&] { return second->is_blocked(); }));
    store.end_all_leases();
    EXPECT_TRUE(wait([&] { return store.values().empty(); }));
    wait([&, end = std::chrono::steady_clock::now() + 200ms] {
        return std::chrono::steady_clock::now() >= end;
    });
    EXPECT_TRUE(first->is_blocked());
    EXPECT_TRUE(second->is_blocked());
}

TEST_F(suspect_publisher_test, finished_request_is_cleared_everywhere) {
    const auto first = start("a");
    const auto second = start("b");
    first->lose("u1");
    first->lose("u2");
    EXPECT_TRUE(wait([&] { return second->suspects.marks_of("bad") == 2; }));
    EXPECT_TRUE(second->suspects.on_run_finished(
        "bad", std::chrono::steady_clock::now()));
    EXPECT_TRUE(wait([&] { return first->suspects.is_empty(); }));
}

TEST_F(suspect_publisher_test, deeply_nested_mark_among_others_is_ignored) {
    store.put(std::string(suspect_prefix) + "odd",
              std::string(1U << 19U, '\x81'));
    const auto first = start("a");
    const auto second = start("b");
    for (const char* const upstream : {"u1", "u2", "u3"}) {
        first->lose(upstream);
    }
    EXPECT_TRUE(wait([&] { return second->is_blocked(); }));
}
