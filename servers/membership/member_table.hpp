#pragma once

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "servers/membership/membership_message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace savorydock {

/// The state of another instance as known to this one.
struct member {
    member_record record;
    /// When its record or condition last changed in this table.
    steady_time changed_at{};
    /// When it last sent a message to this instance; the epoch if never.
    steady_time last_contact{};
    /// Listed in this instance's settings; never removed.
    bool is_seed = false;
};

struct missing_members {
    std::size_t missing = 0;
    std::size_t known = 0;
};

/// Result of merging a record.
enum class merge_result : std::uint8_t {
    /// The record was not newer than the known one.
    unchanged,
    /// The record was newer and is to be gossiped.
    updated,
    /// The record made a false claim about this instance. Its incarnation was
    /// raised to refute the claim, and the new record is to be gossiped.
    refuted,
};

/// All instances known to this one, and its own record. Holds at most
/// `max_members` others. Not thread safe.
class member_table {
public:
    static constexpr std::size_t max_members = 4'096;
    static constexpr std::size_t bucket_count = 32;

    /// `self` is this instance's record. Precondition: its incarnation is
    /// higher than in any earlier run of the process.
    explicit member_table(member_record self);

    /// Merges a record from any source. A report that a member is dead only
    /// makes it suspect if it is considered alive here, so that it has time to
    /// refute the report.
    merge_result merge(const member_record& record, steady_time now);

    /// Adds a member from the settings or the platform's list unless it is
    /// known; returns whether it was added.
    bool add_listed(const member_record& record, steady_time now, bool is_seed);

    /// Notes a message sent by the member itself, with its incarnation;
    /// returns whether its record changed.
    bool note_contact(const instance_id& name, std::uint64_t incarnation,
                      steady_time now);

    /// Changes a member's condition if `condition` comes later in
    /// `member_condition`; returns whether it changed.
    bool set_condition(const instance_id& name, member_condition condition,
                       steady_time now);

    /// Marks this instance as shutting down.
    void leave() { self_.condition = member_condition::left; }

    /// Removes members that have been dead or left for longer than
    /// `retention`, except seeds.
    void remove_expired(steady_time now, std::chrono::milliseconds retention);

    [[nodiscard]] const member_record& self() const { return self_; }
    [[nodiscard]] const std::map<instance_id, member>& members() const {
        return members_;
    }
    [[nodiscard]] const member* find(const instance_id& name) const;
    /// Returns the record of a member or of this instance.
    [[nodiscard]] std::optional<member_record>
    record_of(const instance_id& name) const;

    /// Names of living (alive or suspect) members, excluding this instance.
    [[nodiscard]] std::span<const instance_id> living_in_own_zone() const;
    [[nodiscard]] std::span<const instance_id> living_in_other_zones() const;
    [[nodiscard]] std::span<const instance_id> not_living() const;
    /// Number of living instances, including this one.
    [[nodiscard]] std::size_t living_count() const;

    /// Counts the members that are suspect or dead, and all that have not
    /// left.
    [[nodiscard]] missing_members count_missing() const;

    /// One hash per bucket over the names and incarnations of the living
    /// instances, including this one.
    [[nodiscard]] std::vector<std::uint64_t> digest() const;
    [[nodiscard]] static std::size_t bucket_of(const instance_id& name);

private:
    merge_result merge_self(const member_record& record);
    void refresh_lists() const;

    member_record self_;
    std::map<instance_id, member> members_;
    mutable bool is_list_stale_ = true;
    mutable std::vector<instance_id> own_zone_;
    mutable std::vector<instance_id> other_zones_;
    mutable std::vector<instance_id> not_living_;
};

/// Whether an instance in this condition counts as living.
[[nodiscard]] constexpr bool is_living(member_condition condition) {
    return condition <= member_condition::suspect;
}

} // namespace savorydock
