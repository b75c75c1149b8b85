#include "servers/fleet/view_age.hpp"

namespace savorydock {

std::string to_text(const view_age& view) {
    return "view_current=" + std::string(view.is_current ? "yes" : "no") +
           " view_age_ms=" +
           (view.age ? std::to_string(view.age->count()) : "unknown") +
           " confirmed_age_ms=" +
           (view.confirmed_age ? std::to_string(view.confirmed_age->count())
                               : "unknown") +
           " announced=" + std::to_string(view.announced) +
           " held=" + std::to_string(view.held) +
           " missing_for_ms=" + std::to_string(view.missing_for.count());
}

} // namespace savorydock
