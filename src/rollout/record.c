#include "rollout/record.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define PPM ROLLOUT_PPM

static const char *const phase_names[] = {"observe", "move", "close",
                                          "completed", "rolled_back"};
/* Stands for an empty text, since fields are separated by spaces. */
#define NO_NAME "-"

const char *
rollout_phase_name(enum rollout_phase p)
{
    return p < ROLLOUT_PHASE_COUNT ? phase_names[p] : "unknown";
}

bool
rollout_is_running(const struct rollout_record *r)
{
    return r->phase < ROLLOUT_COMPLETED;
}

bool
rollout_is_valid_name(struct str name)
{
    for (size_t i = 0; i < name.len; i++) {
        if (name.ptr[i] <= ' ' || name.ptr[i] > '~' || name.ptr[i] == '"' ||
            name.ptr[i] == '\\') {
            return false;
        }
    }
    return name.len > 0 && name.len < ROLLOUT_NAME_BYTES;
}

void
rollout_copy_name(char out[ROLLOUT_NAME_BYTES], struct str name)
{
    memset(out, 0, ROLLOUT_NAME_BYTES);
    if (rollout_is_valid_name(name)) {
        memcpy(out, name.ptr, name.len);
    }
}

static const char *
or_dash(const char *name)
{
    return name[0] ? name : NO_NAME;
}

void
rollout_record_write(const struct rollout_record *r, struct buf *out)
{
    buf_printf(out,
               "1 %" PRIu64 " %" PRId64 " %s %d %" PRId64 " %" PRId64
               " %" PRId64 " %" PRId64 " %s %s %s %s",
               r->order, r->step, rollout_phase_name(r->phase), r->share_ppm,
               r->elapsed_us, r->sent[ROLLOUT_OLD], r->sent[ROLLOUT_NEW],
               r->failed, or_dash(r->target), or_dash(r->rejected),
               or_dash(r->decider), or_dash(r->reason));
}

static bool
find_phase(const char *name, enum rollout_phase *out)
{
    for (int i = 0; i < ROLLOUT_PHASE_COUNT; i++) {
        if (strcmp(name, phase_names[i]) == 0) {
            *out = (enum rollout_phase)i;
            return true;
        }
    }
    return false;
}

static void
clear_dash(char *name)
{
    if (strcmp(name, NO_NAME) == 0) {
        name[0] = 0;
    }
}

static bool
is_name(const char *name)
{
    return rollout_is_valid_name(str_from_cstr(name));
}

enum status
rollout_record_read(struct str text, struct rollout_record *out)
{
    char copy[512] = {0};
    char phase[ROLLOUT_NAME_BYTES] = {0};
    struct rollout_record r = {0};
    int used = 0;
    if (text.len == 0 || text.len >= sizeof(copy)) {
        return err_set(ST_INVALID, "a roll-out record cannot have %zu bytes",
                       text.len);
    }
    memcpy(copy, text.ptr, text.len);
    int n = sscanf(copy,
                   "1 %" SCNu64 " %" SCNd64 " %63s %d %" SCNd64 " %" SCNd64
                   " %" SCNd64 " %" SCNd64 " %63s %63s %63s %n",
                   &r.order, &r.step, phase, &r.share_ppm, &r.elapsed_us,
                   &r.sent[ROLLOUT_OLD], &r.sent[ROLLOUT_NEW], &r.failed,
                   r.target, r.rejected, r.decider, &used);
    if (n != 11 || !find_phase(phase, &r.phase) || r.step <= 0 ||
        r.share_ppm < 0 || r.share_ppm > PPM || r.elapsed_us < 0) {
        return err_set(ST_INVALID, "not a roll-out record");
    }
    snprintf(r.reason, sizeof(r.reason), "%.63s", copy + used);
    for (char *c = r.reason; *c; c++) {
        *c = *c < ' ' || *c > '~' || *c == '"' || *c == '\\' ? '?' : *c;
    }
    if (!is_name(r.target) || !is_name(r.rejected) || !is_name(r.decider)) {
        return err_set(ST_INVALID, "a name in a roll-out record is invalid");
    }
    clear_dash(r.target);
    clear_dash(r.rejected);
    clear_dash(r.decider);
    clear_dash(r.reason);
    *out = r;
    return ST_OK;
}
