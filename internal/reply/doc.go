// Package reply writes HTTP responses.
//
// # Usage
//
//	reply.JSON(w, status)
package reply
