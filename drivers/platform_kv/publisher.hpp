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

/// A service file that was read and checked.
struct checked_file {
    std::string file;
    service_name service;
    std::string text;
};

/// Reads and checks service files. Errors: `not_found`, `invalid_json`,
/// `invalid_document`, with the faults of all files. Thread safe.
[[nodiscard]] outcome<std::vector<checked_file>>
check_service_files(const std::vector<std::string>& files);

/// What a file would change.
struct service_difference {
    std::string file;
    service_name service;
    /// The revision in the store; 0 if the service is not there.
    store_revision revision = 0;
    std::string operator_name;
    /// Lines "-" of the store and "+" of the file; empty if they are equal.
    std::string difference;
};

struct service_publish {
    service_name service;
    publish_result result;
};

struct publisher_options {
    std::vector<endpoint> platform;
    /// Who publishes, as others will be told.
    std::string operator_name;
    /// How long one publish may take until its result is told as it is.
    std::chrono::milliseconds timeout{30'000};
};

/// Publishes service files for an operator. Blocks; not thread safe.
class publisher {
public:
    /// Precondition: there is at least one address of the platform.
    explicit publisher(publisher_options options);

    /// Publishes each file; a result for one does not hinder the others. The
    /// files are all checked before anything is written. Errors: as
    /// `check_service_files`; nothing was written then.
    [[nodiscard]] outcome<std::vector<service_publish>>
    publish_files(const std::vector<std::string>& files,
                  std::optional<store_revision> base = {});

    /// Takes a service out of force everywhere.
    [[nodiscard]] service_publish delete_service(const service_name& service);

    /// Shows what `publish_files` would change. Errors: as
    /// `check_service_files`, or `platform_unreachable`.
    [[nodiscard]] outcome<std::vector<service_difference>>
    diff_files(const std::vector<std::string>& files);

private:
    service_publish run(publish_plan plan);
    outcome<service_difference> diff(const checked_file& file);

    publisher_options options_;
    seeded_random_source random_;
    blocking_store store_;
};

} // namespace savorydock
