#include "servers/fleet/upstream_paths.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

endpoint upstream_at(int number) {
    return {.address = "10.0.0." + std::to_string(number), .port = 80};
}

instance_id peer_named(const std::string& zone, int number) {
    return instance_id(zone + std::to_string(number));
}

/// Replays connections of an instance in zone "a" with five upstreams and three
/// peers in each of the zones a, b and c.
class upstream_paths_test : public ::testing::Test {
public:
    upstream_paths_test() {
        std::vector<endpoint> upstreams;
        for (int i = 1; i <= upstream_count; ++i) {
            upstreams.push_back(upstream_at(i));
        }
        paths.set_upstreams(upstreams);
        std::vector<path_peer> peers;
        for (const std::string zone : {"a", "b", "c"}) {
            for (int i = 1; i <= 3; ++i) {
                peers.push_back({.instance = peer_named(zone, i),
                                 .zone = availability_zone(zone)});
            }
        }
        paths.set_peers(peers);
    }

    /// Opens a connection as a connector does. Returns the peer that it leads
    /// through, an empty id if it is direct, or nothing if it failed.
    std::optional<instance_id> connect(const endpoint& upstream) {
        ++connections;
        const path_choice choice = paths.choose(upstream, now);
        if (choice == path_choice::none) {
            return std::nullopt;
        }
        if (choice == path_choice::direct_first) {
            ++directs;
            if (!direct_down.contains(to_text(upstream))) {
                paths.on_direct_established(upstream, now);
                return instance_id();
            }
            now += is_refused ? 1ms : 300ms;
            paths.on_direct_failed(upstream, now);
        }
        for (const instance_id& peer : paths.peers_to_ask(upstream, now)) {
            ++asked[peer];
            now += 2ms;
            if (isolated_peers.contains(peer)) {
                paths.on_peer_failed(upstream, peer, peer_failure::isolated,
                                     now);
                continue;
            }
            if (peers_down.contains(to_text(upstream))) {
                paths.on_peer_failed(upstream, peer, peer_failure::unreachable,
                                     now);
                break;
            }
            paths.on_peer_reached(upstream, peer, now);
            return peer;
        }
        return std::nullopt;
    }

    void cut_all() {
        for (int i = 1; i <= upstream_count; ++i) {
            direct_down.insert(to_text(upstream_at(i)));
        }
    }

    /// Connects to each upstream once.
    void connect_all() {
        for (int i = 1; i <= upstream_count; ++i) {
            connect(upstream_at(i));
        }
    }

    /// Lets time pass with probes. Returns how many were made.
    int probe_for(std::chrono::milliseconds time) {
        int probes = 0;
        const steady_time end = now + time;
        while (now < end) {
            now += 50ms;
            if (const auto probed = paths.next_probe(now)) {
                ++probes;
                EXPECT_FALSE(paths.next_probe(now)) << "one probe at a time";
                paths.on_probe_ended(
                    *probed, !direct_down.contains(to_text(*probed)), now);
            }
        }
        return probes;
    }

    static constexpr int upstream_count = 5;
    seeded_random_source random{7};
    upstream_paths paths{
        {.self = instance_id("a0"), .zone = availability_zone("a")}, random};
    steady_time now{1h};
    bool is_refused = false;
    std::set<std::string> direct_down;
    std::set<std::string> peers_down;
    std::set<instance_id> isolated_peers;
    std::map<instance_id, int> asked;
    int directs = 0;
    int connections = 0;
};

} // namespace

TEST_F(upstream_paths_test, healthy_upstreams_are_connected_directly) {
    for (int i = 0; i < 10; ++i) {
        connect_all();
    }
    EXPECT_TRUE(asked.empty());
    EXPECT_FALSE(paths.is_isolated());
    EXPECT_TRUE(paths.may_reuse(upstream_at(1), true, paths.epoch(), now));
}

TEST_F(upstream_paths_test, hanging_connections_isolate_after_three_upstreams) {
    connect_all();
    const std::uint64_t before = paths.epoch();
    cut_all();
    for (int i = 1; i <= 3; ++i) {
        EXPECT_FALSE(paths.is_isolated());
        EXPECT_TRUE(connect(upstream_at(i)))
            << "the first requests go on through a peer as well";
    }
    EXPECT_TRUE(paths.is_isolated());
    EXPECT_EQ(paths.evidence().upstreams_reached_by_peers, 3U);
    EXPECT_FALSE(paths.may_reuse(upstream_at(4), true, before, now))
        << "idle connections may hang";
    const int directs_before = directs;
    const steady_time begin = now;
    connect_all();
    EXPECT_EQ(directs, directs_before) << "no connection waits any more";
    EXPECT_LT(now - begin, 100ms);
}

TEST_F(upstream_paths_test, refused_connections_isolate_as_well) {
    connect_all();
    cut_all();
    is_refused = true;
    const steady_time begin = now;
    for (int i = 1; i <= 3; ++i) {
        EXPECT_TRUE(connect(upstream_at(i)));
    }
    EXPECT_TRUE(paths.is_isolated());
    EXPECT_LT(now - begin, 100ms);
}

