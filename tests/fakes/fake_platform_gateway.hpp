#pragma once

#include "tests/fakes/fake_platform_store.hpp"

#include <boost/json/object.hpp>

#include <string_view>

namespace savorydock {

/// Executes one JSON gateway call on a store. Returns nothing for an unknown
/// path. Throws std::exception on a malformed body.
[[nodiscard]] std::optional<boost::json::object>
execute_gateway_call(fake_platform_store& store, std::string_view path,
                     const boost::json::object& body, steady_time now);

/// The parameters of a watch.
struct fake_watch {
    fake_key_range range;
    store_revision start = 0;
};

/// Parses the body of a watch request. Throws std::exception on a malformed
/// body.
[[nodiscard]] fake_watch read_gateway_watch(const boost::json::object& body);

/// The first message of a watch. It cancels the watch if history from `start`
/// on has been compacted.
[[nodiscard]] boost::json::object
gateway_watch_created(const fake_platform_store& store,
                      const fake_watch& watch);

/// The message that reports `changes` to a watch.
[[nodiscard]] boost::json::object
gateway_watch_events(const fake_platform_store& store,
                     const std::vector<fake_store_change>& changes);

} // namespace savorydock
