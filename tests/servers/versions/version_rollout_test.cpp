#include "servers/versions/version_rollout.hpp"

#include <gtest/gtest.h>

#include <set>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class fixed_workload final : public engine_workload {
public:
    std::size_t runs_on(const upstream_id& upstream,
                        const std::string&) const override {
        const auto found = runs.find(upstream);
        return found == runs.end() ? 0 : found->second;
    }
    weight_version min_allowed_version(const std::string&) const override {
        return oldest_allowed;
    }
    bool has_waiting(const std::string&) const override { return is_waiting; }

    std::map<upstream_id, std::size_t> runs;
    weight_version oldest_allowed = 0;
    bool is_waiting = false;
};

class version_rollout_test : public ::testing::Test {
public:
    version_rollout_test()
        : rollout({.holder = "n1"}, workload) {
        for (int at = 0; at < 9; ++at) {
            engines.push_back({.id = upstream_id("e" + std::to_string(at)),
                               .versions = {{"m", 1}}});
        }
        rollout.on_term(7);
        rollout.on_upstreams(engines, now);
    }

    void set_busy() {
        for (const upstream_entry& engine : engines) {
            workload.runs[engine.id] = 3;
        }
    }

    /// Answers load report requests and returns the orders that follow.
    std::vector<version_order> orders() {
        auto commands = rollout.advance(now);
        while (!commands.load_report_requests.empty()) {
            for (const upstream_id& upstream : commands.load_report_requests) {
                rollout.on_load_report(upstream, upstream_load_report{}, now);
            }
            auto more = rollout.advance(now);
            std::move(commands.orders.begin(), commands.orders.end(),
                      std::back_inserter(more.orders));
            commands = std::move(more);
        }
        return commands.orders;
    }

    void accept(const std::vector<version_order>& all) {
        for (const version_order& order : all) {
            rollout.on_answer(order, order_answer::accepted, now);
        }
    }

    /// Completes the loads and updates the entries of their upstreams.
    void finish(const std::vector<version_order>& all) {
        now += 1s;
        for (const version_order& order : all) {
            for (upstream_entry& engine : engines) {
                if (engine.id == order.upstream) {
                    engine.versions[order.model] = order.version;
                }
            }
        }
        rollout.on_upstreams(engines, now);
    }

    steady_time now{1h};
    fixed_workload workload;
    std::vector<upstream_entry> engines;
    version_rollout rollout;
};

} // namespace

