#include "core/object_reader.hpp"

#include <boost/json/parse_options.hpp>
#include <boost/json/stream_parser.hpp>

#include <algorithm>

namespace savorydock {

namespace json = boost::json;

std::string to_text(std::span<const document_fault> faults) {
    std::string text;
    for (const document_fault& fault : faults) {
        if (!text.empty()) {
            text += '\n';
        }
        text += (fault.path.empty() ? "document" : fault.path) + ": expected " +
                fault.expected;
    }
    return text;
}

outcome<json::value> parse_commented_json(std::string_view text) {
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::stream_parser parser({}, options);
    json::error_code error;
    const std::size_t consumed = parser.write_some(text, error);
    if (!error && consumed == text.size()) {
        parser.finish(error);
    }
    const std::string_view rest = text.substr(std::min(consumed, text.size()));
    const bool has_rest =
        rest.find_first_not_of(" \t\r\n") != std::string_view::npos;
    if (!error && !has_rest && !parser.done()) {
        parser.finish(error);
    }
    if (!error && !has_rest) {
        return parser.release();
    }
    const std::string_view read = text.substr(0, consumed);
    const auto line = std::count(read.begin(), read.end(), '\n') + 1;
    const std::size_t line_start = read.rfind('\n') + 1;
    return failure{result_code::invalid_json,
                   "line " + std::to_string(line) + ", column " +
                       std::to_string(consumed - line_start + 1) + ": " +
                       (error ? error.message() : "text after the end")};
}

object_reader::object_reader(const json::value& value, std::string path,
                             std::vector<document_fault>& faults)
    : object_(value.if_object())
    , path_(std::move(path))
    , faults_(faults) {
    if (object_ == nullptr) {
        faults_.push_back({path_, "an object"});
    }
}

bool object_reader::has(std::string_view name) const {
    return object_ != nullptr && object_->contains(name);
}

std::string object_reader::member_path(std::string_view name) const {
    return path_.empty() ? std::string(name) : path_ + '.' + std::string(name);
}

void object_reader::report_fault(std::string_view name, std::string expected) {
    faults_.push_back({member_path(name), std::move(expected)});
}

const json::value* object_reader::find(std::string_view name,
                                       bool is_required) {
    known_.emplace(name);
    if (object_ == nullptr) {
        return nullptr;
    }
    const json::value* const found = object_->if_contains(name);
    if (found == nullptr && is_required) {
        report_fault(name, "a value; it is missing");
    }
    return found;
}

std::string object_reader::text(std::string_view name,
                                std::optional<std::string> fallback) {
    const json::value* const found = find(name, !fallback);
    if (found == nullptr) {
        return fallback.value_or("");
    }
    const json::string* const text = found->if_string();
    if (text == nullptr || text->empty()) {
        report_fault(name, "a text that is not empty");
        return fallback.value_or("");
    }
    return std::string(*text);
}

std::int64_t object_reader::integer(std::string_view name, integer_range range,
                                    std::optional<std::int64_t> fallback) {
    const json::value* const found = find(name, !fallback);
    if (found == nullptr) {
        return fallback.value_or(range.low);
    }
    json::error_code error;
    const auto number = found->is_number()
                            ? found->to_number<std::int64_t>(error)
                            : range.low - 1;
    if (error || number < range.low || number > range.high) {
        report_fault(name, "a whole number from " + std::to_string(range.low) +
                               " to " + std::to_string(range.high));
        return fallback.value_or(range.low);
    }
    return number;
}

std::chrono::milliseconds
object_reader::milliseconds(std::string_view name, integer_range range,
                            std::chrono::milliseconds fallback) {
    return std::chrono::milliseconds(integer(name, range, fallback.count()));
}

double object_reader::fraction(std::string_view name, double low, double high,
                               std::optional<double> fallback) {
    const json::value* const found = find(name, !fallback);
    if (found == nullptr) {
        return fallback.value_or(low);
    }
    json::error_code error;
    const double number =
        found->is_number() ? found->to_number<double>(error) : low - 1;
    if (error || number < low || number > high) {
        report_fault(name, "a number from " + std::to_string(low) + " to " +
                               std::to_string(high));
        return fallback.value_or(low);
    }
    return number;
}

bool object_reader::boolean(std::string_view name,
                            std::optional<bool> fallback) {
    const json::value* const found = find(name, !fallback);
    if (found == nullptr) {
        return fallback.value_or(false);
    }
    if (!found->is_bool()) {
        report_fault(name, "true or false");
        return fallback.value_or(false);
    }
    return found->get_bool();
}

std::size_t object_reader::choice(std::string_view name,
                                  std::span<const std::string_view> names,
                                  std::optional<std::size_t> fallback) {
    const json::value* const found = find(name, !fallback);
    if (found == nullptr) {
        return fallback.value_or(0);
    }
    const json::string* const text = found->if_string();
    const auto match = text == nullptr ? names.end()
                                       : std::find(names.begin(), names.end(),
                                                   std::string_view(*text));
    if (match != names.end()) {
        return static_cast<std::size_t>(match - names.begin());
    }
    std::string listed;
    for (const std::string_view candidate : names) {
        listed +=
            (listed.empty() ? "\"" : ", \"") + std::string(candidate) + '"';
    }
    report_fault(name, "one of " + listed);
    return fallback.value_or(0);
}

void object_reader::object(std::string_view name, bool is_required,
                           const std::function<void(object_reader&)>& read) {
    const json::value* const found = find(name, is_required);
    if (found == nullptr) {
        return;
    }
    object_reader reader(*found, member_path(name), faults_);
    read(reader);
    reader.finish();
}

void object_reader::objects(std::string_view name, bool is_required,
                            const std::function<void(object_reader&)>& read) {
    const json::value* const found = find(name, is_required);
    if (found == nullptr) {
        return;
    }
    const json::array* const list = found->if_array();
    if (list == nullptr) {
        report_fault(name, "a list of objects");
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
        object_reader reader((*list)[i],
                             member_path(name) + '[' + std::to_string(i) + ']',
                             faults_);
        read(reader);
        reader.finish();
    }
}

std::vector<std::string> object_reader::texts(std::string_view name) {
    const json::value* const found = find(name, false);
    std::vector<std::string> texts;
    if (found == nullptr) {
        return texts;
    }
    const json::array* const list = found->if_array();
    const bool is_valid =
        list != nullptr &&
        std::all_of(list->begin(), list->end(),
                    [](const json::value& v) { return v.is_string(); });
    if (!is_valid) {
        report_fault(name, "a list of texts");
        return texts;
    }
    for (const json::value& element : *list) {
        texts.emplace_back(element.get_string());
    }
    return texts;
}

void object_reader::finish() {
    if (object_ == nullptr) {
        return;
    }
    for (const auto& member : *object_) {
        if (!known_.contains(std::string_view(member.key()))) {
            report_fault(member.key(), "no such member; it is unknown");
        }
    }
}

} // namespace savorydock
