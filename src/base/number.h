/**
 * @file number.h
 * Checked conversions of numbers that come from outside the process: records,
 * headers, reports. A conversion that C leaves undefined, such as that of
 * 1e308 to an integer, fails.
 */
#ifndef BASE_NUMBER_H
#define BASE_NUMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** Multiplies @p value by @p scale and rounds toward zero.
 * @return false, with @p out unchanged, if the result is not a number or not
 * in [@p min, @p max] */
bool number_from_real(double value, double scale, int64_t min, int64_t max,
                      int64_t *out);

/** Parses a decimal integer that fills the whole string.
 * @return false, with @p out unchanged, if @p s is none or the integer is not
 * in [@p min, @p max] */
bool number_from_text(struct str s, int64_t min, int64_t max, int64_t *out);

/** Returns @p value, or the nearest bound if it is not in [@p min, @p max]. */
int64_t number_clamp(int64_t value, int64_t min, int64_t max);

#endif
