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

/// One instance as this one holds it.
struct member {
    member_record record;
    /// When its condition last changed here.
    steady_time changed_at{};
    /// When it was last heard itself; the epoch if never.
    steady_time heard_at{};
    /// Named in this instance's settings; never forgotten.
    bool is_seed = false;
};

struct missing_members {
    std::size_t missing = 0;
    std::size_t known = 0;
};

/// What became of a record that was merged.
enum class merge_result : std::uint8_t {
    /// Nothing new.
    unchanged,
    /// Newer than what was held: pass it on.
    news,
    /// It says of this instance what is wrong: refuted, pass that on.
    refuted,
};

/// All instances known here, with this one's own record. Bounded. Not thread
/// safe.
class member_table {
public:
    static constexpr std::size_t max_members = 4'096;
    static constexpr std::size_t bucket_count = 32;

    /// `self` is this instance's record; its incarnation must be higher than
    /// in any earlier life of the process.
    explicit member_table(member_record self);

    /// Takes a record from anywhere. A word that a member is dead is taken
    /// as suspicion while it is held alive, so that it can refute it.
    merge_result merge(const member_record& record, steady_time now);

    /// Adds a member that a list names, unless it is known.
    bool add_listed(const member_record& record, steady_time now, bool is_seed);

    /// Notes a message from the member itself with its incarnation; returns
    /// whether that is news.
    bool hear(const instance_id& name, std::uint64_t incarnation,
              steady_time now);

    /// Changes the condition of a member that is held alive or suspect.
    bool set_condition(const instance_id& name, member_condition condition,
                       steady_time now);

    /// Says that this instance ends.
    void leave() { self_.condition = member_condition::left; }

    /// Forgets members that are dead for `retention`, seeds excepted.
    void forget(steady_time now, std::chrono::milliseconds retention);

    [[nodiscard]] const member_record& self() const { return self_; }
    [[nodiscard]] const std::map<instance_id, member>& members() const {
        return members_;
    }
    [[nodiscard]] const member* find(const instance_id& name) const;
    /// The record of a member or of this instance.
    [[nodiscard]] std::optional<member_record>
    record_of(const instance_id& name) const;

    /// Names of living members (alive or suspect), this instance excepted.
    [[nodiscard]] std::span<const instance_id> living_home() const;
    [[nodiscard]] std::span<const instance_id> living_away() const;
    [[nodiscard]] std::span<const instance_id> not_living() const;
    [[nodiscard]] std::size_t living_count() const;

    /// Others that are suspect or dead, out of all that did not leave.
    [[nodiscard]] missing_members count_missing() const;

    /// One hash per bucket over the names and incarnations of the living.
    [[nodiscard]] std::vector<std::uint64_t> digest() const;
    [[nodiscard]] static std::size_t bucket_of(const instance_id& name);

private:
    merge_result merge_self(const member_record& record);
    void refresh_lists() const;

    member_record self_;
    std::map<instance_id, member> members_;
    mutable bool is_list_stale_ = true;
    mutable std::vector<instance_id> home_;
    mutable std::vector<instance_id> away_;
    mutable std::vector<instance_id> gone_;
};

/// Whether an instance with that condition counts as living.
[[nodiscard]] constexpr bool is_living(member_condition condition) {
    return condition <= member_condition::suspect;
}

} // namespace savorydock
