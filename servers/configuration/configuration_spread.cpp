#include "servers/configuration/configuration_spread.hpp"

#include "core/wire_codec.hpp"

#include <algorithm>

namespace savorydock {

namespace {

using enum configuration_message_kind;

/// Claims of instances that are gone are kept this long for their return.
constexpr std::chrono::hours claim_memory{1};
/// Pulls for a good revision below a faulty one, before it is given up.
constexpr std::uint32_t max_good_revision_asks = 5;

} // namespace

void configuration_spread::on_tick(const instance_directory& directory,
                                   const configuration_table& table,
                                   bool is_starting, steady_time now,
                                   command_list& out) {
    if (pull_ && now - pull_->since >= pull_timeout) {
        pull_.reset();
        if (ahead_through_ > table.complete_through()) {
            send_pull(ahead_, table.complete_through(), false, now, out);
            ahead_through_ = 0;
        }
    }
    if (now < next_digest_) {
        return;
    }
    // Between 0.75 and 1.25 of the interval, so that peers don't fall in step.
    const auto half = static_cast<std::uint64_t>(digest_interval.count() / 2);
    next_digest_ = now + digest_interval * 3 / 4 +
                   std::chrono::milliseconds(random_.below(half));
    if (ask_for_good_revisions(directory, table, now, out) || is_starting) {
        return;
    }
    for (const instance_id& peer : directory.pick(1, random_)) {
        send_digest(peer, table, false, out);
    }
}

void configuration_spread::push(const instance_directory& directory,
                                const configuration_table& table,
                                command_list& out) {
    good_revision_asks_ = 0;
    std::vector<instance_id> told = directory.keepers();
    for (const instance_id& peer : directory.pick(push_count, random_)) {
        if (std::find(told.begin(), told.end(), peer) == told.end()) {
            told.push_back(peer);
        }
    }
    for (const instance_id& peer : told) {
        send_digest(peer, table, false, out);
    }
}

void configuration_spread::greet(const instance_id& peer, command_list& out) {
    send(peer, {.kind = hello, .is_starting = true}, out);
}

void configuration_spread::on_digest(const instance_id& peer,
                                     const configuration_message& message,
                                     const configuration_table& table,
                                     bool is_starting, steady_time now,
                                     command_list& out) {
    if (!message.is_starting) {
        claim& last = claims_[peer];
        last.revision = std::max(last.revision, message.complete_through);
        last.heard = now;
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
        if (message.complete_through > ahead_through_) {
            ahead_ = peer;
            ahead_through_ = message.complete_through;
        }
        return;
    }
    send_pull(peer, own, false, now, out);
}

void configuration_spread::on_hello(const instance_id& peer,
                                    const configuration_table& table,
                                    bool is_starting, command_list& out) {
    send_digest(peer, table, is_starting, out);
}

void configuration_spread::on_pull(const instance_id& peer,
                                   const configuration_message& message,
                                   const configuration_table& table,
                                   command_list& out) {
    configuration_delta part =
        table.delta(message.from, message.wants_whole_texts, max_delta_bytes);
    send(peer,
         {.kind = delta,
          .complete_through = table.complete_through(),
          .from = message.from,
          .to = part.to,
          .entries = std::move(part.entries)},
         out);
}

void configuration_spread::on_delta_applied(
    const instance_id& peer, const configuration_message& message,
    bool lacks_texts, const configuration_table& table, steady_time now,
    command_list& out) {
    if (pull_ && pull_->peer == peer) {
        pull_.reset();
    }
    const store_revision own = table.complete_through();
    if (pull_) {
        return;
    }
    if (lacks_texts || message.complete_through > own) {
        send_pull(peer, own, lacks_texts, now, out);
    } else if (ahead_through_ > own) {
        send_pull(ahead_, own, false, now, out);
    }
    ahead_through_ = 0;
}

void configuration_spread::send(const instance_id& peer,
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

void configuration_spread::send_digest(const instance_id& peer,
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

void configuration_spread::send_pull(const instance_id& peer,
                                     store_revision from,
                                     bool wants_whole_texts, steady_time now,
                                     command_list& out) {
    pull_ = pull{.peer = peer, .since = now};
    send(peer,
         {.kind = configuration_message_kind::pull,
          .complete_through = from,
          .wants_whole_texts = wants_whole_texts,
          .from = from},
         out);
}

// The store keeps only the last revision of a service. If that is faulty, the
// last good one can only come from a peer.
bool configuration_spread::ask_for_good_revisions(
    const instance_directory& directory, const configuration_table& table,
    steady_time now, command_list& out) {
    if (pull_ || !table.lacks_good_revision() ||
        good_revision_asks_ >= max_good_revision_asks) {
        return false;
    }
    ++good_revision_asks_;
    for (const instance_id& peer : directory.pick(1, random_)) {
        send_pull(peer, 0, true, now, out);
    }
    return true;
}

void configuration_spread::forget_unknown(const instance_directory& directory,
                                          steady_time now) {
    std::erase_if(claims_, [&](const auto& entry) {
        return !directory.knows(entry.first) &&
               now - entry.second.heard > claim_memory;
    });
}

} // namespace savorydock
