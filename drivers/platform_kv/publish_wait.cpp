#include "drivers/platform_kv/publish_wait.hpp"

#include "drivers/http/http_client.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <thread>

namespace savorydock {

namespace {

namespace json = boost::json;

constexpr unsigned http_ok = 200;
constexpr std::chrono::milliseconds query_timeout{2'000};
constexpr std::chrono::milliseconds query_interval{100};

// Throws std::exception if the status has an unexpected form.
store_revision revision_of(const json::object& status,
                           const service_name& service) {
    const json::value& services =
        status.at("configuration").as_object().at("services");
    for (const json::value& row : services.as_array()) {
        if (row.at("service").as_string() == service.text()) {
            return row.at("revision").to_number<store_revision>();
        }
    }
    return 0;
}

void read_status(const std::string& body,
                 const std::vector<awaited_revision>& revisions,
                 instance_progress& progress) {
    try {
        const json::value parsed = json::parse(body);
        const json::object& status = parsed.as_object();
        progress.instance = status.at("instance").as_string();
        progress.has_all_revisions =
            status.at("configuration").as_object().at("ready").as_bool();
        progress.detail = progress.has_all_revisions ? "" : "starting";
        for (const awaited_revision& awaited : revisions) {
            const store_revision held = revision_of(status, awaited.service);
            if (held < awaited.revision) {
                progress.has_all_revisions = false;
                progress.detail = awaited.service.text() + " is at " +
                                  std::to_string(held) + ", not " +
                                  std::to_string(awaited.revision);
            }
        }
    } catch (const std::exception& error) {
        progress.has_all_revisions = false;
        progress.detail =
            std::string("invalid status response: ") + error.what();
    }
}

void query_status(const std::string& operator_key,
                  const std::vector<awaited_revision>& revisions,
                  instance_progress& progress) {
    const auto answer = call_blocking(
        progress.address,
        {.target = "/v1/status",
         .headers = {{"Authorization", "Bearer " + operator_key}}},
        query_timeout);
    if (!answer) {
        progress.detail = answer.reason().detail;
        return;
    }
    if (answer->status != http_ok) {
        progress.detail = "status " + std::to_string(answer->status);
        return;
    }
    read_status(answer->body, revisions, progress);
}

} // namespace

std::vector<instance_progress>
wait_for_revisions(const std::vector<endpoint>& instances,
                   const std::string& operator_key,
                   const std::vector<awaited_revision>& revisions,
                   std::chrono::milliseconds timeout) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::vector<instance_progress> rows;
    rows.reserve(instances.size());
    for (const endpoint& address : instances) {
        rows.push_back({.address = address});
    }
    while (true) {
        for (instance_progress& row : rows) {
            if (!row.has_all_revisions) {
                query_status(operator_key, revisions, row);
            }
        }
        const bool is_done =
            std::all_of(rows.begin(), rows.end(),
                        [](const auto& row) { return row.has_all_revisions; });
        if (is_done || std::chrono::steady_clock::now() >= end) {
            return rows;
        }
        std::this_thread::sleep_for(query_interval);
    }
}

} // namespace savorydock
