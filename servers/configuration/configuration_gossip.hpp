#pragma once

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "servers/configuration/configuration_message.hpp"
#include "servers/configuration/configuration_table.hpp"
#include "servers/configuration/instance_directory.hpp"
#include "servers/control_server.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace savorydock {

/// The gossip protocol that distributes revisions between instances: sends
/// digests, pulls from peers that hold newer revisions and answers the pulls of
/// peers that hold older ones. Stores no documents itself; it records the
/// claims of peers, that is the highest revision that each has reported.
/// Not thread safe. The random source must outlive it.
class configuration_gossip {
public:
    static constexpr std::chrono::milliseconds digest_interval{1'000};
    static constexpr std::chrono::milliseconds pull_timeout{1'000};
    /// Random peers that get a digest of a new revision at once, in addition to
    /// the claim recorders.
    static constexpr std::size_t announce_peer_count = 2;
    static constexpr std::size_t max_delta_bytes = 262'144;

    configuration_gossip(instance_id self, random_source& random)
        : self_(std::move(self))
        , random_(random) {}

    /// Sends a digest to a random peer if one is due. Gives up a pull that got
    /// no answer in time, and pulls from another peer if one is known to be
    /// ahead.
    void on_tick(const instance_directory& directory,
                 const configuration_table& table, bool is_starting,
                 steady_time now, command_list& out);

    /// Sends a digest of a new revision to the claim recorders and a few random
    /// peers.
    void announce(const instance_directory& directory,
                  const configuration_table& table, command_list& out);

    /// Requests a peer's digest, for an instance that is starting.
    void send_hello(const instance_id& peer, command_list& out);

    void on_digest(const instance_id& peer,
                   const configuration_message& message,
                   const configuration_table& table, bool is_starting,
                   steady_time now, command_list& out);
    void on_hello(const instance_id& peer, const configuration_table& table,
                  bool is_starting, command_list& out);
    void on_pull(const instance_id& peer, const configuration_message& message,
                 const configuration_table& table, command_list& out);

    /// Called after the delta from `peer` was processed. Pulls again if a patch
    /// could not be applied because its base is missing (`lacks_patch_base`),
    /// or if the delta did not hold all newer revisions.
    void on_delta_applied(const instance_id& peer,
                          const configuration_message& message,
                          bool lacks_patch_base,
                          const configuration_table& table, steady_time now,
                          command_list& out);

    [[nodiscard]] std::uint64_t messages_sent() const { return messages_; }
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_; }

    /// Drops the claims of instances that have left and whose retention time
    /// has passed.
    void drop_expired_claims(const instance_directory& directory,
                             steady_time now);

private:
    struct claim {
        store_revision revision = 0;
        steady_time last_digest_at{};
    };
    struct pull {
        instance_id peer;
        steady_time sent_at{};
    };

    void send(const instance_id& peer, const configuration_message& message,
              command_list& out);
    void send_digest(const instance_id& peer, const configuration_table& table,
                     bool is_starting, command_list& out);
    void send_pull(const instance_id& peer, store_revision from,
                   bool wants_full_texts, steady_time now, command_list& out);
    bool request_valid_revisions(const instance_directory& directory,
                                 const configuration_table& table,
                                 steady_time now, command_list& out);

    instance_id self_;
    random_source& random_;
    std::map<instance_id, claim> claims_;
    std::optional<pull> pull_;
    /// A peer that reported newer revisions while another pull was pending.
    instance_id ahead_peer_;
    store_revision ahead_complete_through_ = 0;
    steady_time next_digest_{};
    std::uint32_t valid_revision_requests_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
};

} // namespace savorydock
