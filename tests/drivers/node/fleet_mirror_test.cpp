#include "drivers/node/fleet_mirror.hpp"
#include "drivers/store/store_mirror.hpp"
#include "tests/fakes/fake_users_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

std::string make_entry(const std::string& slots = "8") {
    return R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":)" +
           slots + R"(,"version":"v1","born":5,"state":"ready"})";
}

class counting_logger final : public logger {
public:
    void write(log_event event, std::string_view) override { ++counts[event]; }
    std::map<log_event, std::size_t> counts;
};

class fleet_mirror_test : public ::testing::Test {
public:
    void receive(const std::string& state) {
        store_change change{
            .value = {.key = "servers/u",
                      .value = R"({"service":"s","address":"10.0.0.9:80",)"
                               R"("zone":"a","slots":8,"version":"v1",)"
                               R"("born":5,"state":")" +
                               state + "\"}",
                      .modified = ++revision}};
        mirror.upstream_keys().on_changes({change}, false);
    }

    boost::asio::io_context context;
    counting_logger log;
    fleet_state fleet{.pool = upstream_pool({})};
    std::size_t updates = 0;
    fleet_mirror mirror{
        context, fleet, {.on_fleet_update = [this] { ++updates; }}, log};
    store_revision revision = 0;
};

} // namespace

// The planners place items by the list of the fleet, not by the pool.
TEST_F(fleet_mirror_test, leaving_upstream_is_draining_in_all_later_lists) {
    receive("ready");
    ASSERT_EQ(fleet.upstreams.size(), 1U);
    EXPECT_FALSE(fleet.upstreams[0].is_draining);
    EXPECT_TRUE(fleet.pool.mark_leaving(upstream_id("u")));
    fleet.on_leaving();
    EXPECT_EQ(updates, 2U);
    EXPECT_TRUE(fleet.upstreams[0].is_draining);
    receive("ready");
    EXPECT_TRUE(fleet.upstreams[0].is_draining);
}

TEST_F(fleet_mirror_test, odd_entry_that_is_written_often_is_logged_once) {
    for (store_revision i = 1; i <= 1'000; ++i) {
        mirror.upstream_keys().on_changes(
            {{.value = {.key = "servers/odd", .value = "{}", .modified = i}}},
            false);
    }
    EXPECT_EQ(log.counts[log_event::upstream_entry_ignored], 1U);
    const auto write = [&](const std::string& value, bool is_removed) {
        mirror.upstream_keys().on_changes(
            {{.value = {.key = "servers/odd", .value = value},
              .is_removed = is_removed}},
            false);
    };
    write(make_entry(), false);
    EXPECT_EQ(fleet.upstreams.size(), 1U);
    write("{}", false);
    EXPECT_EQ(log.counts[log_event::upstream_entry_ignored], 2U);
    EXPECT_TRUE(fleet.upstreams.empty());
    write("{}", true);
    write("{}", false);
    EXPECT_EQ(log.counts[log_event::upstream_entry_ignored], 3U);
    mirror.upstream_keys().on_changes({{.value = {.key = "serv"}}}, false);
}

// Another writer left such entries among those of the upstreams; instances
// ended or followed the list no longer.
TEST_F(fleet_mirror_test, odd_entries_among_sound_ones_do_not_stop_the_list) {
    const std::vector<std::string> odd{std::string(1U << 20U, '['),
                                       std::string(200'000, '[') +
                                           std::string(200'000, ']'),
                                       std::string(1U << 19U, '\x81'),
                                       std::string(1U << 18U, '{'),
                                       "\xff\xfe",
                                       "",
                                       "null",
                                       make_entry("4294967296"),
                                       make_entry("1e400"),
                                       make_entry("-1"),
                                       make_entry("18446744073709551616")};
    fake_users_store store;
    store.put("servers/a", make_entry());
    store.put("servers/", make_entry());
    store.put("servers/odd\xff", "{}");
    for (std::size_t i = 0; i < odd.size(); ++i) {
        store.put("servers/odd" + std::to_string(i), odd[i]);
    }
    store.put("servers/z", make_entry());
    store_client client(context, {.address = store.address()}, log);
    store_mirror list(context, client, "servers/", mirror.upstream_keys(), log);
    boost::asio::co_spawn(context, list.run(), boost::asio::detached);
    const auto wait_for = [&](std::size_t count) {
        const auto end = std::chrono::steady_clock::now() + 3s;
        while (fleet.upstreams.size() != count &&
               std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(5ms);
        }
        return fleet.upstreams.size() == count;
    };
    EXPECT_TRUE(wait_for(2));
    for (std::size_t i = 0; i < odd.size(); ++i) {
        store.put("servers/late" + std::to_string(i), odd[i]);
    }
    store.put("servers/b", make_entry());
    EXPECT_TRUE(wait_for(3));
    store.put("servers/a", odd.front());
    EXPECT_TRUE(wait_for(2));
    store.remove("servers/z");
    EXPECT_TRUE(wait_for(1));
    context.stop();
}
