// Collects the errors of a file in protobuf text format, one a line, as editors read them:
// file:line:column: reason.
#pragma once

#include <google/protobuf/io/tokenizer.h>

#include <string>
#include <utility>

namespace dispatcher::settings {

class ParseErrorCollector final : public google::protobuf::io::ErrorCollector {
 public:
  explicit ParseErrorCollector(std::string name) : name_(std::move(name)) {}

  // `line` and `column` count from 0, as protobuf has them; the text counts from 1.
  void AddError(int line, int column, const std::string& reason) override {
    if (!text_.empty())
      text_ += '\n';
    text_ +=
        name_ + ':' + std::to_string(line + 1) + ':' + std::to_string(column + 1) + ": " + reason;
  }
  // A warning counts as an error: a value that is written but not read is a mistake.
  void AddWarning(int line, int column, const std::string& reason) override {
    AddError(line, column, reason);
  }
  // Empty: no error.
  const std::string& text() const { return text_; }

 private:
  std::string name_;
  std::string text_;
};

}  // namespace dispatcher::settings
