#include "ctl/submit.h"

#include "config/config_section.h"
#include "store/store_api.h"

#include <algorithm>

namespace cove {

namespace {

submit_report make_failure(submit_verdict verdict, generation number, step_error error)
{
    return {verdict, number, {}, std::move(error)};
}

std::string history_object(generation number)
{
    return store_api::history_prefix + std::to_string(number.value);
}

} // namespace

char const* to_string(submit_verdict verdict)
{
    switch (verdict) {
    case submit_verdict::accepted:
        return "accepted";
    case submit_verdict::unchanged:
        return "unchanged";
    case submit_verdict::conflict:
        return "conflict";
    case submit_verdict::not_accepted:
        return "not_accepted";
    case submit_verdict::not_known:
        break;
    }
    return "not_known";
}

store_result<current_manifest> read_current(object_client& store)
{
    auto const object = store.read(store_api::manifest_object);
    if (!object) {
        if (object.error().kind == store_failure::not_found) {
            return current_manifest{};
        }
        return tl::make_unexpected(object.error());
    }
    auto manifest = parse_manifest(object->value, store_api::manifest_object);
    if (!manifest) {
        return tl::make_unexpected(store_error{store_failure::rejected, manifest.error()});
    }
    return current_manifest{std::move(*manifest), object->version};
}

store_result<config_manifest> read_generation(object_client& store, generation number)
{
    auto const current = read_current(store);
    if (!current || current->manifest.number == number) {
        return current.map([](current_manifest const& found) { return found.manifest; });
    }
    std::string const name = history_object(number);
    auto const object = store.read(name);
    if (!object) {
        return tl::make_unexpected(object.error());
    }
    auto manifest = parse_manifest(object->value, name);
    if (!manifest) {
        return tl::make_unexpected(store_error{store_failure::rejected, manifest.error()});
    }
    return std::move(*manifest);
}

result<deployment> read_configuration(object_client& store, config_manifest const& manifest)
{
    if (manifest.number.value == 0) {
        return deployment{};
    }
    std::vector<config_section> sections;
    for (section_ref const& ref : manifest.sections) {
        auto object = store.read(store_api::section_prefix + ref.hash);
        if (!object) {
            return tl::make_unexpected(object.error().details);
        }
        sections.push_back({ref, make_payload(std::move(object->value))});
    }
    return join_sections(sections, "generation " + std::to_string(manifest.number.value));
}

submitter::submitter(object_client& store, int max_attempts, std::function<void()> pause)
    : store_(store), max_attempts_(max_attempts), pause_(std::move(pause))
{
}

/**
 * Writes an object that must not exist yet. A conflict counts as success, because every writer of
 * such an object writes the same value: sections are named by their hash, and the manifest of a
 * past generation does not change.
 */
result<void> submitter::write_if_absent(std::string const& name, std::string const& value)
{
    store_error last;
    for (int i = 0; i < max_attempts_; ++i) {
        auto const written = store_.write(name, value, 0);
        if (written || written.error().kind == store_failure::conflict) {
            return {};
        }
        last = written.error();
        if (last.kind == store_failure::rejected) {
            break;
        }
        pause_();
    }
    return tl::make_unexpected(last.details);
}

result<void> submitter::write_sections_and_history(std::vector<config_section> const& sections,
                                                   config_manifest const& current)
{
    for (config_section const& section : sections) {
        if (std::ranges::find(current.sections, section.ref) != current.sections.end()) {
            continue;
        }
        auto written = write_if_absent(store_api::section_prefix + section.ref.hash, *section.text);
        if (!written) {
            return written;
        }
    }
    if (current.number.value == 0) {
        return {};
    }
    return write_if_absent(history_object(current.number), print_manifest(current));
}

submit_report submitter::conflict(generation base, config_manifest const& current)
{
    submit_report out;
    out.verdict = submit_verdict::conflict;
    out.number = current.number;
    out.error = {"submit.condition", store_api::manifest_object,
                 "generation " + std::to_string(current.number.value) +
                     " is the newest; the change is based on generation " +
                     std::to_string(base.value)};
    auto const old_manifest =
        base.value == 0 ? store_result<config_manifest>{} : read_generation(store_, base);
    auto const before = old_manifest
                            ? read_configuration(store_, *old_manifest)
                            : result<deployment>(tl::make_unexpected(old_manifest.error().details));
    auto const after = read_configuration(store_, current);
    if (before && after) {
        out.changes = diff_deployments(*before, *after);
    }
    else {
        out.changes = {"not available: " + to_string(before ? after.error() : before.error())};
    }
    return out;
}

/**
 * Reads the store after a failed write of the manifest @p next.
 * @return accepted if the write took effect, conflict if another submit made the generation,
 * nothing if the generation does not exist or the store cannot be read.
 */
std::optional<submit_report> submitter::find_write_outcome(config_manifest const& next)
{
    auto const current = read_current(store_);
    if (!current) {
        return std::nullopt;
    }
    if (current->manifest.number < next.number) {
        return std::nullopt;
    }
    auto const written = read_generation(store_, next.number);
    if (!written) {
        return std::nullopt;
    }
    if (written->submit_id == next.submit_id) {
        return submit_report{submit_verdict::accepted, next.number, {}, {}};
    }
    return conflict(generation{next.number.value - 1}, current->manifest);
}

submit_report submitter::write_manifest(config_manifest const& next, std::uint64_t version)
{
    std::string const text = print_manifest(next);
    generation const base{next.number.value - 1};
    bool may_have_taken_effect = false;
    store_error last;
    for (int i = 0; i < max_attempts_; ++i) {
        auto const written = store_.write(store_api::manifest_object, text, version);
        if (written) {
            return {submit_verdict::accepted, next.number, {}, {}};
        }
        last = written.error();
        if (last.kind == store_failure::rejected) {
            break;
        }
        may_have_taken_effect = may_have_taken_effect || last.kind == store_failure::not_known;
        if (auto const found = find_write_outcome(next)) {
            return *found;
        }
        pause_();
    }
    auto const verdict =
        may_have_taken_effect ? submit_verdict::not_known : submit_verdict::not_accepted;
    return make_failure(verdict, base, last.details);
}

submit_report submitter::submit(submit_request const& request)
{
    auto const sections = split_sections(request.config);
    if (!sections) {
        return make_failure(submit_verdict::not_accepted, request.base, sections.error());
    }
    auto const current = read_current(store_);
    if (!current) {
        return make_failure(submit_verdict::not_accepted, request.base, current.error().details);
    }
    if (current->manifest.sections == section_refs(*sections)) {
        return {submit_verdict::unchanged, current->manifest.number, {}, {}};
    }
    if (current->manifest.number != request.base) {
        return conflict(request.base, current->manifest);
    }
    if (auto const written = write_sections_and_history(*sections, current->manifest); !written) {
        return make_failure(submit_verdict::not_accepted, request.base, written.error());
    }
    config_manifest const next{generation{request.base.value + 1}, request.submit_id,
                               section_refs(*sections)};
    return write_manifest(next, current->version);
}

} // namespace cove
