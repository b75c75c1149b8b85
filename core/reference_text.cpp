#include "core/reference_text.hpp"

#include "core/log_event.hpp"
#include "core/result_code.hpp"

#include <array>
#include <sstream>

namespace savorydock {

namespace {

constexpr std::string_view name_of(result_class kind) {
    constexpr std::array<std::string_view, 5> names{
        "complete", "not run", "unknown", "failed", "control"};
    return names.at(static_cast<std::size_t>(kind));
}

constexpr std::string_view name_of(log_level level) {
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning",
                                                    "error"};
    return names.at(static_cast<std::size_t>(level));
}

} // namespace

std::string write_result_code_reference() {
    std::ostringstream out;
    out << "# Result codes\n\n"
           "Written from the source by `misc/write_reference`; a test compares "
           "them.\n"
           "Every answer carries its code in the header `Savorydock-Result`; "
           "answers\n"
           "without a body of the upstream's own carry it as JSON too.\n\n"
           "Class *not run*: no upstream can have begun the request; it may be "
           "sent\n"
           "again. Class *unknown*: it may have run; only idempotent work may "
           "be sent\n"
           "again. Class *failed*: it ran and there is no whole answer.\n\n"
           "| code | name | class | HTTP | meaning |\n"
           "| --- | --- | --- | --- | --- |\n";
    for (const result_code_entry& entry : all_result_codes()) {
        out << "| " << static_cast<unsigned>(entry.code) << " | " << entry.name
            << " | " << name_of(classify(entry.code)) << " | "
            << http_status_of(entry.code) << " | " << entry.meaning << " |\n";
    }
    return out.str();
}

std::string write_log_event_reference() {
    std::ostringstream out;
    out << "# Log events\n\n"
           "Written from the source by `misc/write_reference`; a test compares "
           "them.\n"
           "A line reads `TIME LEVEL INSTANCE NUMBER name detail`, the detail "
           "as\n`name=value` pairs.\n\n"
           "| number | name | level | meaning |\n"
           "| --- | --- | --- | --- |\n";
    for (const log_event_entry& entry : all_log_events()) {
        out << "| " << static_cast<unsigned>(entry.event) << " | " << entry.name
            << " | " << name_of(entry.level) << " | " << entry.meaning
            << " |\n";
    }
    return out.str();
}

} // namespace savorydock
