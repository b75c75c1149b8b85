#include "drivers/platform_kv/blocking_store.hpp"

namespace savorydock {

blocking_store::blocking_store(std::vector<endpoint> addresses)
    : client_(context_, std::move(addresses)) {}

outcome<platform_answer> blocking_store::call(const platform_request& request,
                                              steady_time deadline) {
    outcome<platform_answer> result =
        failure{result_code::platform_unreachable, "no answer"};
    client_.submit(request, deadline,
                   [&result](auto answer) { result = std::move(answer); });
    context_.restart();
    context_.run();
    return result;
}

} // namespace savorydock