// Established connections that live on say nothing about new ones.
TEST_F(upstream_paths_test, answers_on_old_connections_dont_prevent_isolation) {
    connect_all();
    cut_all();
    is_refused = true;
    for (int i = 1; i <= 3; ++i) {
        paths.on_answered(upstream_at(5), now);
        EXPECT_TRUE(connect(upstream_at(i)));
        paths.on_answered(upstream_at(4), now);
    }
    EXPECT_TRUE(paths.is_isolated());
}

TEST_F(upstream_paths_test, upstream_that_no_peer_reaches_is_left_alone) {
    connect_all();
    const std::string down = to_text(upstream_at(1));
    direct_down.insert(down);
    peers_down.insert(down);
    int total = 0;
    for (int i = 0; i < 20; ++i) {
        EXPECT_FALSE(connect(upstream_at(1)));
        EXPECT_TRUE(connect(upstream_at(2)));
        now += 10ms;
    }
    for (const auto& [peer, count] : asked) {
        total += count;
    }
    EXPECT_LE(total, 5) << "peers aren't asked for it again and again";
    EXPECT_FALSE(paths.is_isolated());
    EXPECT_FALSE(paths.is_suspect(now));
}

TEST_F(upstream_paths_test, link_to_one_upstream_isolates_only_that_upstream) {
    connect_all();
    direct_down.insert(to_text(upstream_at(1)));
    EXPECT_TRUE(connect(upstream_at(1)));
    const int directs_before = directs;
    EXPECT_TRUE(connect(upstream_at(1)));
    EXPECT_EQ(directs, directs_before) << "the path through a peer is kept";
    EXPECT_EQ(paths.choose(upstream_at(2), now), path_choice::direct_first);
    EXPECT_FALSE(paths.is_isolated());
    direct_down.clear();
    now += 2s;
    EXPECT_EQ(connect(upstream_at(1)), instance_id()) << "direct again";
}

TEST_F(upstream_paths_test, loss_of_all_upstreams_is_no_isolation) {
    connect_all();
    cut_all();
    peers_down = direct_down;
    for (int i = 0; i < 10; ++i) {
        connect_all();
    }
    EXPECT_FALSE(paths.is_isolated());
    EXPECT_TRUE(paths.is_suspect(now));
    int total = 0;
    for (const auto& [peer, count] : asked) {
        total += count;
    }
    EXPECT_LE(total, connections / 2) << "peers must not be flooded";
}

// Its peers may be cut off too and not know it yet: each says that it reaches
// no upstream.
TEST_F(upstream_paths_test, loss_of_all_upstreams_asks_few_isolated_peers) {
    connect_all();
    cut_all();
    for (const std::string zone : {"a", "b", "c"}) {
        for (int i = 1; i <= 3; ++i) {
            isolated_peers.insert(peer_named(zone, i));
        }
    }
    const steady_time begin = now;
    for (int i = 0; i < 20; ++i) {
        connect_all();
    }
    int total = 0;
    for (const auto& [peer, count] : asked) {
        total += count;
    }
    const auto rounds = (now - begin) / 1'500ms + 1;
    EXPECT_LE(total, 9 * rounds) << "each peer is asked once in a hold time";
    EXPECT_FALSE(paths.is_isolated());
}

TEST_F(upstream_paths_test, cut_zone_finds_peers_in_other_zones) {
    connect_all();
    cut_all();
    for (int i = 1; i <= 3; ++i) {
        isolated_peers.insert(peer_named("a", i));
    }
    for (int round = 0; round < 20; ++round) {
        for (int i = 1; i <= upstream_count; ++i) {
            const auto peer = connect(upstream_at(i));
            ASSERT_TRUE(peer) << "round " << round;
            EXPECT_NE(peer->text().front(), 'a');
        }
    }
    EXPECT_TRUE(paths.is_isolated());
    int own_zone = 0;
    for (const auto& [peer, count] : asked) {
        own_zone += peer.text().front() == 'a' ? count : 0;
    }
    EXPECT_LE(own_zone, 9) << "refusals are remembered";
}

TEST_F(upstream_paths_test, tunnels_are_spread_over_several_peers) {
    connect_all();
    cut_all();
    for (int round = 0; round < 40; ++round) {
        connect_all();
    }
    std::size_t used = 0;
    int most = 0;
    int total = 0;
    for (const auto& [peer, count] : asked) {
        used += count >= 20 ? 1 : 0;
        most = std::max(most, count);
        total += count;
    }
    EXPECT_GE(used, 4U);
    EXPECT_LE(most, total / 2);
}

TEST_F(upstream_paths_test, busy_peer_is_left_alone_for_a_while) {
    connect_all();
    cut_all();
    connect_all();
    const auto first = paths.peers_to_ask(upstream_at(1), now);
    ASSERT_FALSE(first.empty());
    for (const instance_id& peer : first) {
        paths.on_peer_failed(upstream_at(1), peer, peer_failure::busy, now);
    }
    for (const instance_id& peer : paths.peers_to_ask(upstream_at(1), now)) {
        EXPECT_EQ(std::count(first.begin(), first.end(), peer), 0);
    }
}

