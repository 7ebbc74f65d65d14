"""Conversion between core types and protobuf messages of peers."""

from gypsummount._core.amounts import Amount
from gypsummount._core.canary_analysis import Evidence
from gypsummount._core.canary_analysis import Veto
from gypsummount._core.keys import KeyRecord
from gypsummount._core.membership import Beat
from gypsummount._core.membership import EntryInfo
from gypsummount._core.membership import Member
from gypsummount._core.membership import RecordVersion
from gypsummount._core.membership import ServiceLoad
from gypsummount._proto import peer_pb2


def pack_amount(amount: Amount) -> peer_pb2.Amount:
    """Return the protobuf message for a rate and burst."""
    return peer_pb2.Amount(rate=amount.rate, burst=amount.burst)


def unpack_amount(message: peer_pb2.Amount) -> Amount:
    """Return a rate and burst from its protobuf message."""
    return Amount(message.rate, message.burst)


def pack_veto(veto: Veto) -> peer_pb2.Veto:
    """Return the protobuf message for a rollout veto."""
    return peer_pb2.Veto(
        rollout=veto.rollout, attempt=veto.attempt, reason=veto.reason
    )


def unpack_veto(message: peer_pb2.Veto) -> Veto:
    """Return a rollout veto from its protobuf message."""
    return Veto(message.rollout, message.attempt, message.reason)


def pack_evidence(evidence: Evidence) -> peer_pb2.Evidence:
    """Return the protobuf message for canary evidence."""
    return peer_pb2.Evidence(
        rollout=evidence.rollout,
        attempt=evidence.attempt,
        route=evidence.route,
        answers=evidence.answers,
        failures=evidence.failures,
        slow=evidence.slow,
        timed=evidence.timed,
        old_answers=evidence.old_answers,
        old_failures=evidence.old_failures,
    )


def unpack_evidence(message: peer_pb2.Evidence) -> Evidence:
    """Return canary evidence from its protobuf message."""
    return Evidence(
        message.rollout,
        message.attempt,
        message.route,
        message.answers,
        message.failures,
        message.slow,
        message.timed,
        message.old_answers,
        message.old_failures,
    )


def pack_entry(entry: EntryInfo) -> peer_pb2.EntryInfo:
    """Return the protobuf message for the state of an entry."""
    return peer_pb2.EntryInfo(
        name=entry.name,
        token=entry.token,
        http_address=entry.http_address,
        peer_address=entry.peer_address,
        phase=entry.phase,
        loads=[
            peer_pb2.ServiceLoad(
                service=load.service, free=load.free, total=load.total
            )
            for load in entry.loads
        ],
        evidence=[pack_evidence(evidence) for evidence in entry.evidence],
    )


def unpack_entry(message: peer_pb2.EntryInfo) -> EntryInfo:
    """Return the state of an entry from its protobuf message."""
    return EntryInfo(
        message.name,
        message.token,
        message.http_address,
        message.peer_address,
        message.phase,
        tuple(
            ServiceLoad(load.service, load.free, load.total)
            for load in message.loads
        ),
        tuple(unpack_evidence(evidence) for evidence in message.evidence),
    )


def pack_member(member: Member) -> peer_pb2.Member:
    """Return the protobuf message for the record of an agent."""
    return peer_pb2.Member(
        instance=member.instance,
        incarnation=member.incarnation,
        started=member.started,
        beat=member.beat,
        domain=member.domain,
        region=member.region,
        address=member.address,
        phase=member.phase,
        config_serial=member.config_serial,
        keys_serial=member.keys_serial,
        store_age_s=member.store_age_s,
        entries=[pack_entry(entry) for entry in member.entries],
        vetoes=[pack_veto(veto) for veto in member.vetoes],
        revision=member.revision,
    )


def unpack_member(message: peer_pb2.Member) -> Member:
    """Return the record of an agent from its protobuf message."""
    return Member(
        message.instance,
        message.incarnation,
        message.started,
        message.beat,
        message.domain,
        message.region,
        message.address,
        message.phase,
        message.config_serial,
        message.keys_serial,
        message.store_age_s,
        tuple(unpack_entry(entry) for entry in message.entries),
        tuple(unpack_veto(veto) for veto in message.vetoes),
        message.revision,
    )


def pack_beat(beat: Beat) -> peer_pb2.Beat:
    """Return the protobuf message for a heartbeat."""
    return peer_pb2.Beat(
        instance=beat.instance,
        started=beat.version.started,
        beat=beat.beat,
        revision=beat.version.revision,
        store_age_s=beat.store_age_s,
    )


def unpack_beat(message: peer_pb2.Beat) -> Beat:
    """Return a heartbeat from its protobuf message."""
    version = RecordVersion(message.started, message.revision)
    return Beat(message.instance, version, message.beat, message.store_age_s)


def pack_key(record: KeyRecord) -> peer_pb2.KeyRecord:
    """Return the protobuf message for a key record."""
    return peer_pb2.KeyRecord(
        key_id=record.key_id,
        workspace=record.workspace,
        digest=record.digest,
        ends_at=record.ends_at,
        asked_by=record.asked_by,
    )


def unpack_key(message: peer_pb2.KeyRecord) -> KeyRecord:
    """Return a key record from its protobuf message."""
    return KeyRecord(
        message.key_id,
        message.workspace,
        message.digest,
        message.ends_at,
        message.asked_by,
    )
