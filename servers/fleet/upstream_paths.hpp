#pragma once

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/random_source.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

struct upstream_paths_options {
    instance_id self;
    availability_zone zone;
    /// How long a direct connection may take before peers are asked.
    std::chrono::milliseconds direct_time{300};
    std::chrono::milliseconds min_direct_time{40};
    /// How long a direct connection may take in all if peers exist.
    std::chrono::milliseconds max_direct_time{1'000};
    /// Failures count for this long.
    std::chrono::milliseconds evidence_time{5'000};
    /// Distinct upstreams that only peers reach, for an isolation. Fewer if
    /// fewer are listed.
    std::size_t isolation_upstreams = 3;
    /// Probes in a row that must succeed to end an isolation.
    std::size_t probes_to_end = 2;
    std::chrono::milliseconds probe_interval{400};
    std::chrono::milliseconds max_probe_interval{1'500};
    /// How long an upstream keeps a path after a failure. Doubles with each
    /// failure in a row.
    std::chrono::milliseconds hold_time{1'000};
    std::chrono::milliseconds max_hold_time{4'000};
    /// How long a peer isn't asked again.
    std::chrono::milliseconds busy_peer_time{500};
    std::chrono::milliseconds failed_peer_time{2'000};
    /// A peer that opened a tunnel within this time is asked before others.
    std::chrono::milliseconds recent_time{10'000};
    /// Peers over which tunnels are spread.
    std::size_t spread = 4;
    /// Peers that are asked for one connection.
    std::size_t max_peers_asked = 3;
};

/// An instance that may open tunnels for this one.
struct path_peer {
    instance_id instance;
    availability_zone zone;
};

enum class path_choice : std::uint8_t {
    /// Connect to the upstream; ask peers if that isn't done in time.
    direct_first,
    /// Ask peers only.
    peers_only,
    /// No path leads to the upstream now.
    none,
};

/// How a peer answered, as far as the choice of paths is concerned.
enum class peer_failure : std::uint8_t {
    /// It can't reach the upstream, but reaches others.
    unreachable,
    /// It reaches no upstream.
    isolated,
    /// Its limits are reached.
    busy,
    /// It didn't answer, or not as expected.
    lost,
};

/// What an isolation was concluded from.
struct isolation_evidence {
    std::size_t upstreams_failed = 0;
    std::size_t upstreams_reached_by_peers = 0;
    /// Time since a direct connection was last established, if any was.
    std::optional<std::chrono::milliseconds> since_success;
};

/// Decides which way new connections to upstreams take: direct, or through a
/// tunnel that a peer opens, and which idle connections may be reused.
///
/// Load pattern: an instance loses its links to all upstreams for seconds while
/// callers, the store and its peers still reach it. Connections hang, are
/// refused, or established ones live on while new ones are refused. The
/// platform keeps sending it callers, so each request would wait for its
/// deadline or fail. Several such instances, or a whole zone, may be cut off at
/// once. It must be told apart from the failure of an upstream, which no peer
/// reaches either, and of all upstreams.
///
/// An upstream that isn't connected in time is reached through a peer for a
/// hold time. After several distinct upstreams in a row that only peers reach,
/// with no direct connection established in between, the instance is isolated:
/// all connections lead through peers, and one direct probe at a time looks for
/// the end of the cut. An upstream that a peer can't reach either isn't asked
/// for again during a hold time. Connections of an earlier epoch aren't reused;
/// each begin and end of an isolation starts a new epoch.
///
/// Addresses that aren't listed take the direct path and count for nothing. Not
/// thread safe.
class upstream_paths {
public:
    /// `random` must outlive this object.
    upstream_paths(upstream_paths_options options, random_source& random);

    /// Replaces the list of peers. What is known of those that stay is kept.
    void set_peers(const std::vector<path_peer>& peers);
    /// Replaces the list of upstreams, likewise.
    void set_upstreams(const std::vector<endpoint>& upstreams);

    [[nodiscard]] bool is_listed(const endpoint& upstream) const;

    [[nodiscard]] path_choice choose(const endpoint& upstream,
                                     steady_time now) const;
    /// How long a direct connection may take before peers are asked, if
    /// `time_left` remains for the connection.
    [[nodiscard]] std::chrono::milliseconds
    direct_time(std::chrono::milliseconds time_left) const;
    /// How long a direct connection may take in all; nothing if there is no
    /// other limit than the request's deadline.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    max_direct_time(const endpoint& upstream) const;
    /// The peers to ask for the next connection, in this order. Empty if none
    /// should be asked. Rotates, to spread the tunnels over the peers.
    [[nodiscard]] std::vector<instance_id>
    peers_to_ask(const endpoint& upstream, steady_time now);

    void on_direct_established(const endpoint& upstream, steady_time now);
    /// A direct connection was refused or not established in time.
    void on_direct_failed(const endpoint& upstream, steady_time now);
    void on_peer_reached(const endpoint& upstream, const instance_id& peer,
                         steady_time now);
    void on_peer_failed(const endpoint& upstream, const instance_id& peer,
                        peer_failure how, steady_time now);
    /// The upstream answered on a connection.
    void on_answered(const endpoint& upstream, steady_time now);
    /// A request got no byte of an answer in time.
    void on_unanswered(const endpoint& upstream, steady_time now);

    /// Whether an idle connection may be reused. `epoch` is the value of
    /// `epoch()` when it was opened.
    [[nodiscard]] bool may_reuse(const endpoint& upstream, bool is_direct,
                                 std::uint64_t epoch, steady_time now) const;
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

    /// The upstream to which a direct connection should be tried now, to find
    /// the end of an isolation. Its end must be reported by `on_probe_ended`.
    [[nodiscard]] std::optional<endpoint> next_probe(steady_time now);
    void on_probe_ended(const endpoint& upstream, bool is_established,
                        steady_time now);

    /// Whether only peers reach upstreams.
    [[nodiscard]] bool is_isolated() const { return is_isolated_; }
    /// Whether failures of this instance may be its own: it is isolated, or
    /// direct connections to several upstreams failed since one succeeded.
    [[nodiscard]] bool is_suspect(steady_time now) const;
    /// What the last isolation was concluded from.
    [[nodiscard]] const isolation_evidence& evidence() const {
        return evidence_;
    }

private:
    struct upstream_state {
        endpoint address;
        /// Unset once a direct connection was established.
        std::optional<steady_time> direct_failed_at;
        /// Whether a peer reached it after that failure.
        bool is_reached_by_peer = false;
        /// Until then peers are asked first.
        steady_time direct_retry_at{};
        std::chrono::milliseconds direct_hold{0};
        /// Until then no peers are asked.
        steady_time unreachable_until{};
        std::chrono::milliseconds unreachable_hold{0};
        /// Unset by the next answer.
        std::optional<steady_time> unanswered_at;
    };
    struct peer_state {
        availability_zone zone;
        std::uint64_t hash = 0;
        steady_time blocked_until{};
        std::optional<steady_time> succeeded_at;
    };

    [[nodiscard]] upstream_state* find(const endpoint& upstream);
    [[nodiscard]] const upstream_state* find(const endpoint& upstream) const;
    [[nodiscard]] bool is_recent(const std::optional<steady_time>& time,
                                 steady_time now) const;
    [[nodiscard]] std::size_t at_most_listed(std::size_t wanted) const;
    [[nodiscard]] bool are_connections_silent(steady_time now) const;
    [[nodiscard]] bool has_free_peer(steady_time now) const;
    [[nodiscard]] std::chrono::milliseconds
    next_hold(std::chrono::milliseconds& hold);
    [[nodiscard]] std::chrono::milliseconds
    jittered(std::chrono::milliseconds time);
    void conclude(steady_time now);
    void end_isolation();

    upstream_paths_options options_;
    random_source& random_;
    std::map<std::string, upstream_state> upstreams_;
    std::map<instance_id, peer_state> peers_;
    std::optional<steady_time> last_established_at_;
    std::optional<steady_time> last_answered_at_;
    std::uint64_t epoch_ = 0;
    std::uint64_t rotation_ = 0;
    bool is_isolated_ = false;
    isolation_evidence evidence_;
    steady_time probe_at_{};
    bool is_probing_ = false;
    std::chrono::milliseconds probe_delay_{0};
    std::size_t probes_succeeded_ = 0;
    std::string last_probed_;
};

} // namespace savorydock
