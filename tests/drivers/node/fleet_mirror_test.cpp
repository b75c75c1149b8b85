#include "drivers/node/fleet_mirror.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

namespace {

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
    null_logger log;
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
