#include "servers/configuration/configuration_gossip.hpp"

#include "core/wire_codec.hpp"

#include <algorithm>

namespace savorydock {

namespace {

using enum configuration_message_kind;

/// How long the claim of an instance that has left is kept, in case it comes
/// back.
constexpr std::chrono::hours claim_retention{1};
/// Limit of pulls for a valid revision that precedes a faulty one.
constexpr std::uint32_t max_valid_revision_requests = 5;

} // namespace

void configuration_gossip::on_tick(const instance_directory& directory,
                                   const configuration_table& table,
                                   bool is_starting, steady_time now,
                                   command_list& out) {
    if (pull_ && now - pull_->sent_at >= pull_timeout) {
        pull_.reset();
        if (ahead_complete_through_ > table.complete_through()) {
            send_pull(ahead_peer_, table.complete_through(), false, now, out);
            ahead_complete_through_ = 0;
        }
    }
    if (now < next_digest_) {
        return;
    }
    // 0.75 to 1.25 of the interval, so that peers don't synchronize.
    const auto half = static_cast<std::uint64_t>(digest_interval.count() / 2);
    next_digest_ = now + digest_interval * 3 / 4 +
                   std::chrono::milliseconds(random_.below(half));
    if (request_valid_revisions(directory, table, now, out) || is_starting) {
        return;
    }
    for (const instance_id& peer : directory.pick_random(1, random_)) {
        send_digest(peer, table, false, out);
    }
}

void configuration_gossip::announce(const instance_directory& directory,
                                    const configuration_table& table,
                                    command_list& out) {
    valid_revision_requests_ = 0;
    std::vector<instance_id> recipients = directory.claim_recorders();
    for (const instance_id& peer :
         directory.pick_random(announce_peer_count, random_)) {
        if (std::find(recipients.begin(), recipients.end(), peer) ==
            recipients.end()) {
            recipients.push_back(peer);
        }
    }
    for (const instance_id& peer : recipients) {
        send_digest(peer, table, false, out);
    }
}

void configuration_gossip::send_hello(const instance_id& peer,
                                      command_list& out) {
    send(peer, {.kind = hello, .is_starting = true}, out);
}

void configuration_gossip::on_digest(const instance_id& peer,
                                     const configuration_message& message,
                                     const configuration_table& table,
                                     bool is_starting, steady_time now,
                                     command_list& out) {
    if (!message.is_starting) {
        claim& last = claims_[peer];
        last.revision = std::max(last.revision, message.complete_through);
        last.last_digest_at = now;
    }
    const store_revision own = table.complete_through();
    if (message.complete_through < own && !message.is_starting) {
        send_digest(peer, table, is_starting, out);
        return;
    }
    if (message.complete_through <= own) {
        return;
    }
    if (pull_) {
        if (message.complete_through > ahead_complete_through_) {
            ahead_peer_ = peer;
            ahead_complete_through_ = message.complete_through;
        }
        return;
    }
    send_pull(peer, own, false, now, out);
}

void configuration_gossip::on_hello(const instance_id& peer,
                                    const configuration_table& table,
                                    bool is_starting, command_list& out) {
    send_digest(peer, table, is_starting, out);
}

void configuration_gossip::on_pull(const instance_id& peer,
                                   const configuration_message& message,
                                   const configuration_table& table,
                                   command_list& out) {
    configuration_delta part =
        table.delta(message.from, message.wants_full_texts, max_delta_bytes);
    send(peer,
         {.kind = delta,
          .complete_through = table.complete_through(),
          .from = message.from,
          .to = part.to,
          .entries = std::move(part.entries)},
         out);
}

void configuration_gossip::on_delta_applied(
    const instance_id& peer, const configuration_message& message,
    bool lacks_patch_base, const configuration_table& table, steady_time now,
    command_list& out) {
    if (pull_ && pull_->peer == peer) {
        pull_.reset();
    }
    const store_revision own = table.complete_through();
    if (pull_) {
        return;
    }
    if (lacks_patch_base || message.complete_through > own) {
        send_pull(peer, own, lacks_patch_base, now, out);
    } else if (ahead_complete_through_ > own) {
        send_pull(ahead_peer_, own, false, now, out);
    }
    ahead_complete_through_ = 0;
}

void configuration_gossip::send(const instance_id& peer,
                                const configuration_message& message,
                                command_list& out) {
    peer_message sent{.from = self_,
                      .to = peer,
                      .topic = peer_topic::configuration,
                      .body = wire::encode(message)};
    ++messages_;
    bytes_ += sent.body.size();
    out.push_back(std::move(sent));
}

void configuration_gossip::send_digest(const instance_id& peer,
                                       const configuration_table& table,
                                       bool is_starting, command_list& out) {
    const auto claimed = claims_.find(peer);
    send(peer,
         {.kind = digest,
          .complete_through = table.complete_through(),
          .is_starting = is_starting,
          .claimed_by_receiver =
              claimed == claims_.end() ? 0 : claimed->second.revision},
         out);
}

void configuration_gossip::send_pull(const instance_id& peer,
                                     store_revision from, bool wants_full_texts,
                                     steady_time now, command_list& out) {
    pull_ = pull{.peer = peer, .sent_at = now};
    send(peer,
         {.kind = configuration_message_kind::pull,
          .complete_through = from,
          .wants_full_texts = wants_full_texts,
          .from = from},
         out);
}

// The store keeps only the latest revision of a service. If that one is faulty,
// the last valid one is available from peers only.
bool configuration_gossip::request_valid_revisions(
    const instance_directory& directory, const configuration_table& table,
    steady_time now, command_list& out) {
    if (pull_ || !table.lacks_valid_revision() ||
        valid_revision_requests_ >= max_valid_revision_requests) {
        return false;
    }
    ++valid_revision_requests_;
    for (const instance_id& peer : directory.pick_random(1, random_)) {
        send_pull(peer, 0, true, now, out);
    }
    return true;
}

void configuration_gossip::drop_expired_claims(
    const instance_directory& directory, steady_time now) {
    std::erase_if(claims_, [&](const auto& entry) {
        return !directory.knows(entry.first) &&
               now - entry.second.last_digest_at > claim_retention;
    });
}

} // namespace savorydock
