#pragma once

#include "core/outcome.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// A fault in a document: its location and what was expected there.
struct document_fault {
    std::string path;
    std::string expected;
};

/// Returns all faults as lines "path: expected". Thread safe.
[[nodiscard]] std::string to_text(std::span<const document_fault> faults);

/// Parses JSON with comments and trailing commas.
/// Errors: `invalid_json`, with line and column. Thread safe.
[[nodiscard]] outcome<boost::json::value>
parse_commented_json(std::string_view text);

/// The range of valid values for a number, both ends included.
struct integer_range {
    std::int64_t low = 0;
    std::int64_t high = 0;
};

/// Reads the members of one JSON object and collects all faults, so that the
/// author can fix them in one go. A missing or invalid member yields its
/// fallback. Not thread safe; `value` and `faults` must outlive the reader.
class object_reader {
public:
    object_reader(const boost::json::value& value, std::string path,
                  std::vector<document_fault>& faults);

    [[nodiscard]] bool has(std::string_view name) const;

    /// Reads a non-empty string. Here and below, a member without a fallback
    /// is required.
    [[nodiscard]] std::string text(std::string_view name,
                                   std::optional<std::string> fallback = {});
    [[nodiscard]] std::int64_t
    integer(std::string_view name, integer_range range,
            std::optional<std::int64_t> fallback = {});
    [[nodiscard]] std::chrono::milliseconds
    milliseconds(std::string_view name, integer_range range,
                 std::chrono::milliseconds fallback);
    [[nodiscard]] double fraction(std::string_view name, double low,
                                  double high, std::optional<double> fallback);
    [[nodiscard]] bool boolean(std::string_view name,
                               std::optional<bool> fallback = {});
    /// Reads a string that must be one of `names` and returns its index.
    [[nodiscard]] std::size_t choice(std::string_view name,
                                     std::span<const std::string_view> names,
                                     std::optional<std::size_t> fallback = {});
    /// Calls `read` for the object in member `name` if the member exists.
    void object(std::string_view name, bool is_required,
                const std::function<void(object_reader&)>& read);
    /// Calls `read` for each object of the list in member `name`.
    void objects(std::string_view name, bool is_required,
                 const std::function<void(object_reader&)>& read);
    [[nodiscard]] std::vector<std::string> texts(std::string_view name);

    /// Adds a fault for one member.
    void report_fault(std::string_view name, std::string expected);

    /// Reports members that were not read as unknown. Must be called last.
    void finish();

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    const boost::json::value* find(std::string_view name, bool is_required);
    [[nodiscard]] std::string member_path(std::string_view name) const;

    const boost::json::object* object_ = nullptr;
    std::string path_;
    std::vector<document_fault>& faults_;
    std::set<std::string, std::less<>> known_;
};

} // namespace savorydock
