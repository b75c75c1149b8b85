#include "core/wire_codec.hpp"
#include "drivers/feed/work_sharing.hpp"

#include <gtest/gtest.h>

#include <thread>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// Keeps the messages that are sent.
class recording_transport final : public peer_transport {
public:
    void send(const peer_message& message, const endpoint&) override {
        sent.push_back(message);
    }
    void on_message(message_handler) override {}

    std::vector<peer_message> sent;
};

class work_sharing_test : public ::testing::Test {
public:
    void use(std::optional<placement_options> by_cost) {
        for (fleet_state* const fleet : {&feeder_fleet, &follower_fleet}) {
            fleet->pool = upstream_pool({.by_cost = by_cost});
            fleet->upstreams = {
                {.id = upstream, .service = service_name("s"), .slots = 6}};
            fleet->pool.set_upstreams(fleet->upstreams);
        }
    }

    static std::chrono::microseconds reported(const fleet_state& fleet) {
        return fleet.pool.by_cost()->work().reported(
            upstream_id("u"), std::chrono::steady_clock::now());
    }

    const upstream_id upstream{"u"};
    const node_directory directory{{instance_id("feeder"), node_entry{}}};
    recording_transport peers;
    null_logger log;
    fleet_state feeder_fleet{.pool = upstream_pool({})};
    fleet_state follower_fleet{.pool = upstream_pool({})};
    work_sharing feeder{feeder_fleet, peers, directory, instance_id("feeder"),
                        log};
    work_sharing follower{follower_fleet, peers, directory, instance_id("b"),
                          log};
};

} // namespace

TEST_F(work_sharing_test, calls_of_a_follower_reach_the_others_once) {
    use(placement_options());
    const call_cost cost{.expected = 10s};
    follower_fleet.pool.on_started(upstream, cost,
                                   std::chrono::steady_clock::now());
    std::this_thread::sleep_for(5ms);
    follower.on_zone_sums({}, instance_id("feeder"));
    ASSERT_EQ(peers.sent.size(), 1U);
    // A second heartbeat at once must not cause another message.
    follower.on_zone_sums({}, instance_id("feeder"));
    EXPECT_EQ(peers.sent.size(), 1U);
    feeder.on_message(peers.sent.front());
    const auto sums = feeder.zone_sums();
    ASSERT_EQ(sums.size(), 1U);
    EXPECT_GT(reported(feeder_fleet), 0us);
    follower.on_zone_sums(sums, instance_id("feeder"));
    EXPECT_EQ(reported(follower_fleet), 0us);
}

// Guards against messages of idle instances, which are most of a large fleet.
TEST_F(work_sharing_test, instance_without_calls_sends_nothing) {
    use(placement_options());
    follower.on_zone_sums({}, instance_id("feeder"));
    EXPECT_TRUE(peers.sent.empty());
    EXPECT_TRUE(feeder.zone_sums().empty());
}

TEST_F(work_sharing_test, nothing_is_sent_or_used_without_the_switch) {
    use(std::nullopt);
    follower.on_zone_sums({{.upstream = upstream, .work = 5}},
                          instance_id("feeder"));
    feeder.on_message({.from = instance_id("b"),
                       .topic = peer_topic::work_report,
                       .body = wire::encode(work_report{
                           .sums = {{.upstream = upstream, .work = 5}}})});
    EXPECT_TRUE(peers.sent.empty());
    EXPECT_TRUE(feeder.zone_sums().empty());
}

TEST_F(work_sharing_test, unreadable_report_and_unlisted_upstream_are_ignored) {
    use(placement_options());
    feeder.on_message({.from = instance_id("b"),
                       .topic = peer_topic::work_report,
                       .body = "no report"});
    feeder.on_message(
        {.from = instance_id("b"),
         .topic = peer_topic::work_report,
         .body = wire::encode(work_report{
             .sums = {{.upstream = upstream_id("gone"), .work = 5}}})});
    static_cast<void>(feeder.zone_sums());
    EXPECT_EQ(feeder_fleet.pool.by_cost()->work().reported(
                  upstream_id("gone"), std::chrono::steady_clock::now()),
              0us);
}
