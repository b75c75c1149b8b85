#include "core/wire_codec.hpp"
#include "servers/configuration/configuration_server.hpp"
#include "servers/configuration/service_envelope.hpp"
#include "tests/servers/configuration/configuration_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

namespace savorydock {

using namespace std::chrono_literals;

namespace {

const service_name depth("depth");

} // namespace

class configuration_server_test : public ::testing::Test {
protected:
    static constexpr std::size_t fleet_size = 9;
    static constexpr std::size_t zone_count = 4;

    /// Publishes and returns the result.
    publish_result publish(int mark, const service_name& service = depth) {
        std::optional<publish_result> published;
        fleet_.publish(
            service, document_text(service.text(), mark),
            "p" + std::to_string(++publishes_),
            [&](const publish_result& result) { published = result; });
        EXPECT_TRUE(
            fleet_.run_until([&] { return published.has_value(); }, 60s));
        return published.value_or(publish_result{});
    }

    bool is_in_force_everywhere(store_revision revision,
                                std::chrono::milliseconds limit = 30s) {
        std::size_t running = 0;
        for (const auto& instance : fleet_.members) {
            running += instance->is_running ? 1 : 0;
        }
        return fleet_.run_until(
            [&] { return fleet_.count_at(depth, revision) == running; }, limit);
    }

    void fail_platform_calls(bool is_failing) {
        fleet_.platform_call_outcome_of =
            [is_failing](const platform_request&) {
                return platform_call_outcome{.is_lost = is_failing,
                                             .has_effect = !is_failing};
            };
    }

