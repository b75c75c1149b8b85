#include "drivers/platform_kv/publisher.hpp"

#include "core/service_document.hpp"
#include "core/text_file.hpp"
#include "servers/configuration/line_diff.hpp"

#include <array>
#include <openssl/rand.h>
#include <random>
#include <set>
#include <thread>

namespace savorydock {

namespace {

/// Timeout of one call to the platform.
constexpr std::chrono::seconds call_timeout{5};
constexpr std::size_t publish_id_octets = 16;

steady_time current_time() {
    return std::chrono::steady_clock::now();
}

// Returns an id that is unique among all publishes of all operators.
std::string make_publish_id() {
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, publish_id_octets> octets{};
    if (RAND_bytes(octets.data(), static_cast<int>(octets.size())) != 1) {
        std::random_device device;
        for (unsigned char& octet : octets) {
            octet = static_cast<unsigned char>(device());
        }
    }
    std::string id;
    for (const unsigned char octet : octets) {
        id += digits[octet / digits.size()];
        id += digits[octet % digits.size()];
    }
    return id;
}

outcome<checked_file> check_service_file(const std::string& file) {
    auto text = read_text_file(file);
    if (!text) {
        return text.reason();
    }
    const auto document = parse_service_document(*text);
    if (!document) {
        return failure{document.reason().code,
                       file + ":\n" + document.reason().detail};
    }
    return checked_file{
        .file = file, .service = document->service, .text = std::move(*text)};
}

} // namespace

outcome<std::vector<checked_file>>
check_service_files(const std::vector<std::string>& files) {
    std::vector<checked_file> checked;
    std::set<service_name> seen;
    failure faults;
    const auto note = [&faults](const failure& reason) {
        faults.code = reason.code;
        faults.detail += (faults.detail.empty() ? "" : "\n") + reason.detail;
    };
    for (const std::string& file : files) {
        auto one = check_service_file(file);
        if (!one) {
            note(one.reason());
            continue;
        }
        if (!seen.insert(one->service).second) {
            note({result_code::invalid_document,
                  file + ": declares " + one->service.text() +
                      ", which another file declares too"});
            continue;
        }
        checked.push_back(std::move(*one));
    }
    if (faults.code != result_code::ok) {
        return faults;
    }
    return checked;
}

publisher::publisher(publisher_options options)
    : options_(std::move(options))
    , random_(std::random_device{}())
    , store_(options_.platform) {}

outcome<std::vector<service_publish>>
publisher::publish_files(const std::vector<std::string>& files,
                         std::optional<store_revision> base) {
    const auto checked = check_service_files(files);
    if (!checked) {
        return checked.reason();
    }
    std::vector<service_publish> results;
    for (const checked_file& file : *checked) {
        results.push_back(publish({.service = file.service,
                                   .publish_id = make_publish_id(),
                                   .operator_name = options_.operator_name,
                                   .text = file.text,
                                   .base = base}));
    }
    return results;
}

service_publish publisher::delete_service(const service_name& service) {
    return publish({.service = service,
                    .publish_id = make_publish_id(),
                    .operator_name = options_.operator_name,
                    .is_deleted = true});
}

service_publish publisher::publish(publish_plan plan) {
    const service_name service = plan.service;
    const steady_time deadline = current_time() + options_.timeout;
    publish_protocol protocol(std::move(plan), deadline, random_);
    publish_step step = protocol.begin();
    while (const auto* request = std::get_if<platform_request>(&step.next)) {
        std::this_thread::sleep_for(step.pause);
        // A call that starts shortly before the deadline still gets its full
        // timeout.
        const auto answer =
            store_.call(*request, current_time() + call_timeout);
        step = protocol.on_reply(answer, current_time());
    }
    return {.service = service,
            .result = std::get<publish_result>(std::move(step.next))};
}

outcome<std::vector<service_difference>>
publisher::diff_files(const std::vector<std::string>& files) {
    const auto checked = check_service_files(files);
    if (!checked) {
        return checked.reason();
    }
    std::vector<service_difference> differences;
    for (const checked_file& file : *checked) {
        auto difference = diff(file);
        if (!difference) {
            return difference.reason();
        }
        differences.push_back(std::move(*difference));
    }
    return differences;
}

outcome<service_difference> publisher::diff(const checked_file& file) {
    const auto answer = store_.call(read_range{.key = key_of(file.service)},
                                    current_time() + call_timeout);
    if (!answer) {
        return answer.reason();
    }
    service_difference result{.file = file.file, .service = file.service};
    std::string present;
    if (!answer->values.empty()) {
        const stored_value& value = answer->values.front();
        const auto envelope = parse_service_envelope(value.value);
        result.revision = value.modified;
        result.operator_name = envelope ? envelope->operator_name : "unknown";
        present = envelope ? envelope->text : value.value;
    }
    result.difference = line_diff(present, file.text);
    return result;
}

} // namespace savorydock
