#include "LibFleet/Records.h"

namespace sesameseam {

namespace {

// In the order of the alternatives of Change.
constexpr std::array<std::string_view, std::variant_size_v<Change>> kKindNames = {
  "pool-defined",      "preset-chosen",     "host-added",           "host-leaving",
  "host-drained",      "host-joined",       "maintenance-declared", "maintenance-steered",
  "quota-set",         "member-joined",     "member-removed",       "leader-elected",
  "claim-batch",       "in-force-reported", "job-accepted",         "job-assigned",
  "job-ended",         "jobs-checkpointed", "jobs-cancelled",       "worker-quarantined",
  "host-reboot-asked", "host-failed",       "host-recovered",       "checkpoint-part",
};

template<std::size_t Index = 0>
absl::StatusOr<Change>
DecodeAlternative(std::string_view aKind, const JsonValue& aBody)
{
  if constexpr (Index == std::variant_size_v<Change>) {
    return MakeError(ErrorKind::BadField, "unknown kind of change '" + std::string(aKind) + "'");
  } else {
    if (kKindNames[Index] != aKind) {
      return DecodeAlternative<Index + 1>(aKind, aBody);
    }
    return Change(TRY((FromJsonValue<std::variant_alternative_t<Index, Change>>(aBody))));
  }
}

absl::Status
ReadEnvelope(const JsonValue& aJson, Record& aRecord, std::string& aKind)
{
  std::vector<JsonProblem> problems;
  JsonReader reader(aJson, "", problems);
  reader("id", aRecord.mId, Presence::Required);
  reader("time", aRecord.mTime, Presence::Required);
  reader("author", aRecord.mAuthor, Presence::Required);
  reader("based_on", aRecord.mBasedOn);
  reader("kind", aKind, Presence::Required);
  if (!problems.empty()) {
    return MakeError(ErrorKind::RecordUnreadable, DescribeProblems(problems));
  }
  return absl::OkStatus();
}

}

std::string_view
KindName(const Change& aChange)
{
  return kKindNames[aChange.index()];
}

std::string
EncodeRecord(const Record& aRecord)
{
  JsonValue json;
  json.mType = JsonValue::Type::Object;
  JsonWriter writer(json);
  writer("id", aRecord.mId);
  writer("time", aRecord.mTime);
  writer("author", aRecord.mAuthor);
  writer("based_on", aRecord.mBasedOn);
  writer("kind", std::string(KindName(aRecord.mChange)));
  std::visit([&](const auto& aChange) { writer("body", aChange); }, aRecord.mChange);
  return PrintJson(json);
}

absl::StatusOr<Change>
DecodeChange(std::string_view aKind, const JsonValue& aBody)
{
  return DecodeAlternative(aKind, aBody);
}

absl::StatusOr<Record>
DecodeRecord(const std::string& aText)
{
  auto json = TRY(ParseJson(aText));
  if (json.mType != JsonValue::Type::Object) {
    return MakeError(ErrorKind::RecordUnreadable, "a record must be an object");
  }
  Record record;
  std::string kind;
  TRY(ReadEnvelope(json, record, kind));
  const auto* body = json.Find("body");
  if (body == nullptr) {
    return MakeError(ErrorKind::RecordUnreadable, "body is missing");
  }
  record.mChange = TRY(DecodeChange(kind, *body));
  return record;
}

}
