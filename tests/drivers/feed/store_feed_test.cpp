#include "drivers/feed/store_feed.hpp"
#include "servers/batch/job_keys.hpp"
#include "tests/fakes/fake_users_store.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

class copy_listener final : public store_mirror_listener {
public:
    void on_changes(const std::vector<store_change>& changes, bool) override {
        for (const store_change& change : changes) {
            if (change.is_removed) {
                values.erase(change.value.key);
            } else {
                values[change.value.key] = change.value.value;
            }
        }
    }
    std::map<std::string, std::string> values;
};

/// One instance with a feed of two prefixes.
struct member final : public store_mirror_listener {
    member(asio::io_context& context, const endpoint& store,
           peer_transport& transport, const node_directory& directory,
           const std::string& name, const node_entry& entry, logger& log,
           std::chrono::milliseconds change_bound = 3'000ms)
        : client(context, {.address = store}, log)
        , feed(context, client, transport, directory,
               {.self = instance_id(name),
                .zone = entry.zone,
                .address = entry.address,
                .change_bound = change_bound,
                .seed = std::hash<std::string>()(name),
                .zone_work =
                    [name] {
                        return std::vector<upstream_sum>{
                            {.upstream = upstream_id(name), .work = 1}};
                    },
                .on_zone_work =
                    [this](const std::vector<upstream_sum>& sums,
                           const instance_id& feeder) {
                        work = sums;
                        work_sender = feeder;
                    }},
               {{"op/", &data}, {std::string(control_prefix), this}}, log) {}

    void on_changes(const std::vector<store_change>&, bool) override {
        const auto& keys = feed.copy_of(std::string(control_prefix)).values();
        const auto own = keys.find(feed.term_key());
        feed.on_term_key(own == keys.end() ? nullptr : &own->second,
                         feed.copy_of(std::string(control_prefix)).revision());
    }

    [[nodiscard]] std::uint64_t calls(store_call_kind kind) const {
        return client.counters().calls_by_kind.at(
            static_cast<std::size_t>(kind));
    }

    copy_listener data;
    /// The sums of the last heartbeat, and its sender.
    std::vector<upstream_sum> work;
    instance_id work_sender;
    store_client client;
    store_feed feed;
};

/// Delivers messages between members, unless their sender is silent. Each
/// member may have a link of limited bandwidth: large messages wait for it in
/// order, small ones go between their parts, as streams of a connection do.
class fleet_transport final : public peer_transport {
public:
    explicit fleet_transport(asio::io_context& context)
        : context_(context) {}

    void send(const peer_message& message, const endpoint& to) override {
        sent_bytes += message.body.size();
        if (silent.contains(message.from) || silent.contains(message.to)) {
            return;
        }
        if (const auto delay = delays.find(message.to); delay != delays.end()) {
            auto timer = std::make_shared<asio::steady_timer>(context_);
            timer->expires_after(delay->second);
            timer->async_wait(
                [this, timer, message](const auto&) { deliver(message); });
            return;
        }
        if (bytes_per_second == 0 || message.body.size() < small_bytes) {
            asio::post(context_, [this, message] { deliver(message); });
            return;
        }
        steady_time& free_at = link_free_at_[message.from];
        free_at = std::max(free_at, std::chrono::steady_clock::now()) +
                  message.body.size() * 1'000'000us / bytes_per_second;
        auto timer = std::make_shared<asio::steady_timer>(context_);
        timer->expires_at(free_at);
        queued_[to_text(to)] += message.body.size();
        queued_in_all += message.body.size();
        longest_queue = std::max(longest_queue, queued_in_all);
        timer->async_wait([this, timer, message, to](const auto&) {
            queued_[to_text(to)] -= message.body.size();
            queued_in_all -= message.body.size();
            deliver(message);
        });
    }
    std::size_t queued_bytes(const endpoint& to) const override {
        const auto found = queued_.find(to_text(to));
        return found == queued_.end() ? 0 : found->second;
    }
    void on_message(message_handler) override {}

