#pragma once

#include "core/endpoint.hpp"
#include "core/outcome.hpp"
#include "core/random_source.hpp"
#include "drivers/platform_kv/blocking_store.hpp"
#include "servers/configuration/publish_protocol.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// A service file that was read and validated.
struct checked_file {
    std::string file;
    service_name service;
    std::string text;
};

/// Reads and validates service files. Errors: `not_found`, `invalid_json`,
/// `invalid_document`; the detail lists the faults of all files. Thread safe.
[[nodiscard]] outcome<std::vector<checked_file>>
check_service_files(const std::vector<std::string>& files);

/// The difference between a file and the service in the store.
struct service_difference {
    std::string file;
    service_name service;
    /// The revision in the store; 0 if the service doesn't exist there.
    store_revision revision = 0;
    std::string operator_name;
    /// A line diff: "-" for the store, "+" for the file; empty if equal.
    std::string difference;
};

struct service_publish {
    service_name service;
    publish_result result;
};

struct publisher_options {
    std::vector<endpoint> platform;
    /// The name of the publishing operator, as shown to other operators.
    std::string operator_name;
    /// How long one publish may take. After that, the result known so far is
    /// returned.
    std::chrono::milliseconds timeout{30'000};
};

/// Publishes service files for an operator. Blocks; not thread safe.
class publisher {
public:
    /// Precondition: there is at least one address of the platform.
    explicit publisher(publisher_options options);

    /// Publishes each file, independently of the results of the others. All
    /// files are validated before anything is written. Errors: as
    /// `check_service_files`; then nothing was written.
    [[nodiscard]] outcome<std::vector<service_publish>>
    publish_files(const std::vector<std::string>& files,
                  std::optional<store_revision> base = {});

    /// Deletes a service on all instances.
    [[nodiscard]] service_publish delete_service(const service_name& service);

    /// Returns what `publish_files` would change. Errors: as
    /// `check_service_files`, or `platform_unreachable`.
    [[nodiscard]] outcome<std::vector<service_difference>>
    diff_files(const std::vector<std::string>& files);

private:
    service_publish publish(publish_plan plan);
    outcome<service_difference> diff(const checked_file& file);

    publisher_options options_;
    seeded_random_source random_;
    blocking_store store_;
};

} // namespace savorydock
