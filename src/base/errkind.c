#include "base/errkind.h"

const struct errkind_info *
errkind_info(enum errkind kind)
{
    static const struct errkind_info table[] = {
        [ERRKIND_NONE] = {"none", 200, RAN_YES, false, ""},
#define X(id, name, status, ran, retry, msg)                                  \
    [ERRKIND_##id] = {name, status, ran, retry, msg},
        ERRKIND_LIST(X)
#undef X
    };
    return &table[kind];
}

const char *
ran_name(enum ran ran)
{
    switch (ran) {
    case RAN_NOT:
        return "not_run";
    case RAN_MAYBE:
        return "may_have_run";
    case RAN_YES:
        return "ran";
    }
    return "may_have_run";
}
