#include "config/config_codec.h"

#include "config/config_json.h"
#include "proto/gen/bridge.pb.h"
#include "proto/gen/config.pb.h"

#include <boost/algorithm/hex.hpp>
#include <iterator>

namespace cove {

namespace {

/** @return the bytes that @p hash encodes in hex; empty when it is not valid hex. */
std::string pack_hash(std::string const& hash)
{
    std::string packed;
    try {
        boost::algorithm::unhex(hash, std::back_inserter(packed));
    }
    catch (boost::algorithm::hex_decode_error const&) {
        packed.clear();
    }
    return packed;
}

/** @return @p packed in lower-case hex. */
std::string unpack_hash(std::string const& packed)
{
    return boost::algorithm::hex_lower(packed);
}

void write_ref(section_ref const& ref, wire::SectionRef& out)
{
    out.set_name(ref.name);
    out.set_hash(pack_hash(ref.hash));
}

section_ref read_ref(wire::SectionRef const& in)
{
    return {in.name(), unpack_hash(in.hash())};
}

void write_manifest(config_manifest const& manifest, wire::ConfigManifest& out)
{
    out.set_generation(manifest.number.value);
    out.set_submit_id(manifest.submit_id);
    for (section_ref const& ref : manifest.sections) {
        write_ref(ref, *out.add_sections());
    }
}

config_manifest read_manifest(wire::ConfigManifest const& in)
{
    config_manifest out{generation{in.generation()}, in.submit_id(), {}};
    for (auto const& ref : in.sections()) {
        out.sections.push_back(read_ref(ref));
    }
    return out;
}

void write_sections(config_sections const& message, wire::ConfigSections& out)
{
    for (config_section const& section : message.sections) {
        auto& w = *out.add_sections();
        write_ref(section.ref, *w.mutable_ref());
        w.set_text(bytes_of(section.text));
    }
}

config_sections read_sections(wire::ConfigSections const& in)
{
    config_sections out;
    for (auto const& section : in.sections()) {
        out.sections.push_back({read_ref(section.ref()), make_payload(section.text())});
    }
    return out;
}

} // namespace

bool encode_config(peer_message const& message, wire::ConfigMessage& out)
{
    if (auto const* offer = std::get_if<config_offer>(&message)) {
        out.mutable_offer()->set_generation(offer->number.value);
    }
    else if (auto const* fetch = std::get_if<config_fetch>(&message)) {
        out.mutable_fetch()->set_manifest(fetch->manifest);
        for (std::string const& hash : fetch->hashes) {
            out.mutable_fetch()->add_hashes(pack_hash(hash));
        }
    }
    else if (auto const* manifest = std::get_if<config_manifest>(&message)) {
        write_manifest(*manifest, *out.mutable_manifest());
    }
    else if (auto const* sections = std::get_if<config_sections>(&message)) {
        write_sections(*sections, *out.mutable_sections());
    }
    else {
        return false;
    }
    return true;
}

std::optional<peer_message> decode_config(wire::ConfigMessage const& in)
{
    switch (in.body_case()) {
    case wire::ConfigMessage::kOffer:
        return config_offer{generation{in.offer().generation()}};
    case wire::ConfigMessage::kFetch: {
        config_fetch out{in.fetch().manifest(), {}};
        for (std::string const& hash : in.fetch().hashes()) {
            out.hashes.push_back(unpack_hash(hash));
        }
        return out;
    }
    case wire::ConfigMessage::kManifest:
        return read_manifest(in.manifest());
    case wire::ConfigMessage::kSections:
        return read_sections(in.sections());
    case wire::ConfigMessage::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

bool encode_bridge(peer_message const& message, wire::BridgeMessage& out)
{
    if (auto const* role = std::get_if<bridge_role>(&message)) {
        out.mutable_role()->set_watch(role->watch);
        out.mutable_role()->set_generation(role->number.value);
        out.mutable_role()->set_host_list_version(role->host_list_version);
    }
    else if (auto const* hosts = std::get_if<bridge_host_list>(&message)) {
        out.mutable_host_list()->set_json(hosts->json);
    }
    else {
        return false;
    }
    return true;
}

std::optional<peer_message> decode_bridge(wire::BridgeMessage const& in)
{
    switch (in.body_case()) {
    case wire::BridgeMessage::kRole:
        return bridge_role{in.role().watch(), generation{in.role().generation()},
                           in.role().host_list_version()};
    case wire::BridgeMessage::kHostList: {
        auto hosts = parse_host_list(in.host_list().json(), "bridge");
        if (!hosts) {
            return std::nullopt;
        }
        return bridge_host_list{{}, std::make_shared<host_list const>(std::move(*hosts))};
    }
    case wire::BridgeMessage::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace cove
