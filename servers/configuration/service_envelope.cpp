#include "servers/configuration/service_envelope.hpp"

#include "core/object_reader.hpp"

#include <boost/json.hpp>

#include <limits>

namespace savorydock {

namespace {

namespace json = boost::json;

constexpr integer_range revision_range{
    0, std::numeric_limits<std::int64_t>::max()};

publish_record read_record(object_reader& reader) {
    return {
        .publish_id = reader.text("publish_id"),
        .operator_name = reader.text("operator"),
        .revision = static_cast<store_revision>(
            reader.integer("revision", revision_range)),
    };
}

} // namespace

std::string key_of(const service_name& service) {
    return std::string(service_prefix) + service.text();
}

service_name service_of(std::string_view key) {
    return service_name(std::string(key.substr(service_prefix.size())));
}

std::string to_stored_text(const service_envelope& envelope) {
    json::array history;
    for (const publish_record& record : envelope.history) {
        history.push_back(json::object{{"publish_id", record.publish_id},
                                       {"operator", record.operator_name},
                                       {"revision", record.revision}});
    }
    json::object stored{{"publish_id", envelope.publish_id},
                        {"operator", envelope.operator_name},
                        {"history", std::move(history)}};
    if (envelope.is_deleted) {
        stored["deleted"] = true;
    } else {
        stored["document"] = envelope.text;
    }
    return json::serialize(stored);
}

outcome<service_envelope> parse_service_envelope(std::string_view text) {
    const auto parsed = parse_commented_json(text);
    if (!parsed) {
        return failure{result_code::invalid_document, parsed.reason().detail};
    }
    std::vector<document_fault> faults;
    object_reader root(*parsed, "", faults);
    service_envelope envelope{
        .publish_id = root.text("publish_id"),
        .operator_name = root.text("operator"),
        .is_deleted = root.boolean("deleted", false),
    };
    if (!envelope.is_deleted) {
        envelope.text = root.text("document");
    }
    root.objects("history", true, [&](object_reader& reader) {
        envelope.history.push_back(read_record(reader));
    });
    if (!faults.empty()) {
        return failure{result_code::invalid_document, to_text(faults)};
    }
    return envelope;
}

} // namespace savorydock
