#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>

static _Thread_local char last_message[512];

const char *
status_name(enum status st)
{
    static const char *const names[] = {
#define X(id, name) [ST_##id] = name,
        STATUS_LIST(X)
#undef X
    };
    return names[st];
}

enum status
err_set(enum status st, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(last_message, sizeof(last_message), fmt, ap);
    va_end(ap);
    return st;
}

const char *
err_last(void)
{
    return last_message;
}
