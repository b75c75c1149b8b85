#include "servers/versions/version_roller.hpp"

#include <gtest/gtest.h>

#include <set>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class fixed_work final : public engine_work {
public:
    std::size_t runs_on(const upstream_id& upstream,
                        const std::string&) const override {
        const auto found = runs.find(upstream);
        return found == runs.end() ? 0 : found->second;
    }
    weight_version min_allowed_version(const std::string&) const override {
        return least;
    }
    bool has_waiting(const std::string&) const override { return is_waiting; }

    std::map<upstream_id, std::size_t> runs;
    weight_version least = 0;
    bool is_waiting = false;
};

class version_roller_test : public ::testing::Test {
public:
    version_roller_test()
        : roller({.holder = "n1"}, work) {
        for (int at = 0; at < 9; ++at) {
            engines.push_back({.id = upstream_id("e" + std::to_string(at)),
                               .versions = {{"m", 1}}});
        }
        roller.on_term(7);
        roller.on_upstreams(engines, now);
    }

    void set_busy() {
        for (const upstream_entry& engine : engines) {
            work.runs[engine.id] = 3;
        }
    }

    /// Answers questions for loads and returns the orders that follow.
    std::vector<version_order> orders() {
        auto commands = roller.advance(now);
        while (!commands.load_requests.empty()) {
            for (const upstream_id& upstream : commands.load_requests) {
                roller.on_load(upstream, upstream_load{}, now);
            }
            auto more = roller.advance(now);
            std::move(commands.orders.begin(), commands.orders.end(),
                      std::back_inserter(more.orders));
            commands = std::move(more);
        }
        return commands.orders;
    }

    void accept(const std::vector<version_order>& all) {
        for (const version_order& order : all) {
            roller.on_answer(order, order_answer::accepted, now);
        }
    }

    /// Lets loads end and their entries show it.
    void finish(const std::vector<version_order>& all) {
        now += 1s;
        for (const version_order& order : all) {
            for (upstream_entry& engine : engines) {
                if (engine.id == order.upstream) {
                    engine.versions[order.model] = order.version;
                }
            }
        }
        roller.on_upstreams(engines, now);
    }

    steady_time now{1h};
    fixed_work work;
    std::vector<upstream_entry> engines;
    version_roller roller;
};

} // namespace

TEST_F(version_roller_test, idle_engines_load_in_bounded_waves) {
    roller.on_wanted("m", 2);
    std::size_t loaded = 0;
    while (true) {
        const auto wave = orders();
        if (wave.empty()) {
            break;
        }
        EXPECT_LE(wave.size(), 2U);
        loaded += wave.size();
        accept(wave);
        finish(wave);
    }
    EXPECT_EQ(loaded, 9U);
}

TEST_F(version_roller_test, busy_engines_load_until_half_are_current) {
    set_busy();
    roller.on_wanted("m", 2);
    std::set<std::string> loaded;
    for (auto wave = orders(); !wave.empty(); wave = orders()) {
        for (const version_order& order : wave) {
            loaded.insert(order.upstream.text());
        }
        accept(wave);
        finish(wave);
    }
    EXPECT_EQ(loaded.size(), 5U);
    // The next version goes to the other half, which is two behind.
    roller.on_wanted("m", 3);
    for (auto wave = orders(); !wave.empty(); wave = orders()) {
        const version_order& first = wave.front();
        if (loaded.size() < 9) {
            EXPECT_FALSE(loaded.contains(first.upstream.text()));
        }
        for (const version_order& order : wave) {
            loaded.insert(order.upstream.text());
        }
        accept(wave);
        finish(wave);
    }
    EXPECT_EQ(loaded.size(), 9U);
}

TEST_F(version_roller_test, engine_too_old_for_an_open_job_loads_though_busy) {
    set_busy();
    for (std::size_t at = 0; at < 8; ++at) {
        engines[at].versions["m"] = 3;
    }
    roller.on_upstreams(engines, now);
    roller.on_wanted("m", 3);
    EXPECT_TRUE(orders().empty());
    work.least = 2;
    const auto wave = orders();
    ASSERT_EQ(wave.size(), 1U);
    EXPECT_EQ(wave[0].upstream, engines[8].id);
}

