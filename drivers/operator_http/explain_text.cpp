#include "drivers/operator_http/explain_text.hpp"

#include <boost/json.hpp>

#include <iomanip>
#include <sstream>

namespace savorydock {

namespace json = boost::json;

namespace {

constexpr double us_per_ms = 1000.0;

std::string text_of(const json::object& object, std::string_view name) {
    const json::value* const found = object.if_contains(name);
    if (found == nullptr) {
        return {};
    }
    return found->is_string() ? std::string(found->get_string())
                              : json::serialize(*found);
}

void write_decision(std::ostream& out, const json::object& made) {
    const double elapsed =
        made.at("elapsed_us").to_number<double>() / us_per_ms;
    out << "  " << std::fixed << std::setprecision(3) << std::setw(10)
        << elapsed << " ms  " << std::left << std::setw(12)
        << text_of(made, "kind") << std::right;
    if (made.contains("upstream")) {
        out << " upstream=" << text_of(made, "upstream")
            << " candidates=" << text_of(made, "candidates")
            << " report_age_ms=" << text_of(made, "report_age_ms");
    }
    if (made.at("code").to_number<int>() != 0 ||
        text_of(made, "kind") == "finished") {
        out << " result=" << text_of(made, "result") << " ("
            << text_of(made, "code") << ")";
    }
    const std::string detail = text_of(made, "detail");
    out << (detail.empty() ? "" : " " + detail) << '\n';
}

void write_names(std::ostream& out, std::string_view title,
                 const json::object& found, std::string_view member) {
    const json::array& names = found.at(member).as_array();
    if (names.empty()) {
        return;
    }
    out << title;
    for (const json::value& name : names) {
        out << ' ' << std::string_view(name.as_string());
    }
    out << '\n';
}

void write_value(std::ostream& out, const std::string& name,
                 const json::value& value, std::size_t depth) {
    const std::string indent(depth * 2, ' ');
    if (value.is_object()) {
        out << indent << name << ":\n";
        for (const auto& member : value.get_object()) {
            write_value(out, std::string(member.key()), member.value(),
                        depth + 1);
        }
    } else if (value.is_array()) {
        out << indent << name << ": " << value.get_array().size() << '\n';
        for (const json::value& element : value.get_array()) {
            out << indent << "  - " << json::serialize(element) << '\n';
        }
    } else {
        out << indent << name << ": " << json::serialize(value) << '\n';
    }
}

} // namespace

std::string explanation_to_text(const json::object& found) {
    std::ostringstream out;
    const json::array& records = found.at("records").as_array();
    out << text_of(found, "subject") << '\n';
    for (const json::value& entry : records) {
        const json::object& record = entry.as_object();
        out << "on " << text_of(record, "instance") << ":\n";
        for (const json::value& made : record.at("decisions").as_array()) {
            write_decision(out, made.as_object());
        }
        if (record.at("dropped").to_number<int>() > 0) {
            out << "  " << text_of(record, "dropped")
                << " later decisions were dropped\n";
        }
    }
    if (records.empty()) {
        out << "no record: the subject is unknown or its record has expired\n";
    }
    write_names(out, "answered:", found, "answered");
    write_names(out, "silent:", found, "silent");
    return out.str();
}

std::string status_to_text(const json::object& status) {
    std::ostringstream out;
    for (const auto& member : status) {
        write_value(out, std::string(member.key()), member.value(), 0);
    }
    return out.str();
}

} // namespace savorydock
