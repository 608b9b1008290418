/// \file
/// Which members of each message go over the wire, and in which order. A change
/// here needs a new PeerProtocolVersion.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <tuple>

namespace crocuswood::wire {

/// `Members` lists the members of \p Type as pointers to members, in the order
/// of the array that carries them.
template <class Type> struct schema;

/// A type that travels as an array of its members.
template <class Type>
concept record = requires {
  schema<Type>::Members;
};

template <> struct schema<hybrid_time> {
  static constexpr auto Members =
      std::make_tuple(&hybrid_time::WallMicroseconds, &hybrid_time::Counter);
};

template <> struct schema<process_id> {
  static constexpr auto Members =
      std::make_tuple(&process_id::Name, &process_id::Incarnation);
};

template <> struct schema<job_id> {
  static constexpr auto Members =
      std::make_tuple(&job_id::Entry, &job_id::Sequence);
};

template <> struct schema<task_id> {
  static constexpr auto Members =
      std::make_tuple(&task_id::Job, &task_id::Index);
};

template <> struct schema<peer_address> {
  static constexpr auto Members =
      std::make_tuple(&peer_address::Host, &peer_address::Port);
};

template <> struct schema<endpoint_report> {
  static constexpr auto Members =
      std::make_tuple(&endpoint_report::State, &endpoint_report::Classes,
                      &endpoint_report::Slots, &endpoint_report::MemoryBytes,
                      &endpoint_report::Accelerators,
                      &endpoint_report::MilliCores, &endpoint_report::ColdLeft);
};

template <> struct schema<queued_work> {
  static constexpr auto Members = std::make_tuple(
      &queued_work::Priority, &queued_work::RunTime, &queued_work::Room);
};

template <> struct schema<class_room> {
  static constexpr auto Members =
      std::make_tuple(&class_room::Class, &class_room::Room);
};

template <> struct schema<companion_load> {
  static constexpr auto Members =
      std::make_tuple(&companion_load::Sequence, &companion_load::Running,
                      &companion_load::Queued, &companion_load::QueuedWork,
                      &companion_load::UsedRoom, &companion_load::QueuedRoom,
                      &companion_load::Slowness, &companion_load::ClassRooms);
};

template <> struct schema<companion_hello> {
  static constexpr auto Members =
      std::make_tuple(&companion_hello::Version, &companion_hello::Companion,
                      &companion_hello::Zone, &companion_hello::Operators,
                      &companion_hello::ConfigurationRevision,
                      &companion_hello::Endpoint, &companion_hello::Load);
};

template <> struct schema<entry_hello> {
  static constexpr auto Members = std::make_tuple(
      &entry_hello::Version, &entry_hello::Entry, &entry_hello::Zone,
      &entry_hello::ConfigurationRevision, &entry_hello::KnownEntries);
};

template <> struct schema<companion_heartbeat> {
  static constexpr auto Members = std::make_tuple(
      &companion_heartbeat::ConfigurationRevision, &companion_heartbeat::Load,
      &companion_heartbeat::Entries);
};

template <> struct schema<entry_heartbeat> {
  static constexpr auto Members = std::make_tuple(
      &entry_heartbeat::ConfigurationRevision,
      &entry_heartbeat::KnownEntriesDigest, &entry_heartbeat::Stopping,
      &entry_heartbeat::LeavingSeen);
};

template <> struct schema<lease_request> {
  static constexpr auto Members = std::make_tuple(&lease_request::At);
};

template <> struct schema<lease_grant> {
  static constexpr auto Members = std::make_tuple(&lease_grant::At);
};

template <> struct schema<entry_list> {
  static constexpr auto Members = std::make_tuple(&entry_list::Entries);
};

template <> struct schema<class_spec> {
  static constexpr auto Members = std::make_tuple(
      &class_spec::Name, &class_spec::AnswerWithin, &class_spec::Quantile,
      &class_spec::RefuseAtMost, &class_spec::Idempotent,
      &class_spec::MemoryBytes, &class_spec::Accelerators,
      &class_spec::Priority, &class_spec::MaxAttempts,
      &class_spec::RunTimeFactor, &class_spec::UsefulTargets, &class_spec::Pool,
      &class_spec::Host, &class_spec::PathPrefix);
};

template <> struct schema<team_spec> {
  static constexpr auto Members =
      std::make_tuple(&team_spec::Name, &team_spec::TaskStartsPerSecond);
};

template <> struct schema<configuration> {
  static constexpr auto Members =
      std::make_tuple(&configuration::Revision, &configuration::ChangeId,
                      &configuration::Classes, &configuration::Teams);
};

template <> struct schema<configuration_push> {
  static constexpr auto Members =
      std::make_tuple(&configuration_push::Configuration);
};

template <> struct schema<task_needs> {
  static constexpr auto Members =
      std::make_tuple(&task_needs::MilliCores, &task_needs::MemoryBytes,
                      &task_needs::Accelerators);
};

template <> struct schema<place_task> {
  static constexpr auto Members = std::make_tuple(
      &place_task::Task, &place_task::Class, &place_task::Input,
      &place_task::Slack, &place_task::ExpectedRunTime, &place_task::Deadline,
      &place_task::Backlog, &place_task::Needs, &place_task::Pool,
      &place_task::RunName, &place_task::Attempt, &place_task::Priority,
      &place_task::RunLimit, &place_task::Crashes, &place_task::ReturnIfFull);
};

template <> struct schema<task_completed> {
  static constexpr auto Members =
      std::make_tuple(&task_completed::Output, &task_completed::RunTime);
};

template <> struct schema<task_failed> {
  static constexpr auto Members =
      std::make_tuple(&task_failed::Reason, &task_failed::RunTime);
};

template <> struct schema<task_not_started> {
  static constexpr auto Members = std::make_tuple(&task_not_started::Reason);
};

template <> struct schema<task_lost> {
  static constexpr auto Members = std::make_tuple(&task_lost::Reason);
};

template <> struct schema<task_stopped> {
  static constexpr auto Members = std::make_tuple(
      &task_stopped::Reason, &task_stopped::RunTime, &task_stopped::Overdue);
};

template <> struct schema<task_ended> {
  static constexpr auto Members =
      std::make_tuple(&task_ended::Task, &task_ended::End, &task_ended::Load);
};

template <> struct schema<withdraw_tasks> {
  static constexpr auto Members = std::make_tuple(&withdraw_tasks::Tasks);
};

template <> struct schema<acknowledge_ends> {
  static constexpr auto Members = std::make_tuple(&acknowledge_ends::Tasks);
};

template <> struct schema<resume_request> {
  static constexpr auto Members = std::make_tuple(&resume_request::Outstanding);
};

template <> struct schema<task_standing> {
  static constexpr auto Members =
      std::make_tuple(&task_standing::Task, &task_standing::Place);
};

template <> struct schema<resume_reply> {
  static constexpr auto Members = std::make_tuple(&resume_reply::Standing);
};

template <> struct schema<load_report> {
  static constexpr auto Members = std::make_tuple(&load_report::Load);
};

template <> struct schema<crashed_task> {
  static constexpr auto Members =
      std::make_tuple(&crashed_task::RunName, &crashed_task::Index,
                      &crashed_task::Class, &crashed_task::Crashes);
};

template <> struct schema<crash_report> {
  static constexpr auto Members = std::make_tuple(&crash_report::Tasks);
};

template <> struct schema<evacuated_zone> {
  static constexpr auto Members =
      std::make_tuple(&evacuated_zone::Zone, &evacuated_zone::RowVersion);
};

template <> struct schema<evacuation_update> {
  static constexpr auto Members =
      std::make_tuple(&evacuation_update::Version, &evacuation_update::Zones);
};

template <> struct schema<peer_envelope> {
  static constexpr auto Members =
      std::make_tuple(&peer_envelope::Sent, &peer_envelope::Messages);
};

/// The greatest enumerator of a type whose enumerators count from 0.
template <class Enum> struct last_enumerator;

template <> struct last_enumerator<endpoint_state> {
  static constexpr endpoint_state Value = endpoint_state::Leaving;
};

template <> struct last_enumerator<not_started_reason> {
  static constexpr not_started_reason Value = not_started_reason::Refused;
};

template <> struct last_enumerator<task_place> {
  static constexpr task_place Value = task_place::Running;
};

/// An enumeration whose values are bounded; other enumerations are plain
/// numbers.
template <class Type>
concept bounded_enumeration = requires {
  last_enumerator<Type>::Value;
};

} // namespace crocuswood::wire
