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
           "Generated from the source by `misc/write_reference`; a test checks "
           "that this\n"
           "page is up to date. Every answer has its code in the header "
           "`Savorydock-Result`.\n"
           "Answers whose body isn't from the upstream also have it in a JSON "
           "body.\n\n"
           "Class *not run*: no upstream can have started the request; it can "
           "safely be\n"
           "sent again. Class *unknown*: the request may have run; send it "
           "again only if it\n"
           "is idempotent. Class *failed*: the request ran, but there is no "
           "complete answer.\n\n"
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
           "Generated from the source by `misc/write_reference`; a test checks "
           "that this\n"
           "page is up to date. The format of a log line is\n"
           "`TIME LEVEL INSTANCE NUMBER name detail`; the detail consists of "
           "`name=value`\n"
           "pairs.\n\n"
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
