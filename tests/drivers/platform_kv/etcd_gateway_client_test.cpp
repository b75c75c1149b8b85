#include "drivers/http/http_client.hpp"
#include "drivers/http/traffic_pool.hpp"
#include "drivers/platform_kv/etcd_gateway_client.hpp"
#include "tests/fakes/fake_platform.hpp"
#include "tests/fakes/raw_upstream.hpp"

#include <gtest/gtest.h>

#include <future>

namespace savorydock {

using namespace std::chrono_literals;

class etcd_gateway_client_test : public ::testing::Test {
protected:
    void SetUp() override {
        const auto local = platform_.listen({.address = "127.0.0.1"});
        ASSERT_TRUE(local) << local.reason().detail;
        address_ = *local;
        client_ = std::make_unique<etcd_gateway_client>(
            pool_.context(0), std::vector<endpoint>{address_});
    }

    void TearDown() override { pool_.stop(); }

    std::future<outcome<platform_answer>>
    submit(const platform_request& request,
           std::chrono::milliseconds timeout = 5s) {
        auto promise =
            std::make_shared<std::promise<outcome<platform_answer>>>();
        client_->submit(request, std::chrono::steady_clock::now() + timeout,
                        [promise](outcome<platform_answer> answer) {
                            promise->set_value(std::move(answer));
                        });
        return promise->get_future();
    }

    outcome<platform_answer> call(const platform_request& request,
                                  std::chrono::milliseconds timeout = 5s) {
        return submit(request, timeout).get();
    }

    store_revision write(const std::string& key, const std::string& value,
                         store_revision expected = 0) {
        const auto answer = call(
            compare_and_swap{.key = key, .expected = expected, .value = value});
        EXPECT_TRUE(answer) << answer.reason().detail;
        EXPECT_TRUE(answer && answer->has_swapped);
        return answer ? answer->revision : 0;
    }

    // Declared first, so that it is destroyed last and its thread outlives the
    // client's calls.
    fake_platform platform_;
    endpoint address_;
    traffic_pool pool_{1};
    std::unique_ptr<etcd_gateway_client> client_;
};

TEST_F(etcd_gateway_client_test, swap_on_the_read_revision_takes_effect) {
    const std::string value("any\0bytes\xff", 10);
    const store_revision first = write("/a/1", value);
    const auto read = call(read_range{.key = "/a/1"});
    ASSERT_TRUE(read) << read.reason().detail;
    ASSERT_EQ(read->values.size(), 1U);
    EXPECT_EQ(read->values[0].value, value);
    EXPECT_EQ(read->values[0].modified, first);
    EXPECT_EQ(read->values[0].created, first);
    EXPECT_GT(write("/a/1", "next", first), first);
}

TEST_F(etcd_gateway_client_test,
       swap_on_an_old_revision_returns_the_current_value) {
    const store_revision first = write("/a/1", "one");
    const store_revision second = write("/a/1", "two", first);
    for (const store_revision expected : {store_revision{0}, first}) {
        const auto answer = call(compare_and_swap{
            .key = "/a/1", .expected = expected, .value = "late"});
        ASSERT_TRUE(answer) << answer.reason().detail;
        EXPECT_FALSE(answer->has_swapped);
        ASSERT_EQ(answer->values.size(), 1U);
        EXPECT_EQ(answer->values[0].value, "two");
        EXPECT_EQ(answer->values[0].modified, second);
    }
}

TEST_F(etcd_gateway_client_test, range_from_a_revision_leaves_out_older) {
    const store_revision first = write("/a/1", "one");
    write("/a/2", "two");
    write("/b/1", "other");
    const auto all = call(read_range{.key = "/a/", .is_prefix = true});
    const auto later = call(
        read_range{.key = "/a/", .is_prefix = true, .min_modified = first + 1});
    ASSERT_TRUE(all && later);
    EXPECT_EQ(all->values.size(), 2U);
    ASSERT_EQ(later->values.size(), 1U);
    EXPECT_EQ(later->values[0].key, "/a/2");
    EXPECT_EQ(later->revision, first + 2);
}

TEST_F(etcd_gateway_client_test, answer_lost_after_effect_is_unreachable) {
    platform_.add_fault(
        {.operation = "txn", .drop_answer_after_effect = true, .count = 1});
    const auto lost = call(compare_and_swap{.key = "/a/1", .value = "kept"});
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.reason().code, result_code::platform_unreachable);
    ASSERT_TRUE(platform_.find("/a/1"));
    EXPECT_EQ(platform_.find("/a/1")->value, "kept");
}

TEST_F(etcd_gateway_client_test, refused_and_slow_calls_are_unreachable) {
    platform_.add_fault({.operation = "range", .refuse = true, .count = 1});
    platform_.add_fault({.operation = "range", .delay = 10s, .count = 1});
    for (int i = 0; i < 2; ++i) {
        const auto answer = call(read_range{.key = "/a"}, 100ms);
        ASSERT_FALSE(answer);
        EXPECT_EQ(answer.reason().code, result_code::platform_unreachable);
    }
    EXPECT_TRUE(call(read_range{.key = "/a"}));
}

