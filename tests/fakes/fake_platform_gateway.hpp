#pragma once

#include "tests/fakes/fake_platform_store.hpp"

#include <boost/json/object.hpp>

#include <string_view>

namespace savorydock {

/// Carries out one call of the JSON gateway on a store. Returns nothing if
/// there is no such path. Throws std::exception on a malformed body.
[[nodiscard]] std::optional<boost::json::object>
carry_out_gateway_call(fake_platform_store& store, std::string_view path,
                       const boost::json::object& body, steady_time now);

/// What a watch asks for.
struct fake_watch {
    fake_key_range range;
    store_revision start = 0;
};

/// Reads the body of a watch. Throws std::exception on a malformed body.
[[nodiscard]] fake_watch read_gateway_watch(const boost::json::object& body);

/// The message that begins a watch, or that ends it if `start` is compacted.
[[nodiscard]] boost::json::object
gateway_watch_created(const fake_platform_store& store,
                      const fake_watch& asked);

/// The message that tells changes.
[[nodiscard]] boost::json::object
gateway_watch_events(const fake_platform_store& store,
                     const std::vector<fake_store_change>& changes);

} // namespace savorydock