    std::map<instance_id, member*> members;
    std::set<instance_id> silent;
    /// Time that all messages to a member take.
    std::map<instance_id, std::chrono::milliseconds> delays;
    /// 0 for no limit.
    std::size_t bytes_per_second = 0;
    std::size_t sent_bytes = 0;
    /// Bytes that wait for links.
    std::size_t queued_in_all = 0;
    std::size_t longest_queue = 0;

private:
    static constexpr std::size_t small_bytes = 4'096;

    void deliver(const peer_message& message) {
        const auto to = members.find(message.to);
        if (to != members.end()) {
            to->second->feed.on_message(message);
        }
    }

    asio::io_context& context_;
    std::map<instance_id, steady_time> link_free_at_;
    std::map<std::string, std::size_t> queued_;
};

class store_feed_test : public ::testing::Test {
public:
    explicit store_feed_test(const std::string& zones = "abc",
                             int members_per_zone = 2,
                             std::chrono::milliseconds change_bound = 3'000ms) {
        for (const char letter : zones) {
            const std::string zone(1, letter);
            for (int number = 1; number <= members_per_zone; ++number) {
                const std::string name = zone + std::to_string(number);
                directory[instance_id(name)] = make_entry(name, zone);
                members.push_back(std::make_unique<member>(
                    context, fake.address(), transport, directory, name,
                    directory[instance_id(name)], log, change_bound));
                transport.members[instance_id(name)] = members.back().get();
            }
        }
        fake.put("op/config", "1");
        for (const auto& one : members) {
            one->feed.start();
        }
    }

    node_entry make_entry(const std::string& name, const std::string& zone) {
        return {.instance = instance_id(name),
                .zone = availability_zone(zone),
                .address = {.address = "127.0.0.1", .port = ++last_port}};
    }

    template <class Test>
    bool wait(Test is_done, std::chrono::milliseconds limit) {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!is_done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(5ms);
        }
        return is_done();
    }

    void run_for(std::chrono::milliseconds time) {
        wait([] { return false; }, time);
    }

    /// Number of members that watch the store themselves.
    std::size_t watchers() const {
        return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(), [](const auto& one) {
                return !one->feed.is_following();
            }));
    }

    bool all_have(const std::string& value) const {
        return std::all_of(
            members.begin(), members.end(), [&](const auto& one) {
                const auto found = one->data.values.find("op/config");
                return found != one->data.values.end() &&
                       found->second == value;
            });
    }

    member& root() {
        return **std::find_if(
            members.begin(), members.end(), [](const auto& one) {
                return one->feed.is_feeder() && !one->feed.is_following();
            });
    }

    std::uint64_t watches() const {
        std::uint64_t sum = 0;
        for (const auto& one : members) {
            sum += one->calls(store_call_kind::watch);
        }
        return sum;
    }

    fake_users_store fake;
    null_logger log;
    asio::io_context context;
    std::uint16_t last_port = 0;
    node_directory directory;
    fleet_transport transport{context};
    std::vector<std::unique_ptr<member>> members;
};

/// One zone with eight followers of a feeder.
class store_feed_load_test : public store_feed_test {
public:
    store_feed_load_test()
        : store_feed_test("a", 9) {}

    static constexpr std::size_t configuration_bytes = 80'000;
    static constexpr std::size_t followers = 8;

    /// A configuration that neither compresses well nor shares text with
    /// other versions.
    static std::string make_configuration(int version) {
        std::mt19937 random(static_cast<unsigned>(version));
        std::uniform_int_distribution<int> letters('!', '~');
        std::string text = std::to_string(version) + ' ';
        while (text.size() < configuration_bytes) {
            text += static_cast<char>(letters(random));
        }
        return text;
    }

    static int version_of(const member& one) {
        const auto found = one.data.values.find("op/config");
        return found == one.data.values.end()
                   ? 0
                   : std::atoi(found->second.c_str());
    }
};

