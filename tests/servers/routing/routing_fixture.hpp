#pragma once

#include "servers/routing/snapshot_router.hpp"

#include <map>
#include <memory>
#include <string>

namespace savorydock {

/// Holds the document and upstream states of one service and publishes them to
/// a router, for tests and benchmarks.
class routing_fixture {
public:
    explicit routing_fixture(std::uint32_t upstreams, routing_policy_kind kind,
                             std::uint32_t zones = 4)
        : document_(std::make_shared<service_document>()) {
        document_->service = service_name("model");
        document_->routing = kind;
        document_->classes = {
            {.name = class_name("batch")},
            {.name = class_name("prompt"), .is_interactive = true}};
        for (std::uint32_t at = 0; at < upstreams; ++at) {
            document_->upstreams.push_back(
                {.name = upstream_id("u" + std::to_string(at)),
                 .zone = availability_zone("z" + std::to_string(at % zones)),
                 .address = {"127.0.0.1", 9},
                 .slots = 16});
            states_[{document_->service, upstream_id("u" + std::to_string(at))}]
                .version = 1;
        }
        service_ = {1, document_};
    }

    upstream_state& state(std::uint32_t at) {
        return states_.at({document_->service, name(at)});
    }

    static upstream_id name(std::uint32_t at) {
        return upstream_id("u" + std::to_string(at));
    }

    void publish(upstream_router& router) {
        router.publish(std::make_shared<const configuration_view>(
                           std::map<service_name, service_in_force>{
                               {document_->service, service_}},
                           1),
                       std::make_shared<const upstream_state_map>(states_));
    }

    /// Replaces the document from the next publication on.
    void replace_document(std::shared_ptr<service_document> document) {
        document_ = std::move(document);
        service_ = {service_.revision + 1, document_};
    }

    [[nodiscard]] const service_document& document() const {
        return *document_;
    }

    [[nodiscard]] route_query query() const {
        return {.service = service_, .class_of_service = class_name("batch")};
    }

private:
    std::shared_ptr<service_document> document_;
    service_in_force service_;
    upstream_state_map states_;
};

} // namespace savorydock
