/**
 * @file clean.h
 * Clean-up attributes: a variable marked with one of these is released when
 * it goes out of scope.
 */
#ifndef BASE_CLEAN_H
#define BASE_CLEAN_H

#include <stdlib.h>

static inline void
clean_free(void *p)
{
    free(*(void **)p);
}

/** Frees a malloc'ed pointer at the end of its scope. */
#define CLEAN_FREE __attribute__((cleanup(clean_free)))

/** Calls @p fn with the address of the variable at the end of its scope. */
#define CLEAN(fn) __attribute__((cleanup(fn)))

#endif
