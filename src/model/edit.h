/**
 * @file edit.h
 * Operators' edits of the JSON configuration: parses requests, detects
 * conflicts by the change history in the document, and applies edits.
 *
 * The member "changes" of the document holds the last 64 changes as
 * {"change","by","base","paths"}, where base is the revision of the document
 * that the change replaced. Revisions of a record increase with each write, so
 * revision R contains a change exactly if the base of the change is below R.
 */
#ifndef MODEL_EDIT_H
#define MODEL_EDIT_H

#include <jansson.h>

#include "base/err.h"
#include "base/str.h"

#define EDIT_MAX_CHANGES 64
#define EDIT_MAX_DOCUMENT_BYTES (1000 * 1000)

struct edit;

/**
 * Parses {"change","by","base","set":[{"path","value","reason"}]}, or with
 * @p whole {"change","by","base","config":{...}}. A value of null deletes.
 * Appends all errors to @p errors, one per line.
 * @return ST_OK and an owned *out, or ST_INVALID
 */
enum status edit_parse(struct str body, bool whole, struct edit **out,
                       struct buf *errors);
void edit_free(struct edit *e);

/** Returns the change id; valid as long as the edit. */
struct str edit_change(const struct edit *e);

/** Returns the revision that the operator read. */
int64_t edit_base(const struct edit *e);

enum edit_outcome {
    EDIT_APPLIED,
    EDIT_DUPLICATE, /**< the document contains this change already */
    EDIT_CONFLICT,  /**< a later change than the base touched a path */
    EDIT_INVALID,
};

/**
 * Applies the edit to the document @p doc of @p revision (empty and 0 if there
 * is none). EDIT_APPLIED: the new document, which passes fleet_parse, is
 * appended to @p out. EDIT_CONFLICT and EDIT_INVALID: one line per conflict
 * ("PATH was changed by WHO (change ID)") or error is appended to @p messages.
 */
enum edit_outcome edit_apply(const struct edit *e, struct str doc,
                             int64_t revision, struct buf *out,
                             struct buf *messages);

/** Returns true if the document contains a change with this id. */
bool edit_document_has_change(struct str doc, struct str change);

/** Removes every token hash from a configuration. */
void edit_redact_token_hashes(json_t *config);

#endif
