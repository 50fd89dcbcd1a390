/**
 * @file address.h
 * Network addresses as text. Only numeric addresses are accepted, since a host
 * name would need a resolver, which blocks.
 */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdbool.h>

#include "base/str.h"

/** Returns true for an IP address as text, IPv6 with or without brackets. */
bool address_is_ip(struct str s);

/** Splits "IP:PORT", an IPv6 address in brackets; @p ip becomes a view of
 * @p s, without the brackets.
 * @return false: not an IP address with a port from 1 to 65535, written
 * without sign and leading zeros */
bool address_split(struct str s, struct str *ip, int *port);

/** As address_split, for "SCHEME://IP:PORT".
 * @param scheme with "://" */
bool address_split_url(struct str s, const char *scheme, struct str *ip,
                       int *port);

#endif
