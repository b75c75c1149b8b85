#pragma once

#include "core/outcome.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// A state chart read from a JSON file: named states, one initial state,
/// final states, and transitions (from, event, to).
///
/// Parsing validates the chart: transitions use only declared names, every
/// state except the initial one is the target of a transition, final states
/// have no outgoing transitions, and no state has two transitions for the same
/// event. A chart is immutable and therefore thread safe.
class state_chart {
public:
    using state_index = std::uint16_t;
    using event_index = std::uint16_t;

    /// Parses a chart. Errors: `invalid_chart`, with all faults.
    [[nodiscard]] static outcome<state_chart> parse(std::string_view text);

    /// Reads a chart file. Errors: `not_found`, `invalid_chart`.
    [[nodiscard]] static outcome<state_chart> load(const std::string& file);

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] state_index initial() const { return initial_; }
    [[nodiscard]] bool is_final(state_index state) const;

    /// Precondition: the name is declared; `require` checks this at startup.
    [[nodiscard]] state_index state(std::string_view name) const;
    [[nodiscard]] event_index event(std::string_view name) const;
    [[nodiscard]] const std::string& state_name(state_index state) const;
    [[nodiscard]] const std::string& event_name(event_index event) const;

    /// Returns the state after `event`, or nothing if it is not allowed.
    [[nodiscard]] std::optional<state_index> next(state_index state,
                                                  event_index event) const;

    /// Checks that the chart declares exactly the states and events that the
    /// code uses. Errors: `invalid_chart`, naming missing and unknown ones.
    [[nodiscard]] outcome<done>
    require(const std::vector<std::string>& states,
            const std::vector<std::string>& events) const;

    [[nodiscard]] const std::vector<std::string>& states() const {
        return states_;
    }
    [[nodiscard]] const std::vector<std::string>& events() const {
        return events_;
    }

private:
    std::string name_;
    std::vector<std::string> states_;
    std::vector<std::string> events_;
    std::vector<bool> is_final_;
    state_index initial_ = 0;
    std::map<std::pair<state_index, event_index>, state_index> transitions_;
};

/// The current state of one object that follows a chart. Not thread safe. The
/// chart must outlive it.
class chart_position {
public:
    explicit chart_position(const state_chart& chart)
        : chart_(&chart)
        , state_(chart.initial()) {}

    /// Takes the transition for an event. If the chart does not allow it,
    /// returns false and keeps the state.
    bool fire(std::string_view event);

    [[nodiscard]] const std::string& state() const {
        return chart_->state_name(state_);
    }
    [[nodiscard]] bool is_in(std::string_view state) const {
        return this->state() == state;
    }
    [[nodiscard]] bool is_final() const { return chart_->is_final(state_); }

private:
    const state_chart* chart_;
    state_chart::state_index state_;
};

} // namespace savorydock
