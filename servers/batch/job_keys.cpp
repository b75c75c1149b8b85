#include "servers/batch/job_keys.hpp"

#include <boost/json.hpp>

#include <charconv>

namespace savorydock {

namespace {

namespace json = boost::json;

/// Numbers in keys are padded with zeros to these widths, so that keys sort in
/// numerical order.
constexpr std::size_t number_width = 6;
constexpr std::size_t revision_width = 16;
/// Unix milliseconds. Nanoseconds up to this time fit into 64 bits.
constexpr std::int64_t max_accepted_at = 9'000'000'000'000;

std::string padded(std::uint64_t number, std::size_t width = number_width) {
    std::string digits = std::to_string(number);
    return digits.size() < width
               ? std::string(width - digits.size(), '0') + digits
               : digits;
}

} // namespace

std::string job_key(const job_id& job) {
    return std::string(job_prefix) + job.text();
}

std::string term_key(const service_name& service) {
    return std::string(term_prefix) + service.text();
}

std::string settled_term_key(std::string_view scope) {
    return "t/" + std::string(scope);
}

std::string submission_prefix(const job_id& job) {
    return "d/" + job.text() + '/';
}

std::string submission_key(const job_id& job, std::size_t part) {
    return submission_prefix(job) + padded(part);
}

std::string results_prefix(const job_id& job) {
    return "r/" + job.text() + '/';
}

std::string results_key(const job_id& job, std::size_t position) {
    return results_prefix(job) + padded(position);
}

std::optional<std::size_t> results_position(const job_id& job,
                                            std::string_view key) {
    const std::string prefix = results_prefix(job);
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    key.remove_prefix(prefix.size());
    std::size_t position = 0;
    const auto [end, error] =
        std::from_chars(key.data(), key.data() + key.size(), position);
    return error == std::errc() && end == key.data() + key.size()
               ? std::optional(position)
               : std::nullopt;
}

std::string progress_prefix(const job_id& job) {
    return "p/" + job.text() + '/';
}

std::string progress_key(const job_id& job, store_revision term,
                         std::size_t number) {
    return progress_prefix(job) + padded(term, revision_width) + '-' +
           padded(number);
}

std::string encode_job_record(const job_record& record) {
    json::object text{{"route", record.route},
                      {"host", record.host},
                      {"service", record.service.text()},
                      {"total", record.total},
                      {"parts", record.parts},
                      {"accepted_at", record.accepted_at},
                      {"ended", record.is_ended},
                      {"complete", record.is_complete}};
    if (!record.organisation.is_empty()) {
        text["organisation"] = record.organisation.text();
    }
    return json::serialize(text);
}

outcome<job_record> decode_job_record(std::string_view key,
                                      std::string_view text) {
    const failure invalid{result_code::invalid_document,
                          "not a record of a job"};
    if (!key.starts_with(job_prefix)) {
        return invalid;
    }
    try {
        const json::value source = json::parse(text);
        const json::value* const organisation =
            source.as_object().if_contains("organisation");
        const auto accepted_at =
            source.at("accepted_at").to_number<std::int64_t>();
        if (accepted_at < 0 || accepted_at > max_accepted_at) {
            return invalid;
        }
        return job_record{
            .id = job_id(std::string(key.substr(job_prefix.size()))),
            .route = std::string(source.at("route").as_string()),
            .host = std::string(source.at("host").as_string()),
            .service =
                service_name(std::string(source.at("service").as_string())),
            .total = source.at("total").to_number<std::uint32_t>(),
            .parts = source.at("parts").to_number<std::uint32_t>(),
            .organisation =
                organisation == nullptr
                    ? organisation_id()
                    : organisation_id(std::string(organisation->as_string())),
            .accepted_at = accepted_at,
            .is_ended = source.at("ended").as_bool(),
            .is_complete = source.at("complete").as_bool()};
    } catch (const std::exception&) {
        return invalid;
    }
}

std::string join_rows(const std::vector<std::string>& rows) {
    std::string text;
    for (const std::string& row : rows) {
        text += text.empty() ? "" : "\n";
        text += row;
    }
    return text;
}

std::vector<std::string> split_rows(std::string_view text) {
    std::vector<std::string> rows;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        rows.emplace_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size()
                                                         : end + 1);
    }
    return rows;
}

} // namespace savorydock