TEST_F(version_rollout_test, idle_engines_load_in_bounded_waves) {
    rollout.on_target_version("m", 2);
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

TEST_F(version_rollout_test, busy_engines_load_until_half_are_current) {
    set_busy();
    rollout.on_target_version("m", 2);
    std::set<std::string> loaded;
    for (auto wave = orders(); !wave.empty(); wave = orders()) {
        for (const version_order& order : wave) {
            loaded.insert(order.upstream.text());
        }
        accept(wave);
        finish(wave);
    }
    EXPECT_EQ(loaded.size(), 5U);
    // The next version is loaded on the other half, which is two versions
    // behind.
    rollout.on_target_version("m", 3);
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

TEST_F(version_rollout_test, engine_too_old_for_an_open_job_loads_though_busy) {
    set_busy();
    for (std::size_t at = 0; at < 8; ++at) {
        engines[at].versions["m"] = 3;
    }
    rollout.on_upstreams(engines, now);
    rollout.on_target_version("m", 3);
    EXPECT_TRUE(orders().empty());
    workload.oldest_allowed = 2;
    const auto wave = orders();
    ASSERT_EQ(wave.size(), 1U);
    EXPECT_EQ(wave[0].upstream, engines[8].id);
}

TEST_F(version_rollout_test, order_carries_the_count_of_accepted_orders) {
    rollout.on_target_version("m", 2);
    auto commands = rollout.advance(now);
    ASSERT_FALSE(commands.load_report_requests.empty());
    EXPECT_TRUE(commands.orders.empty())
        << "the number of accepted orders is unknown before the first report";
    for (const upstream_id& upstream : commands.load_report_requests) {
        rollout.on_load_report(upstream,
                               upstream_load_report{.accepted_orders = 4}, now);
    }
    const auto wave = rollout.advance(now).orders;
    ASSERT_EQ(wave.size(), 2U);
    EXPECT_EQ(wave[0].expected_orders, 4U);
    EXPECT_EQ(wave[0].fencing, 7U);
    accept(wave);
    finish(wave);
    rollout.on_target_version("m", 3);
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
    FAIL() << "the engine got no second order";
}

TEST_F(version_rollout_test, unanswered_order_requests_a_load_report) {
    rollout.on_target_version("m", 2);
    const auto wave = orders();
    ASSERT_FALSE(wave.empty());
    rollout.on_answer(wave[0], order_answer::unknown, now);
    now += 300ms;
    const auto commands = rollout.advance(now);
    EXPECT_EQ(commands.load_report_requests,
              (std::vector<upstream_id>{wave[0].upstream}));
}

TEST_F(version_rollout_test, without_a_term_nothing_is_ordered) {
    rollout.on_target_version("m", 2);
    rollout.on_term(std::nullopt);
    const auto commands = rollout.advance(now);
    EXPECT_TRUE(commands.orders.empty());
    EXPECT_TRUE(commands.load_report_requests.empty());
    EXPECT_FALSE(rollout.next_wakeup());
}

TEST_F(version_rollout_test, accepted_order_without_effect_is_given_again) {
    set_busy();
    workload.oldest_allowed = 2;
    rollout.on_target_version("m", 2);
    const auto wave = orders();
    accept(wave);
    now += 1s;
    accept(orders());
    now += 4s;
    bool is_repeated = false;
    for (int round = 0; round < 6; ++round) {
        for (const version_order& order : orders()) {
            is_repeated = is_repeated || order.upstream == wave[0].upstream;
            rollout.on_answer(order, order_answer::accepted, now);
        }
        now += 1s;
    }
    EXPECT_TRUE(is_repeated);
}

TEST_F(version_rollout_test, wakeup_is_never_in_the_past) {
    set_busy();
    rollout.on_target_version("m", 2);
    for (int round = 0; round < 20; ++round) {
        const auto wave = orders();
        accept(wave);
        const auto next = rollout.next_wakeup();
        if (next) {
            EXPECT_GT(*next, now) << "a timer in the past causes a busy loop";
        }
        now += 250ms;
    }
}

namespace {

/// Work on engines that serve several models.
class workload_by_model final : public engine_workload {
public:
    std::size_t runs_on(const upstream_id& upstream,
                        const std::string& model) const override {
        const auto found = runs.find({upstream, model});
        return found == runs.end() ? 0 : found->second;
    }
    weight_version
    min_allowed_version(const std::string& model) const override {
        const auto found = oldest_allowed.find(model);
        return found == oldest_allowed.end() ? 0 : found->second;
    }
    bool has_waiting(const std::string& model) const override {
        return waiting.contains(model);
    }

    std::map<std::pair<upstream_id, std::string>, std::size_t> runs;
    std::map<std::string, weight_version> oldest_allowed;
    std::set<std::string> waiting;
};

/// Four models on 45 engines.
class several_models_test : public ::testing::Test {
public:
    several_models_test()
        : rollout({.holder = "n1"}, workload) {
        for (int at = 0; at < 45; ++at) {
            engines.push_back(
                {.id = upstream_id("e" + std::to_string(at)),
                 .versions = {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}}});
        }
        rollout.on_term(7);
        rollout.on_upstreams(engines, now);
    }

    /// Lets one wave of loads be ordered, accepted and completed. Returns the
    /// orders.
    std::vector<version_order> load_wave() {
        std::vector<version_order> wave;
        while (true) {
            const auto commands = rollout.advance(now);
            for (const upstream_id& upstream : commands.load_report_requests) {
                rollout.on_load_report(
                    upstream,
                    upstream_load_report{.accepted_orders = accepted[upstream]},
                    now);
            }
            for (const version_order& order : commands.orders) {
                ++accepted[order.upstream];
                rollout.on_answer(order, order_answer::accepted, now);
                wave.push_back(order);
            }
            if (commands.load_report_requests.empty() &&
                commands.orders.empty()) {
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
        rollout.on_upstreams(engines, now);
        return wave;
    }

    std::size_t usable(const std::string& model) const {
        std::size_t count = 0;
        for (const upstream_entry& engine : engines) {
            count += engine.versions.at(model) >=
                     workload.min_allowed_version(model);
        }
        return count;
    }

    steady_time now{1h};
    workload_by_model workload;
    std::vector<upstream_entry> engines;
    std::map<upstream_id, std::uint64_t> accepted;
    version_rollout rollout;
};

} // namespace

// When all models got a version at the same time, loads of the others took the
// entire loading limit, and the model whose name sorts last had no usable
// engine for nine seconds.
TEST_F(several_models_test,
       simultaneous_versions_give_each_model_engines_at_once) {
    for (const std::string model : {"a", "b", "c", "d"}) {
        rollout.on_target_version(model, 3);
        workload.oldest_allowed[model] = 2;
        workload.waiting.insert(model);
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

TEST_F(several_models_test, version_loads_on_the_models_share_of_engines) {
    std::size_t loads = 0;
    for (weight_version version = 2; version < 8; ++version) {
        for (const std::string model : {"a", "b", "c", "d"}) {
            rollout.on_target_version(model, version);
            workload.oldest_allowed[model] = version - 1;
            for (auto wave = load_wave(); !wave.empty(); wave = load_wave()) {
                loads += wave.size();
                for (const version_order& order : wave) {
                    EXPECT_EQ(order.model, model);
                }
            }
            // A new job of the model can use the engines with this version or
            // the one before.
            EXPECT_GE(usable(model), version == 2 ? 45U : 22U);
        }
    }
    // 45 engines for four models: 12 engines per version, rounded up.
    EXPECT_EQ(loads, 6U * 4U * 12U);
}

TEST_F(several_models_test, engines_serve_as_few_models_as_possible) {
    for (weight_version version = 2; version < 5; ++version) {
        for (const std::string model : {"a", "b", "c", "d"}) {
            rollout.on_target_version(model, version);
            workload.oldest_allowed[model] = version - 1;
            while (!load_wave().empty()) {
            }
        }
    }
    for (const upstream_entry& engine : engines) {
        std::size_t models = 0;
        for (const auto& [model, version] : engine.versions) {
            models += version >= workload.min_allowed_version(model) ? 1 : 0;
        }
        EXPECT_LE(models, 3U) << engine.id.text();
    }
}

TEST_F(several_models_test, waiting_items_get_more_engines_than_the_share) {
    rollout.on_target_version("d", 3);
    workload.oldest_allowed["d"] = 3;
    workload.waiting.insert("d");
    std::size_t loads = 0;
    for (auto wave = load_wave(); !wave.empty(); wave = load_wave()) {
        loads += wave.size();
    }
    EXPECT_EQ(loads, 45U);
}

// Load pattern: a holder that ordered some engines a moment ago, before another
// holder, has the term again while new versions come. Only those engines wait.
TEST_F(version_rollout_test, delayed_engines_wait_while_others_load) {
    const steady_time delayed_until = now + 30s;
    rollout.on_term(9, {.upstreams = {{upstream_id("e0"), delayed_until},
                                      {upstream_id("e1"), delayed_until}}});
    rollout.on_target_version("m", 2);
    std::set<std::string> loaded;
    for (auto wave = orders(); !wave.empty(); wave = orders()) {
        for (const version_order& order : wave) {
            loaded.insert(order.upstream.text());
        }
        accept(wave);
        finish(wave);
    }
    EXPECT_EQ(loaded.size(), 7U);
    EXPECT_FALSE(loaded.contains("e0"));
    EXPECT_FALSE(loaded.contains("e1"));
    EXPECT_EQ(rollout.next_wakeup(), delayed_until);
    now = delayed_until;
    EXPECT_EQ(orders().size(), 2U);
}

// Guards against a roll-out that isn't woken when its first orders may be sent.
TEST_F(version_rollout_test, delay_of_all_engines_ends_with_a_wakeup) {
    rollout.on_term(9, {.all_until = now + 2s});
    rollout.on_target_version("m", 2);
    EXPECT_TRUE(orders().empty());
    EXPECT_EQ(rollout.next_wakeup(), now + 2s);
    now += 2s;
    EXPECT_EQ(orders().size(), 2U);
}
