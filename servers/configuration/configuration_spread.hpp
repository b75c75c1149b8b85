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

/// Whom to tell what: the digests that an instance sends, its pulls from
/// peers ahead and the deltas for peers behind. Holds no documents itself.
/// Not thread safe. The random source must outlive it.
class configuration_spread {
public:
    static constexpr std::chrono::milliseconds digest_interval{1'000};
    static constexpr std::chrono::milliseconds pull_timeout{1'000};
    /// Random peers, beside the keepers, told of a new revision at once.
    static constexpr std::size_t push_count = 2;
    static constexpr std::size_t max_delta_bytes = 262'144;

    configuration_spread(instance_id self, random_source& random)
        : self_(std::move(self))
        , random_(random) {}

    /// Tells a random peer the digest when it is time to.
    void on_tick(const instance_directory& directory,
                 const configuration_table& table, bool is_starting,
                 steady_time now, command_list& out);

    /// Tells the keepers and a few peers of a new revision.
    void push(const instance_directory& directory,
              const configuration_table& table, command_list& out);

    /// Asks a peer for its digest, for an instance that starts.
    void greet(const instance_id& peer, command_list& out);

    void on_digest(const instance_id& peer,
                   const configuration_message& message,
                   const configuration_table& table, bool is_starting,
                   steady_time now, command_list& out);
    void on_hello(const instance_id& peer, const configuration_table& table,
                  bool is_starting, command_list& out);
    void on_pull(const instance_id& peer, const configuration_message& message,
                 const configuration_table& table, command_list& out);

    /// The delta that `peer` sent is dealt with. If it could not be applied
    /// for want of whole texts, or left some out, the next pull follows.
    void on_delta_applied(const instance_id& peer,
                          const configuration_message& message,
                          bool lacks_texts, const configuration_table& table,
                          steady_time now, command_list& out);

    [[nodiscard]] std::uint64_t messages_sent() const { return messages_; }
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_; }

    /// Forgets the claims of instances that nobody knows any more.
    void forget_unknown(const instance_directory& directory, steady_time now);

private:
    struct claim {
        store_revision revision = 0;
        steady_time heard{};
    };
    struct pull {
        instance_id peer;
        steady_time since{};
    };

    void send(const instance_id& peer, const configuration_message& message,
              command_list& out);
    void send_digest(const instance_id& peer, const configuration_table& table,
                     bool is_starting, command_list& out);
    void send_pull(const instance_id& peer, store_revision from,
                   bool wants_whole_texts, steady_time now, command_list& out);
    bool ask_for_good_revisions(const instance_directory& directory,
                                const configuration_table& table,
                                steady_time now, command_list& out);

    instance_id self_;
    random_source& random_;
    std::map<instance_id, claim> claims_;
    std::optional<pull> pull_;
    /// A peer known to be further ahead than the one being pulled from.
    instance_id ahead_;
    store_revision ahead_through_ = 0;
    steady_time next_digest_{};
    std::uint32_t good_revision_asks_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
};

} // namespace savorydock