TEST_F(version_roller_test, order_carries_the_count_of_accepted_orders) {
    roller.on_wanted("m", 2);
    auto commands = roller.advance(now);
    ASSERT_FALSE(commands.load_requests.empty());
    EXPECT_TRUE(commands.orders.empty())
        << "the count isn't known before the first answer";
    for (const upstream_id& upstream : commands.load_requests) {
        roller.on_load(upstream, upstream_load{.accepted_orders = 4}, now);
    }
    const auto wave = roller.advance(now).orders;
    ASSERT_EQ(wave.size(), 2U);
    EXPECT_EQ(wave[0].expected_orders, 4U);
    EXPECT_EQ(wave[0].fencing, 7U);
    accept(wave);
    finish(wave);
    roller.on_wanted("m", 3);
    for (auto next = orders(); !next.empty(); next = orders()) {
        for (const version_order& order : next) {
            if (order.upstream == wave[0].upstream) {
                EXPECT_EQ(order.expected_orders, 5U);
                return;
            }
        }
        accept(next);
        finish(next);
    }
    FAIL() << "the engine was not ordered again";
}

TEST_F(version_roller_test,
       unanswered_order_is_followed_by_a_look_at_the_load) {
    roller.on_wanted("m", 2);
    const auto wave = orders();
    ASSERT_FALSE(wave.empty());
    roller.on_answer(wave[0], order_answer::unknown, now);
    now += 300ms;
    const auto commands = roller.advance(now);
    EXPECT_EQ(commands.load_requests,
              (std::vector<upstream_id>{wave[0].upstream}));
}

TEST_F(version_roller_test, without_a_term_nothing_is_ordered) {
    roller.on_wanted("m", 2);
    roller.on_term(std::nullopt);
    const auto commands = roller.advance(now);
    EXPECT_TRUE(commands.orders.empty());
    EXPECT_TRUE(commands.load_requests.empty());
    EXPECT_FALSE(roller.next_wakeup());
}

TEST_F(version_roller_test, accepted_order_without_effect_is_given_again) {
    set_busy();
    work.least = 2;
    roller.on_wanted("m", 2);
    const auto wave = orders();
    accept(wave);
    now += 1s;
    accept(orders());
    now += 4s;
    bool is_repeated = false;
    for (int round = 0; round < 6; ++round) {
        for (const version_order& order : orders()) {
            is_repeated = is_repeated || order.upstream == wave[0].upstream;
            roller.on_answer(order, order_answer::accepted, now);
        }
        now += 1s;
    }
    EXPECT_TRUE(is_repeated);
}

TEST_F(version_roller_test, wakeup_is_never_in_the_past) {
    set_busy();
    roller.on_wanted("m", 2);
    for (int round = 0; round < 20; ++round) {
        const auto wave = orders();
        accept(wave);
        const auto next = roller.next_wakeup();
        if (next) {
            EXPECT_GT(*next, now) << "a timer in the past spins";
        }
        now += 250ms;
    }
}

namespace {

/// Work on engines that serve several models.
class work_by_model final : public engine_work {
public:
    std::size_t runs_on(const upstream_id& upstream,
                        const std::string& model) const override {
        const auto found = runs.find({upstream, model});
        return found == runs.end() ? 0 : found->second;
    }
    weight_version
    min_allowed_version(const std::string& model) const override {
        const auto found = least.find(model);
        return found == least.end() ? 0 : found->second;
    }
    bool has_waiting(const std::string& model) const override {
        return waiting.contains(model);
    }

    std::map<std::pair<upstream_id, std::string>, std::size_t> runs;
    std::map<std::string, weight_version> least;
    std::set<std::string> waiting;
};

/// Four trainers on 45 engines, as on the larger of today's sites.
class several_models_test : public ::testing::Test {
public:
    several_models_test()
        : roller({.holder = "n1"}, work) {
        for (int at = 0; at < 45; ++at) {
            engines.push_back(
                {.id = upstream_id("e" + std::to_string(at)),
                 .versions = {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}}});
        }
        roller.on_term(7);
        roller.on_upstreams(engines, now);
    }

