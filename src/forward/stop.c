#include "forward/stop.h"

#include "forward/state.h"

void
forward_drain(struct forward *f)
{
    f->draining = true;
}

void
forward_end_requests(struct forward *f, int64_t now_us)
{
    GPtrArray *open = g_ptr_array_new();
    struct request *r;
    size_t at = 0;
    while ((r = map_next(&f->requests, &at))) {
        g_ptr_array_add(open, r);
    }
    for (guint i = 0; i < open->len; i++) {
        req_refuse(f, now_us, g_ptr_array_index(open, i), ERRKIND_NOT_READY,
                   "the node is stopping", 0);
    }
    g_ptr_array_free(open, TRUE);
}