/// One zone whose changes must be in force within 2 s, so without a root.
class store_feed_short_bound_test : public store_feed_test {
public:
    static constexpr std::chrono::milliseconds bound{2'000};

    store_feed_short_bound_test()
        : store_feed_test("a", 4, bound) {}

    /// The longest time after a change for which a member without it claimed to
    /// be current.
    std::chrono::milliseconds
    find_longest_false_claim(const std::string& value, steady_time written_at,
                             std::chrono::milliseconds limit) {
        std::chrono::milliseconds longest{0};
        wait(
            [&] {
                const auto age =
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::steady_clock::now() - written_at);
                for (const auto& one : members) {
                    const auto found = one->data.values.find("op/config");
                    const bool has_change = found != one->data.values.end() &&
                                            found->second == value;
                    if (!has_change && one->feed.find_view_age().is_current) {
                        longest = std::max(longest, age);
                    }
                }
                return false;
            },
            limit);
        return longest;
    }
};

} // namespace

// Guards against 404 for routes that exist: the feeder's watch is lost without
// a sign, and so is the reread, while its renewals show contact to the store.
TEST_F(store_feed_short_bound_test,
       lost_watch_of_the_feeder_leaves_no_follower_current_beyond_the_bound) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    run_for(1'000ms);
    // Ends the watches of both prefixes, so that they start anew together.
    fake.put("op/other", "1");
    fake.put("c/other", "1");
    run_for(100ms);
    fake.set_losing_watches(true);
    fake.set_losing_ranges(true);
    const auto before = watches();
    ASSERT_TRUE(wait([&] { return watches() >= before + 2; }, 500ms));
    run_for(20ms);
    fake.put("op/config", "2");
    EXPECT_LE(find_longest_false_claim("2", std::chrono::steady_clock::now(),
                                       4'000ms),
              bound);
}

// Guards against 404 for routes that exist: the link to a follower delays all
// messages, and the ages in them are counted from their arrival.
TEST_F(store_feed_short_bound_test,
       follower_behind_a_slow_link_is_not_current_beyond_the_bound) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    for (const auto& [instance, one] : transport.members) {
        if (one->feed.is_following()) {
            transport.delays[instance] = 3'000ms;
            break;
        }
    }
    run_for(7'000ms);
    fake.put("op/config", "2");
    EXPECT_LE(find_longest_false_claim("2", std::chrono::steady_clock::now(),
                                       4'000ms),
              bound);
}

// Guards against requests with keys that were removed: an instance that lacks a
// change must not confirm that its copy is as new as the change.
TEST_F(store_feed_short_bound_test,
       confirmed_age_without_a_change_is_at_least_the_age_of_the_change) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    for (const auto& [instance, one] : transport.members) {
        if (one->feed.is_following()) {
            transport.delays[instance] = 1'000ms;
            break;
        }
    }
    run_for(1'500ms);
    for (const auto& one : members) {
        ASSERT_TRUE(one->feed.find_view_age().confirmed_age);
    }
    fake.set_losing_watches(true);
    fake.set_losing_ranges(true);
    fake.put("op/config", "2");
    const auto written_at = std::chrono::steady_clock::now();
    wait(
        [&] {
            for (const auto& one : members) {
                const auto view = one->feed.find_view_age();
                const auto confirmed_at =
                    std::chrono::steady_clock::now() - *view.confirmed_age;
                // Both are rounded to milliseconds.
                EXPECT_TRUE(one->data.values["op/config"] == "2" ||
                            confirmed_at <= written_at + 2ms);
            }
            return HasFailure();
        },
        3'000ms);
}

// The local clock ends the lease while a renewal that succeeds is unanswered.
TEST_F(store_feed_short_bound_test,
       late_renewal_of_the_feeder_leaves_its_followers_following) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    const auto key = root().feed.term_key();
    const auto term = fake.values().at(key).modified;
    fake.set_renewal_delay(1'400ms);
    run_for(6'000ms);
    fake.set_renewal_delay(0ms);
    run_for(3'000ms);
    ASSERT_EQ(fake.values().at(key).modified, term) << "another term";
    EXPECT_EQ(watchers(), 1U);
    for (const auto& one : members) {
        EXPECT_TRUE(one->feed.is_feeder() || one->feed.is_following());
    }
}

// A change that arrives while the local clock has ended the lease, and a
// renewal that succeeds is unanswered, must be numbered like any other.
TEST_F(store_feed_short_bound_test,
       change_during_a_late_renewal_is_not_skipped_by_followers) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    member& feeder = root();
    const auto key = feeder.feed.term_key();
    const auto term = fake.values().at(key).modified;
    // So that no heartbeat is due while the lease counts as ended.
    run_for(500ms);
    fake.set_renewal_delay(1'170ms);
    ASSERT_TRUE(wait([&] { return !feeder.feed.is_feeder(); }, 8s));
    fake.set_renewal_delay(0ms);
    fake.put("op/config", "2");
    const auto claim = find_longest_false_claim(
        "2", std::chrono::steady_clock::now(), 3'500ms);
    ASSERT_EQ(fake.values().at(key).modified, term) << "another term";
    EXPECT_LE(claim, bound);
    fake.put("op/other", "1");
    run_for(1'000ms);
    EXPECT_TRUE(all_have("2")) << "a later change left the earlier one out";
}

// Load pattern: with a watch per zone and prefix, the calls to the store grow
// with the number of zones.
TEST_F(store_feed_test, one_feeder_watches_the_store_for_all_zones) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    fake.put("op/config", "2");
    EXPECT_TRUE(wait([&] { return all_have("2"); }, 1s));
    const auto before = watches();
    run_for(2'600ms);
    EXPECT_EQ(watchers(), 1U);
    // One member with two prefixes, whose watches return after 1.2 s.
    EXPECT_LE(watches() - before, 6U);
}

// Guards against sums of one zone that reach instances of another one.
TEST_F(store_feed_test, heartbeats_carry_the_sums_of_the_zone) {
    const auto has_sums = [&] {
        return std::count_if(
                   members.begin(), members.end(),
                   [](const auto& one) { return one->work.size() == 1; }) == 3;
    };
    ASSERT_TRUE(wait(has_sums, 8s));
    for (const auto& one : members) {
        EXPECT_EQ(one->work.empty(), one->feed.is_feeder());
        if (!one->work.empty()) {
            EXPECT_EQ(one->work.front().upstream.text(),
                      one->work_sender.text());
        }
    }
}

TEST_F(store_feed_test, silent_root_delays_a_change_within_the_bound) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    const member* const old_root = &root();
    const auto name =
        std::find_if(transport.members.begin(), transport.members.end(),
                     [&](const auto& row) { return row.second == old_root; });
    transport.silent.insert(name->first);
    fake.put("op/config", "3");
    EXPECT_TRUE(wait([&] { return all_have("3"); }, 3s));
}

// The feeders must have read the store themselves before their followers give
// them up: otherwise all instances would read it at once.
TEST_F(store_feed_test, followers_of_other_zones_outlast_a_silent_root) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    const auto name =
        std::find_if(transport.members.begin(), transport.members.end(),
                     [&](const auto& row) { return row.second == &root(); });
    const availability_zone zone = directory[name->first].zone;
    std::map<member*, std::uint64_t> reads;
    for (const auto& [instance, one] : transport.members) {
        if (directory[instance].zone != zone && !one->feed.is_feeder()) {
            reads[one] = one->calls(store_call_kind::read_range);
        }
    }
    ASSERT_EQ(reads.size(), 2U);
    transport.silent.insert(name->first);
    run_for(2'500ms);
    for (const auto& [one, before] : reads) {
        EXPECT_EQ(one->calls(store_call_kind::read_range), before);
        EXPECT_TRUE(one->feed.is_following());
    }
}

// Load pattern: hundreds of instances start at once, and each read three
// prefixes of the store.
TEST_F(store_feed_test, new_instance_takes_its_first_copies_from_the_feeder) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    // Not in the others' directory yet.
    member late(context, fake.address(), transport, directory, "a3",
                make_entry("a3", "a"), log);
    transport.members[instance_id("a3")] = &late;
    late.feed.start();
    ASSERT_TRUE(
        wait([&] { return late.data.values.contains("op/config"); }, 1s));
    run_for(400ms);
    EXPECT_TRUE(late.feed.is_following());
    EXPECT_EQ(late.calls(store_call_kind::read_range), 1U);
    transport.members.erase(instance_id("a3"));
    context.stop();
}

TEST_F(store_feed_test, end_of_an_outage_is_known_to_followers) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    fake.set_refusing(true);
    // Longer than the root's pause between two calls.
    ASSERT_TRUE(wait([&] { return !root().client.is_reachable(); }, 1s));
    fake.set_refusing(false);
    fake.put("op/config", "4");
    ASSERT_TRUE(wait([&] { return all_have("4"); }, 3s));
    for (const auto& one : members) {
        EXPECT_NE(one->feed.outage_ended_at(), steady_time{});
    }
}

// Guards against 404 for routes that exist. Load pattern: the configuration has
// 1,450 routes and changes three times a second, and the feeder's link carries
// a quarter of what one whole copy for each follower and change needs.
TEST_F(store_feed_load_test,
       changes_faster_than_the_link_are_in_force_within_their_bound) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    transport.bytes_per_second = 500'000;
    std::map<int, steady_time> written_at;
    for (int version = 2; version <= 20; ++version) {
        fake.put("op/config", make_configuration(version));
        written_at[version] = std::chrono::steady_clock::now();
        run_for(330ms);
        for (const auto& one : members) {
            const auto next = written_at.upper_bound(version_of(*one));
            if (next == written_at.end()) {
                continue;
            }
            ASSERT_LT(std::chrono::steady_clock::now() - next->second, 3'000ms)
                << "version " << next->first << " isn't in force";
        }
    }
}

// Guards against queues of versions that were replaced while they waited: they
// delayed the newest one, and used up the memory of small instances.
TEST_F(store_feed_load_test, congested_link_queues_one_version_per_follower) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    transport.bytes_per_second = 500'000;
    for (int version = 2; version <= 20; ++version) {
        fake.put("op/config", make_configuration(version));
        run_for(330ms);
    }
    EXPECT_LT(transport.longest_queue,
              (followers + 1) * (configuration_bytes + 4'096));
    transport.bytes_per_second = 0;
    EXPECT_TRUE(wait([&] { return all_have(make_configuration(20)); }, 2s));
}

// Replies shorter than the limit of a queue count towards it as well: each
// follower repeats its request while the first reply still waits.
TEST_F(store_feed_load_test, repeated_requests_queue_one_reply_per_follower) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    constexpr std::size_t bytes = 60'000;
    transport.bytes_per_second = 100'000;
    for (int version = 2; version <= 20; ++version) {
        fake.put("op/config", make_configuration(version).substr(0, bytes));
        run_for(330ms);
    }
    EXPECT_LT(transport.longest_queue, (followers + 1) * (bytes + 4'096));
}

// Load pattern: whole copies of a large configuration for hundreds of
// followers exceed any link, although only one route changes at a time.
TEST_F(store_feed_load_test, small_part_of_a_large_value_is_sent_alone) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    const std::string routes = make_configuration(1);
    fake.put("op/config", routes + "0");
    ASSERT_TRUE(wait([&] { return all_have(routes + "0"); }, 2s));
    const std::size_t before = transport.sent_bytes;
    for (int change = 1; change <= 6; ++change) {
        const std::string value = routes + std::to_string(change);
        fake.put("op/config", value);
        ASSERT_TRUE(wait([&] { return all_have(value); }, 2s));
    }
    EXPECT_LT(transport.sent_bytes - before, 6 * followers * 2'000);
}

// A follower that read the store itself has other versions than its feeder.
TEST_F(store_feed_load_test, change_of_an_unknown_version_is_requested_whole) {
    ASSERT_TRUE(wait([&] { return watchers() == 1; }, 5s));
    const auto follower =
        std::find_if(members.begin(), members.end(),
                     [](const auto& one) { return one->feed.is_following(); });
    fake.put("op/config", make_configuration(2));
    run_for(5ms);
    const auto& own = (*follower)->feed;
    for (const auto& [instance, one] : transport.members) {
        if (one == follower->get()) {
            transport.silent.insert(instance);
        }
    }
    for (int version = 3; version < 9; ++version) {
        fake.put("op/config", make_configuration(version));
        run_for(400ms);
    }
    ASSERT_FALSE(own.is_following());
    transport.silent.clear();
    fake.put("op/config", make_configuration(9));
    EXPECT_TRUE(wait([&] { return all_have(make_configuration(9)); }, 3s));
    EXPECT_TRUE(wait([&] { return own.is_following(); }, 2s));
}
