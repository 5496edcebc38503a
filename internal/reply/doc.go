// Package reply writes HTTP answers.
//
// # Usage
//
//	reply.JSON(w, status)
package reply
