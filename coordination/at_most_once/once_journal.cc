#include "coordination/at_most_once/once_journal.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace gcw {

namespace {

constexpr std::string_view kMagic = "gcw-once-1\n";
// Upper bound of the bytes of one entry's separators, lengths, fingerprint and
// state.
constexpr std::size_t kEntryOverhead = 36;

// Encodes strings as `<length>:<bytes>` and numbers as `<decimal>;`.
class Writer {
 public:
  explicit Writer(std::size_t expected) { text_.reserve(expected); }

  void Text(std::string_view value) {
    text_ += std::to_string(value.size());
    text_ += ':';
    text_ += value;
  }
  void Number(std::int64_t value) {
    text_ += std::to_string(value);
    text_ += ';';
  }
  void Raw(std::string_view value) { text_ += value; }
  std::string Take() { return std::move(text_); }

 private:
  std::string text_;
};

class Reader {
 public:
  explicit Reader(std::string_view text) : text_(text) {}

  std::size_t offset() const { return offset_; }
  bool at_end() const { return offset_ == text_.size(); }

  bool Skip(std::string_view expected) {
    if (text_.substr(offset_, expected.size()) != expected) {
      return false;
    }
    offset_ += expected.size();
    return true;
  }

  std::optional<std::int64_t> Number() { return NumberUpTo(';'); }

  std::optional<std::string> Text() {
    const std::optional<std::int64_t> length = NumberUpTo(':');
    if (!length || *length < 0 ||
        static_cast<std::size_t>(*length) > text_.size() - offset_) {
      return std::nullopt;
    }
    std::string value(text_.substr(offset_, static_cast<std::size_t>(*length)));
    offset_ += value.size();
    return value;
  }

 private:
  std::optional<std::int64_t> NumberUpTo(char end) {
    std::int64_t value = 0;
    const char* const first = text_.data() + offset_;
    const char* const last = text_.data() + text_.size();
    const auto [stop, error] = std::from_chars(first, last, value);
    if (error != std::errc() || stop == last || *stop != end) {
      return std::nullopt;
    }
    offset_ += static_cast<std::size_t>(stop - first) + 1;
    return value;
  }

  std::string_view text_;
  std::size_t offset_ = 0;
};

std::optional<OnceEntry> ReadEntry(Reader& reader) {
  std::optional<std::string> key = reader.Text();
  const std::optional<std::int64_t> fingerprint = reader.Number();
  std::optional<std::string> holder = reader.Text();
  const std::optional<std::int64_t> state = reader.Number();
  if (!key || !fingerprint || !holder || !state) {
    return std::nullopt;
  }
  constexpr auto kLastState =
      static_cast<std::int64_t>(OnceClaimState::kMayHaveRun);
  if (*state < 0 || *state > kLastState) {
    return std::nullopt;
  }
  return OnceEntry{IdempotencyKey(std::move(*key)), Fingerprint(*fingerprint),
                   OnceClaimId(std::move(*holder)),
                   static_cast<OnceClaimState>(*state)};
}

bool ReadHead(Reader& reader, OnceJournal& journal) {
  std::optional<std::string> node = reader.Text();
  const std::optional<std::int64_t> incarnation = reader.Number();
  std::optional<std::string> change = reader.Text();
  const std::optional<std::int64_t> outage_lease = reader.Number();
  const std::optional<std::int64_t> may_miss = reader.Number();
  if (!node || !incarnation || !change || !outage_lease || !may_miss) {
    return false;
  }
  journal.owner =
      OnceMember{NodeId(std::move(*node)), Incarnation(*incarnation)};
  journal.change = ChangeId(std::move(*change));
  journal.outage_lease = Duration::Millis(*outage_lease);
  journal.may_miss_claims = *may_miss != 0;
  return true;
}

}  // namespace

std::size_t OnceEntryBytes(const IdempotencyKey& key,
                           const OnceClaimId& holder) {
  return key.value().size() + holder.value().size() + kEntryOverhead;
}

std::string EncodeOnceJournal(const OnceJournal& journal) {
  std::size_t expected = 256;
  for (const OnceEntry& entry : journal.entries) {
    expected += OnceEntryBytes(entry.key, entry.holder);
  }
  Writer writer(expected);
  writer.Raw(kMagic);
  writer.Text(journal.owner.node.value());
  writer.Number(journal.owner.incarnation.value());
  writer.Text(journal.change.value());
  writer.Number(journal.outage_lease.millis());
  writer.Number(journal.may_miss_claims ? 1 : 0);
  writer.Number(static_cast<std::int64_t>(journal.entries.size()));
  for (const OnceEntry& entry : journal.entries) {
    writer.Text(entry.key.value());
    writer.Number(entry.fingerprint.value());
    writer.Text(entry.holder.value());
    writer.Number(static_cast<std::int64_t>(entry.state));
  }
  return writer.Take();
}

Result<OnceJournal, OnceJournalError> DecodeOnceJournal(std::string_view text) {
  Reader reader(text);
  OnceJournal journal;
  if (!reader.Skip(kMagic) || !ReadHead(reader, journal)) {
    return OnceJournalError{OnceJournalErrorKind::kFormat, reader.offset()};
  }
  const std::optional<std::int64_t> count = reader.Number();
  if (!count || *count < 0 || static_cast<std::size_t>(*count) > text.size()) {
    return OnceJournalError{OnceJournalErrorKind::kOutOfRange, reader.offset()};
  }
  journal.entries.reserve(static_cast<std::size_t>(*count));
  for (std::int64_t index = 0; index < *count; ++index) {
    std::optional<OnceEntry> entry = ReadEntry(reader);
    if (!entry) {
      return OnceJournalError{OnceJournalErrorKind::kTruncated,
                              reader.offset()};
    }
    journal.entries.push_back(std::move(*entry));
  }
  if (!reader.at_end()) {
    return OnceJournalError{OnceJournalErrorKind::kFormat, reader.offset()};
  }
  return journal;
}

}  // namespace gcw
