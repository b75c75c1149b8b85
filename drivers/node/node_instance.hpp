#pragma once

#include "core/logger.hpp"
#include "core/node_settings.hpp"
#include "core/outcome.hpp"

#include <chrono>
#include <memory>
#include <string>

namespace savorydock {

/// One instance on the users' platform. Serves callers and takes part in
/// controlling the engines until it has drained.
class node_instance {
public:
    /// `log` must outlive the instance. `settings_file` is read again when it
    /// changes. Precondition: `settings.caller_listen` is set.
    node_instance(node_settings settings, std::string settings_file,
                  logger& log);
    ~node_instance();
    node_instance(const node_instance&) = delete;
    node_instance& operator=(const node_instance&) = delete;

    /// Serves until SIGTERM or SIGINT, drains and returns whether all requests
    /// were completed. Errors: `invalid_settings` if listening on an address
    /// fails. Blocks the calling thread. Precondition: called once.
    [[nodiscard]] outcome<bool> run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace savorydock
