/**
 * @file Encoding of messages and configuration objects as msgpack.
 *
 * A struct is encoded as the array of its fields in the order of visitFields; a message as
 * [number, fields...], where the number is the index in MessageBody. A decoder ignores fields that
 * a newer version has appended to a struct. It rejects a struct with missing fields, except for the
 * last kOptionalFields ones of structs that define this constant. To add an
 * object type, add two functions to codec.cc that use encodeStruct and decodeStruct. Services and
 * policies are compressed if that makes them shorter (wire/payload_compression.h).
 */
#pragma once

#include <string>
#include <string_view>

#include "common/base/result.h"
#include "common/config/region_contacts.h"
#include "common/config/service.h"
#include "common/messages/peer_messages.h"
#include "common/wire/codec_error.h"
#include "common/wire/message.h"

namespace umberhold {

/** @return the encoded message. */
Result<std::string, EncodeError> encode(const Message& message);
/** Decodes untrusted bytes. Memory use is bounded by a small multiple of the input's size. */
Result<Message, DecodeError> decode(std::string_view bytes);

/** Encodes a service as the payload of a ConfigRecord of kind kService. */
Result<std::string, EncodeError> encodeService(const Service& service);
Result<Service, DecodeError> decodeService(std::string_view payload);

/** Encodes a policy as the payload of a ConfigRecord of kind kPolicy. */
Result<std::string, EncodeError> encodePolicy(const Policy& policy);
Result<Policy, DecodeError> decodePolicy(std::string_view payload);

/** Encodes the contacts of a region as the payload of a ConfigRecord of kind kRegionContacts. */
Result<std::string, EncodeError> encodeRegionContacts(const RegionContacts& contacts);
Result<RegionContacts, DecodeError> decodeRegionContacts(std::string_view payload);

/** Encodes a reader's answer to a peer, compressed if that makes it shorter. */
Result<std::string, EncodeError> encodePeerChanges(const PeerChanges& changes);
Result<PeerChanges, DecodeError> decodePeerChanges(std::string_view bytes);

/** Encodes a part of a reader's snapshot of hosts, compressed if that makes it shorter. */
Result<std::string, EncodeError> encodeHostCopyPart(const HostCopyPart& part);
Result<HostCopyPart, DecodeError> decodeHostCopyPart(std::string_view bytes);

/** Encodes a node's report on hosts to its reader; a few bytes per host. */
Result<std::string, EncodeError> encodeHostReport(const HostReport& report);
Result<HostReport, DecodeError> decodeHostReport(std::string_view bytes);

}  // namespace umberhold
