#pragma once

#include "core/logger.hpp"
#include "core/node_settings.hpp"
#include "core/outcome.hpp"

#include <chrono>
#include <memory>
#include <string>

namespace savorydock {

/// One instance on the users' platform: serves callers, and takes its part in
/// the control of the engines. Runs until it has drained.
class node_instance {
public:
    /// `log` must outlive the instance. `settings_file` is read again when it
    /// changes. Precondition: `settings` has an address for callers.
    node_instance(node_settings settings, std::string settings_file,
                  logger& log);
    ~node_instance();
    node_instance(const node_instance&) = delete;
    node_instance& operator=(const node_instance&) = delete;

    /// Serves until SIGTERM or SIGINT and a drain. Returns whether no request
    /// was cut off. Errors: `invalid_settings` if an address can't be listened
    /// on. Blocks the calling thread. Precondition: called once.
    [[nodiscard]] outcome<bool> run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace savorydock
