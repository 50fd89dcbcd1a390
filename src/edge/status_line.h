/**
 * @file status_line.h
 * Reads the first line of a response. libcurl also accepts other versions,
 * codes above 599 and text that follows the code directly.
 */
#ifndef EDGE_STATUS_LINE_H
#define EDGE_STATUS_LINE_H

#include "base/str.h"

/** Reads "HTTP/1.x NNN", with or without a reason after it (RFC 9112,
 * section 4).
 * @param line may end with CR LF
 * @return the code, 100 to 599 (RFC 9110, section 15); -1: this is no status
 * line of HTTP/1 */
int status_line_parse(struct str line);

#endif
