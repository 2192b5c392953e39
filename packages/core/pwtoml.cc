// pwtoml.cc: the one C++ file; toml++ behind a C header.
#include "pwtoml.h"

#include <sstream>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace {

int parse(const char *path, toml::table &out, pw_buf *err) {
  try {
    out = toml::parse_file(path);
    return 0;
  } catch (const toml::parse_error &e) {
    auto at = e.source().begin;
    pwbuf_fmt(err, "%s:%d:%d: %s\n", path, (int)at.line, (int)at.column,
              std::string(e.description()).c_str());
    return -1;
  }
}

void fill_list(const toml::array &a, std::vector<std::string> &texts,
               std::vector<const char *> &list, pw_toml_value &v) {
  v.type = PWTOML_LIST;
  for (const auto &item : a) {
    if (const auto *s = item.as_string())
      texts.push_back(s->get());
    else
      v.type = PWTOML_OTHER;
  }
  for (const auto &t : texts)
    list.push_back(t.c_str());
  v.list = list.data();
  v.nlist = (int)list.size();
}

void visit_one(const char *section, const char *key, const toml::node &node,
               pw_toml_visit visit, void *arg) {
  pw_toml_value v = {};
  std::vector<std::string> texts;
  std::vector<const char *> list;
  v.section = section;
  v.key = key;
  v.type = PWTOML_OTHER;
  v.line = (int)node.source().begin.line;
  v.column = (int)node.source().begin.column;
  if (const auto *s = node.as_string()) {
    v.type = PWTOML_STRING;
    v.string = s->get().c_str();
  } else if (const auto *i = node.as_integer()) {
    v.type = PWTOML_INT;
    v.integer = i->get();
    v.real = (double)i->get();
  } else if (const auto *f = node.as_floating_point()) {
    v.type = PWTOML_FLOAT;
    v.real = f->get();
  } else if (const auto *b = node.as_boolean()) {
    v.type = PWTOML_BOOL;
    v.integer = b->get();
  } else if (const auto *a = node.as_array()) {
    fill_list(*a, texts, list, v);
  }
  visit(arg, &v);
}

} // namespace

extern "C" int pwtoml_visit(const char *path, pw_toml_visit visit, void *arg,
                            pw_buf *err) {
  toml::table doc;
  if (parse(path, doc, err) != 0)
    return -1;
  for (const auto &[name, node] : doc) {
    std::string section(name.str());
    const auto *table = node.as_table();
    if (!table) {
      visit_one("", section.c_str(), node, visit, arg);
      continue;
    }
    for (const auto &[key, value] : *table) {
      std::string k(key.str());
      visit_one(section.c_str(), k.c_str(), value, visit, arg);
    }
  }
  return 0;
}

extern "C" int pwtoml_json(const char *path, pw_buf *out, pw_buf *err) {
  toml::table doc;
  if (parse(path, doc, err) != 0)
    return -1;
  std::ostringstream text;
  text << toml::json_formatter{doc};
  pwbuf_str(out, text.str().c_str());
  return 0;
}
