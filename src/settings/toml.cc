#include "settings/toml.h"

#include <cstdio>
#include <exception>
#include <sstream>
#include <stdexcept>
#include <string_view>

#define TOML_EXCEPTIONS 1
// Malformed input, for example a key of control characters, can trigger the
// parser's assertions. They throw exceptions here, which become parse errors.
#define TOML_ASSERT(expr)                                                     \
    do {                                                                      \
        if (!(expr)) {                                                        \
            throw std::runtime_error("malformed TOML");                       \
        }                                                                     \
    } while (false)
#define TOML_HEADER_ONLY 1
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpragmas"
#pragma GCC diagnostic ignored "-Wterminate"
#include <toml++/toml.h>
#pragma GCC diagnostic pop

namespace {

json_t *convert(const toml::node &node);

json_t *
convert_table(const toml::table &table)
{
    json_t *obj = json_object();
    for (const auto &[key, value] : table) {
        json_object_set_new(obj, std::string(key.str()).c_str(),
                            convert(value));
    }
    return obj;
}

json_t *
convert_array(const toml::array &array)
{
    json_t *arr = json_array();
    for (const auto &value : array) {
        json_array_append_new(arr, convert(value));
    }
    return arr;
}

json_t *
convert(const toml::node &node)
{
    if (const auto *t = node.as_table()) {
        return convert_table(*t);
    }
    if (const auto *a = node.as_array()) {
        return convert_array(*a);
    }
    if (const auto *s = node.as_string()) {
        return json_stringn(s->get().data(), s->get().size());
    }
    if (const auto *i = node.as_integer()) {
        return json_integer(i->get());
    }
    if (const auto *f = node.as_floating_point()) {
        json_t *real = json_real(f->get());
        // JSON has no infinity and no NaN; null fails every type check.
        return real ? real : json_null();
    }
    if (const auto *b = node.as_boolean()) {
        return json_boolean(b->get());
    }
    std::ostringstream text;
    node.visit([&text](const auto &value) {
        if constexpr (toml::is_date<decltype(value)> ||
                      toml::is_time<decltype(value)> ||
                      toml::is_date_time<decltype(value)>) {
            text << value.get();
        }
    });
    return json_string(text.str().c_str());
}

void
set_error(struct toml_error *error, int line, int column,
          std::string_view message)
{
    error->line = line;
    error->column = column;
    std::snprintf(error->message, sizeof(error->message), "%.*s",
                  static_cast<int>(message.size()), message.data());
}

} // namespace

json_t *
toml_to_json(const char *text, size_t len, struct toml_error *error)
{
    try {
        return convert_table(toml::parse(std::string_view(text, len)));
    }
    catch (const toml::parse_error &e) {
        set_error(error, static_cast<int>(e.source().begin.line),
                  static_cast<int>(e.source().begin.column), e.description());
        return nullptr;
    }
    catch (const std::exception &e) {
        set_error(error, 0, 0, e.what());
        return nullptr;
    }
}
