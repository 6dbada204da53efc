#ifndef TESTS_SUPPORT_SETTINGS_TEMPLATE_H_
#define TESTS_SUPPORT_SETTINGS_TEMPLATE_H_

#include <map>
#include <regex>
#include <set>
#include <string>
#include <utility>

namespace gcw {

// A settings template of `deploy/`, filled in as the platform does.
class SettingsTemplate {
 public:
  explicit SettingsTemplate(std::string text) : text_(std::move(text)) {}

  // Returns the names of all fields below the table, such as "bounds.drain_ms".
  std::set<std::string> FieldsBelow(const std::string& table) const {
    const std::regex field("\\{\\{(" + table + "\\.[a-z_]+)\\}\\}");
    std::set<std::string> names;
    for (std::sregex_iterator match(text_.begin(), text_.end(), field), end;
         match != end; ++match) {
      names.insert((*match)[1]);
    }
    return names;
  }

  // Values are as written in the result. The section of a field without a value
  // is left out.
  std::string Fill(const std::map<std::string, std::string>& values) const {
    static const std::regex section(
        R"(\{\{#([a-z_.]+)\}\}((?:.|\n)*?)\{\{/\1\}\})");
    static const std::regex field(R"(\{\{([a-z_.]+|,)\}\})");
    const std::string sections =
        Replace(text_, section, [&](const std::smatch& match) {
          return values.contains(match[1])
                     ? FillSection(match[2], values, match[1])
                     : std::string();
        });
    return Replace(sections, field, [&](const std::smatch& match) {
      const auto found = values.find(match[1]);
      return found == values.end() ? std::string() : found->second;
    });
  }

 private:
  // Fills in the current entry of a section that is rendered once.
  static std::string FillSection(
      const std::string& body,
      const std::map<std::string, std::string>& values,
      const std::string& name) {
    static const std::regex entry(R"(\{\{\.\}\})");
    return Replace(body, entry,
                   [&](const std::smatch&) { return values.at(name); });
  }

  template <typename Replacement>
  static std::string Replace(const std::string& text,
                             const std::regex& pattern,
                             const Replacement& replacement) {
    std::string result;
    auto rest = text.cbegin();
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end;
         match != end; ++match) {
      result.append(rest, (*match)[0].first);
      result += replacement(*match);
      rest = (*match)[0].second;
    }
    return result.append(rest, text.cend());
  }

  std::string text_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_SETTINGS_TEMPLATE_H_
