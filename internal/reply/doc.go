// Package reply writes HTTP responses, and reads their bodies up to a limit.
//
// # Usage
//
//	reply.JSON(w, status)
package reply
