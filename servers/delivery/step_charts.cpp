#include "servers/delivery/step_charts.hpp"

namespace savorydock {

outcome<step_charts> step_charts::load(const std::string& folder) {
    const auto step = state_chart::load(folder + "/step_life.json");
    if (!step) {
        return step.reason();
    }
    const auto slot = state_chart::load(folder + "/slot_life.json");
    if (!slot) {
        return slot.reason();
    }
    const auto step_checked = step->require(
        {"open", "complete", "incomplete", "superseded", "abandoned"},
        {"end_complete", "end_incomplete", "pass_deadline", "hear_newer_epoch",
         "lose_trainer"});
    if (!step_checked) {
        return step_checked.reason();
    }
    const auto slot_checked = slot->require(
        {"waiting", "running", "ready", "handed_over", "held", "refused"},
        {"present", "run", "finish", "discard", "hand_over", "refuse"});
    if (!slot_checked) {
        return slot_checked.reason();
    }
    return step_charts{*step, *slot};
}

} // namespace savorydock
