#include "servers/configuration/configuration_table.hpp"

#include <algorithm>

namespace savorydock {

namespace {

const std::string no_faults;

held_revision to_held(const configuration_entry& entry) {
    return {
        .revision = entry.revision,
        .is_deleted = entry.is_deleted,
        .publish_id = entry.publish_id,
        .operator_name = entry.operator_name,
        .text = entry.text,
    };
}

configuration_entry to_entry(const service_name& service,
                             const held_revision& held) {
    return {
        .service = service,
        .revision = held.revision,
        .is_deleted = held.is_deleted,
        .publish_id = held.publish_id,
        .operator_name = held.operator_name,
        .text = held.text,
    };
}

outcome<service_document> read_document(const configuration_entry& entry) {
    auto document = parse_service_document(entry.text);
    if (document && document->service != entry.service) {
        return failure{result_code::invalid_document,
                       "service: " + entry.service.text() + ", as the key"};
    }
    return document;
}

// What a peer at `from` holds, if the table still knows it.
const held_revision* base_of(const held_service& held, store_revision from) {
    if (!held.previous || held.previous->revision > from ||
        held.previous->is_deleted) {
        return nullptr;
    }
    return &*held.previous;
}

configuration_entry good_entry(const service_name& service,
                               const held_service& held, store_revision from,
                               bool whole_texts) {
    configuration_entry entry = to_entry(service, held.good);
    const held_revision* const base = base_of(held, from);
    if (whole_texts || base == nullptr || entry.is_deleted) {
        return entry;
    }
    entry.patch = make_patch(base->text, entry.text);
    entry.patch_base = base->revision;
    entry.text.clear();
    return entry;
}

std::size_t size_of(const configuration_entry& entry) {
    constexpr std::size_t overhead = 64;
    return overhead + entry.service.text().size() + entry.text.size() +
           entry.publish_id.size() + entry.operator_name.size() +
           (entry.patch ? entry.patch->middle.size() : 0);
}

} // namespace

apply_result configuration_table::apply(const configuration_entry& entry,
                                        steady_time now) {
    const auto found = services_.find(entry.service);
    const bool is_known = found != services_.end();
    const store_revision good = is_known ? found->second.good.revision : 0;
    const store_revision newest = is_known ? found->second.newest() : 0;
    // A good revision is still wanted below one that was refused.
    const bool is_good_wanted =
        entry.revision > good && entry.revision < newest;
    if (entry.revision == 0 || (entry.revision <= newest && !is_good_wanted)) {
        return apply_result::stale;
    }
    std::shared_ptr<const service_document> document;
    if (!entry.is_deleted) {
        auto parsed = read_document(entry);
        if (!parsed && is_good_wanted) {
            return apply_result::stale;
        }
        held_service& held = services_[entry.service];
        if (!parsed) {
            held.refused = to_held(entry);
            held.faults = parsed.reason().detail;
            return apply_result::refused;
        }
        document = std::make_shared<const service_document>(std::move(*parsed));
    }
    put_in_force(services_[entry.service], entry, std::move(document), now);
    return apply_result::in_force;
}

void configuration_table::put_in_force(
    held_service& held, const configuration_entry& entry,
    std::shared_ptr<const service_document> document, steady_time now) {
    if (held.good.revision != 0) {
        held.previous = std::move(held.good);
    }
    held.good = to_held(entry);
    held.document = std::move(document);
    held.in_force_since = now;
    if (held.refused && held.refused->revision < entry.revision) {
        held.refused.reset();
        held.faults.clear();
    }
    view_.reset();
}

void configuration_table::complete_through(store_revision revision) {
    if (revision > complete_through_) {
        complete_through_ = revision;
        view_.reset();
    }
}

std::optional<configuration_entry>
configuration_table::whole(configuration_entry entry) const {
    if (!entry.patch) {
        return entry;
    }
    const auto found = services_.find(entry.service);
    if (found == services_.end()) {
        return {};
    }
    const held_service& held = found->second;
    // What is held already needs no text to be found stale.
    if (entry.revision <= held.good.revision) {
        entry.patch.reset();
        return entry;
    }
    if (held.good.revision != entry.patch_base) {
        return {};
    }
    auto text = apply_patch(held.good.text, *entry.patch);
    if (!text) {
        return {};
    }
    entry.text = std::move(*text);
    entry.patch.reset();
    return entry;
}

configuration_delta configuration_table::delta(store_revision from,
                                               bool whole_texts,
                                               std::size_t max_bytes) const {
    std::vector<configuration_entry> all;
    for (const auto& [name, held] : services_) {
        if (held.good.revision > from) {
            all.push_back(good_entry(name, held, from, whole_texts));
        }
        if (held.refused && held.refused->revision > from) {
            all.push_back(to_entry(name, *held.refused));
        }
    }
    std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) {
        return left.revision < right.revision;
    });
    configuration_delta result{.to = complete_through_};
    std::size_t bytes = 0;
    for (configuration_entry& entry : all) {
        bytes += size_of(entry);
        if (bytes > max_bytes && !result.entries.empty()) {
            result.to = result.entries.back().revision;
            break;
        }
        result.entries.push_back(std::move(entry));
    }
    return result;
}

bool configuration_table::lacks_good_revision() const {
    return std::any_of(
        services_.begin(), services_.end(),
        [](const auto& service) { return service.second.good.revision == 0; });
}

const std::string&
configuration_table::faults_of(const service_name& name) const {
    const auto found = services_.find(name);
    return found == services_.end() ? no_faults : found->second.faults;
}

std::shared_ptr<const configuration_view> configuration_table::view() const {
    if (!view_) {
        std::map<service_name, service_in_force> in_force;
        for (const auto& [name, held] : services_) {
            if (held.document != nullptr) {
                in_force[name] = {.revision = held.good.revision,
                                  .document = held.document};
            }
        }
        view_ = std::make_shared<const configuration_view>(std::move(in_force),
                                                           complete_through_);
    }
    return view_;
}

} // namespace savorydock