    configuration_fleet fleet_{fleet_size, zone_count, 1};
    int publishes_ = 0;
};

TEST_F(configuration_server_test, published_service_is_in_force_everywhere) {
    fleet_.start_all();
    const auto result = publish(1);
    ASSERT_EQ(result.code, result_code::ok);
    EXPECT_TRUE(is_in_force_everywhere(result.revision, 5s));
    EXPECT_EQ(fleet_.members[3]
                  ->server->view()
                  ->find(depth)
                  ->document->classes.front()
                  .queue_length,
              1U);
}

TEST_F(configuration_server_test, slow_platform_publish_is_in_force_in_time) {
    fleet_.platform_call_outcome_of = [](const platform_request&) {
        return platform_call_outcome{.delay = 1s};
    };
    fleet_.start_all();
    fleet_.run_for(20s);
    for (int mark = 1; mark <= 5; ++mark) {
        std::optional<publish_result> published;
        const steady_time begun = fleet_.now;
        fleet_.publish(
            depth, document_text("depth", mark), "p" + std::to_string(mark),
            [&](const publish_result& result) { published = result; });
        ASSERT_TRUE(fleet_.run_until(
            [&] {
                return published &&
                       fleet_.count_at(depth, published->revision) ==
                           fleet_size;
            },
            30s));
        EXPECT_LT(fleet_.now - begun, 5s);
        fleet_.run_for(3s);
    }
}

TEST_F(configuration_server_test, platform_is_called_by_two_in_each_zone) {
    fleet_.start_all();
    fleet_.run_for(5s);
    std::map<availability_zone, int> callers;
    for (const auto& instance : fleet_.members) {
        callers[instance->zone] +=
            instance->server->counters().platform_calls > 0 ? 1 : 0;
    }
    ASSERT_EQ(callers.size(), zone_count);
    for (const auto& [zone, count] : callers) {
        EXPECT_EQ(count, 2) << zone.text();
    }
}

TEST_F(configuration_server_test, watcher_that_fails_is_replaced) {
    fleet_.start_all();
    fleet_.run_for(5s);
    for (std::size_t i = 0; i < fleet_size; ++i) {
        if (fleet_.members[i]->server->status(fleet_.now).is_watcher &&
            i != 8) {
            fleet_.stop(i);
        }
    }
    fleet_.update_membership();
    const auto result = publish(1);
    EXPECT_TRUE(is_in_force_everywhere(result.revision));
}

TEST_F(configuration_server_test, deleted_service_stays_deleted) {
    fleet_.start_all();
    const auto first = publish(1);
    ASSERT_TRUE(is_in_force_everywhere(first.revision));
    fleet_.platform.put(key_of(depth), to_stored_text({.publish_id = "gone",
                                                       .operator_name = "ann",
                                                       .is_deleted = true}));
    EXPECT_TRUE(
        fleet_.run_until([&] { return fleet_.count_at(depth, 1) == 0; }, 30s));
    fleet_.run_for(20s);
    EXPECT_EQ(fleet_.count_at(depth, 1), 0U);
    const auto again = publish(2);
    EXPECT_TRUE(is_in_force_everywhere(again.revision));
}

TEST_F(configuration_server_test,
       faulty_document_keeps_the_last_valid_revision) {
    fleet_.start_all();
    const auto good = publish(1);
    ASSERT_TRUE(is_in_force_everywhere(good.revision));
    fleet_.platform.put(key_of(depth),
                        to_stored_text({.publish_id = "bad",
                                        .operator_name = "ann",
                                        .text = "{\"service\": \"depth\"}"}));
    fleet_.run_for(20s);
    for (const auto& instance : fleet_.members) {
        const auto status = instance->server->status(fleet_.now);
        ASSERT_EQ(status.services.size(), 1U);
        EXPECT_EQ(status.services[0].revision, good.revision);
        EXPECT_GT(status.services[0].refused_revision, good.revision);
        EXPECT_NE(status.services[0].faults.find("classes"), std::string::npos);
    }
    // A new instance gets the last valid revision, which is no longer in the
    // store, although the store answers before the peers do.
    fleet_.message_delivery_of = [](const peer_message&) {
        return message_delivery{.delay = 100ms};
    };
    std::size_t watcher = 0;
    while (!fleet_.members[watcher]->server->status(fleet_.now).is_watcher) {
        ++watcher;
    }
    fleet_.stop(watcher);
    fleet_.start(watcher);
    EXPECT_TRUE(is_in_force_everywhere(good.revision));
    EXPECT_TRUE(is_in_force_everywhere(publish(2).revision));
}

TEST_F(configuration_server_test,
       store_that_was_reset_is_logged_and_not_followed) {
    fleet_.start_all();
    const auto good = publish(1);
    ASSERT_TRUE(is_in_force_everywhere(good.revision));
    fleet_.platform = memory_platform();
    fleet_.run_for(30s);
    EXPECT_EQ(fleet_.count_at(depth, good.revision), fleet_size);
    EXPECT_GT(fleet_.logged[log_event::platform_store_behind], 0);
}

TEST_F(configuration_server_test,
       restart_with_unreachable_platform_starts_from_peers) {
    fleet_.start_all();
    const auto result = publish(1);
    ASSERT_TRUE(is_in_force_everywhere(result.revision));
    fail_platform_calls(true);
    for (const std::size_t i : {0, 4, 8}) {
        fleet_.stop(i);
        fleet_.run_for(1s);
        fleet_.start(i);
    }
    EXPECT_TRUE(is_in_force_everywhere(result.revision, 5s));
}

TEST_F(configuration_server_test,
       restart_beside_stale_peers_waits_for_its_claim) {
    fleet_.start_all();
    const auto old = publish(1);
    ASSERT_TRUE(is_in_force_everywhere(old.revision));
    // Lost pulls: only instances that read the store get the next revision.
    fleet_.message_delivery_of = [](const peer_message& message) {
        const auto body = wire::decode<configuration_message>(message.body);
        const bool is_pull =
            body && body->kind == configuration_message_kind::pull;
        return message_delivery{.copies = is_pull ? 0U : 1U};
    };
    const auto next = publish(2);
    fleet_.run_for(3s);
    fail_platform_calls(true);
    std::vector<std::size_t> ahead;
    for (std::size_t i = 0; i < fleet_size; ++i) {
        if (configuration_fleet::revision_at(*fleet_.members[i], depth) ==
            next.revision) {
            ahead.push_back(i);
        }
    }
    ASSERT_LT(ahead.size(), fleet_size);
    for (const std::size_t i : ahead) {
        fleet_.stop(i);
    }
    fleet_.message_delivery_of = [](const peer_message&) {
        return message_delivery{};
    };
    fleet_.start(ahead.front());
    fleet_.run_for(20s);
    EXPECT_EQ(fleet_.members[ahead.front()]->server->view(), nullptr);
    EXPECT_EQ(fleet_.logged[log_event::configuration_held_back], 1);
    fail_platform_calls(false);
    EXPECT_TRUE(is_in_force_everywhere(next.revision));
    EXPECT_EQ(fleet_.regressions(), 0U);
}

TEST_F(configuration_server_test, zone_without_platform_follows_its_peers) {
    fleet_.start_all();
    fleet_.run_for(5s);
    // The platform answers calls of operators only.
    fleet_.platform_call_outcome_of = [](const platform_request& request) {
        const auto* read = std::get_if<read_range>(&request);
        const bool is_watcher = std::holds_alternative<watch_prefix>(request) ||
                                (read != nullptr && read->is_prefix);
        return platform_call_outcome{.is_lost = is_watcher};
    };
    const auto result = publish(1);
    fleet_.run_for(5s);
    EXPECT_EQ(fleet_.count_at(depth, result.revision), 0U);
    fail_platform_calls(false);
    EXPECT_TRUE(is_in_force_everywhere(result.revision));
}

TEST_F(configuration_server_test,
       partitioned_zone_keeps_serving_and_catches_up) {
    fleet_.start_all();
    const auto before = publish(1);
    ASSERT_TRUE(is_in_force_everywhere(before.revision));
    const availability_zone cut("z0");
    const auto zone_of = [this](const instance_id& name) {
        return fleet_.members[std::stoul(name.text().substr(1))]->zone;
    };
    fleet_.message_delivery_of = [&](const peer_message& message) {
        const bool is_across =
            (zone_of(message.from) == cut) != (zone_of(message.to) == cut);
        return message_delivery{.copies = is_across ? 0U : 1U};
    };
    fleet_.is_cut_off = [&](const auto& instance) {
        return instance.zone == cut;
    };
    const auto during = publish(2);
    fleet_.run_for(20s);
    // An instance that restarts in the partitioned zone still gets the revision
    // of the other instances there.
    fleet_.stop(0);
    fleet_.start(0);
    fleet_.run_for(10s);
    for (const auto& instance : fleet_.members) {
        EXPECT_EQ(configuration_fleet::revision_at(*instance, depth),
                  instance->zone == cut ? before.revision : during.revision)
            << instance->name.text();
    }
    fleet_.message_delivery_of = [](const peer_message&) {
        return message_delivery{};
    };
    fleet_.is_cut_off = [](const auto&) { return false; };
    EXPECT_TRUE(is_in_force_everywhere(during.revision, 5s));
    EXPECT_EQ(fleet_.regressions(), 0U);
}

TEST_F(configuration_server_test,
       unreachable_platform_is_called_with_growing_pauses) {
    fail_platform_calls(true);
    fleet_.start_all();
    fleet_.run_for(60s);
    const std::uint64_t calls = fleet_.platform_calls;
    fleet_.run_for(60s);
    // Eight watchers, each with a pause of 4 to 8 s between calls.
    EXPECT_LE(fleet_.platform_calls - calls, 8 * 60 / 4);
    EXPECT_GE(fleet_.platform_calls - calls, 8 * 60 / 8 / 2);
}

TEST_F(configuration_server_test,
       stale_duplicated_or_broken_delta_changes_nothing) {
    fleet_.start_all();
    const auto first = publish(1);
    ASSERT_TRUE(is_in_force_everywhere(first.revision));
    std::vector<peer_message> recorded;
    fleet_.on_arrival = [&](const peer_message& message) {
        recorded.push_back(message);
    };
    const auto second = publish(2);
    ASSERT_TRUE(is_in_force_everywhere(second.revision));
    const auto third = publish(3);
    ASSERT_TRUE(is_in_force_everywhere(third.revision));
    fleet_.on_arrival = [](const peer_message&) {};
    const auto old = recorded;
    for (peer_message message : old) {
        fleet_.deliver(message);
        message.body.resize(message.body.size() / 2);
        fleet_.deliver(message);
    }
    const configuration_entry hole{.service = depth,
                                   .revision = third.revision + 10,
                                   .text = document_text("depth", 9)};
    fleet_.deliver({.from = instance_id("i1"),
                    .to = instance_id("i0"),
                    .topic = peer_topic::configuration,
                    .body = wire::encode(configuration_message{
                        .kind = configuration_message_kind::delta,
                        .from = third.revision + 5,
                        .to = third.revision + 10,
                        .entries = {hole}})});
    EXPECT_EQ(configuration_fleet::revision_at(*fleet_.members[0], depth),
              third.revision);
    EXPECT_EQ(fleet_.regressions(), 0U);
}

TEST_F(configuration_server_test, small_edit_is_sent_as_a_small_patch) {
    fleet_.start_all();
    std::size_t largest = 0;
    for (int mark = 1; mark <= 2; ++mark) {
        largest = 0;
        fleet_.on_arrival = [&](const peer_message& message) {
            largest = std::max(largest, message.body.size());
        };
        std::optional<publish_result> published;
        fleet_.publish(
            depth, document_text("depth", mark, 100),
            "p" + std::to_string(mark),
            [&](const publish_result& result) { published = result; });
        ASSERT_TRUE(
            fleet_.run_until([&] { return published.has_value(); }, 60s));
        ASSERT_TRUE(is_in_force_everywhere(published->revision));
        fleet_.run_for(5s);
    }
    EXPECT_GT(document_text("depth", 1, 100).size(), 5'000U);
    EXPECT_LT(largest, 200U);
}

// With messages that are lost, duplicated and reordered, calls that fail before
// or after their effect, and restarts: no instance goes back to an older
// revision, and all agree once the faults end.
RC_GTEST_PROP(configuration_server_property,
              never_back_and_all_agree_in_the_end, ()) {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    seeded_random_source random(seed);
    configuration_fleet fleet(6, 2, seed);
    fleet.message_delivery_of = [&](const peer_message&) {
        const auto roll = random.below(10);
        return message_delivery{
            .copies = roll < 2 ? 0U : (roll < 4 ? 2U : 1U),
            .delay = std::chrono::milliseconds(1 + random.below(400))};
    };
    fleet.platform_call_outcome_of = [&](const platform_request&) {
        const auto roll = random.below(10);
        return platform_call_outcome{
            .delay = std::chrono::milliseconds(2 + random.below(1'000)),
            .is_lost = roll < 4,
            .has_effect = roll >= 2};
    };
    fleet.start_all();
    std::map<service_name, store_revision> accepted;
    for (int step = 0; step < 12; ++step) {
        const service_name service(random.below(2) == 0 ? "s1" : "s2");
        fleet.publish(service, document_text(service.text(), step),
                      "p" + std::to_string(step),
                      [&accepted, service](const publish_result& result) {
                          store_revision& last = accepted[service];
                          last = std::max(last, result.revision);
                      });
        fleet.run_for(std::chrono::milliseconds(random.below(4'000)));
        const std::size_t victim = random.below(fleet.members.size());
        if (random.below(3) == 0) {
            fleet.stop(victim);
            fleet.run_for(std::chrono::milliseconds(random.below(2'000)));
            fleet.start(victim);
        }
    }
    fleet.run_for(61s);
    fleet.message_delivery_of = [](const peer_message&) {
        return message_delivery{};
    };
    fleet.platform_call_outcome_of = [](const platform_request&) {
        return platform_call_outcome{};
    };
    fleet.run_for(30s);
    RC_ASSERT(fleet.regressions() == 0U);
    for (const auto& [service, revision] : accepted) {
        RC_ASSERT(fleet.count_at(service, revision) == fleet.members.size());
    }
}

} // namespace savorydock
