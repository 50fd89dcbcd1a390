#include "base/number.h"

/* The first double above all of int64_t; (double)INT64_MAX rounds up to it. */
#define INT64_LIMIT 0x1p63

bool
number_from_real(double value, double scale, int64_t min, int64_t max,
                 int64_t *out)
{
    double scaled = value * scale;
    /* False for NaN as well. */
    if (!(scaled >= -INT64_LIMIT && scaled < INT64_LIMIT)) {
        return false;
    }
    int64_t n = (int64_t)scaled;
    if (n < min || n > max) {
        return false;
    }
    *out = n;
    return true;
}

bool
number_from_text(struct str s, int64_t min, int64_t max, int64_t *out)
{
    int64_t n;
    if (!str_to_i64(s, &n) || n < min || n > max) {
        return false;
    }
    *out = n;
    return true;
}

int64_t
number_clamp(int64_t value, int64_t min, int64_t max)
{
    return value < min ? min : value > max ? max : value;
}