TEST_F(etcd_gateway_client_test, unreachable_address_is_skipped) {
    const endpoint dead{.address = "127.0.0.1", .port = 1};
    client_ = std::make_unique<etcd_gateway_client>(
        pool_.context(0), std::vector<endpoint>{dead, address_});
    EXPECT_TRUE(call(read_range{.key = "/a"}));
}

TEST_F(etcd_gateway_client_test, watch_returns_only_changes_under_its_prefix) {
    const store_revision start = write("/a/1", "one") + 1;
    auto watch = submit(watch_prefix{.prefix = "/a/", .start = start});
    write("/b/1", "other");
    write("/a/2", "two");
    const auto answer = watch.get();
    ASSERT_TRUE(answer) << answer.reason().detail;
    ASSERT_EQ(answer->values.size(), 1U);
    EXPECT_EQ(answer->values[0].key, "/a/2");
    EXPECT_EQ(answer->values[0].value, "two");
}

TEST_F(etcd_gateway_client_test, watch_without_change_ends_empty) {
    const auto answer = call(watch_prefix{.prefix = "/a/", .start = 1}, 100ms);
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_TRUE(answer->values.empty());
    EXPECT_FALSE(answer->is_compacted);
}

TEST_F(etcd_gateway_client_test, watch_from_a_compacted_revision_says_so) {
    const store_revision first = write("/a/1", "one");
    write("/a/1", "two", first);
    platform_.compact(first);
    const auto answer = call(watch_prefix{.prefix = "/a/", .start = first});
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_TRUE(answer->is_compacted);
}

TEST_F(etcd_gateway_client_test, watch_with_a_gap_ends_without_the_change) {
    platform_.add_fault({.operation = "watch", .gap = true, .count = 1});
    auto watch = submit(watch_prefix{.prefix = "/a/", .start = 1});
    write("/a/1", "missed");
    const auto answer = watch.get();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.reason().code, result_code::platform_unreachable);
}

TEST_F(etcd_gateway_client_test, key_of_a_revoked_lease_is_deleted) {
    const auto granted = call(grant_lease{.time_to_live = 60s});
    ASSERT_TRUE(granted) << granted.reason().detail;
    EXPECT_EQ(granted->time_to_live, 60s);
    ASSERT_TRUE(call(compare_and_swap{
        .key = "/l", .value = "held", .lease = granted->lease}));
    EXPECT_EQ(platform_.find("/l")->lease, granted->lease);
    EXPECT_TRUE(call(renew_lease{granted->lease}));
    EXPECT_TRUE(call(revoke_lease{granted->lease}));
    EXPECT_FALSE(platform_.find("/l"));
    for (const platform_request& request :
         {platform_request(renew_lease{granted->lease}),
          platform_request(revoke_lease{granted->lease}),
          platform_request(compare_and_swap{
              .key = "/l", .value = "late", .lease = granted->lease})}) {
        const auto answer = call(request);
        ASSERT_FALSE(answer);
        EXPECT_EQ(answer.reason().code, result_code::lease_not_held);
    }
}

TEST_F(etcd_gateway_client_test, key_of_an_expired_lease_is_deleted) {
    const auto granted = call(grant_lease{.time_to_live = 1s});
    ASSERT_TRUE(granted);
    ASSERT_TRUE(call(compare_and_swap{
        .key = "/l", .value = "held", .lease = granted->lease}));
    const auto watched = call(watch_prefix{
        .prefix = "/l", .start = platform_.find("/l")->modified + 1});
    ASSERT_TRUE(watched) << watched.reason().detail;
    EXPECT_EQ(watched->deleted, std::vector<std::string>{"/l"});
}

TEST_F(etcd_gateway_client_test, faults_and_counts_are_reached_over_http) {
    const auto post = [&](const std::string& target, const std::string& body) {
        return call_blocking(address_,
                             {.method = body.empty() ? "GET" : "POST",
                              .target = target,
                              .body = body},
                             5s);
    };
    ASSERT_TRUE(post("/faults", R"({"op": "range", "refuse": true})"));
    EXPECT_FALSE(call(read_range{.key = "/a"}));
    ASSERT_TRUE(post("/faults", "[]"));
    EXPECT_TRUE(call(read_range{.key = "/a"}));
    const auto counts = post("/counts", "");
    ASSERT_TRUE(counts);
    EXPECT_EQ(counts->body, R"({"total":2,"range":2})");
}

// Guards against an instance that runs out of memory because a store sends
// bytes without end.
TEST_F(etcd_gateway_client_test, message_without_end_is_given_up) {
    raw_upstream faulty([](raw_connection& connection, std::size_t) {
        connection.read_request();
        connection.write("HTTP/1.1 200 OK\r\n\r\n");
        connection.write_until_closed(std::string(65'536, 'a'));
    });
    client_ = std::make_unique<etcd_gateway_client>(
        pool_.context(0), std::vector<endpoint>{faulty.address()});
    for (const platform_request& request :
         {platform_request(watch_prefix{.prefix = "p"}),
          platform_request(read_range{.key = "p"})}) {
        const auto begin = std::chrono::steady_clock::now();
        const auto result = call(request, 60s);
        ASSERT_FALSE(result);
        EXPECT_EQ(result.reason().code, result_code::platform_unreachable);
        EXPECT_LT(std::chrono::steady_clock::now() - begin, 30s)
            << "the call must not wait for its deadline";
    }
}

} // namespace savorydock
