#include "core/state_chart.hpp"

#include "core/object_reader.hpp"
#include "core/text_file.hpp"

#include <algorithm>
#include <set>

namespace savorydock {

namespace {

std::optional<std::uint16_t> index_of(const std::vector<std::string>& names,
                                      std::string_view name) {
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint16_t>(found - names.begin());
}

void report_differences(const std::vector<std::string>& wanted,
                        const std::vector<std::string>& present,
                        std::string_view kind, std::string& report) {
    for (const std::string& name : wanted) {
        if (!index_of(present, name)) {
            report += " is missing " + std::string(kind) + " " + name + ";";
        }
    }
    for (const std::string& name : present) {
        if (!index_of(wanted, name)) {
            report += " has unknown " + std::string(kind) + " " + name + ";";
        }
    }
}

} // namespace

outcome<state_chart> state_chart::parse(std::string_view text) {
    const auto parsed = parse_commented_json(text);
    if (!parsed) {
        return failure{result_code::invalid_chart, parsed.reason().detail};
    }
    std::vector<document_fault> faults;
    state_chart chart;
    object_reader reader(*parsed, "", faults);
    chart.name_ = reader.text("name");
    chart.states_ = reader.texts("states");
    chart.events_ = reader.texts("events");
    chart.is_final_.resize(chart.states_.size());

    const auto state_at = [&](object_reader& where, std::string_view member,
                              const std::string& name) -> state_index {
        const auto found = index_of(chart.states_, name);
        if (!found) {
            where.report_fault(member, "a declared state, not " + name);
        }
        return found.value_or(0);
    };
    chart.initial_ = state_at(reader, "initial", reader.text("initial"));
    for (const std::string& name : reader.texts("final")) {
        const state_index state = state_at(reader, "final", name);
        if (state < chart.is_final_.size()) {
            chart.is_final_[state] = true;
        }
    }
    std::set<state_index> targets{chart.initial_};
    reader.objects("transitions", true, [&](object_reader& row) {
        const state_index from = state_at(row, "from", row.text("from"));
        const state_index to = state_at(row, "to", row.text("to"));
        const std::string event_name = row.text("event");
        const auto event = index_of(chart.events_, event_name);
        if (!event) {
            row.report_fault("event", "a declared event, not " + event_name);
            return;
        }
        if (from < chart.is_final_.size() && chart.is_final_[from]) {
            row.report_fault("from", "a state that is not final");
        }
        if (!chart.transitions_.emplace(std::pair(from, *event), to).second) {
            row.report_fault("event",
                             "only one transition per state and event");
        }
        targets.insert(to);
    });
    for (std::size_t state = 0; state < chart.states_.size(); ++state) {
        if (!targets.contains(static_cast<state_index>(state))) {
            reader.report_fault("states",
                                "a transition to " + chart.states_[state]);
        }
    }
    reader.finish();
    if (!faults.empty()) {
        return failure{result_code::invalid_chart, to_text(faults)};
    }
    return chart;
}

outcome<state_chart> state_chart::load(const std::string& file) {
    const auto text = read_text_file(file);
    if (!text) {
        return text.reason();
    }
    auto chart = parse(*text);
    if (!chart) {
        return failure{chart.reason().code,
                       file + ": " + chart.reason().detail};
    }
    return chart;
}

bool state_chart::is_final(state_index state) const {
    return is_final_.at(state);
}

state_chart::state_index state_chart::state(std::string_view name) const {
    return index_of(states_, name).value();
}

state_chart::event_index state_chart::event(std::string_view name) const {
    return index_of(events_, name).value();
}

const std::string& state_chart::state_name(state_index state) const {
    return states_.at(state);
}

const std::string& state_chart::event_name(event_index event) const {
    return events_.at(event);
}

std::optional<state_chart::state_index>
state_chart::next(state_index state, event_index event) const {
    const auto found = transitions_.find({state, event});
    if (found == transitions_.end()) {
        return std::nullopt;
    }
    return found->second;
}

outcome<done>
state_chart::require(const std::vector<std::string>& states,
                     const std::vector<std::string>& events) const {
    std::string report;
    report_differences(states, states_, "state", report);
    report_differences(events, events_, "event", report);
    if (!report.empty()) {
        return failure{result_code::invalid_chart, "chart " + name_ + report};
    }
    return done{};
}

bool chart_position::fire(std::string_view event) {
    const auto index = index_of(chart_->events(), event);
    const auto next = index ? chart_->next(state_, *index) : std::nullopt;
    if (!next) {
        return false;
    }
    state_ = *next;
    return true;
}

} // namespace savorydock
