/**
 * @file clean.h
 * Clean-up attributes: the value of a variable with one of these attributes is
 * released when the variable goes out of scope.
 */
#ifndef BASE_CLEAN_H
#define BASE_CLEAN_H

#include <stdlib.h>

static inline void
cleanup_free(void *p)
{
    free(*(void **)p);
}

/** Frees a pointer from malloc at the end of its scope. */
#define CLEANUP_FREE __attribute__((cleanup(cleanup_free)))

/** Calls @p fn with the address of the variable at the end of its scope. */
#define CLEANUP(fn) __attribute__((cleanup(fn)))

#endif
