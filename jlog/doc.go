// Package jlog writes log lines without ever blocking the caller.
//
// # Usage
//
//	w := jlog.NewWriter(os.Stdout)
//	log := slog.New(slog.NewJSONHandler(w, nil))
//	defer w.Close()
//
// Lines go through a bounded queue to one goroutine that writes them. Lines that
// exceed the rate limit or find the queue full are dropped and counted; the count is
// written as a log line with the next batch.
package jlog
