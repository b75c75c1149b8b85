#include "servers/membership/member_table.hpp"

#include "servers/membership/stable_hash.hpp"

#include <tuple>
#include <utility>

namespace savorydock {

namespace {

bool is_newer(const member_record& left, const member_record& right) {
    return std::tie(left.incarnation, left.condition) >
           std::tie(right.incarnation, right.condition);
}

bool has_address(const member_record& record) {
    return record.address.port != 0 && !record.zone.is_empty();
}

} // namespace

member_table::member_table(member_record self)
    : self_(std::move(self)) {}

merge_result member_table::merge_self(const member_record& record) {
    const bool is_wrong = record.incarnation > self_.incarnation ||
                          (record.incarnation == self_.incarnation &&
                           record.condition > self_.condition);
    if (!is_wrong) {
        return merge_result::unchanged;
    }
    self_.incarnation = record.incarnation + 1;
    return merge_result::refuted;
}

merge_result member_table::merge(const member_record& record, steady_time now) {
    if (record.name == self_.name) {
        return merge_self(record);
    }
    const auto found = members_.find(record.name);
    if (found == members_.end()) {
        if (!is_living(record.condition) || !has_address(record) ||
            members_.size() >= max_members) {
            return merge_result::unchanged;
        }
        members_[record.name] = {.record = record, .changed_at = now};
        is_list_stale_ = true;
        return merge_result::updated;
    }
    member_record next = record;
    member_record& stored = found->second.record;
    if (next.condition == member_condition::dead &&
        stored.condition == member_condition::alive) {
        next.condition = member_condition::suspect;
    }
    if (!is_newer(next, stored)) {
        return merge_result::unchanged;
    }
    if (!has_address(next)) {
        next.zone = stored.zone;
        next.address = stored.address;
    }
    is_list_stale_ = is_list_stale_ || next.zone != stored.zone ||
                     is_living(next.condition) != is_living(stored.condition);
    stored = std::move(next);
    found->second.changed_at = now;
    return merge_result::updated;
}

bool member_table::add_listed(const member_record& record, steady_time now,
                              bool is_seed) {
    if (record.name == self_.name) {
        return false;
    }
    const auto found = members_.find(record.name);
    if (found != members_.end()) {
        found->second.is_seed = found->second.is_seed || is_seed;
        return false;
    }
    if (merge(record, now) == merge_result::unchanged) {
        return false;
    }
    members_[record.name].is_seed = is_seed;
    return true;
}

bool member_table::note_contact(const instance_id& name,
                                std::uint64_t incarnation, steady_time now) {
    const auto found = members_.find(name);
    if (found == members_.end()) {
        return false;
    }
    found->second.last_contact = now;
    if (incarnation <= found->second.record.incarnation) {
        return false;
    }
    member_record next = found->second.record;
    next.incarnation = incarnation;
    next.condition = member_condition::alive;
    return merge(next, now) == merge_result::updated;
}

bool member_table::set_condition(const instance_id& name,
                                 member_condition condition, steady_time now) {
    const auto found = members_.find(name);
    if (found == members_.end() ||
        found->second.record.condition >= condition) {
        return false;
    }
    found->second.record.condition = condition;
    found->second.changed_at = now;
    is_list_stale_ = true;
    return true;
}

void member_table::remove_expired(steady_time now,
                                  std::chrono::milliseconds retention) {
    const auto erased = std::erase_if(members_, [&](const auto& entry) {
        const member& stored = entry.second;
        return !stored.is_seed && !is_living(stored.record.condition) &&
               now - stored.changed_at > retention;
    });
    is_list_stale_ = is_list_stale_ || erased > 0;
}

const member* member_table::find(const instance_id& name) const {
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second;
}

std::optional<member_record>
member_table::record_of(const instance_id& name) const {
    if (name == self_.name) {
        return self_;
    }
    const member* found = find(name);
    return found == nullptr ? std::nullopt : std::optional(found->record);
}

void member_table::refresh_lists() const {
    if (!is_list_stale_) {
        return;
    }
    is_list_stale_ = false;
    own_zone_.clear();
    other_zones_.clear();
    not_living_.clear();
    for (const auto& [name, stored] : members_) {
        if (!is_living(stored.record.condition)) {
            not_living_.push_back(name);
        } else if (stored.record.zone == self_.zone) {
            own_zone_.push_back(name);
        } else {
            other_zones_.push_back(name);
        }
    }
}

std::span<const instance_id> member_table::living_in_own_zone() const {
    refresh_lists();
    return own_zone_;
}

std::span<const instance_id> member_table::living_in_other_zones() const {
    refresh_lists();
    return other_zones_;
}

std::span<const instance_id> member_table::not_living() const {
    refresh_lists();
    return not_living_;
}

std::size_t member_table::living_count() const {
    return living_in_own_zone().size() + living_in_other_zones().size() + 1;
}

missing_members member_table::count_missing() const {
    missing_members counted;
    for (const auto& [name, stored] : members_) {
        const member_condition condition = stored.record.condition;
        const bool is_missing = condition == member_condition::suspect ||
                                condition == member_condition::dead;
        counted.missing += is_missing ? 1 : 0;
        counted.known += condition == member_condition::left ? 0 : 1;
    }
    return counted;
}

std::size_t member_table::bucket_of(const instance_id& name) {
    return stable_hash(name.text()) % bucket_count;
}

std::vector<std::uint64_t> member_table::digest() const {
    std::vector<std::uint64_t> buckets(bucket_count, 0);
    const auto add = [&](const member_record& record) {
        buckets[bucket_of(record.name)] +=
            stable_hash(record.name.text(), record.incarnation);
    };
    add(self_);
    for (const auto& [name, stored] : members_) {
        if (is_living(stored.record.condition)) {
            add(stored.record);
        }
    }
    return buckets;
}

} // namespace savorydock
