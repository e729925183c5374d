// What is wrong with a file in protobuf text format, as editors read it: file:line:column: what.
#pragma once

#include <google/protobuf/io/tokenizer.h>

#include <string>

namespace dispatcher::settings {

// Protobuf counts lines and columns from 0, editors from 1.
class ParseErrorCollector final : public google::protobuf::io::ErrorCollector {
 public:
  explicit ParseErrorCollector(const std::string& name) : name_(name) {}
  void AddError(int line, int column, const std::string& what) override {
    if (!text_.empty())
      text_ += '\n';
    text_ +=
        name_ + ':' + std::to_string(line + 1) + ':' + std::to_string(column + 1) + ": " + what;
  }
  // A warning is an error here: what somebody wrote and nobody reads is a mistake.
  void AddWarning(int line, int column, const std::string& what) override {
    AddError(line, column, what);
  }
  const std::string& text() const { return text_; }

 private:
  std::string name_;
  std::string text_;
};

}  // namespace dispatcher::settings
