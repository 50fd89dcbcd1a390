/**
 * @file return_notice.h
 * Message between nodes about callers that were refused and told when to
 * return. A lost message costs a caller its preference at the receiver; a
 * repeated one changes nothing.
 */
#ifndef MODEL_RETURN_NOTICE_H
#define MODEL_RETURN_NOTICE_H

#include <stdint.h>

/** Maximum number of refused requests in a notice. */
#define RETURN_NOTICE_MAX 8

struct return_notice {
    int count;
    struct {
        uint64_t content;    /**< digest of the request, the same at its return
                              */
        int64_t due_left_us; /**< time until it should return */
        int64_t waited_us;   /**< time since its first attempt */
    } returns[RETURN_NOTICE_MAX];
};

#endif
