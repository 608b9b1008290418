#include <crocuswood/model.h>

namespace crocuswood {

std::string toString(const finding &Value) {
  std::string Text = Value.Source;
  if (Value.Line != 0) {
    Text.append(1, ':').append(std::to_string(Value.Line));
  }
  if (Value.Line != 0 && Value.Column != 0) {
    Text.append(1, ':').append(std::to_string(Value.Column));
  }
  if (!Text.empty()) {
    Text += ": ";
  }
  if (!Value.Path.empty()) {
    Text += Value.Path + ": ";
  }
  return Text + Value.Message;
}

std::string toString(const findings &Values) {
  std::string Text;
  for (const finding &Value : Values) {
    Text += toString(Value);
    Text += '\n';
  }
  return Text;
}

} // namespace crocuswood
