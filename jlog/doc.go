// Package jlog writes structured log lines without ever holding up the caller.
//
// # Usage
//
//	w := jlog.NewWriter(os.Stdout)
//	log := slog.New(slog.NewJSONHandler(w, nil))
//	defer w.Close()
//
// Lines wait in a bounded queue for one writer. Lines that find it full are
// dropped and counted; the count is written as a line of its own when there is
// room again.
package jlog
