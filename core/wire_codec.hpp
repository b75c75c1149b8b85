#pragma once

#include "core/cbor_shape.hpp"
#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

/// Encodes described structs (BOOST_DESCRIBE_STRUCT) as CBOR arrays, with one
/// element per member in the order of the description. Only add members at the
/// end: the decoder keeps the defaults of members that an older peer does not
/// send, and ignores members that a newer peer has added.
namespace savorydock::wire {

using node = nlohmann::json;

/// The maximum nesting depth of a peer's value, so that no frame can overflow
/// the stack.
inline constexpr int max_depth = 16;

template <class T>
struct is_text_id : std::false_type {};
template <class Tag>
struct is_text_id<text_id<Tag>> : std::true_type {};

template <class T>
struct is_vector : std::false_type {};
template <class T>
struct is_vector<std::vector<T>> : std::true_type {};

template <class T>
struct is_optional : std::false_type {};
template <class T>
struct is_optional<std::optional<T>> : std::true_type {};

template <class T>
struct is_map : std::false_type {};
template <class K, class V>
struct is_map<std::map<K, V>> : std::true_type {};

template <class T>
struct is_duration : std::false_type {};
template <class R, class P>
struct is_duration<std::chrono::duration<R, P>> : std::true_type {};

template <class T>
node to_node(const T& value) {
    if constexpr (is_text_id<T>::value) {
        return value.text();
    } else if constexpr (std::is_enum_v<T>) {
        return static_cast<std::underlying_type_t<T>>(value);
    } else if constexpr (is_duration<T>::value) {
        return value.count();
    } else if constexpr (is_optional<T>::value) {
        return value ? to_node(*value) : node(nullptr);
    } else if constexpr (is_vector<T>::value) {
        node list = node::array();
        for (const auto& element : value) {
            list.push_back(to_node(element));
        }
        return list;
    } else if constexpr (is_map<T>::value) {
        node list = node::array();
        for (const auto& [key, mapped] : value) {
            list.push_back(to_node(key));
            list.push_back(to_node(mapped));
        }
        return list;
    } else if constexpr (boost::describe::has_describe_members<T>::value) {
        node list = node::array();
        boost::mp11::mp_for_each<
            boost::describe::describe_members<T, boost::describe::mod_public>>(
            [&](auto member) {
                list.push_back(to_node(value.*member.pointer));
            });
        return list;
    } else {
        return value;
    }
}

/// Throws std::out_of_range if the node is not a whole number in the range of
/// the type.
template <class T>
T to_whole_number(const node& source) {
    const bool is_in_range =
        source.is_number_unsigned()
            ? std::in_range<T>(source.get<std::uint64_t>())
            : source.is_number_integer() &&
                  std::in_range<T>(source.get<std::int64_t>());
    if (!is_in_range) {
        throw std::out_of_range("expected a whole number in range");
    }
    return source.get<T>();
}

/// Throws nlohmann::json::exception or std::out_of_range if the node does not
/// match the type.
template <class T>
void from_node(const node& source, T& value, int depth = 0) {
    if (depth > max_depth) {
        throw std::out_of_range("nested too deeply");
    }
    if constexpr (is_text_id<T>::value) {
        value = T(source.get<std::string>());
    } else if constexpr (std::is_enum_v<T>) {
        value =
            static_cast<T>(to_whole_number<std::underlying_type_t<T>>(source));
    } else if constexpr (is_duration<T>::value) {
        value = T(to_whole_number<typename T::rep>(source));
    } else if constexpr (is_optional<T>::value) {
        value.reset();
        if (!source.is_null()) {
            from_node(source, value.emplace(), depth + 1);
        }
    } else if constexpr (is_vector<T>::value) {
        value.clear();
        for (const node& element : source) {
            from_node(element, value.emplace_back(), depth + 1);
        }
    } else if constexpr (is_map<T>::value) {
        value.clear();
        for (std::size_t i = 0; i + 1 < source.size(); i += 2) {
            typename T::key_type key{};
            from_node(source.at(i), key, depth + 1);
            from_node(source.at(i + 1), value[key], depth + 1);
        }
    } else if constexpr (boost::describe::has_describe_members<T>::value) {
        if (!source.is_array()) {
            throw std::out_of_range("expected an array");
        }
        std::size_t position = 0;
        boost::mp11::mp_for_each<
            boost::describe::describe_members<T, boost::describe::mod_public>>(
            [&](auto member) {
                if (position < source.size()) {
                    from_node(source[position], value.*member.pointer,
                              depth + 1);
                }
                ++position;
            });
    } else if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>) {
        value = to_whole_number<T>(source);
    } else {
        value = source.get<T>();
    }
}

/// Encodes a described struct as CBOR. Thread safe.
template <class T>
std::string encode(const T& value) {
    std::string bytes;
    node::to_cbor(to_node(value), bytes);
    return bytes;
}

/// Decodes a described struct. Never throws on bad input. Errors: `bad_frame`.
/// Thread safe.
template <class T>
outcome<T> decode(const std::string& bytes) {
    if (!is_bounded_cbor(bytes, max_depth + 1)) {
        return failure{result_code::bad_frame,
                       "not a CBOR value of bounded depth"};
    }
    try {
        T value{};
        from_node(node::from_cbor(bytes), value);
        return value;
    } catch (const std::exception& error) {
        return failure{result_code::bad_frame, error.what()};
    }
}

} // namespace savorydock::wire
