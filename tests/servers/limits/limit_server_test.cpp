#include "core/random_source.hpp"
#include "servers/configuration/configuration_view.hpp"
#include "servers/limits/limit_server.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <functional>
#include <vector>

namespace savorydock {
namespace {

using namespace std::chrono_literals;

constexpr double limit = 900;
constexpr std::size_t node_count = 9;
const service_name service("chat");
const caller_id caller("team");

/// Simulates nine instances in three zones that share one caller's limit, in
/// virtual time. The test sets the membership explicitly.
class limit_fleet {
public:
    explicit limit_fleet(std::uint32_t lost_percent, std::uint64_t seed = 1)
        : random_(seed)
        , lost_percent_(lost_percent) {
        auto document = std::make_shared<service_document>();
        document->service = service;
        document->callers.push_back(
            {.name = caller,
             .requests_per_second = static_cast<std::uint32_t>(limit)});
        const auto view = std::make_shared<configuration_view>(
            std::map<service_name, service_in_force>{
                {service, {.revision = 1, .document = document}}},
            1);
        for (std::size_t i = 0; i < node_count; ++i) {
            nodes_.push_back(std::make_unique<node>(record_of(i)));
        }
        for (std::size_t i = 0; i < node_count; ++i) {
            for (std::size_t j = 0; j < node_count; ++j) {
                nodes_[i]->members.merge(record_of(j), now_);
            }
            command_list out;
            nodes_[i]->server.on_configuration(view, now_, out);
        }
    }

    /// Runs for `time` with `demand(i)` requests per second on instance `i`.
    /// Returns the highest rate admitted in any window, as a multiple of the
    /// limit.
    double run(std::chrono::seconds time,
               const std::function<double(std::size_t)>& demand) {
        double highest = 0;
        for (const steady_time end = now_ + time; now_ < end;) {
            now_ += step;
            admitted_.push_back(offer(demand));
            window_sum_ += admitted_.back();
            if (admitted_.size() > window_steps) {
                window_sum_ -= admitted_.front();
                admitted_.pop_front();
            }
            exchange();
            if (admitted_.size() == window_steps) {
                highest = std::max(highest, window_sum_ / window_limit);
            }
        }
        return highest;
    }

    /// The rate admitted in the last window, as a multiple of the limit.
    [[nodiscard]] double recent() const { return window_sum_ / window_limit; }

    /// Drops messages for which `is_blocked(from, to)` is true. Membership
    /// learns of it only by `update_membership`.
    void
    block_messages(std::function<bool(std::size_t, std::size_t)> is_blocked) {
        is_blocked_ = std::move(is_blocked);
    }

    /// Marks, on every instance, those it can't reach as dead and the others
    /// as living. A higher incarnation revives dead instances.
    void update_membership(std::uint64_t incarnation) {
        for (std::size_t i = 0; i < node_count; ++i) {
            for (std::size_t j = 0; j < node_count; ++j) {
                member_record record = record_of(j);
                record.incarnation = incarnation;
                nodes_[i]->members.merge(record, now_);
                if (is_blocked_ && is_blocked_(i, j)) {
                    nodes_[i]->members.set_condition(
                        record.name, member_condition::dead, now_);
                }
            }
        }
    }

    [[nodiscard]] double bytes_per_second(std::chrono::seconds time) const {
        std::uint64_t bytes = 0;
        for (const auto& each : nodes_) {
            bytes += each->server.counters().bytes_out;
        }
        return static_cast<double>(bytes) / static_cast<double>(time.count()) /
               node_count;
    }

private:
    static constexpr std::chrono::milliseconds step{50};
    static constexpr std::size_t window_steps = 100;
    static constexpr double window_limit = limit * 5;

    struct node {
        explicit node(member_record self)
            : members(std::move(self)) {}
        member_table members;
        std::shared_ptr<rate_limiter> limiter =
            std::make_shared<rate_limiter>();
        limit_server server{{}, members, limiter};
        double requests_due = 0;
    };

    static member_record record_of(std::size_t at) {
        return {.name = instance_id("entry-" + std::to_string(at)),
                .zone = availability_zone("zone-" + std::to_string(at % 3)),
                .address = {"10.0.0.1", static_cast<std::uint16_t>(at + 1)},
                .incarnation = 1};
    }

    double offer(const std::function<double(std::size_t)>& demand) {
        double admitted = 0;
        for (std::size_t i = 0; i < node_count; ++i) {
            nodes_[i]->requests_due += demand(i) * 0.05;
            for (; nodes_[i]->requests_due >= 1; nodes_[i]->requests_due -= 1) {
                admitted += nodes_[i]->limiter->admit(service, caller, now_);
            }
        }
        return admitted;
    }

    void exchange() {
        const auto arrived = std::move(in_flight_);
        in_flight_.clear();
        for (const peer_message& message : arrived) {
            const std::size_t to = index_of(message.to);
            post(to, [&](command_list& out) {
                nodes_[to]->server.on_peer_message(message, now_, out);
            });
        }
        ++steps_;
        for (std::size_t i = steps_ % 4; i < node_count; i += 4) {
            post(i, [&](command_list& out) {
                nodes_[i]->server.on_tick(now_, out);
            });
        }
    }

