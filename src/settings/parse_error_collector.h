// Collects the errors of a file in protobuf text format, one per line, in the form that editors
// recognize: file:line:column: reason.
#pragma once

#include <google/protobuf/io/tokenizer.h>

#include <string>
#include <utility>

namespace dispatcher::settings {

class ParseErrorCollector final : public google::protobuf::io::ErrorCollector {
 public:
  explicit ParseErrorCollector(std::string file) : file_(std::move(file)) {}

  // `line` and `column` count from 0, as protobuf passes them; the text counts from 1.
  void AddError(int line, int column, const std::string& reason) override {
    if (!text_.empty())
      text_ += '\n';
    text_ +=
        file_ + ':' + std::to_string(line + 1) + ':' + std::to_string(column + 1) + ": " + reason;
  }
  // Warnings count as errors: a value that is given but ignored is a mistake.
  void AddWarning(int line, int column, const std::string& reason) override {
    AddError(line, column, reason);
  }
  // Empty if there was no error.
  const std::string& text() const { return text_; }

 private:
  std::string file_;
  std::string text_;
};

}  // namespace dispatcher::settings