    /// Orders, accepts and shows one wave of loads. Returns the orders.
    std::vector<version_order> load_wave() {
        std::vector<version_order> wave;
        while (true) {
            const auto commands = roller.advance(now);
            for (const upstream_id& upstream : commands.load_requests) {
                roller.on_load(
                    upstream,
                    upstream_load{.accepted_orders = accepted[upstream]}, now);
            }
            for (const version_order& order : commands.orders) {
                ++accepted[order.upstream];
                roller.on_answer(order, order_answer::accepted, now);
                wave.push_back(order);
            }
            if (commands.load_requests.empty() && commands.orders.empty()) {
                break;
            }
        }
        now += 1s;
        for (const version_order& order : wave) {
            for (upstream_entry& engine : engines) {
                if (engine.id == order.upstream) {
                    engine.versions[order.model] = order.version;
                }
            }
        }
        roller.on_upstreams(engines, now);
        return wave;
    }

    std::size_t usable(const std::string& model) const {
        std::size_t count = 0;
        for (const upstream_entry& engine : engines) {
            count +=
                engine.versions.at(model) >= work.min_allowed_version(model);
        }
        return count;
    }

    steady_time now{1h};
    work_by_model work;
    std::vector<upstream_entry> engines;
    std::map<upstream_id, std::uint64_t> accepted;
    version_roller roller;
};

} // namespace

// On a grown site the model whose name sorts last had no engine that its job
// could use for nine seconds: the others' loads took all places.
TEST_F(several_models_test,
       burst_of_versions_gives_each_model_engines_at_once) {
    for (const std::string model : {"a", "b", "c", "d"}) {
        roller.on_wanted(model, 3);
        work.least[model] = 2;
        work.waiting.insert(model);
    }
    const auto wave = load_wave();
    EXPECT_EQ(wave.size(), 9U);
    for (const std::string model : {"a", "b", "c", "d"}) {
        EXPECT_GE(usable(model), 2U) << model;
    }
    load_wave();
    load_wave();
    for (const std::string model : {"a", "b", "c", "d"}) {
        EXPECT_GE(usable(model), 6U) << model;
    }
}

TEST_F(several_models_test, version_loads_on_its_part_of_the_engines) {
    std::size_t loads = 0;
    for (weight_version version = 2; version < 8; ++version) {
        for (const std::string model : {"a", "b", "c", "d"}) {
            roller.on_wanted(model, version);
            work.least[model] = version - 1;
            for (auto wave = load_wave(); !wave.empty(); wave = load_wave()) {
                loads += wave.size();
                for (const version_order& order : wave) {
                    EXPECT_EQ(order.model, model);
                }
            }
            // Its new job finds the engines of this version and the last.
            EXPECT_GE(usable(model), version == 2 ? 45U : 22U);
        }
    }
    // 45 engines for four models: 12 a version, rounded up.
    EXPECT_EQ(loads, 6U * 4U * 12U);
}

TEST_F(several_models_test, engines_serve_as_few_models_as_possible) {
    for (weight_version version = 2; version < 5; ++version) {
        for (const std::string model : {"a", "b", "c", "d"}) {
            roller.on_wanted(model, version);
            work.least[model] = version - 1;
            while (!load_wave().empty()) {
            }
        }
    }
    for (const upstream_entry& engine : engines) {
        std::size_t models = 0;
        for (const auto& [model, version] : engine.versions) {
            models += version >= work.min_allowed_version(model) ? 1 : 0;
        }
        EXPECT_LE(models, 3U) << engine.id.text();
    }
}

TEST_F(several_models_test, waiting_items_get_more_engines_than_the_part) {
    roller.on_wanted("d", 3);
    work.least["d"] = 3;
    work.waiting.insert("d");
    std::size_t loads = 0;
    for (auto wave = load_wave(); !wave.empty(); wave = load_wave()) {
        loads += wave.size();
    }
    EXPECT_EQ(loads, 45U);
}