TEST_F(upstream_paths_test, upstream_down_during_isolation_is_refused_at_once) {
    connect_all();
    cut_all();
    connect_all();
    ASSERT_TRUE(paths.is_isolated());
    peers_down.insert(to_text(upstream_at(2)));
    EXPECT_FALSE(connect(upstream_at(2)));
    EXPECT_EQ(paths.choose(upstream_at(2), now), path_choice::none);
    EXPECT_EQ(paths.choose(upstream_at(3), now), path_choice::peers_only);
    now += 2s;
    EXPECT_EQ(paths.choose(upstream_at(2), now), path_choice::peers_only)
        << "it may be back";
}

TEST_F(upstream_paths_test, end_of_the_cut_is_found_by_few_probes) {
    connect_all();
    cut_all();
    connect_all();
    ASSERT_TRUE(paths.is_isolated());
    const std::uint64_t during = paths.epoch();
    const int probes = probe_for(10s);
    EXPECT_GE(probes, 5);
    EXPECT_LE(probes, 15);
    EXPECT_TRUE(paths.is_isolated());
    direct_down.clear();
    const int last_probes = probe_for(3s);
    EXPECT_FALSE(paths.is_isolated());
    EXPECT_EQ(last_probes, 2) << "one success may be chance";
    EXPECT_FALSE(paths.may_reuse(upstream_at(1), false, during, now))
        << "tunnels aren't kept";
    EXPECT_EQ(connect(upstream_at(1)), instance_id());
}

TEST_F(upstream_paths_test, probe_that_fails_between_two_keeps_the_isolation) {
    connect_all();
    cut_all();
    connect_all();
    const auto probe = [&](bool is_established) {
        std::optional<endpoint> probed;
        while (!probed) {
            now += 50ms;
            probed = paths.next_probe(now);
        }
        paths.on_probe_ended(*probed, is_established, now);
    };
    probe(true);
    probe(false);
    probe(true);
    EXPECT_TRUE(paths.is_isolated());
    probe(true);
    EXPECT_FALSE(paths.is_isolated());
}

// Repeatable requests may be sent on idle connections, which hang in a cut.
TEST_F(upstream_paths_test, silent_connections_stop_the_reuse_of_others) {
    connect_all();
    const std::uint64_t epoch = paths.epoch();
    paths.on_answered(upstream_at(5), now);
    now += 100ms;
    paths.on_unanswered(upstream_at(1), now);
    EXPECT_FALSE(paths.may_reuse(upstream_at(1), true, epoch, now));
    EXPECT_TRUE(paths.may_reuse(upstream_at(3), true, epoch, now))
        << "one upstream may be slow";
    paths.on_unanswered(upstream_at(2), now);
    EXPECT_FALSE(paths.may_reuse(upstream_at(3), true, epoch, now));
    now += 10ms;
    paths.on_answered(upstream_at(4), now);
    EXPECT_TRUE(paths.may_reuse(upstream_at(3), true, epoch, now));
}

TEST_F(upstream_paths_test, failed_new_connections_stop_the_reuse_of_old_ones) {
    connect_all();
    const std::uint64_t epoch = paths.epoch();
    now += 1ms;
    paths.on_direct_failed(upstream_at(1), now);
    paths.on_direct_failed(upstream_at(2), now);
    EXPECT_FALSE(paths.may_reuse(upstream_at(3), true, epoch, now));
    now += 1ms;
    paths.on_direct_established(upstream_at(3), now);
    EXPECT_TRUE(paths.may_reuse(upstream_at(3), true, epoch, now));
}

TEST_F(upstream_paths_test, instance_without_peers_connects_directly) {
    paths.set_peers({});
    cut_all();
    connect_all();
    EXPECT_FALSE(paths.is_isolated());
    EXPECT_EQ(paths.choose(upstream_at(1), now), path_choice::direct_first);
    EXPECT_FALSE(paths.max_direct_time(upstream_at(1)))
        << "only the request's deadline ends the attempt";
}

TEST_F(upstream_paths_test, unlisted_address_counts_for_nothing) {
    const endpoint other{.address = "10.9.9.9", .port = 1};
    direct_down.insert(to_text(other));
    for (int i = 0; i < 10; ++i) {
        EXPECT_FALSE(connect(other));
    }
    EXPECT_TRUE(asked.empty());
    EXPECT_FALSE(paths.is_suspect(now));
}

TEST_F(upstream_paths_test, single_upstream_is_enough_if_no_other_is_listed) {
    paths.set_upstreams({upstream_at(1)});
    cut_all();
    EXPECT_TRUE(connect(upstream_at(1)));
    EXPECT_TRUE(paths.is_isolated());
}

TEST_F(upstream_paths_test, time_for_the_direct_path_leaves_time_for_a_peer) {
    EXPECT_EQ(paths.direct_time(10s), 300ms);
    EXPECT_EQ(paths.direct_time(200ms), 100ms);
    EXPECT_EQ(paths.direct_time(10ms), 40ms);
}
