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
                       "service: " + entry.service.text() +
                           " expected, as in its key"};
    }
    return document;
}

// The valid revision that a peer complete through `from` holds, if the table
// still has it.
const held_revision* patch_base_for(const held_service& held,
                                    store_revision from) {
    if (!held.previous_valid || held.previous_valid->revision > from ||
        held.previous_valid->is_deleted) {
        return nullptr;
    }
    return &*held.previous_valid;
}

configuration_entry valid_entry(const service_name& service,
                                const held_service& held, store_revision from,
                                bool full_texts) {
    configuration_entry entry = to_entry(service, held.valid);
    const held_revision* const base = patch_base_for(held, from);
    if (full_texts || base == nullptr || entry.is_deleted) {
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
    const store_revision valid_revision =
        is_known ? found->second.valid.revision : 0;
    const store_revision newest = is_known ? found->second.newest() : 0;
    // A revision below the refused one can still be the last valid one.
    const bool is_below_refused =
        entry.revision > valid_revision && entry.revision < newest;
    if (entry.revision == 0 ||
        (entry.revision <= newest && !is_below_refused)) {
        return apply_result::stale;
    }
    std::shared_ptr<const service_document> document;
    if (!entry.is_deleted) {
        auto parsed = read_document(entry);
        if (!parsed && is_below_refused) {
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
    if (held.valid.revision != 0) {
        held.previous_valid = std::move(held.valid);
    }
    held.valid = to_held(entry);
    held.document = std::move(document);
    held.in_force_since = now;
    if (held.refused && held.refused->revision < entry.revision) {
        held.refused.reset();
        held.faults.clear();
    }
    view_.reset();
}

void configuration_table::mark_complete_through(store_revision revision) {
    if (revision > complete_through_) {
        complete_through_ = revision;
        view_.reset();
    }
}

std::optional<configuration_entry>
configuration_table::expand_patch(configuration_entry entry) const {
    if (!entry.patch) {
        return entry;
    }
    const auto found = services_.find(entry.service);
    if (found == services_.end()) {
        return {};
    }
    const held_service& held = found->second;
    // `apply` finds such an entry stale without its text.
    if (entry.revision <= held.valid.revision) {
        entry.patch.reset();
        return entry;
    }
    if (held.valid.revision != entry.patch_base) {
        return {};
    }
    auto text = apply_patch(held.valid.text, *entry.patch);
    if (!text) {
        return {};
    }
    entry.text = std::move(*text);
    entry.patch.reset();
    return entry;
}

configuration_delta configuration_table::delta(store_revision from,
                                               bool full_texts,
                                               std::size_t max_bytes) const {
    std::vector<configuration_entry> all;
    for (const auto& [name, held] : services_) {
        if (held.valid.revision > from) {
            all.push_back(valid_entry(name, held, from, full_texts));
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

bool configuration_table::lacks_valid_revision() const {
    return std::any_of(
        services_.begin(), services_.end(),
        [](const auto& service) { return service.second.valid.revision == 0; });
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
                in_force[name] = {.revision = held.valid.revision,
                                  .document = held.document};
            }
        }
        view_ = std::make_shared<const configuration_view>(std::move(in_force),
                                                           complete_through_);
    }
    return view_;
}

} // namespace savorydock