    void post(std::size_t from,
              const std::function<void(command_list&)>& action) {
        command_list out;
        action(out);
        for (const control_command& command : out) {
            const auto& message = std::get<peer_message>(command);
            const bool is_lost =
                random_.below(100) < lost_percent_ ||
                (is_blocked_ && is_blocked_(from, index_of(message.to)));
            if (!is_lost) {
                in_flight_.push_back(message);
            }
        }
    }

    static std::size_t index_of(const instance_id& name) {
        return std::stoul(name.text().substr(6));
    }

    seeded_random_source random_;
    std::uint32_t lost_percent_;
    steady_time now_ = steady_time{} + 1h;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<peer_message> in_flight_;
    std::function<bool(std::size_t, std::size_t)> is_blocked_;
    std::deque<double> admitted_;
    double window_sum_ = 0;
    std::size_t steps_ = 0;
};

/// In a window of 5 s the burst of 0.5 s adds a tenth of the limit. The rest
/// allows for the one request that each bucket may always admit.
constexpr double burst_bound = 1.12;

class limit_loss_test : public testing::TestWithParam<std::uint32_t> {};

TEST_P(limit_loss_test, shifting_demand_stays_within_the_limit) {
    limit_fleet fleet(GetParam());
    const auto only = [](std::size_t wanted) {
        return
            [wanted](std::size_t at) { return at == wanted ? 2 * limit : 0.0; };
    };
    double highest = 0;
    for (const std::size_t at : {0U, 5U, 7U, 2U}) {
        highest = std::max(highest, fleet.run(20s, only(at)));
        EXPECT_GT(fleet.recent(), 0.85) << at;
    }
    const auto all = [](std::size_t) { return limit; };
    highest = std::max(highest, fleet.run(20s, all));
    EXPECT_GT(fleet.recent(), 0.85);
    RecordProperty("highest_thousandths", static_cast<int>(highest * 1000));
    EXPECT_LE(highest, burst_bound);
}

TEST_P(limit_loss_test, partitioned_fleet_stays_within_the_limit_and_recovers) {
    limit_fleet fleet(GetParam());
    const auto all = [](std::size_t) { return limit; };
    double highest = fleet.run(20s, all);
    fleet.block_messages([](std::size_t from, std::size_t to) {
        return (from % 3 == 0) != (to % 3 == 0);
    });
    highest = std::max(highest, fleet.run(10s, all));
    fleet.update_membership(1);
    // Only the smaller side has demand. It must not use the other side's part
    // of the limit.
    const auto small = [](std::size_t at) { return at % 3 == 0 ? limit : 0; };
    highest = std::max(highest, fleet.run(40s, small));
    EXPECT_LT(fleet.recent(), 0.4);
    highest = std::max(highest, fleet.run(90s, all));
    EXPECT_GT(fleet.recent(), 0.85);
    fleet.block_messages(nullptr);
    fleet.update_membership(2);
    highest = std::max(highest, fleet.run(30s, all));
    EXPECT_GT(fleet.recent(), 0.85);
    RecordProperty("highest_thousandths", static_cast<int>(highest * 1000));
    EXPECT_LE(highest, burst_bound);
}

INSTANTIATE_TEST_SUITE_P(loss, limit_loss_test, testing::Values(0U, 10U, 20U));

RC_GTEST_PROP(limit_fleet_test, random_demand_stays_within_the_limit, ()) {
    limit_fleet fleet(*rc::gen::inRange<std::uint32_t>(0, 15),
                      *rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    for (int phase = 0; phase < 4; ++phase) {
        const auto demands = *rc::gen::container<std::vector<int>>(
            node_count, rc::gen::inRange(0, 1'800));
        const auto time = *rc::gen::inRange(1, 15);
        const double highest =
            fleet.run(std::chrono::seconds(time), [&](std::size_t at) {
                return demands[at] < 600 ? 0.0 : demands[at];
            });
        RC_ASSERT(highest <= burst_bound);
    }
}

TEST(token_bucket_test, admits_the_rate_and_one_burst) {
    token_bucket bucket(10, 500ms);
    const steady_time start = steady_time{} + 1h;
    int admitted = 0;
    for (int i = 0; i < 1'000; ++i) {
        admitted += bucket.admit(start + i * 10ms) ? 1 : 0;
    }
    EXPECT_GE(admitted, 100);
    EXPECT_LE(admitted, 105);
    EXPECT_EQ(bucket.take_attempts(), 1'000U);
}

TEST(token_bucket_test, raised_rate_holds_at_once) {
    token_bucket bucket(0.001, 500ms);
    const steady_time start = steady_time{} + 1h;
    EXPECT_TRUE(bucket.admit(start));
    EXPECT_FALSE(bucket.admit(start));
    bucket.set_rate(10, start);
    EXPECT_TRUE(bucket.admit(start + 200ms));
}

TEST(limit_server_test, undecodable_message_is_refused) {
    member_table members({.name = instance_id("a")});
    limit_server server({}, members, std::make_shared<rate_limiter>());
    command_list out;
    server.on_peer_message({.from = instance_id("x"), .body = "\xff"}, {}, out);
    EXPECT_EQ(server.counters().messages_refused, 1U);
}

} // namespace
} // namespace savorydock
