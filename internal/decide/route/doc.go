// Package route decides which of the operator's routes a request takes: it matches host, path, method and headers
// against patterns. A Table does not change after New, and a match depends on nothing else. The package must not import
// sockets, or the packages that handle the routes' requests.
//
// Where several patterns match, the most specific one wins, whatever their order in the file. They are compared by
// these parts, in this order, and the first part that differs decides:
//
//  1. the host: an exact one, before a longer suffix, before a shorter one, before none;
//  2. the path, segment by segment: a literal, before a parameter, before the end of a prefix (an exact path
//     before a prefix of the same segments);
//  3. headers: more that must have a value, then more that must be present;
//  4. the method: named, before any.
//
// Two patterns that could match the same request and are equal in all four parts are an error.
package route
