// Package route decides which of the operator's routes a request takes: it matches the request's host, path,
// method and headers against patterns. A Table does not change after New, and a match depends only on the table
// and the request. The package must not import sockets, or the packages that handle the routes' requests.
//
// If several patterns match a request, the most specific pattern wins, whatever the order of the patterns in the
// configuration file. Specificity is compared by these parts, in this order, and the first part that differs decides:
//
//  1. the host: an exact host wins over a suffix, a longer suffix over a shorter one, and a pattern
//     without a host comes last;
//  2. the path, segment by segment: a literal segment wins over a parameter, and a parameter over the end of a
//     prefix; an exact path wins over a prefix with the same segments;
//  3. the headers: the pattern wins that has more headers with a required value, then the one that has more headers;
//  4. the method: a pattern with methods wins over a pattern for any method.
//
// New rejects two patterns that could match the same request and are equal in all four parts.
package route
